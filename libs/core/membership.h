/*
 * Fleet membership by the SWIM protocol: probes, indirect probes, suspicion, refutation, and
 * updates piggybacked on the datagrams.
 *
 * The caller sends the datagrams returned in struct snipe_membership_actions, and passes each
 * datagram that it receives to snipe_membership_receive.
 */
#ifndef SNIPE_MEMBERSHIP_H
#define SNIPE_MEMBERSHIP_H

#include <glib.h>
#include <stdint.h>

#include "base/address.h"
#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_member_state {
	SNIPE_MEMBER_STARTING, /* the node is alive, its backend server is not ready */
	SNIPE_MEMBER_READY,
	SNIPE_MEMBER_DRAINING,
	SNIPE_MEMBER_LEFT,
	SNIPE_MEMBER_SUSPECT, /* set by a member that missed an ack; refuted by the member
				 itself */
	SNIPE_MEMBER_DEAD,
};

struct snipe_member {
	char node_id[SNIPE_NAME_SIZE];
	uint64_t process;     /* wall time of the process start in ms */
	uint64_t incarnation; /* within the process; raised on refutation and state change */
	struct snipe_address address; /* peer listener, TCP and UDP */
	char region[SNIPE_NAME_SIZE];
	char failure_domain[SNIPE_NAME_SIZE];
	char pool[SNIPE_NAME_SIZE]; /* empty before the backend server's first announcement */
	enum snipe_member_state state;
	int64_t last_received_us; /* local: arrival of its last datagram; 0: none */
	int64_t state_since_us;	  /* local */
};

/* Whether the member takes part in the fleet: neither left nor dead. */
int snipe_member_is_live(const struct snipe_member *m);

#define SNIPE_UPDATES_PER_DATAGRAM 6

enum snipe_probe_type {
	SNIPE_PROBE, /* answered with SNIPE_PROBE_ACK */
	SNIPE_PROBE_ACK,
	SNIPE_PROBE_INDIRECT, /* asks the receiver to probe target and forward the ack */
	SNIPE_PROBE_UPDATE,   /* carries updates only */
};

/* A datagram of the protocol, of any type. */
struct snipe_probe {
	enum snipe_probe_type type;
	uint64_t sequence;
	struct snipe_address to; /* receiver when sending, sender when receiving */
	char from_id[SNIPE_NAME_SIZE];
	uint64_t from_process;
	struct snipe_address target; /* SNIPE_PROBE_INDIRECT */
	struct snipe_member updates[SNIPE_UPDATES_PER_DATAGRAM];
	int update_count;
};

#define SNIPE_MEMBERSHIP_SENDS 16

/* Datagrams to send, and whether the member list changed. */
struct snipe_membership_actions {
	struct snipe_probe sends[SNIPE_MEMBERSHIP_SENDS];
	int send_count;
	int changed;
};

struct snipe_membership_entry;

/* Fields are private. */
struct snipe_membership {
	GPtrArray *entries; /* of struct snipe_membership_entry, sorted by node id */
	struct snipe_member self;
	GRand *rng; /* not owned */
	uint64_t next_sequence;
	int64_t next_probe_us;
	int64_t next_dead_probe_us;
	int64_t last_tick_us;
	GPtrArray *probe_order; /* pointers into entries, in the order of the current round */
	unsigned probe_index;
	GArray *pending_probes; /* of struct pending_probe: sent, not acked yet */
	int unsent_count;	/* records that changed and were not sent since */
};

void snipe_membership_init(struct snipe_membership *m, const struct snipe_member *self,
			   GRand *rng, int64_t now_us);
void snipe_membership_finish(struct snipe_membership *m);

/* Handles expired timers; call at least every 100 ms. */
void snipe_membership_tick(struct snipe_membership *m, int64_t now_us,
			   struct snipe_membership_actions *actions);

/* Queues the last count updates of probe again, because they did not fit into its datagram. */
void snipe_membership_requeue(struct snipe_membership *m, const struct snipe_probe *probe,
			      int count);

void snipe_membership_receive(struct snipe_membership *m, int64_t now_us,
			      const struct snipe_probe *probe,
			      struct snipe_membership_actions *actions);

/* Merges a record of a seed node's member list (message MEMBERS). Sets *changed to 1 if the
 * local list changed, and otherwise does not write it. */
void snipe_membership_merge(struct snipe_membership *m, int64_t now_us,
			    const struct snipe_member *update, int *changed);

/* Sets the state of this node, and its pool unless pool is NULL. A change is sent to random
 * members at once. */
void snipe_membership_set_self(struct snipe_membership *m, int64_t now_us,
			       enum snipe_member_state state, const char *pool,
			       struct snipe_membership_actions *actions);

/* Returns the number of records, including this node's and those of dead and left members. */
int snipe_membership_count(const struct snipe_membership *m);
/* Returns the number of records still queued for sending to other members. */
int snipe_membership_queued_updates(const struct snipe_membership *m);
const struct snipe_member *snipe_membership_at(const struct snipe_membership *m, int index);
const struct snipe_member *snipe_membership_find(const struct snipe_membership *m,
						 const char *node_id);

#ifdef __cplusplus
}
#endif

#endif
