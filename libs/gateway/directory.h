/*
 * The other nodes of the fleet: discovered through the store, tracked through reports over UDP.
 *
 * Every node sends its report to every node it knows. A report from an unknown node adds that
 * node. Backend servers are grouped into one pool per service, from which one is chosen for
 * each request.
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
#include "wire/departure_notice.h"
#include "wire/report.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_directory_node;

/* Open queries for the freshness of the tables; answers to older ones are ignored. */
#define SNIPE_DIRECTORY_QUERIES_MAX 4

/* The backend servers of one service. */
struct snipe_service_pool {
	char service[SNIPE_NAME_SIZE];
	uint64_t id; /* hash of the service's name */
	struct snipe_placement placement;
	GPtrArray *nodes; /* of struct snipe_directory_node, by placement handle */
};

struct snipe_directory_ops {
	/* The node at from holds newer tables. */
	void (*newer_tables)(void *arg, const struct snipe_address *from, uint64_t version);
	/* Fills the state of this node into its next report. */
	void (*fill_report)(void *arg, int64_t now_us, struct snipe_node_report *report);
	/* Fills the version of this node's tables and the time since they were known to be the
	 * newest; age_us is negative if that is unknown. */
	void (*fill_confirm)(void *arg, int64_t now_us, uint64_t *routing_version,
			     int64_t *age_us);
	/* The node at from answered a query: its tables were the newest at confirmed_us. */
	void (*confirmed)(void *arg, const struct snipe_address *from, uint64_t routing_version,
			  int64_t confirmed_us);
	/* A report of another node was received. */
	void (*reported)(void *arg, int64_t now_us, const struct snipe_node_report *report);
	/* A departure notice was received; from is the address to answer. */
	void (*noticed)(void *arg, const struct snipe_address *from,
			const struct snipe_departure_notice *notice);
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
	struct event readable, tick, publish_timer;
	GHashTable *nodes; /* node id -> struct snipe_directory_node */
	GHashTable *pools; /* service -> struct snipe_service_pool */
	struct snipe_directory_node *self;
	struct snipe_report_schedule schedule;
	struct snipe_buffer datagram;
	struct snipe_readers readers; /* chosen among the reachable nodes */
	int was_reader;
	GRand *rng;
	struct snipe_directory_query {
		uint64_t nonce; /* 0: no open query */
		int64_t sent_us;
	} queries[SNIPE_DIRECTORY_QUERIES_MAX]; /* newest first */
};

/* Opens the UDP socket. Returns 0, or SNIPE_ERR_IO with the remedy in err. */
int snipe_directory_init(struct snipe_directory *d, struct event_base *base,
			 const struct snipe_gateway_settings *settings, uint64_t process,
			 const struct snipe_directory_ops *ops, void *arg,
			 struct snipe_error_text *err);
void snipe_directory_finish(struct snipe_directory *d);

/* Adds a node that was found in the store, or updates its address while it is unreachable. */
void snipe_directory_add_node(struct snipe_directory *d, const char *node_id,
			      const struct snipe_address *address);
/* Sends a report to all nodes within milliseconds, for a change that others act on. */
void snipe_directory_publish(struct snipe_directory *d);

/* Sends a datagram once, to an address, to a node or to all reachable nodes. */
void snipe_directory_send(struct snipe_directory *d, const struct snipe_address *to,
			  const struct snipe_buffer *datagram);
void snipe_directory_send_to(struct snipe_directory *d, const char *node_id,
			     const struct snipe_buffer *datagram);
void snipe_directory_send_all(struct snipe_directory *d, const struct snipe_buffer *datagram);

/* Whether this node is a reader: one of those that read the tables from the store. */
int snipe_directory_is_reader(const struct snipe_directory *d);
/* Rank of this node, from 0, in an order of the reachable nodes that depends on key. */
int snipe_directory_rank(const struct snipe_directory *d, uint64_t key);
/* Number of known nodes, including this one. */
int snipe_directory_node_count(const struct snipe_directory *d);
/* Number of reachable nodes, without this one. */
int snipe_directory_reachable_count(const struct snipe_directory *d);
/* Interval in microseconds at which every node reports. */
int64_t snipe_directory_interval_us(const struct snipe_directory *d);

/* Calls fn with the last report of this node and of each reachable one. */
void snipe_directory_for_each_report(const struct snipe_directory *d,
				     void (*fn)(void *arg, const struct snipe_node_report *r),
				     void *arg);
/* Returns the name of the service with this hash, or an empty string if it is unknown. */
const char *snipe_directory_service_name(const struct snipe_directory *d, uint64_t hash);

/* Returns the pool of a service, or NULL if no server of it was ever reported. */
struct snipe_service_pool *snipe_directory_pool(struct snipe_directory *d, const char *service);
const struct snipe_address *snipe_directory_address(const struct snipe_service_pool *pool,
						    int server);
const char *snipe_directory_node_id(const struct snipe_service_pool *pool, int server);

/* Whether a server of the service with this hash may be slow after its start. */
int snipe_directory_may_be_cold(const struct snipe_directory *d, uint64_t service,
				int64_t now_us);

/* Appends a JSON array of the nodes. */
void snipe_directory_dump(const struct snipe_directory *d, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
