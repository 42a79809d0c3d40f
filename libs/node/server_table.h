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

struct snipe_server {
	int handle; /* of the balancer */
	char node_id[SNIPE_NAME_SIZE];
	uint64_t process;
	struct snipe_address address; /* peer listener of the node beside it */
	int is_usable;
	unsigned mark; /* snapshot in which it was last seen */
};

struct snipe_server_pool {
	char name[SNIPE_NAME_SIZE];
	struct snipe_balancer balancer;
	GHashTable *by_id;     /* node id -> struct snipe_server, owned */
	GHashTable *by_handle; /* handle -> struct snipe_server */
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

/* Chooses a server as snipe_balancer_choose does. Returns its handle and fills address, or
 * SNIPE_ERR_NOT_FOUND or SNIPE_ERR_FULL. */
int snipe_server_pool_choose(struct snipe_server_pool *p, int64_t now_us, GRand *rng,
			     enum snipe_importance importance, const int *exclude,
			     int exclude_count, struct snipe_address *address);

/* Appends a JSON object: pool -> list of servers. */
void snipe_server_table_dump(const struct snipe_server_table *t, int64_t now_us,
			     struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
