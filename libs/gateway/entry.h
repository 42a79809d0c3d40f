/*
 * Requests that enter the fleet at this node, from clients and from the backend server beside
 * it. A request is checked, counted against the rate of its workspace, admitted or rejected,
 * sent to a backend server, and answered.
 */
#ifndef SNIPE_ENTRY_H
#define SNIPE_ENTRY_H

#include <glib.h>
#include <sys/queue.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "config/routing.h"
#include "core/call_profile.h"
#include "core/chain_limit.h"
#include "core/route_costs.h"
#include "core/crash_guard.h"
#include "core/entry_limit.h"
#include "core/fleet_quota.h"
#include "core/loop_lag.h"
#include "core/stop_schedule.h"
#include "gateway/dialect.h"
#include "gateway/directory.h"
#include "h1/server.h"
#include "node/peer_task.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_entry_call;

struct snipe_entry_config {
	struct event_base *base;
	const struct snipe_gateway_settings *settings;
	const struct snipe_dialect *dialect;
	struct snipe_peer_task *peers;
	struct snipe_directory *directory;
	struct snipe_crash_guard *guard;
	struct snipe_call_profile *profile;
	struct snipe_route_costs *costs;
	struct snipe_counters *counters;
	const struct snipe_loop_lag *lag; /* of the event loop */
	const struct snipe_stop_schedule *stop;
	struct snipe_memory_limit *memory; /* NULL: no limit */
};

/* Fields are private. */
struct snipe_entry {
	struct snipe_entry_config config;
	struct snipe_h1_server server;
	struct snipe_routing *routing; /* NULL: no tables yet */
	int64_t confirmed_us; /* when the last read of the store that returned these tables was
				 sent; 0: never */
	struct snipe_fleet_quota quota;
	struct snipe_chain_limit chain_limit;
	GHashTable *routes;   /* name -> struct snipe_entry_route */
	GHashTable *services; /* name -> struct snipe_entry_service */
	GRand *rng;
	LIST_HEAD(snipe_entry_calls, snipe_entry_call) calls;
	int in_flight;
	struct snipe_histogram latency; /* of served client requests, microseconds */
	int count_requests, count_served, count_retries, count_rejected, count_failed,
		count_cancelled, count_chain_rejected, count_late, count_good_samples,
		count_failing_samples, gauge_in_flight;
	int busy_rejected, busy_admitted, busy_answered; /* processor time by kind of work */
};

/* Listens for requests. Returns 0, or a negative error with its reason in err. */
int snipe_entry_init(struct snipe_entry *e, const struct snipe_entry_config *config,
		     struct snipe_error_text *err);
/* Drops all requests in flight without an answer and closes all connections. */
void snipe_entry_finish(struct snipe_entry *e);

/* Applies newer tables, to the requests that arrive from now on. */
void snipe_entry_set_routing(struct snipe_entry *e, struct snipe_routing *routing);
/* Records that the applied tables were the newest at this time; an earlier time than the one
 * known is ignored. */
void snipe_entry_confirm_tables(struct snipe_entry *e, int64_t confirmed_us);
/* Whether requests with a key may be served: the tables were confirmed recently enough that no
 * withdrawn key is still accepted. */
int snipe_entry_has_confirmed_tables(const struct snipe_entry *e, int64_t now_us);
/* Updates what the services of call chains can complete, from the last reports of all nodes;
 * call it several times in each report interval. */
void snipe_entry_update_chain_limit(struct snipe_entry *e);
/* Fills the demand for busy services into the node's report. */
void snipe_entry_fill_report(struct snipe_entry *e, int64_t now_us,
			     struct snipe_node_report *report);
/* Answers all requests in flight with a status that leaves open whether they ran. */
void snipe_entry_answer_all(struct snipe_entry *e);
/* The same for those that keep ready responses on their connection waiting. */
void snipe_entry_answer_blocking(struct snipe_entry *e);
/* Returns the number of requests that have not been answered. */
int snipe_entry_in_flight(const struct snipe_entry *e);
/* Appends the state as a JSON object. */
void snipe_entry_dump(const struct snipe_entry *e, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
