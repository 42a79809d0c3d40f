/*
 * Membership of the fleet by SWIM: probes, indirect probes, suspicion, refutation and updates
 * that ride on the datagrams.
 *
 * The owner sends the datagrams that snipe_membership_tick and snipe_membership_receive ask
 * for, and hands in each datagram that it receives.
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
	SNIPE_MEMBER_STARTING, /* node lives, its backend server is not ready */
	SNIPE_MEMBER_READY,
	SNIPE_MEMBER_DRAINING,
	SNIPE_MEMBER_LEFT,
	SNIPE_MEMBER_SUSPECT, /* a local judgement, refuted by the member itself */
	SNIPE_MEMBER_DEAD,
};

struct snipe_member {
	char node_id[SNIPE_NAME_SIZE];
	uint64_t process;     /* wall time of the process start in ms */
	uint64_t incarnation; /* within the process: raised on refutation and state change */
	struct snipe_address address; /* peer listener, TCP and UDP */
	char region[SNIPE_NAME_SIZE];
	char failure_domain[SNIPE_NAME_SIZE];
	char pool[SNIPE_NAME_SIZE]; /* empty until the backend server announced itself */
	enum snipe_member_state state;
	int64_t heard_us;	/* local: last time that a datagram came from it */
	int64_t state_since_us; /* local */
};

/* A member that serves or may serve calls and takes part in the fleet. */
int snipe_member_is_live(const struct snipe_member *m);

#define SNIPE_UPDATES_PER_DATAGRAM 6

enum snipe_probe_type {
	SNIPE_PROBE, /* answered with SNIPE_PROBE_ACK */
	SNIPE_PROBE_ACK,
	SNIPE_PROBE_INDIRECT, /* asks the receiver to probe target and pass on the ack */
	SNIPE_PROBE_UPDATE,   /* carries updates only */
};

/* One datagram of the protocol. */
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

/* Datagrams to be sent and whether the published member list changed. */
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
	GPtrArray *probe_order; /* of entries that are not owned */
	unsigned probe_index;
	GArray *pending; /* outstanding probes, own and relayed */
	int fresh;	 /* number of updates that were not sent yet */
};

void snipe_membership_init(struct snipe_membership *m, const struct snipe_member *self,
			   GRand *rng, int64_t now_us);
void snipe_membership_finish(struct snipe_membership *m);

/* Advances timers; call every 100 ms or sooner. */
void snipe_membership_tick(struct snipe_membership *m, int64_t now_us,
			   struct snipe_membership_actions *actions);

/* The last count updates of a probe that was to be sent did not fit into its datagram: they are
 * sent again later. */
void snipe_membership_unsent(struct snipe_membership *m, const struct snipe_probe *probe,
			     int count);

void snipe_membership_receive(struct snipe_membership *m, int64_t now_us,
			      const struct snipe_probe *probe,
			      struct snipe_membership_actions *actions);

/* Takes one record of a member list from a seed (message MEMBERS). changed is set to 1 if the
 * published list changed, and otherwise left alone. */
void snipe_membership_merge(struct snipe_membership *m, int64_t now_us,
			    const struct snipe_member *update, int *changed);

/* Changes the own state or pool; spreads at once. pool may be NULL for no change. */
void snipe_membership_set_self(struct snipe_membership *m, int64_t now_us,
			       enum snipe_member_state state, const char *pool,
			       struct snipe_membership_actions *actions);

/* The count includes the own record and dead ones not yet forgotten. */
int snipe_membership_count(const struct snipe_membership *m);
/* Number of records that datagrams still carry to the other members. */
int snipe_membership_spreading(const struct snipe_membership *m);
const struct snipe_member *snipe_membership_at(const struct snipe_membership *m, int index);
const struct snipe_member *snipe_membership_find(const struct snipe_membership *m,
						 const char *node_id);

#ifdef __cplusplus
}
#endif

#endif
