/*
 * Versions and freshness of the shared objects (tables, keys, shard map), the role of this node
 * in their distribution, and the rule for whether the node may act on them.
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

/* A platform read confirms the versions that it returns for this time after it was sent. */
#define SNIPE_CONFIRM_TTL_US 3000000
/* A longer gap between two ticks counts as a stall. A version that another node of the failure
 * domain holds for SNIPE_CONFIRM_TTL_US is received in the second that remains. */
#define SNIPE_STALL_US 2000000
#define SNIPE_READERS_PER_DOMAIN 2
/* Reaches 240 nodes of a failure domain in 3 levels below the readers: 2 + 12 + 72 + 432. */
#define SNIPE_TREE_FANOUT 6

/*
 * The versions that a node holds, and the age of the platform read that confirmed them.
 *
 * A digest may be delayed in the network or, while its receiver is stalled, in a socket buffer.
 * The receiver therefore computes the time of sending not from the arrival but from its own
 * SUBSCRIBE: echo is copied from that SUBSCRIBE, and reply_delay_us is the time from its
 * arrival to the sending of the digest.
 */
struct snipe_digest {
	uint64_t versions[SNIPE_OBJECT_COUNT];
	int64_t age_us; /* since the sending of that read; INT64_MAX: never confirmed */
	uint64_t echo;	/* in SUBSCRIBE: to be sent back; 0 in a digest: answers none */
	int64_t reply_delay_us;
	int is_caught_up; /* the sender missed no version that its failure domain held */
};

enum snipe_control_mode {
	SNIPE_CONTROL_CONFIRMED,
	SNIPE_CONTROL_OUTAGE,	   /* no node reaches the platform; held versions are newest */
	SNIPE_CONTROL_UNCONFIRMED, /* newer versions may exist */
};

struct snipe_control_peer;

/* Fields are private. */
struct snipe_control_state {
	uint64_t versions[SNIPE_OBJECT_COUNT];
	uint64_t known_versions[SNIPE_OBJECT_COUNT]; /* newest known to exist, loaded or not */
	int64_t confirmed_at_us[SNIPE_OBJECT_COUNT]; /* sending of the read; INT64_MIN: never */
	GHashTable *peers;			     /* node id -> struct snipe_control_peer */
	GHashTable *domains;	     /* failure domain -> time when it last had a live member */
	int64_t domain_peer_seen_us; /* as in domains, for other nodes of the own one */
	uint64_t echo_key;	     /* invalidates echoes of other processes */
	char failure_domain[SNIPE_NAME_SIZE];
	char node_id[SNIPE_NAME_SIZE];
	int64_t started_us;
	int64_t ticked_us;
	int64_t running_since_us;  /* since the start, or the end of the last stall */
	int64_t peer_caught_up_us; /* newest digest of a caught-up domain peer was sent then */
};

/* echo_key is a random number that differs between processes. */
void snipe_control_state_init(struct snipe_control_state *c, const char *node_id,
			      const char *failure_domain, uint64_t echo_key, int64_t now_us);
void snipe_control_state_finish(struct snipe_control_state *c);

/* Records that a platform read sent at sent_us returned this version, which the caller has
 * already loaded if it is newer. Returns 1 if it is newer than the version held. Older versions
 * are ignored. */
int snipe_control_state_record_read(struct snipe_control_state *c, enum snipe_object_id id,
				    uint64_t version, int64_t sent_us);

/* Records an object that was received from a peer and loaded. Returns 1 if it is newer than the
 * version held, 0 if it must be dropped. */
int snipe_control_state_accept_object(struct snipe_control_state *c, enum snipe_object_id id,
				      uint64_t version);

/*
 * Records that a version exists which can't be loaded here. Digests include it, and no node
 * that knows of it is in outage mode: the platform accepts writes, and the version may revoke a
 * key.
 */
void snipe_control_state_record_known(struct snipe_control_state *c, enum snipe_object_id id,
				      uint64_t version);

/* Detects stalls of this node from the gaps between calls. Call at least once in
 * SNIPE_STALL_US. */
void snipe_control_state_tick(struct snipe_control_state *c, int64_t now_us);

/* Returns the echo for a SUBSCRIBE sent at now_us. */
uint64_t snipe_control_state_echo(const struct snipe_control_state *c, int64_t now_us);

/*
 * Processes a digest received from a peer. Returns a bit mask (1 << id) of the objects to fetch
 * from it. A digest without a valid echo confirms nothing here, but still shows newer versions
 * and whether the peer is confirmed.
 */
unsigned snipe_control_state_receive_digest(struct snipe_control_state *c, int64_t now_us,
					    const char *from_id, const char *from_domain,
					    const struct snipe_digest *digest);

/* Writes this node's digest, for its subscribers; echo and reply_delay_us are 0. */
void snipe_control_state_make_digest(const struct snipe_control_state *c, int64_t now_us,
				     struct snipe_digest *digest);

/* Updates the known failure domains from the member list; each is removed 10 minutes after it
 * last had a live node. Call after changes of the member list and every few seconds. */
void snipe_control_state_update_members(struct snipe_control_state *c, int64_t now_us,
					const struct snipe_membership *members);

enum snipe_control_mode snipe_control_state_mode(const struct snipe_control_state *c,
						 int64_t now_us);

/* Returns the time until which the node may act without another check; at or before now_us if
 * it may not act. */
int64_t snipe_control_state_valid_until(const struct snipe_control_state *c, int64_t now_us);

/* Position of this node in the distribution tree of its failure domain. */
struct snipe_tree_role {
	int rank; /* among live nodes of the failure domain, by xxhash64(node id) */
	int is_reader;
	char parent_id[SNIPE_NAME_SIZE];	/* empty for readers */
	char second_parent_id[SNIPE_NAME_SIZE]; /* random live node; empty if alone */
};
void snipe_control_state_tree_role(const struct snipe_control_state *c,
				   const struct snipe_membership *members, GRand *rng,
				   struct snipe_tree_role *role);

#ifdef __cplusplus
}
#endif

#endif
