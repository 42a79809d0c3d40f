/*
 * Ownership of one shard and the grants of its owner.
 *
 * Guards against two owners whose tokens are used in the same span of time: a paused owner, a
 * lost response to the conditional write, a platform outage, and reads, digests and grants that are
 * late or lost.
 *
 * Nodes: 0 is the owner at first, 1 takes over. The functions that carry the transitions are named
 * in docs/proofs.md. A process that is not scheduled while the clock advances is paused, so pauses
 * of any length at any step are covered. Limit 3 s, life 1 s and wait 5 s are scaled to 2, 1 and 4
 * ticks, which keep their order and wait = limit + life + 1.
 *
 * Reductions:
 * - Ages take the place of points in time. Rules only compare the clock with the time of an event,
 *   so an age stops to advance at the first value beyond the limit that applies to it. This makes
 *   time and the numbers of reads, digests and asks unbounded.
 * - A message that is not under way has its final age, and the locals of its process are 0, because
 *   neither is used.
 * - A read and an ask are sent and served in one step. One that was sent earlier is older when its
 *   response comes, which confirms for less time or makes the grant expire sooner. A digest is
 *   made at any time after its request, because node 1 may change in between.
 * - A message is lost at any time after it was sent. An ask needs no loss, as a grant that is late
 *   has no effect.
 * - At most one read of each node, one digest and one ask are under way. Asks leave no state. Node
 *   0 may act because of one read, or because of one digest, which depends on one read of node 1 at
 *   most; the others may be lost. A read with which node 1 learns of its ownership has the effect
 *   of the response to its write, which may come at any time.
 * - A node that holds version 2 sends no more reads, and node 0 asks for no more digests from it.
 *   As node 0 it never acts again. As node 1 its digests only forbid node 0 to act.
 * - Node 1 acts as soon as its wait is over, confirmed or not, which permits more.
 *
 * Not covered: different clock rates (all nodes have one clock; the wait has one tick for them),
 * a release, after which the new owner does not wait, and more than two nodes.
 *
 * The processes but takeover and init are endless loops; only their "-end-" states are unreached.
 *
 * Broken variants, each of which must be refuted:
 *   BROKEN_TAKEOVER_WAIT   the new owner does not wait for the life of the last grants
 *   BROKEN_EARLY_CHECK     the clock is checked before a pause, and late grants are used
 *   BROKEN_READ_ARRIVAL    freshness counts from the arrival of a read, not from its sending
 *   BROKEN_HEARD_ARRIVAL   a digest counts as fresh from its arrival, not from its request
 */
#define CONFIRM_LIMIT 2
#define GRANT_LIFE 1
#ifdef BROKEN_TAKEOVER_WAIT
#define TAKEOVER_WAIT 3 /* limit + 1 for clock rates */
#else
#define TAKEOVER_WAIT 4 /* limit + life + 1 for clock rates */
#endif

/* The first values beyond the limit and the life, as spin takes no expression here. */
#define STALE 3 /* final age of reads and digests */
#define LATE 2	/* final age of asks */

byte platform_version = 1; /* 2: node 1 is the owner */

byte version[2] = { 1, 1 };
byte confirmed_age[2] = { STALE, STALE }; /* since the sending of the newest read */
byte seen_age;		/* since node 1 saw that it is the owner */

/* What node 0 heard from node 1, which is in another failure domain. */
byte heard_age = STALE;
byte heard_version = 1;
bool heard_confirmed = true;

/* Since the sending of messages that are under way. */
byte read_age[2] = { STALE, STALE };
byte digest_age = STALE;
byte ask_age = LATE;

#define is_confirmed(n) (confirmed_age[n] <= CONFIRM_LIMIT)
#define in_outage_mode (!is_confirmed(0) && heard_age <= CONFIRM_LIMIT && \
			!heard_confirmed && heard_version <= version[0])
#define owner_may_act (version[0] == 1 && (is_confirmed(0) || in_outage_mode))
#define advance(age, last) age = (age < last -> age + 1 : age)

/* The age of its last read is not used any more. */
inline take_version_2(n)
{
	version[n] = 2;
	confirmed_age[n] = STALE
}

active proctype clock()
{
	do
	:: d_step {
		advance(confirmed_age[0], STALE);
		advance(confirmed_age[1], STALE);
		advance(heard_age, STALE);
		advance(read_age[0], STALE);
		advance(read_age[1], STALE);
		advance(digest_age, STALE);
		advance(ask_age, LATE);
		seen_age = (version[1] == 2 && seen_age < TAKEOVER_WAIT -> seen_age + 1 : seen_age)
	   }
	od
}

/* Platform reads of a node. A read may fail at any time, which covers outages of any length. */
proctype reader(byte n)
{
	byte v;
	do
	:: d_step { version[n] == 1 -> v = platform_version; read_age[n] = 0 };
		if
		:: d_step {
			if
			:: v == 2 -> take_version_2(n)
			:: v == 1 && version[n] == 1 ->
#ifdef BROKEN_READ_ARRIVAL
				confirmed_age[n] = 0
#else
				if
				:: read_age[n] < confirmed_age[n] -> confirmed_age[n] = read_age[n]
				:: else
				fi
#endif
			:: else
			fi;
			v = 0; read_age[n] = STALE
		   }
		:: d_step { v = 0; read_age[n] = STALE }
		fi
	od
}

/* The conditional write; its response may be lost, then node 1 learns of it by a read. */
active proctype takeover()
{
	platform_version = 2;
	if
	:: d_step { take_version_2(1) }
	:: true
	fi
}

/*
 * Node 0 subscribes to node 1 and gets its digest, which may be lost. A digest with the version
 * that node 0 holds confirms it as of the last read of node 1.
 */
active proctype listener()
{
	byte v, age;
	do
	:: atomic { version[0] == 1 && version[1] == 1 -> digest_age = 0 };
		if
		:: d_step { v = version[1]; age = confirmed_age[1] };
			d_step {
#ifdef BROKEN_HEARD_ARRIVAL
				digest_age = 0;
#endif
				heard_age = digest_age;
				heard_version = v;
				heard_confirmed = (age <= CONFIRM_LIMIT);
				if
				:: v == version[0] && digest_age + age < confirmed_age[0] ->
					confirmed_age[0] = digest_age + age
				:: else
				fi;
				v = 0; age = 0; digest_age = STALE
			}
		:: digest_age = STALE
		fi
	od
}

/* A node that asks node 0 for tokens and uses the grant. */
active proctype consumer()
{
	do
	:: d_step { owner_may_act -> ask_age = 0 };
		/* a pause of the owner or a delay of the grant may come here */
		d_step {
#ifdef BROKEN_EARLY_CHECK
			assert(seen_age < TAKEOVER_WAIT);
#else
			if
			:: ask_age <= GRANT_LIFE -> assert(seen_age < TAKEOVER_WAIT)
			:: else
			fi;
#endif
			ask_age = LATE
		}
	od
}

init {
	atomic { run reader(0); run reader(1) }
}
