/*
 * The datagram that a gateway node sends to every other node: its identity, the state and load
 * of its backend server, the version of its tables, crash strikes and what it admitted of each
 * workspace's rate.
 */
#ifndef SNIPE_REPORT_H
#define SNIPE_REPORT_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "config/tables.h"
#include "core/chain_limit.h"
#include "core/crash_guard.h"
#include "core/fleet_quota.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Incremented with each change of the fields; other versions are rejected. */
#define SNIPE_REPORT_VERSION 3
/* Keeps a datagram below the path MTU of 1,500 bytes. */
#define SNIPE_REPORT_MAX_BYTES 1400
#define SNIPE_REPORT_MAX_QUOTAS 80
#define SNIPE_REPORT_MAX_STRIKES 24
#define SNIPE_REPORT_MAX_DEMANDS 24

enum snipe_server_state {
	SNIPE_SERVER_NONE, /* not announced, or gone */
	SNIPE_SERVER_READY,
	SNIPE_SERVER_DRAINING,
};

struct snipe_node_report {
	char node_id[SNIPE_NAME_SIZE];
	uint64_t process; /* wall time of the process start in ms; a later process is newer */
	uint64_t sequence;
	char failure_domain[SNIPE_NAME_SIZE];
	char service[SNIPE_NAME_SIZE];
	uint64_t routing_version; /* 0: holds no tables */
	int is_stopping;
	enum snipe_server_state server;
	char server_id[SNIPE_NAME_SIZE];
	int limit; /* requests that may run concurrently */
	int running;
	int waiting;
	int64_t service_us;   /* mean time that a request runs */
	int64_t cold_left_us; /* remaining time for which the server is slow after its start */
	struct snipe_strike strikes[SNIPE_REPORT_MAX_STRIKES]; /* of recent crashes, and of
								  suspects in rotation */
	int strike_count;
	uint64_t cleared[SNIPE_CRASH_MAX_CLEARED]; /* fingerprints of requests that succeeded
						  after strikes */
	int cleared_count;
	struct snipe_quota_report quotas[SNIPE_REPORT_MAX_QUOTAS];
	int quota_count;
	/* The fields below are missing in the reports of earlier builds. */
	double rejected_ratio; /* recent calls that were rejected for lack of slots, 0 to 1 */
	struct snipe_chain_demand demands[SNIPE_REPORT_MAX_DEMANDS]; /* of client requests */
	int demand_count;
	uint64_t store_era; /* newest era of the store that the node has seen; 0: none */
	int is_era_settled; /* the era began so long ago that nothing lost with it matters */
};

void snipe_report_encode(const struct snipe_node_report *r, struct snipe_buffer *out);
/* Returns 0, SNIPE_ERR_SYNTAX or SNIPE_ERR_VERSION. */
int snipe_report_decode(const void *data, size_t len, struct snipe_node_report *r);

#ifdef __cplusplus
}
#endif

#endif
