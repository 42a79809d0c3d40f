/*
 * Routing tables of the gateway: routes by host and path prefix, the services behind them, and
 * the workspaces whose keys are accepted.
 *
 * Tables are built once, by whoever reads them from their source, and are immutable after
 * snipe_routing_seal. Keys are kept as SHA-256 only.
 */
#ifndef SNIPE_ROUTING_H
#define SNIPE_ROUTING_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A part of a route's requests that goes to one service. */
struct snipe_route_target {
	char service[SNIPE_NAME_SIZE];
	int weight; /* above 0 */
};

struct snipe_gateway_route {
	char name[SNIPE_NAME_SIZE];
	char *host;   /* lower case, without port */
	char *prefix; /* begins and ends with '/' */
	int idempotent;
	int open;		   /* nonzero: no key needed */
	int priority;		   /* 0 is the most important */
	int attempts;		   /* backend servers to which one client request may be sent */
	int64_t timeout_us;	   /* longest time that a caller is kept waiting */
	int64_t target_latency_us; /* a later response is worth less */
	struct snipe_route_target *targets;
	int target_count;
};

struct snipe_gateway_service {
	char name[SNIPE_NAME_SIZE];
	int max_connections; /* of each backend server, from all callers; 0: not stated */
};

struct snipe_gateway_workspace {
	char name[SNIPE_NAME_SIZE];
	int priority; /* 0 is the most important */
	double rate;  /* requests a second over the whole fleet; 0: no limit */
	double burst; /* requests */
};

/* What callers may send, and how long they may take. */
struct snipe_caller_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

struct snipe_routing {
	int refs;
	uint64_t version; /* rises with each change */
	struct snipe_gateway_route *routes;
	int route_count;
	struct snipe_gateway_service *services;
	int service_count;
	struct snipe_gateway_workspace *workspaces;
	int workspace_count;
	int needs_keys; /* routes that are not open need the key of a workspace */
	struct snipe_caller_limits limits;
	char *document; /* the tables as they were read, for handing over to other nodes */
	size_t document_len;
	GHashTable *keys;    /* SHA-256 -> index of the workspace + 1 */
	GHashTable *by_host; /* host -> GArray of route indexes, longest prefix first */
};

/* Returns empty tables with one reference. */
struct snipe_routing *snipe_routing_new(uint64_t version);
struct snipe_routing *snipe_routing_ref(struct snipe_routing *r);
void snipe_routing_unref(struct snipe_routing *r);

/* Each returns a zeroed entry to be filled, valid until the next call. */
struct snipe_gateway_route *snipe_routing_add_route(struct snipe_routing *r);
struct snipe_gateway_service *snipe_routing_add_service(struct snipe_routing *r);
struct snipe_gateway_workspace *snipe_routing_add_workspace(struct snipe_routing *r);
/* workspace is an index into workspaces. */
void snipe_routing_add_key(struct snipe_routing *r, const char *key, int workspace);

/* Checks the tables and builds the indexes. Returns 0 or SNIPE_ERR_INVALID. */
int snipe_routing_seal(struct snipe_routing *r, struct snipe_error_text *err);

/* Finds the route of a host (a port is ignored) with the longest prefix of path, which ends
 * before a query. Returns NULL if there is none. */
const struct snipe_gateway_route *snipe_routing_match(const struct snipe_routing *r,
						      const char *host, const char *path,
						      size_t path_len);
/* Returns the index of the workspace that holds the key, or SNIPE_ERR_NOT_FOUND. */
int snipe_routing_find_key(const struct snipe_routing *r, const char *key);
/* Returns NULL if there is none. */
const struct snipe_gateway_service *snipe_routing_find_service(const struct snipe_routing *r,
							       const char *name);

#ifdef __cplusplus
}
#endif

#endif
