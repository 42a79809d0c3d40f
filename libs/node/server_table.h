/*
 * Backend servers of each pool as one node sees them: members of the snapshot, and a balancer
 * for each pool.
 */
#ifndef SNIPE_SERVER_TABLE_H
#define SNIPE_SERVER_TABLE_H

#include <glib.h>
#include <stdint.h>

#include "base/address.h"
#include "base/buffer.h"
#include "core/balancer.h"
#include "node/snapshot.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One backend server, by the balancer's handle. */
struct snipe_server {
	char node_id[SNIPE_NAME_SIZE]; /* empty: handle is free */
	uint64_t process;
	struct snipe_address address; /* peer listener of the node beside it */
	unsigned generation;	      /* raised when the handle is freed */
	int is_usable;
	unsigned mark; /* snapshot in which it was last seen */
};

struct snipe_server_pool {
	char name[SNIPE_NAME_SIZE];
	struct snipe_balancer balancer;
	GArray *servers;   /* of struct snipe_server, by handle */
	GHashTable *by_id; /* node id -> handle + 1 */
};

/* A server chosen for a call; stale after its server was removed. */
struct snipe_server_ref {
	int handle; /* negative: none */
	unsigned generation;
};

/* Fields are private. */
struct snipe_server_table {
	GHashTable *pools;   /* name -> struct snipe_server_pool; kept until the end, since
				calls point to them */
	GHashTable *domains; /* failure domain -> small id */
	char failure_domain[SNIPE_NAME_SIZE];
	int64_t started_us;
	unsigned mark;
};

void snipe_server_table_init(struct snipe_server_table *t, const char *failure_domain,
			     int64_t now_us);
void snipe_server_table_finish(struct snipe_server_table *t);

/* Takes over members and pool limits of a snapshot. */
void snipe_server_table_update(struct snipe_server_table *t, const struct snipe_snapshot *s,
			       int64_t now_us);

/* Returns the pool, NULL if it is undefined. Valid as long as the table. */
struct snipe_server_pool *snipe_server_table_pool(const struct snipe_server_table *t,
						  const char *name);

/* Chooses a server as snipe_balancer_choose does. Returns 0 and fills ref and address, or
 * SNIPE_ERR_NOT_FOUND or SNIPE_ERR_FULL. */
int snipe_server_pool_choose(struct snipe_server_pool *p, int64_t now_us, GRand *rng,
			     enum snipe_importance importance, const int *exclude,
			     int exclude_count, struct snipe_server_ref *ref,
			     struct snipe_address *address);

/* Records the end of a call and clears ref. Does nothing if the server was removed. */
void snipe_server_pool_record(struct snipe_server_pool *p, struct snipe_server_ref *ref,
			      int64_t now_us, int64_t latency_us,
			      enum snipe_server_outcome outcome,
			      const struct snipe_load_report *report);

/* Appends a JSON object: pool -> list of servers. */
void snipe_server_table_dump(const struct snipe_server_table *t, int64_t now_us,
			     struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
