/*
 * Settings of a gateway node, whatever file they came from.
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
	struct snipe_address caller_listen; /* requests of callers and of the backend server */
	struct snipe_address ready_listen;
	struct snipe_address admin_listen; /* announcements, counters, state */
	struct snipe_address
		metrics_listen;		  /* counters and state, at a port known beforehand */
	struct snipe_address peer_listen; /* TCP and UDP, other nodes */
	struct snipe_address backend_server;
	struct snipe_address store;
	int is_first_start;	      /* the whole fleet starts for the first time */
	int64_t announce_interval_us; /* of the backend server */
	int64_t key_revocation_us;    /* a withdrawn key must not work longer */
	int64_t stop_grace_us;	      /* time from SIGTERM to the end */
	double retry_ratio; /* bound on repeats, as a part of the requests of a service */
	double retry_slack; /* repeats of a service that the fleet may make besides */
};

#ifdef __cplusplus
}
#endif

#endif
