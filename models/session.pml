/*
 * A session between two nodes over connections that are cut, silent or slow at any step.
 *
 * Guards against messages that are taken in twice or never, and against a message that is
 * reported as certainly not received although it was, or still may be, taken in.
 *
 * The sender has MESSAGES messages. Its first connection carries them at once, from number 1. A
 * later one carries a greeting first; the receiver states the number that it has taken in, and
 * the sender goes on from there. Greetings and messages stay in a connection until the receiver
 * reads them, also after the sender has given it up; a silent connection gives nothing any more.
 *
 * Reductions:
 * - A connection carries messages in order, so two numbers describe what is in it.
 * - The replies of the receiver on a connection are read at once or never: a slow one is the same
 *   as a greeting that is answered late. Messages in the other direction behave alike.
 * - There are at most CONNECTIONS connections and one restart of the receiver. Connections may be
 *   tried at any time, also while the present one works.
 *
 * Broken variants, each of which must be refuted:
 *   BROKEN_NUMBER   the sender ignores the number in the answer to its greeting
 *   BROKEN_UNKNOWN  a restarted receiver continues a session that it does not know
 *   BROKEN_LEFT     a message whose bytes have left is reported as not received
 */
#define MESSAGES 2
#define CONNECTIONS 3
#define NONE CONNECTIONS

typedef Connection {
	bool is_open;	 /* at the sender */
	bool is_silent;
	bool greets;	 /* its greeting was not read yet */
	bool is_first;	 /* messages follow the greeting at once */
	byte read;	 /* number of the last message that the receiver took from it */
	byte written;	 /* number of the last message that the sender wrote to it */
	byte next;	 /* number that the receiver gives to the next message */
};

Connection conn[CONNECTIONS];
byte used = 0;		/* connections that were opened */
byte present = NONE;	/* the sender's */
byte trying = NONE;	/* the sender's second one */
byte acked = 0;
byte left = 0;		/* number of the last message whose bytes have left */
bool is_over = false;	/* the sender has ended the session */

byte receiving = NONE;	/* the receiver's connection of the session */
bool is_known = false;	/* the receiver knows the session */
byte received = 0;
bool has_restarted = false;
byte taken[MESSAGES + 1]; /* how often, by number, over all processes of the receiver */

inline open_connection(is_first_one) {
	conn[used].is_open = true;
	conn[used].greets = true;
	conn[used].is_first = is_first_one;
	conn[used].next = 1;
	used++
}

/* The sender goes on with a connection on which the receiver stated its number. */
inline switch_to(c) {
#ifdef BROKEN_NUMBER
	conn[c].written = acked;
#else
	acked = received;
	conn[c].written = received;
#endif
	conn[c].read = conn[c].written;
	if
	:: present != NONE -> conn[present].is_open = false
	:: else
	fi;
	present = c;
	trying = NONE
}

active proctype sender()
{
	atomic {
		open_connection(true);
		present = 0
	}
end:
	do
	:: atomic {
		!is_over && present != NONE && conn[present].is_open &&
		conn[present].written < MESSAGES ->
		conn[present].written++;
		if
		:: conn[present].written > left -> left = conn[present].written
		:: else
		fi
	}
	:: atomic {
		!is_over && trying == NONE && used < CONNECTIONS ->
		trying = used;
		open_connection(false)
	}
	/* It gives the second connection up. */
	:: atomic {
		!is_over && trying != NONE && used < CONNECTIONS ->
		conn[trying].is_open = false;
		trying = NONE
	}
	od
}

active proctype receiver()
{
	byte c;

end:
	do
	/* Reads a greeting. */
	:: atomic {
		c = 0;
		do
		:: c < CONNECTIONS - 1 -> c++
		:: break
		od;
		c < used && conn[c].greets && !conn[c].is_silent ->
		conn[c].greets = false;
		if
		:: conn[c].is_first ->
			is_known = true;
			receiving = c
#ifdef BROKEN_UNKNOWN
		:: !conn[c].is_first ->
#else
		:: !conn[c].is_first && is_known ->
#endif
			receiving = c;
			conn[c].next = received + 1;
			if
			:: c == trying -> switch_to(c)
			:: else
			fi
		:: !conn[c].is_first && !is_known ->
			conn[c].is_silent = true;
			if
			:: c == trying ->
				is_over = true;
				trying = NONE
			:: else
			fi
		fi
	}
	/* Reads a message. */
	:: atomic {
		receiving != NONE && !conn[receiving].is_silent &&
		conn[receiving].read < conn[receiving].written ->
		conn[receiving].read++;
		if
		:: conn[receiving].next > received ->
			assert(conn[receiving].next == received + 1);
			received++;
			taken[conn[receiving].read]++;
			assert(taken[conn[receiving].read] == 1);
			assert(conn[receiving].read <= left)
		:: else
		fi;
		conn[receiving].next++
	}
	od
}

active proctype faults()
{
	byte c;

end:
	do
	:: atomic {
		used > 0 ->
		c = 0;
		do
		:: c < used - 1 -> c++
		:: break
		od;
		conn[c].is_silent = true;
		if
		:: c == present -> present = NONE
		:: c != present
		fi
	}
	:: atomic {
		!has_restarted ->
		has_restarted = true;
		/* The kernel resets all connections of the process. */
		c = 0;
		do
		:: c < used -> conn[c].is_silent = true; c++
		:: else -> break
		od;
		receiving = NONE;
		is_known = false;
		received = 0;
		if
		:: present != NONE -> present = NONE
		:: else
		fi
	}
	od
}

/* The end of the session: each message is reported, and what is reported as not received is
 * never taken in. */
active proctype reports()
{
	byte n = 1;

	is_over;
	do
	:: n <= MESSAGES ->
		if
#ifdef BROKEN_LEFT
		:: n > acked -> assert(taken[n] == 0)
#else
		:: n > left -> assert(taken[n] == 0)
#endif
		:: else
		fi;
		n++
	:: else -> break
	od
}

/* With a connection that works and processes that live, everything arrives. */
active proctype completion()
{
	byte c;

	atomic {
		used == CONNECTIONS && trying == CONNECTIONS - 1 && !is_over && is_known &&
		!conn[CONNECTIONS - 1].is_silent && conn[CONNECTIONS - 1].greets ->
		c = CONNECTIONS - 1;
		conn[c].greets = false;
		receiving = c;
		conn[c].next = received + 1;
		switch_to(c);
		conn[c].written = MESSAGES;
		left = MESSAGES;
		do
		:: conn[c].read < MESSAGES ->
			conn[c].read++;
			if
			:: conn[c].next > received ->
				received++;
				taken[conn[c].read]++
			:: else
			fi;
			conn[c].next++
		:: else -> break
		od;
		for (c : 1 .. MESSAGES) {
			assert(taken[c] == 1)
		}
	}
}
