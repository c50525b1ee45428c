/*
 * At most once: claim, dispatch, answer and record of one idempotency key, with
 * session leases, dispatchers that may pause between any two steps, lost answers
 * and an operator who settles claims in doubt.
 *
 * The registry is one atomic state machine here; consensus.pml covers the log
 * below it. A host's later sessions have higher numbers.
 *
 * Parameters: HOSTS dispatchers, each of ATTEMPTS tries in all, SESSIONS per
 * host.
 *
 * Mutations: -DNO_LEASE_CHECK, -DNO_SESSION_CHECK, -DEARLY_CLOSE,
 * -DSECOND_CLAIM, -DCANCEL_AFTER_SEND.
 */

#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef SESSIONS
#define SESSIONS 2
#endif

mtype = { Free, Claimed, InDoubt, Done };

/* The registry: each host's session, open or closed, and the claim. */
byte session[HOSTS];
bool open[HOSTS];
mtype claim = Free;
byte claimHost;
byte claimSession;
byte attempt;

/* Each host's lease on its newest session, by its own clock. */
bool lease[HOSTS];

/* The target: requests on their way and executed, by attempt. */
byte onTheWay[ATTEMPTS + 1];
byte executed[ATTEMPTS + 1];
byte executions;

/* Attempts of which a caller was told that they were not run. */
bool toldNotRun[ATTEMPTS + 1];

#ifdef NO_LEASE_CHECK
#define LEASE_LIVE(h) true
#else
#define LEASE_LIVE(h) lease[h]
#endif
#ifdef NO_SESSION_CHECK
#define SAME_SESSION(h) true
#else
#define SAME_SESSION(h) (session[h] == mine)
#endif
#ifdef EARLY_CLOSE
#define LEASE_OVER(h) true
#else
#define LEASE_OVER(h) (!lease[h])
#endif
#ifdef SECOND_CLAIM
#define MAY_CLAIM (claim == Free || claim == InDoubt)
#else
#define MAY_CLAIM (claim == Free)
#endif
#ifdef CANCEL_AFTER_SEND
#define MAY_CANCEL true
#else
#define MAY_CANCEL (!sent)
#endif

#define HOLDS(h) (claim == Claimed && claimHost == h && claimSession == mine && open[h])

inline tellNotRun(a) {
	toldNotRun[a] = true;
	assert(executed[a] == 0)
}

/* A host that serves one caller's key, again and again. A pause is any time
 * between two steps. */
proctype dispatcher(byte h) {
	byte mine;
	byte try;
	bool sent;
end:
	do
	:: atomic {
		MAY_CLAIM && open[h] && lease[h] && attempt < ATTEMPTS ->
		attempt++;
		claim = Claimed;
		claimHost = h;
		claimSession = session[h];
		mine = session[h];
		try = attempt;
		sent = false
	   };
	   if
	   :: atomic {
		/* The lease is checked after the last step that may block. */
		LEASE_LIVE(h) && SAME_SESSION(h) ->
		onTheWay[try]++;
		sent = true
	      }
	   :: true
	   fi;
	   if
	   :: atomic {
		/* The answer arrives and is recorded. */
		sent && executed[try] > 0 ->
		if
		:: HOLDS(h) -> claim = Done
		:: else
		fi
	      }
	   :: atomic {
		/* Nothing left the host: the claim is cancelled at the registry. */
		MAY_CANCEL ->
		if
		:: HOLDS(h) -> claim = Free; tellNotRun(try)
		:: else
		fi
	      }
	   :: true /* The answer is lost. */
	   fi;
	   mine = 0;
	   try = 0;
	   sent = false
	od
}

proctype target() {
	byte a;
end:
	do
	:: atomic {
		a = 1;
		do
		:: a < ATTEMPTS && onTheWay[a] == 0 -> a++
		:: else -> break
		od;
		if
		:: onTheWay[a] > 0 ->
			onTheWay[a]--;
			executed[a]++;
			executions++;
			assert(executions <= 1);
			assert(!toldNotRun[a])
		:: else
		fi;
		a = 0
	   }
	od
}

/* Sessions open and close; a lease ends by the host's clock before the registry
 * closes the session. */
proctype sessions(byte h) {
end:
	do
	:: atomic { !open[h] && session[h] < SESSIONS -> session[h]++; open[h] = true; lease[h] = true }
	:: lease[h] -> lease[h] = false
	:: atomic {
		open[h] && LEASE_OVER(h) ->
		open[h] = false;
		if
		:: claim == Claimed && claimHost == h -> claim = InDoubt
		:: else
		fi
	   }
	od
}

/* The operator settles a claim in doubt by what the target has executed, once
 * nothing that was sent under the ended lease can still arrive. */
proctype operator() {
end:
	do
	:: atomic {
		claim == InDoubt && onTheWay[attempt] == 0 ->
		if
		:: executed[attempt] > 0 -> claim = Done
		:: else -> claim = Free; tellNotRun(attempt)
		fi
	   }
	od
}

init {
	atomic {
		byte h = 0;
		do
		:: h < HOSTS -> run dispatcher(h); run sessions(h); h++
		:: else -> break
		od;
		run target();
		run operator()
	}
}
