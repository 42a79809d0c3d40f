/*
 * Configuration: writes by operators who race, and its distribution to nodes without a disk.
 *
 * Guards against an accepted edit that is lost, against a node that goes back to an older version,
 * and against a restarted node that serves what it cannot have confirmed.
 *
 * Each operator sets one bit of the value, based on the value that it saw; the bit stands for the
 * write_id in the value or its history. Any step may come at any later time, which covers outages
 * of any length.
 *
 * Reductions:
 * - The writes and the distribution are checked apart, by a choice at the start. A write depends on
 *   no node, and a node only compares versions, so for the nodes a write is a version that
 *   increases at any time.
 * - There is one node. Another node affects it only through what it offers, and here any version
 *   that was ever current may be offered at any time, which permits more.
 * - The number of reads, offers and restarts of the node and of tries of an operator is unbounded.
 * - VERSIONS does not bound the writes, as each of the three operators changes the value once; it
 *   only bounds BROKEN_BLIND_WRITE. A node depends only on the order of the versions in its five
 *   variables; 8 versions allow every order of five, and offers between them.
 * - A read is sent and served in one step. The node is held to the version that was current when
 *   the read was served, which is not older than when it was sent.
 * - The locals of an operator are reset to 0 when they are not used any more, and the read of the
 *   node while none is under way.
 *
 * Not covered: the age of what a node confirmed (see ownership.pml) and the outage mode.
 *
 * The process node is an endless loop that may stay where it is; only its "-end-" state is
 * unreached.
 *
 * Broken variants, each of which must be refuted:
 *   BROKEN_BLIND_WRITE     a write whose response was lost is written again over any version
 *   BROKEN_ACCEPT_OLDER    a node takes any version that a peer offers
 *   BROKEN_UNCONFIRMED     a restarted node serves before a confirmed source answered
 */
#define VERSIONS 8

byte version = 1;
byte value = 0;
byte accepted = 0;	/* bits whose operator was told that the write took effect */

byte held = 1;		/* version held by the node, 0: none */
byte life_max = 1;	/* highest version held in this life of the process */
bool confirmed;		/* a read sent after the start returned the held version */
byte required = 1;	/* current version at the start, or at the read that confirmed */

/* An accepted edit stays in the value for good. */
inline check_accepted()
{
	assert((accepted & ~value) == 0)
}

proctype write_edit(byte edit)
{
	byte seen_version, seen_value;
	bool effect;

again:
	atomic { seen_version = version; seen_value = value }
	if
	:: seen_value & edit ->		/* read back: the write took effect */
		d_step { accepted = accepted | edit; check_accepted() }
		goto finished
	:: else
	fi;
write:
	atomic {
		effect = false;
		if
		:: version == seen_version && version < VERSIONS ->
			version++; value = seen_value | edit; effect = true
		:: else
		fi;
		check_accepted()
	}
	if
	:: effect ->			/* the response came */
		d_step { accepted = accepted | edit; check_accepted() }
	:: true ->			/* lost response or conflict */
#ifdef BROKEN_BLIND_WRITE
		seen_version = version;
		goto write
#else
		goto again
#endif
	:: true				/* the operator gives up */
	fi;
finished:
	atomic { seen_version = 0; seen_value = 0; effect = false }
}

proctype writes_of_others()
{
	do
	:: version < VERSIONS -> version++
	:: version == VERSIONS -> break
	od
}

/* A peer offers a version of any age. */
inline take_offer(v)
{
	d_step {
		v <= version ->
#ifdef BROKEN_ACCEPT_OLDER
		held = v;
		life_max = (v > life_max -> v : life_max)
#else
		if
		:: v > held -> held = v; life_max = v
		:: else
		fi
#endif
	}
}

#ifdef BROKEN_UNCONFIRMED
#define may_serve (held > 0)
#else
#define may_serve (held > 0 && confirmed) /* routes that need a key */
#endif

/* The node reads the platform, takes what peers offer, restarts without a disk and serves. */
proctype node()
{
	byte read_version;

end:	do
	:: read_version == 0 -> read_version = version
	:: d_step {			/* the response to the read comes */
		read_version > 0 ->
		if
		:: read_version >= held ->
			held = read_version;
			life_max = read_version;
			confirmed = true;
			required = read_version
		:: else
		fi;
		read_version = 0
	   }
	:: read_version = 0		/* the response is lost */
	:: take_offer(1)
	:: take_offer(2)
	:: take_offer(3)
	:: take_offer(4)
	:: take_offer(5)
	:: take_offer(6)
	:: take_offer(7)
	:: take_offer(8)
	:: d_step {			/* restart */
		held = 0;
		life_max = 0;
		confirmed = false;
		required = version;
		read_version = 0
	   }
	:: assert(held >= life_max)
	:: may_serve -> assert(held >= required)
	od
}

init {
	atomic {
		if
		:: run write_edit(1); run write_edit(2); run write_edit(4)
		:: run writes_of_others(); run node()
		fi
	}
}
