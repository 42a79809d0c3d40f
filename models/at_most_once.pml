/*
 * At-most-once execution of a non-idempotent request with an identifier.
 *
 * Guards against a second run through resends to any node at any time, two changes of owner (with
 * and without a release), clocks that are off by up to 1 s, lost responses and crashes of the node
 * where the call enters.
 *
 * One tick is one second. The window of 10 min is scaled to 5 ticks, which keeps it above the
 * margin and the skew. The clock of the caller that made the identifier is not restricted.
 *
 * Reductions:
 * - The time of the identifier is fixed and the clock starts before it, because only differences
 *   count. At START no owner accepts the identifier yet, and for an owner that begins at START or
 *   earlier it is later than the margin. At END the identifier is too old by every clock.
 * - The clock of an owner is chosen when it begins to act, because nothing uses it before.
 * - Attempts differ only in their phase, so the numbers of attempts with a grant and of attempts
 *   that run take the place of processes. The number of attempts is unbounded. Those that were
 *   rejected or have ended change nothing and are not counted.
 * - A step of an attempt is atomic with the transition of the record that belongs to it. Messages
 *   may take any time between two steps. A lost grant, release or result leaves the claim as a
 *   crash of the node where the call entered or a lost response does.
 *
 * Not covered: a wall clock that steps, a stored response that is evicted, and an owner that has no
 * room for a record.
 *
 * The process attempts is an endless loop that may stay where it is; only its "-end-" state is
 * unreached.
 *
 * Broken variants, each of which must be refuted:
 *   BROKEN_MARGIN          the new owner accepts identifiers made shortly before its takeover
 *   BROKEN_RELEASE         a claim is released when the outcome is unknown
 *   BROKEN_EXPIRY          a record is dropped while its identifier is still accepted
 *   BROKEN_RESEND          the call is sent again after its bytes left
 */
#define OWNERS 3
#define NOBODY OWNERS
#define ID_TIME 8
#define WINDOW 5
#define SKEW 2
#define START 2 /* ID_TIME - SKEW - 4 */
#define END 15	/* ID_TIME + WINDOW + 2 */
#ifdef BROKEN_MARGIN
#define MARGIN 3 /* 1 s less than needed */
#else
#define MARGIN 4 /* SKEW + 1 of the former owner's clock + 1 of the new owner's clock */
#endif
#ifdef BROKEN_EXPIRY
#define RECORD_LIFE (WINDOW - 1)
#else
#define RECORD_LIFE WINDOW
#endif

mtype = { none, claimed, done };

byte now = START;
byte runs = 0;
byte acting = NOBODY;
byte clock_error[OWNERS];	/* 0, 1, 2 stand for -1, 0, +1 s */
byte since = 0;			/* when the acting owner began to act, by its clock */
mtype record[OWNERS] = none;
byte granted[OWNERS];		/* attempts with a claim that have not run */
byte running[OWNERS];		/* attempts that run */

#define wall(o) (now + clock_error[o] - 1)
#define accepted(o) (ID_TIME <= wall(o) + SKEW && ID_TIME + WINDOW >= wall(o) && \
		     (o == 0 || ID_TIME > since + MARGIN))

active proctype clock()
{
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

/* An owner stops; the next one begins at once (a release) or at any time later. */
active proctype changes_of_owner()
{
	byte o = 0;
	do
	:: o < OWNERS ->
		atomic {
			if
			:: clock_error[o] = 0
			:: clock_error[o] = 1
			:: clock_error[o] = 2
			fi;
			since = wall(o);
			acting = o;
			o++
		}
		acting = NOBODY
	:: o == OWNERS -> break
	od
}

/* The attempts that ask the owner o; they enter at any node. */
proctype attempts(byte o)
{
end:	do
	:: d_step {
		acting == o && record[o] == none && accepted(o) ->
		record[o] = claimed;
		granted[o]++
	   }
	:: granted[o] > 0 -> granted[o]--	/* the node where it entered crashed */
	:: d_step {				/* rejected before it ran: certain */
		granted[o] > 0 ->
		granted[o]--;
		if
		:: record[o] == claimed -> record[o] = none
		:: else
		fi
	   }
	:: d_step {
		granted[o] > 0 ->
		granted[o]--;
		running[o]++;
		runs++;
		assert(runs <= 1)
	   }
	:: d_step {				/* the response came */
		running[o] > 0 ->
		running[o]--;
		if
		:: record[o] == claimed -> record[o] = done
		:: else
		fi
	   }
	:: d_step {				/* the response was lost */
		running[o] > 0 ->
		running[o]--;
#ifdef BROKEN_RELEASE
		record[o] = none;
#endif
#ifdef BROKEN_RESEND
		runs++;
		assert(runs <= 1);
#endif
		skip
	   }
	/* Records whose identifier is too old are dropped. */
	:: d_step {
		record[o] != none && wall(o) > ID_TIME + RECORD_LIFE ->
		record[o] = none
	   }
	od
}

init {
	atomic { run attempts(0); run attempts(1); run attempts(2) }
}
