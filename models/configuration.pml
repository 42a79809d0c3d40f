/*
 * Configuration: writes by operators who race, and its distribution to nodes without a disk.
 *
 * Guards against an accepted edit that is lost, against a node that goes back to an older version,
 * and against a restarted node that serves what it cannot have confirmed.
 *
 * Each operator sets one bit of the value, based on the value that it saw. The value of a version is
 * kept to check what nodes hold.
 *
 * Broken variants, each of which must be refuted:
 *   BROKEN_BLIND_WRITE     a write whose response was lost is written again over any version
 *   BROKEN_ACCEPT_OLDER    a node takes any version that a peer offers
 *   BROKEN_UNCONFIRMED     a restarted node serves before a confirmed source answered
 */
#define WRITES 4
#define STEPS 3

byte version = 1;
byte value = 0;
byte accepted = 0;	/* bits whose operator was told that the write took effect */

byte held[2] = { 1, 1 };	/* version held by each node, 0: none */
byte life_max[2] = { 1, 1 };	/* highest version held in this life of the process */
bool confirmed[2];		/* a read sent after the start returned the held version */
byte sent_version[2];		/* ghost: current version when the confirming read was sent */
byte offered = 1;		/* a version that travels between the nodes, of any age */

/* A step of the platform may come at any later time, which covers outages of any length. */
proctype write_edit(byte edit)
{
	byte seen_version, seen_value, tries = 0;
	bool effect;

again:
	atomic { seen_version = version; seen_value = value }
	if
	:: seen_value & edit ->			/* read back: the write took effect */
		accepted = accepted | edit;
		goto finished
	:: else
	fi;
write:
	atomic {
		effect = false;
		if
		:: version < WRITES &&
#ifdef BROKEN_BLIND_WRITE
		   (version == seen_version || tries > 0) ->
#else
		   version == seen_version ->
#endif
			version++; value = seen_value | edit; effect = true
		:: else
		fi
	}
	if
	:: effect -> accepted = accepted | edit	/* the response came */
	:: tries < 1 ->				/* lost response or conflict */
		tries++;
#ifdef BROKEN_BLIND_WRITE
		goto write
#else
		goto again
#endif
	:: tries >= 1
	fi;
finished:
	seen_version = 0; seen_value = 0; effect = false
}

/* One node: reads the platform, takes what peers offer, restarts. */
proctype node(byte n)
{
	byte v, steps = 0;
	do
	:: steps < STEPS ->
		steps++;
		if
		:: true ->		/* a read; its response may be late */
			atomic { v = version; sent_version[n] = version }
			atomic {
				if
				:: v >= held[n] ->
					held[n] = v; life_max[n] = v; confirmed[n] = true
				:: else
				fi
			}
		:: true ->			/* a peer's object of any age */
			atomic {
				v = offered;
#ifdef BROKEN_ACCEPT_OLDER
				held[n] = v;
				if :: v > life_max[n] -> life_max[n] = v :: else fi
#else
				if
				:: v > held[n] -> held[n] = v; life_max[n] = v
				:: else
				fi
#endif
			}
		:: held[n] > 0 -> offered = held[n]
		:: true ->			/* restart without a disk */
			atomic { held[n] = 0; life_max[n] = 0; confirmed[n] = false;
				 sent_version[n] = version }
		fi;
		v = 0;
		assert(held[n] >= life_max[n]);
		/* serves routes that need a key */
		if
#ifdef BROKEN_UNCONFIRMED
		:: held[n] > 0 -> assert(held[n] >= sent_version[n])
#else
		:: held[n] > 0 && confirmed[n] -> assert(held[n] >= sent_version[n])
#endif
		:: else
		fi
	:: steps >= STEPS -> break
	od
}

/* An accepted edit stays in the value for good. */
active proctype monitor()
{
end:	atomic { (accepted & ~value) != 0 -> assert(false) }
}

init {
	atomic { run write_edit(1); run write_edit(2); run node(0); run node(1) }
}
