/*
 * Settings of a gateway node, independent of the file format.
 */
#ifndef SNIPE_GATEWAY_SETTINGS_H
#define SNIPE_GATEWAY_SETTINGS_H

#include <stdint.h>

#include "base/address.h"
#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_gateway_settings {
	char node_id[SNIPE_NAME_SIZE];
	char failure_domain[SNIPE_NAME_SIZE];
	char service[SNIPE_NAME_SIZE];	    /* of the backend server beside the node */
	struct snipe_address caller_listen; /* for callers and the backend server */
	struct snipe_address ready_listen;
	struct snipe_address admin_listen;   /* announcements, counters, state */
	struct snipe_address metrics_listen; /* counters and state, at a fixed port */
	struct snipe_address peer_listen;    /* TCP and UDP, for other nodes */
	struct snipe_address backend_server;
	struct snipe_address store;
	int is_first_start;	      /* the whole fleet starts for the first time */
	int64_t announce_interval_us; /* between announcements of the backend server */
	int64_t key_revocation_us;    /* longest time for which a revoked key is accepted */
	int64_t stop_grace_us;	      /* time from SIGTERM to the exit */
	double retry_ratio;  /* most retries, as a fraction of the requests of a service */
	int max_descriptors; /* that the process may open for sockets; 0: as the kernel says */
	size_t max_memory_bytes; /* that the process may take; 0: not stated */
	double retry_slack;	 /* retries of a service that the fleet may make in addition */
};

#ifdef __cplusplus
}
#endif

#endif
