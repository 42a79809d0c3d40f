/*
 * The other nodes of the fleet: found through the store, heard through reports over UDP.
 *
 * Every node sends its report to every node it knows, and learns a node from its first report
 * too. Backend servers are grouped by service for the choice of one.
 */
#ifndef SNIPE_DIRECTORY_H
#define SNIPE_DIRECTORY_H

#include <event2/event_struct.h>
#include <glib.h>

#include "base/error.h"
#include "core/placement.h"
#include "core/readers.h"
#include "core/report_schedule.h"
#include "gateway/settings.h"
#include "wire/report.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_directory_node;

/* Questions for the freshness of tables whose answers are still taken. */
#define SNIPE_QUESTIONS_OPEN 4

/* The backend servers of one service, by their placement handles. */
struct snipe_service_pool {
	char service[SNIPE_NAME_SIZE];
	struct snipe_placement placement;
	GPtrArray *nodes; /* of struct snipe_directory_node, by handle */
};

struct snipe_directory_ops {
	/* The node at from holds newer tables. */
	void (*newer_tables)(void *arg, const struct snipe_address *from, uint64_t version);
	/* Fills what the node reports of itself now. */
	void (*fill_report)(void *arg, int64_t now_us, struct snipe_node_report *report);
	/* How fresh the own tables are; age_us is negative if that is not known. */
	void (*fill_confirm)(void *arg, int64_t now_us, uint64_t *routing_version,
			     int64_t *age_us);
	/* The node at from holds tables that were the newest at this time. */
	void (*confirmed)(void *arg, const struct snipe_address *from, uint64_t routing_version,
			  int64_t confirmed_us);
	/* A report of another node came in. */
	void (*reported)(void *arg, int64_t now_us, const struct snipe_node_report *report);
};

/* Fields are private. */
struct snipe_directory {
	struct event_base *base;
	const struct snipe_gateway_settings *settings;
	const struct snipe_directory_ops *ops;
	void *arg;
	uint64_t process;
	uint64_t sequence;
	int fd;
	struct event readable, tick, soon;
	GHashTable *nodes; /* node id -> struct snipe_directory_node */
	GHashTable *pools; /* service -> struct snipe_service_pool */
	struct snipe_directory_node *self;
	struct snipe_report_schedule schedule;
	struct snipe_buffer datagram;
	struct snipe_readers readers; /* of the reachable nodes */
	int was_reader;
	GRand *rng;
	struct snipe_question {
		uint64_t nonce; /* 0: none */
		int64_t sent_us;
	} questions[SNIPE_QUESTIONS_OPEN]; /* newest first */
};

/* Opens the UDP socket. Returns 0 or SNIPE_ERR_IO with the remedy. */
int snipe_directory_init(struct snipe_directory *d, struct event_base *base,
			 const struct snipe_gateway_settings *settings, uint64_t process,
			 const struct snipe_directory_ops *ops, void *arg,
			 struct snipe_error_text *err);
void snipe_directory_finish(struct snipe_directory *d);

/* A node was found in the store. */
void snipe_directory_learn(struct snipe_directory *d, const char *node_id,
			   const struct snipe_address *address);
/* Sends the own report to all nodes soon: something changed that others act on. */
void snipe_directory_publish(struct snipe_directory *d);

/* Whether this node is one of those that read the tables from the store. */
int snipe_directory_is_reader(const struct snipe_directory *d);
/* Place of this node in an order of the reachable nodes that depends on key; 0 is the first. */
int snipe_directory_turn(const struct snipe_directory *d, uint64_t key);
/* Nodes that are known, this one included. */
int snipe_directory_node_count(const struct snipe_directory *d);
/* Interval at which every node reports. */
int64_t snipe_directory_interval_us(const struct snipe_directory *d);

/* Returns the pool of a service, or NULL if no server of it was ever seen. */
struct snipe_service_pool *snipe_directory_pool(struct snipe_directory *d, const char *service);
const struct snipe_address *snipe_directory_address(const struct snipe_service_pool *pool,
						    int server);
const char *snipe_directory_node_id(const struct snipe_service_pool *pool, int server);

/* Appends a JSON array of the nodes. */
void snipe_directory_dump(const struct snipe_directory *d, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
