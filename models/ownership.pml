/*
 * Ownership of one shard and the grants of its owner.
 *
 * Guards against two owners whose tokens are used in the same span of time: a paused owner, a
 * lost response to the conditional write, a platform outage, and a grant that is late.
 *
 * Nodes: 0 is the owner at first, 1 takes over. Times are scaled to the smallest values with the same order: limit 3 s,
 * life 1 s, wait 5 s become 1, 1 and 3 ticks. The functions that carry
 * the transitions are named in docs/proofs.md. A process that is not scheduled while the clock
 * advances is paused, so pauses of any length at any step are covered.
 *
 * Broken variants, each of which must be refuted:
 *   BROKEN_TAKEOVER_WAIT   the new owner does not wait for the life of the last grants
 *   BROKEN_EARLY_CHECK     the clock is checked before a pause, and late grants are used
 *   BROKEN_READ_ARRIVAL    freshness counts from the arrival of a read, not from its sending
 *   BROKEN_HEARD_ARRIVAL   a digest counts as fresh from its arrival, not from its request
 */
#define CONFIRM_LIMIT 1
#define GRANT_LIFE 1
#ifdef BROKEN_TAKEOVER_WAIT
#define TAKEOVER_WAIT 1
#else
#define TAKEOVER_WAIT 3 /* limit + life + 1 for clock rates */
#endif
/*
 * One read of each node and one digest: an ask depends only on the last of each, and an earlier one
 * could only leave older values.
 */
#define READS 1
#define START 2 /* both nodes are unconfirmed at first */
#define END 6

byte now = START;
byte platform_owner = 0;
byte platform_version = 1;

byte version[2] = { 1, 1 };
byte confirmed_at[2];	/* 0: before the start */
byte seen_at = 255;	/* when node 1 saw that it is the owner */

/* What node 0 heard from node 1, which is in another failure domain. */
byte heard_at = 0;
byte heard_version = 1;
bool heard_confirmed = true;

#define is_confirmed(n) (now - confirmed_at[n] <= CONFIRM_LIMIT)
#define in_outage_mode (!is_confirmed(0) && now - heard_at <= CONFIRM_LIMIT && \
			!heard_confirmed && heard_version <= version[0])
#define owner_may_act (version[0] == 1 && (is_confirmed(0) || in_outage_mode))

active proctype clock()
{
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

/* Platform reads of a node. A read may fail at any time, which covers outages of any length. */
proctype reader(byte n)
{
	byte sent, v, reads = 0;
	do
	:: now < END && reads < READS ->
		reads++;
		sent = now;
		if
		:: true -> v = platform_version
		:: true -> v = 0
		fi;
		atomic {
			if
			:: v == 0 || v < version[n]
			:: else ->
				if
				:: n == 1 && v == 2 && version[1] == 1 -> seen_at = now
				:: else
				fi;
				version[n] = v;
#ifdef BROKEN_READ_ARRIVAL
				sent = now;
#endif
				if
				:: sent > confirmed_at[n] -> confirmed_at[n] = sent
				:: else
				fi
			fi;
			sent = 0; v = 0
		}
	:: now >= END || reads == READS -> break
	od
}

/* The conditional write; its response may be lost, then node 1 learns of it by a read. */
active proctype takeover()
{
	atomic {
		platform_owner == 0;
		platform_owner = 1;
		platform_version = 2
	}
	if
	:: atomic { version[1] == 1 -> version[1] = 2; seen_at = now }
	:: true
	fi
}

/* Node 0 subscribes to node 1 and gets its digest. */
active proctype listener()
{
	byte sent, v, rounds = 0;
	bool c;
	do
	:: now < END && rounds < READS ->
		rounds++;
		sent = now;
		atomic { v = version[1]; c = is_confirmed(1) }
		atomic {
#ifdef BROKEN_HEARD_ARRIVAL
			heard_at = now;
#else
			heard_at = sent;
#endif
			heard_version = v;
			heard_confirmed = c;
			sent = 0; v = 0; c = false
		}
	:: now >= END || rounds == READS -> break
	od
}

/* A node that asks node 0 for tokens and uses the grant. */
active proctype consumer()
{
	byte sent;

	sent = now;
	if
	:: owner_may_act ->
		/* a pause of the owner or a delay of the grant may come here */
		atomic {
#ifndef BROKEN_EARLY_CHECK
			if
			:: now - sent > GRANT_LIFE -> goto discarded
			:: else
			fi;
#endif
			assert(seen_at == 255 || now < seen_at + TAKEOVER_WAIT)
		}
	:: !owner_may_act
	fi;
discarded:
	skip
}

init {
	atomic { run reader(0); run reader(1) }
}
