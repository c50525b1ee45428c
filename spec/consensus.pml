/*
 * The replicated log: leader election with durable votes, replication, the commit
 * rule and membership changes of one replica at a time.
 *
 * Parameters: N replicas, terms 1..T, logs of up to M entries. With -DMEMBERS,
 * leaders propose membership changes. With -DGONE, replicas are gone for good, with
 * their disks, one after the other: a minority of the members may be gone at a time,
 * and the next one follows once a membership without the former is committed.
 *
 * Mutations, each of which removes one rule, so that an assertion must fail:
 * -DVOTE_NOT_DURABLE, -DCOMMIT_OLD_TERM, -DMEMBERS_EARLY, -DMEMBERS_PENDING,
 * -DVOTE_SHORT_LOG, -DGONE_RETURNS (a replica with a new disk uses the ID of the one
 * that is gone), -DGONE_EARLY (the next replica goes while a majority still counts the
 * former).
 *
 * The network is not modelled as a channel. Any entry that the leader of a term
 * ever had in its log may reach any replica at any later time, any number of
 * times, in any order or never. The same applies to everything that a replica
 * ever acknowledged or granted in a term.
 */

#ifndef N
#define N 3
#endif
#ifndef T
#define T 4
#endif
#ifndef M
#define M 3
#endif

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

/* The members at the beginning. With GONE, the last replica is not among them: it has
 * an empty disk and may take the place of one that is gone. */
#ifdef GONE
#define FIRST_MEMBERS ((1 << (N - 1)) - 1)
#define FIRST_MAJORITY ((N - 1) / 2 + 1)
#else
#define FIRST_MEMBERS ((1 << N) - 1)
#define FIRST_MAJORITY (N / 2 + 1)
#endif

/* An entry encodes its term and the membership that it sets; 0 for none. */
#define ENTRY(leadTerm, members) ((leadTerm) + 8 * (members))
#define TERM_OF(e)        ((e) % 8)
#define MEMBERS_OF(e)     ((e) / 8)

#define LOG(i, slot)  log[(i) * M + (slot)]
#define SENT(leadTerm, slot) sent[(leadTerm) * M + (slot)]
#define ACK(leadTerm, i)  ack[(leadTerm) * N + (i)]
#define BIT(set, i) (((set) >> (i)) & 1)

#ifdef VOTE_SHORT_LOG
#define ANY_LOG 1
#else
#define ANY_LOG 0
#endif
#ifdef COMMIT_OLD_TERM
#define ANY_TERM 1
#else
#define ANY_TERM 0
#endif
#ifdef MEMBERS_PENDING
#define ANY_PENDING 1
#else
#define ANY_PENDING 0
#endif
#ifdef MEMBERS_EARLY
#define ANY_TIME 1
#else
#define ANY_TIME 0
#endif
#ifdef GONE_EARLY
#define ANY_LOSS 1
#else
#define ANY_LOSS 0
#endif
#ifdef VOTE_NOT_DURABLE
#define FORGET_VOTE(i) vote[i] = 0
#else
#define FORGET_VOTE(i) skip
#endif

/* With MEMBERS, a new leader need not append an entry of its term at once. This
 * permits more than the implementation does and keeps the logs short. */
#ifdef MEMBERS
#define FIRST_ENTRY(i) skip
#else
#define FIRST_ENTRY(i) appendOwn(i, ENTRY(term[i], 0))
#endif

/* With GONE, only the first entry of a log sets no membership, which keeps the search
 * small: the others replace a replica that is gone. */
#ifdef GONE
#define MAX_PLAIN 1
#else
#define MAX_PLAIN M
#endif

/* The state of each replica; everything except role and votes is durable. */
byte term[N];
byte vote[N];
byte role[N];
byte votes[N];
byte length[N];
byte log[N * M];

/* For each term: its leader, the entries that the leader ever had, its commit
 * index, and the acknowledgements that it may receive. */
byte leaderOf[T + 1];
byte sentLength[T + 1];
byte sent[(T + 1) * M];
byte commit[T + 1];
byte ack[(T + 1) * N];

/* The entries ever committed, and the first term whose leader committed them. */
byte committed[M];
byte committedIn[M];

#ifdef GONE
/* The set of the replicas that are gone for good. */
byte gone;
#define RUNS(i) (!BIT(gone, i))
#else
#define RUNS(i) 1
#endif

byte slot, leadTerm, position, other, members, last, count, needed, ok;

/* Sets members to the latest membership in the log of i, and last to the length
 * of the log up to and including the entry that set it. */
inline membersOf(i) {
	members = FIRST_MEMBERS;
	last = 0;
	slot = 0;
	do
	:: slot < length[i] ->
		if
		:: MEMBERS_OF(LOG(i, slot)) != 0 -> members = MEMBERS_OF(LOG(i, slot)); last = slot + 1
		:: else
		fi;
		slot++
	:: else -> break
	od
}

/* Sets needed to the number of replicas in a majority of members. */
inline majorityOf() {
	needed = 0;
	slot = 0;
	do
	:: slot < N -> needed = needed + BIT(members, slot); slot++
	:: else -> break
	od;
	needed = needed / 2 + 1
}

/* Sets ok if the log of a is at least as up to date as that of b, as a vote
 * requires. */
inline isCurrent(a, b) {
	ok = 0;
	if
	:: length[b] == 0 -> ok = 1
	:: length[b] > 0 && length[a] > 0 ->
		if
		:: TERM_OF(LOG(a, length[a] - 1)) > TERM_OF(LOG(b, length[b] - 1)) -> ok = 1
		:: TERM_OF(LOG(a, length[a] - 1)) == TERM_OF(LOG(b, length[b] - 1)) && length[a] >= length[b] -> ok = 1
		:: else
		fi
	:: else
	fi;
	ok = ok || ANY_LOG
}

inline enterTerm(i, newer) {
	if
	:: newer > term[i] -> term[i] = newer; vote[i] = 0; role[i] = FOLLOWER; votes[i] = 0
	:: else
	fi
}

inline campaign(i) {
	term[i]++;
	vote[i] = i + 1;
	role[i] = CANDIDATE;
	votes[i] = 1 << i
}

/* Replica i handles the vote request of replica other. */
inline answerVote(i) {
	if
	:: role[other] == CANDIDATE && other != i && term[other] >= term[i] ->
		enterTerm(i, term[other]);
		isCurrent(other, i);
		if
		:: ok && (vote[i] == 0 || vote[i] == other + 1) -> vote[i] = other + 1; votes[other] = votes[other] | (1 << i)
		:: else
		fi
	:: else
	fi
}

inline appendOwn(i, e) {
	LOG(i, length[i]) = e;
	SENT(term[i], length[i]) = e;
	length[i]++;
	sentLength[term[i]] = length[i]
}

/* Candidate i becomes leader if a majority of the latest membership in its log
 * has granted its vote. */
inline tryLead(i) {
	membersOf(i);
	majorityOf();
	count = 0;
	slot = 0;
	do
	:: slot < N -> count = count + (BIT(members, slot) && BIT(votes[i], slot)); slot++
	:: else -> break
	od;
	if
	:: count >= needed ->
		assert(leaderOf[term[i]] == 0);
		slot = 0;
		do
		:: slot < M ->
			assert(committed[slot] == 0 || committedIn[slot] >= term[i] || (slot < length[i] && LOG(i, slot) == committed[slot]));
			if
			:: slot < length[i] -> SENT(term[i], slot) = LOG(i, slot)
			:: else
			fi;
			slot++
		:: else -> break
		od;
		leaderOf[term[i]] = i + 1;
		role[i] = LEADER;
		votes[i] = 0;
		sentLength[term[i]] = length[i];
		FIRST_ENTRY(i)
	:: else
	fi
}

/* Replica i appends the entry after the position, if there is one, from the leader
 * of leadTerm. */
inline takeEntry(i) {
	if
	:: leaderOf[leadTerm] != 0 && leaderOf[leadTerm] != i + 1 && leadTerm >= term[i] && position <= sentLength[leadTerm] ->
		enterTerm(i, leadTerm);
		role[i] = FOLLOWER;
		votes[i] = 0;
		ok = 0;
		if
		:: position == 0 -> ok = 1
		:: position > 0 && position <= length[i] -> ok = (LOG(i, position - 1) == SENT(leadTerm, position - 1))
		:: else
		fi;
		if
		:: ok && position < sentLength[leadTerm] ->
			if
			:: position < length[i] && LOG(i, position) != SENT(leadTerm, position) ->
				slot = position;
				do
				:: slot < length[i] ->
					assert(committed[slot] == 0 || committed[slot] != LOG(i, slot));
					LOG(i, slot) = 0;
					slot++
				:: else -> break
				od;
				length[i] = position
			:: else
			fi;
			if
			:: position == length[i] -> LOG(i, position) = SENT(leadTerm, position); length[i]++
			:: else
			fi;
			if
			:: ACK(leadTerm, i) < position + 1 -> ACK(leadTerm, i) = position + 1
			:: else
			fi
		:: else
		fi
	:: else
	fi
}

/* Leader i commits the entries up to the position, if the commit rule allows. */
inline tryCommit(i) {
	leadTerm = term[i];
	membersOf(i);
	majorityOf();
	count = 0;
	slot = 0;
	do
	:: slot < N ->
		if
		:: BIT(members, slot) && (slot == i || ACK(leadTerm, slot) >= position) -> count++
		:: else
		fi;
		slot++
	:: else -> break
	od;
	if
	:: position > commit[leadTerm] && position <= length[i] && count >= needed && (ANY_TERM || TERM_OF(LOG(i, position - 1)) == leadTerm) ->
		slot = 0;
		do
		:: slot < position ->
			assert(committed[slot] == 0 || committed[slot] == LOG(i, slot));
			committed[slot] = LOG(i, slot);
			if
			:: committedIn[slot] == 0 || committedIn[slot] > leadTerm -> committedIn[slot] = leadTerm
			:: else
			fi;
			slot++
		:: else -> break
		od;
		commit[leadTerm] = position;
		if
		:: last <= position && !BIT(members, i) -> role[i] = FOLLOWER
		:: else
		fi
	:: else
	fi
}

/* Leader i adds or removes replica other. */
inline changeMembers(i) {
	leadTerm = term[i];
	membersOf(i);
	if
	:: (members ^ (1 << other)) != 0 && (ANY_PENDING || last <= commit[leadTerm]) && (ANY_TIME || commit[leadTerm] > 0) ->
		appendOwn(i, ENTRY(leadTerm, members ^ (1 << other)))
	:: else
	fi
}

/* Sets v to any value from low to high. */
inline pick(v, low, high) {
	v = low;
	do
	:: v < high -> v++
	:: break
	od
}

/* Replica i restarts with its durable state only. */
inline crash(i) {
	role[i] = FOLLOWER;
	votes[i] = 0;
	FORGET_VOTE(i)
}

#ifdef GONE
/* Replica i is gone for good, if at most a minority of the latest committed membership
 * is then gone. What is committed must remain in the log of a replica that runs. */
inline vanish(i) {
	members = FIRST_MEMBERS;
	slot = 0;
	do
	:: slot < M ->
		if
		:: MEMBERS_OF(committed[slot]) != 0 -> members = MEMBERS_OF(committed[slot])
		:: else
		fi;
		slot++
	:: else -> break
	od;
	majorityOf();
	count = 0;
	slot = 0;
	do
	:: slot < N -> count = count + (BIT(members, slot) && RUNS(slot) && slot != i); slot++
	:: else -> break
	od;
	if
	:: BIT(members, i) && (ANY_LOSS || count >= needed) ->
		gone = gone | (1 << i);
		role[i] = FOLLOWER;
		votes[i] = 0;
		position = 0;
		do
		:: position < M && committed[position] != 0 ->
			ok = 0;
			other = 0;
			do
			:: other < N ->
				ok = ok || (RUNS(other) && position < length[other] && LOG(other, position) == committed[position]);
				other++
			:: else -> break
			od;
			assert(ok);
			position++
		:: else -> break
		od
	:: else
	fi
}

/* A replica with an empty disk starts with the ID of the one that is gone. */
inline reuseID(i) {
	gone = gone ^ (1 << i);
	term[i] = 0;
	vote[i] = 0;
	slot = 0;
	do
	:: slot < M -> LOG(i, slot) = 0; slot++
	:: else -> break
	od;
	length[i] = 0
}
#endif

/* Resets the scratch variables, so that their values do not multiply the states. */
inline forget() {
	slot = 0; leadTerm = 0; position = 0; other = 0; members = 0; last = 0; count = 0; needed = 0; ok = 0
}

proctype replica(byte i) {
end:
	do
	:: atomic { RUNS(i) && role[i] != LEADER && term[i] < T && length[i] < M -> campaign(i); forget() }
	:: atomic { RUNS(i) && role[i] == CANDIDATE -> tryLead(i); forget() }
	:: atomic { RUNS(i) -> pick(other, 0, N - 1); answerVote(i); forget() }
	:: atomic { RUNS(i) -> pick(leadTerm, 1, T); pick(position, 0, M - 1); takeEntry(i); forget() }
	:: atomic { RUNS(i) && role[i] == LEADER -> pick(position, 1, M); tryCommit(i); forget() }
#ifdef MEMBERS
	:: atomic { RUNS(i) && role[i] == LEADER && length[i] < M -> pick(other, 0, N - 1); changeMembers(i); forget() }
#endif
	:: atomic { RUNS(i) && role[i] == LEADER && length[i] < MAX_PLAIN -> appendOwn(i, ENTRY(term[i], 0)); forget() }
#ifdef GONE
	:: atomic { RUNS(i) -> vanish(i); forget() }
#endif
#ifdef GONE_RETURNS
	:: atomic { !RUNS(i) -> reuseID(i); forget() }
#endif
#ifndef NO_CRASH
	:: atomic { RUNS(i) && (role[i] != FOLLOWER || vote[i] != 0) -> crash(i); forget() }
#endif
	od
}

/* With MEMBERS, the run starts after a majority has elected replica 0. */
inline startWithLeader() {
	leaderOf[1] = 1;
	role[0] = LEADER;
	slot = 0;
	do
	:: slot < FIRST_MAJORITY -> term[slot] = 1; vote[slot] = 1; slot++
	:: else -> break
	od
}

init {
	atomic {
		byte i = 0;
#ifdef MEMBERS
		startWithLeader();
		forget();
#endif
		do
		:: i < N -> run replica(i); i++
		:: else -> break
		od
	}
}
