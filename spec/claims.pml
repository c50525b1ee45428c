/*
 * At-most-once execution: claim, dispatch, response and completion record of one
 * idempotency key, with session leases, dispatchers that may pause between any
 * two steps, lost responses and an operator who settles claims in doubt.
 *
 * The model treats the registry as one atomic state machine; consensus.pml covers
 * the replicated log below it. Later sessions of a host have higher numbers.
 *
 * Parameters: HOSTS dispatchers, ATTEMPTS attempts in total, SESSIONS sessions
 * per host.
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

/* The registry: the session of each host, open or closed, and the claim. */
byte session[HOSTS];
bool open[HOSTS];
mtype claim = Free;
byte claimHost;
byte claimSession;
byte attempt;

/* Whether the host's lease on its latest session is valid, by its own clock. */
bool lease[HOSTS];

/* The target: requests in flight and requests executed, by attempt. */
byte onTheWay[ATTEMPTS + 1];
byte executed[ATTEMPTS + 1];
byte executions;

/* Attempts that were reported to a caller as not executed. */
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

/* A host that repeatedly serves one idempotency key of a caller. It may pause
 * between any two steps. */
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
		/* The lease check follows the last step that may block. */
		LEASE_LIVE(h) && SAME_SESSION(h) ->
		onTheWay[try]++;
		sent = true
	      }
	   :: true
	   fi;
	   if
	   :: atomic {
		/* The response arrives and the claim is recorded as done. */
		sent && executed[try] > 0 ->
		if
		:: HOLDS(h) -> claim = Done
		:: else
		fi
	      }
	   :: atomic {
		/* No request was sent: the claim is cancelled at the registry. */
		MAY_CANCEL ->
		if
		:: HOLDS(h) -> claim = Free; tellNotRun(try)
		:: else
		fi
	      }
	   :: true /* The response is lost. */
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

/* Opens and closes sessions. A lease expires by the host's clock before the
 * registry closes the session. */
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

/* The operator settles a claim in doubt according to what the target has
 * executed, once no request sent under the expired lease can still arrive. */
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
