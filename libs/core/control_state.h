/*
 * Versions and freshness of the shared objects (tables, keys, shards), the role of this node in
 * their distribution, and the rule that decides whether the node may act on them.
 */
#ifndef SNIPE_CONTROL_STATE_H
#define SNIPE_CONTROL_STATE_H

#include <stdint.h>

#include "core/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_object_id {
	SNIPE_OBJECT_TABLES,
	SNIPE_OBJECT_KEYS,
	SNIPE_OBJECT_SHARDS,
	SNIPE_OBJECT_COUNT,
};

#define SNIPE_CONFIRM_LIMIT_US 3000000
/* A longer time between two ticks counts as a pause. What a node of the same failure domain
 * holds for SNIPE_CONFIRM_LIMIT_US is heard in the second that remains. */
#define SNIPE_PAUSE_US 2000000
#define SNIPE_READERS_PER_DOMAIN 2
/* Fewest that still reach 240 nodes of a failure domain in 3 levels: 2 + 12 + 72 + 432. */
#define SNIPE_TREE_FANOUT 6

/*
 * Versions held by a node, and how long ago a platform read that returned them was sent.
 *
 * A digest may wait in a network or, while its receiver is paused, in a socket buffer. Its
 * receiver therefore does not count from its arrival but from its own SUBSCRIBE that the digest
 * refers to: echo is a value of the subscriber, and held_us is the time from the arrival of
 * that SUBSCRIBE to the sending of the digest.
 */
struct snipe_digest {
	uint64_t versions[SNIPE_OBJECT_COUNT];
	int64_t age_us; /* INT64_MAX: never confirmed */
	uint64_t echo;	/* in SUBSCRIBE: to be sent back; 0 in a digest: refers to none */
	int64_t held_us;
	int is_witness; /* the sender knows what the nodes of its failure domain held */
};

enum snipe_control_mode {
	SNIPE_CONTROL_CONFIRMED,
	SNIPE_CONTROL_OUTAGE, /* nobody reaches the platform; the state held is the newest */
	SNIPE_CONTROL_UNCONFIRMED, /* something may have changed out of sight */
};

struct snipe_control_peer;

/* Fields are private. */
struct snipe_control_state {
	uint64_t versions[SNIPE_OBJECT_COUNT];
	uint64_t known[SNIPE_OBJECT_COUNT];	     /* newest version that is known to exist */
	int64_t confirmed_at_us[SNIPE_OBJECT_COUNT]; /* INT64_MIN: never */
	GHashTable *peers;   /* node id -> last digest, when and from which failure domain */
	GHashTable *domains; /* failure domain -> when a live member was last seen */
	int64_t neighbour_seen_us; /* as in domains, of other nodes in the own one */
	uint64_t echo_key;	   /* makes echoes of other processes useless */
	char failure_domain[SNIPE_NAME_SIZE];
	char node_id[SNIPE_NAME_SIZE];
	int64_t started_us;
	int64_t ticked_us;
	int64_t awake_us;   /* start of the present time without a pause */
	int64_t witness_us; /* when a witness of the own failure domain was last heard */
};

/* echo_key is a random number that no other process uses. */
void snipe_control_state_init(struct snipe_control_state *c, const char *node_id,
			      const char *failure_domain, uint64_t echo_key, int64_t now_us);
void snipe_control_state_finish(struct snipe_control_state *c);

/* A platform read sent at sent_us returned this version. Returns 1 if it is newer than what is
 * held: the caller has loaded the object before. Older versions are ignored. */
int snipe_control_state_read(struct snipe_control_state *c, enum snipe_object_id id,
			     uint64_t version, int64_t sent_us);

/* An object came from a peer and was loaded. Returns 1 if newer, 0 if it must be dropped. */
int snipe_control_state_object(struct snipe_control_state *c, enum snipe_object_id id,
			       uint64_t version);

/*
 * A version exists that cannot be loaded here. Digests announce it and nobody is in outage mode
 * beside it: the platform takes writes, and a key may be withdrawn in that version.
 */
void snipe_control_state_exists(struct snipe_control_state *c, enum snipe_object_id id,
				uint64_t version);

/* Notes that the node runs. Call at least once in SNIPE_PAUSE_US. */
void snipe_control_state_tick(struct snipe_control_state *c, int64_t now_us);

/* Returns the echo for a SUBSCRIBE that is sent now. */
uint64_t snipe_control_state_echo(const struct snipe_control_state *c, int64_t now_us);

/*
 * A digest came from a peer. Returns a bit mask (1 << id) of the objects to be fetched from it.
 * Without a valid echo it confirms nothing, but still shows newer versions and that a peer is
 * confirmed.
 */
unsigned snipe_control_state_digest(struct snipe_control_state *c, int64_t now_us,
				    const char *from_id, const char *from_domain,
				    const struct snipe_digest *digest);

/* The own digest, for children in the tree; echo and held_us are 0. */
void snipe_control_state_own_digest(const struct snipe_control_state *c, int64_t now_us,
				    struct snipe_digest *digest);

/* Keeps the known failure domains, each forgotten 10 minutes after its last live node was seen.
 * Call after changes of the member list and every few seconds. */
void snipe_control_state_members(struct snipe_control_state *c, int64_t now_us,
				 const struct snipe_membership *members);

enum snipe_control_mode snipe_control_state_mode(const struct snipe_control_state *c,
						 int64_t now_us);

/* Returns the time until which the present mode allows acting without another check; at or
 * before now_us if acting is not allowed. */
int64_t snipe_control_state_valid_until(const struct snipe_control_state *c, int64_t now_us);

/* Role of this node in the distribution tree. */
struct snipe_tree_role {
	int rank; /* among live nodes of the failure domain, by xxhash64(node id) */
	int is_reader;
	char parent_id[SNIPE_NAME_SIZE];	/* empty for readers */
	char second_parent_id[SNIPE_NAME_SIZE]; /* random live node; empty if alone */
};
void snipe_control_state_role(const struct snipe_control_state *c,
			      const struct snipe_membership *members, GRand *rng,
			      struct snipe_tree_role *role);

#ifdef __cplusplus
}
#endif

#endif
