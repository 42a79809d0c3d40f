/*
 * At-most-once execution of a non-idempotent request with an identifier.
 *
 * Guards against a second run through resends to any node at any time, a change of owner (with
 * and without a release), clocks that are off by up to 1 s, lost responses and crashes of the node
 * where the call enters.
 *
 * One tick is one second. Times are kept with an offset of OFFSET so that they stay positive.
 *
 * Broken variants, each of which must be refuted:
 *   BROKEN_MARGIN          the new owner accepts identifiers made shortly before its takeover
 *   BROKEN_RELEASE         a claim is released when the outcome is unknown
 *   BROKEN_EXPIRY          a record is dropped while its identifier is still accepted
 *   BROKEN_RESEND          the call is sent again after its bytes left
 */
#define OFFSET 8
#define END 14
#define WINDOW 4
#define SKEW 2
#ifdef BROKEN_MARGIN
#define MARGIN 0
#else
#define MARGIN 4
#endif
#ifdef BROKEN_EXPIRY
#define RECORD_LIFE 2
#else
#define RECORD_LIFE WINDOW
#endif

mtype = { none, claimed, done };

byte now = OFFSET;
byte id_time;		/* time in the identifier, by the caller's clock */
byte runs = 0;
bool acting[2] = { true, false };
byte clock_error[2];	/* 0, 1, 2 stand for -1, 0, +1 s */
byte since = 0;		/* when owner 1 began to act, by its clock */
mtype record[2] = { none, none };

#define wall(o) (now + clock_error[o] - 1)

active proctype clock()
{
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

/* Owner 0 stops; owner 1 begins at once (a release) or at any time later. */
active proctype change_of_owner()
{
	acting[0] = false;
	atomic { since = wall(1); acting[1] = true }
}

/* Records whose identifier is too old are dropped. */
active proctype expiry()
{
	byte o;
	do
	:: now < END ->
		atomic {
			if :: o = 0 :: o = 1 fi;
			if
			:: record[o] != none && wall(o) > id_time + RECORD_LIFE -> record[o] = none
			:: else
			fi
		}
	:: now >= END -> break
	od
}

#define accepted(o) (id_time <= wall(o) + SKEW && id_time + WINDOW >= wall(o) && \
		     (o == 0 || id_time > since + MARGIN))

/* One attempt of the caller: enters at any node, asks any owner that may act. */
proctype attempt()
{
	byte o;
	bool granted = false;

	if :: o = 0 :: o = 1 fi;
	atomic {
		if
		:: acting[o] && record[o] == none && accepted(o) ->
			record[o] = claimed; granted = true
		:: else
		fi
	}
	if
	:: !granted -> goto finished
	:: granted && true -> goto finished	/* the node where it entered crashed */
	:: granted
	fi;
	if
	:: true ->				/* refused before it ran: certain */
		atomic {
			if
			:: record[o] == claimed -> record[o] = none
			:: else
			fi
		}
		goto finished
	:: true -> runs++; assert(runs <= 1)
	fi;
	if
	:: true -> record[o] = done
	:: true ->				/* the response was lost */
#ifdef BROKEN_RELEASE
		record[o] = none
#endif
#ifdef BROKEN_RESEND
		runs++; assert(runs <= 1)
#endif
		skip
	fi;
finished:
	skip
}

init {
	atomic {
		if :: clock_error[0] = 0 :: clock_error[0] = 1 :: clock_error[0] = 2 fi;
		if :: clock_error[1] = 0 :: clock_error[1] = 1 :: clock_error[1] = 2 fi;
		if
		:: id_time = OFFSET - 1
		:: id_time = OFFSET
		:: id_time = OFFSET + 1
		fi;
		run attempt();
		run attempt();
		run attempt()
	}
}
