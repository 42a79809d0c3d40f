/*
 * State of the control task, shared by its files.
 */
#ifndef SNIPE_CONTROL_INTERNAL_H
#define SNIPE_CONTROL_INTERNAL_H

#include <event2/event_struct.h>
#include <glib.h>

#include "core/control_state.h"
#include "core/dedup.h"
#include "core/membership.h"
#include "core/ownership.h"
#include "core/quota.h"
#include "node/control_task.h"
#include "node/snapshot.h"
#include "node/task_messages.h"
#include "wire/datagram.h"

#define SNIPE_CONTROL_TICK_US 50000
/*
 * Times of the distribution tree. With SNIPE_TREE_FANOUT subscribers these keep a node under
 * 2 KB/s. A digest follows when the confirmation advanced by SNIPE_ADVANCE_US, and not on a
 * timer, so that the levels of the tree do not add up; without an advance it follows after
 * SNIPE_PUSH_US.
 */
#define SNIPE_PUSH_US 1500000
#define SNIPE_ADVANCE_US 900000
#define SNIPE_SUBSCRIBE_US 2000000
#define SNIPE_SUBSCRIPTION_US 5000000
/* State of this age means that the parent is silent: renewal gets frequent and answers come at
 * once. In an outage it gathers the evidence for outage mode. */
#define SNIPE_AGED_US 1800000
#define SNIPE_SUBSCRIBE_AGED_US 200000
#define SNIPE_WATCH_WAIT_MS 500
#define SNIPE_STORE_TIMEOUT_MS 2000
#define SNIPE_READ_RETRY_US 500000
/* A joining node learns the members from a seed before it takes a role. */
#define SNIPE_JOIN_US 1000000
#define SNIPE_JOIN_RETRY_US 1000000
/* A new reader does not move shards before gossip has shown it who lives. */
#define SNIPE_ASSIGN_AFTER_US 3000000
/* After an outage shards move only when the former owners must have heard of its end: evidence
 * of an outage lasts 3 s, and the news needs time to reach every node. */
#define SNIPE_SETTLE_US 5000000
#define SNIPE_SEEDS_EVERY_US 30000000
#define SNIPE_RELEASE_LIMIT_US 5000000

/* Reading of one object from the platform. */
struct snipe_object_reader {
	struct snipe_control_task *task;
	enum snipe_object_id id;
	int handle; /* of the call in progress, 0: none */
	int64_t sent_us;
	int64_t next_us;
	int is_fetching; /* from a peer */
};

struct snipe_control_task {
	struct event_base *base;
	const struct snipe_settings *settings;
	struct snipe_peer_task *peers;
	struct snipe_object_store *store;
	struct snipe_counters *counters;
	struct snipe_mailbox *caller_box, *backend_box;
	struct snipe_mailbox box;
	int fd;
	struct event readable, tick;
	GRand *rng;
	struct snipe_buffer datagram;
	int64_t started_us;

	struct snipe_membership members;
	int members_changed;
	int has_joined;
	int64_t next_join_us;
	int seeds_handle;

	struct snipe_control_state state;
	struct snipe_tree_role role;
	GBytes *values[SNIPE_OBJECT_COUNT]; /* as stored on the platform */
	struct snipe_loaded_tables *tables;
	struct snipe_loaded_keys *keys;
	struct snipe_object_reader readers[SNIPE_OBJECT_COUNT];
	GHashTable *subscribers; /* text address -> struct snipe_subscriber */
	int64_t next_subscribe_us, last_subscribe_us;
	int snapshot_changed;
	int64_t posted_valid_us;

	struct snipe_ownership ownership;
	uint64_t owned_epoch[SNIPE_SHARD_COUNT]; /* 0: not owned by this process */
	int assign_handle;
	int64_t confirmed_since_us; /* last time that the state was not confirmed */
	int64_t assign_needed_us;   /* since when shards wait for an owner; 0: none does */
	int64_t next_seeds_us;
	int seeds_put_handle;
	char *assign_value;
	int is_draining;
	int64_t drain_us;

	struct snipe_quota_owner quota;
	GQueue delayed; /* asks that wait for returned tokens */
	struct snipe_dedup dedup;

	int count_sent, count_received, count_grants, count_claims;
	int gauge_mode, gauge_members, gauge_spreading;
};

/* control_datagram.c: the UDP socket */
int snipe_control_socket_open(struct snipe_control_task *t, struct snipe_error_text *err);
void snipe_control_socket_close(struct snipe_control_task *t);
void snipe_control_send(struct snipe_control_task *t, struct snipe_datagram *d,
			const struct snipe_address *to);
void snipe_control_send_probes(struct snipe_control_task *t,
			       struct snipe_membership_actions *actions);
void snipe_control_send_strikes(struct snipe_control_task *t,
				const struct snipe_task_message *m);

/* control_tree.c: subscriptions and digests */
void snipe_control_on_subscribe(struct snipe_control_task *t, const struct snipe_address *from,
				const struct snipe_datagram *d);
void snipe_control_on_digest(struct snipe_control_task *t, const struct snipe_address *from,
			     const struct snipe_datagram *d);
/* A version changed. */
void snipe_control_push(struct snipe_control_task *t);
/* The state may have been confirmed again. */
void snipe_control_advance(struct snipe_control_task *t);
void snipe_control_tree_tick(struct snipe_control_task *t, int64_t now);

/* control_objects.c: loading and reading of the shared objects */
int snipe_control_load(struct snipe_control_task *t, enum snipe_object_id id, uint64_t version,
		       const char *value, size_t len);
void snipe_control_fetch(struct snipe_control_task *t, enum snipe_object_id id,
			 const struct snipe_address *from);
void snipe_control_on_fetch(void *arg, const struct snipe_peer_origin *from,
			    const struct snipe_message *msg, const char *body, size_t body_len);
void snipe_control_objects_tick(struct snipe_control_task *t, int64_t now);
void snipe_control_objects_finish(struct snipe_control_task *t);

/* control_shards.c: the shard map and the list of seeds */
int snipe_control_load_shards(struct snipe_control_task *t, uint64_t version, const char *value,
			      size_t len);
void snipe_control_shards_tick(struct snipe_control_task *t, int64_t now);
int snipe_control_owns_shards(const struct snipe_control_task *t);
int snipe_control_may_act(struct snipe_control_task *t, int shard, int64_t now);
/* Address of the owner of a shard. Returns 0 or SNIPE_ERR_NOT_FOUND. */
int snipe_control_owner(const struct snipe_control_task *t, int shard,
			struct snipe_address *addr);

/* control_members.c: joining and member lists */
void snipe_control_on_members_ask(void *arg, const struct snipe_peer_origin *from,
				  const struct snipe_message *msg, const char *body,
				  size_t body_len);
void snipe_control_join_tick(struct snipe_control_task *t, int64_t now);

/* control_quota.c */
void snipe_control_quota_ask(struct snipe_control_task *t, const struct snipe_task_message *m);
void snipe_control_quota_return(struct snipe_control_task *t,
				const struct snipe_task_message *m);
void snipe_control_on_quota_ask(void *arg, const struct snipe_peer_origin *from,
				const struct snipe_message *msg, const char *body,
				size_t body_len);
void snipe_control_on_quota_return(void *arg, const struct snipe_peer_origin *from,
				   const struct snipe_message *msg, const char *body,
				   size_t body_len);
void snipe_control_quota_tick(struct snipe_control_task *t, int64_t now);

/* control_claims.c */
void snipe_control_claim_ask(struct snipe_control_task *t, const struct snipe_task_message *m);
void snipe_control_claim_end(struct snipe_control_task *t, const struct snipe_task_message *m);
void snipe_control_on_claim(void *arg, const struct snipe_peer_origin *from,
			    const struct snipe_message *msg, const char *body, size_t body_len);
void snipe_control_on_claim_end(void *arg, const struct snipe_peer_origin *from,
				const struct snipe_message *msg, const char *body,
				size_t body_len);

#endif
