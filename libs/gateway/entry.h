/*
 * Requests of callers: from the first byte to the answer. A request is checked, counted against
 * its workspace's rate, let in or refused, placed on a backend server, and answered.
 */
#ifndef SNIPE_ENTRY_H
#define SNIPE_ENTRY_H

#include <glib.h>
#include <sys/queue.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "config/routing.h"
#include "core/crash_guard.h"
#include "core/entry_limit.h"
#include "core/fleet_quota.h"
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
	struct snipe_counters *counters;
};

/* Fields are private. */
struct snipe_entry {
	struct snipe_entry_config config;
	struct snipe_h1_server server;
	struct snipe_routing *routing; /* NULL: none yet */
	int64_t confirmed_us; /* when a read of the store that returned these tables was sent */
	struct snipe_fleet_quota quota;
	GHashTable *routes;   /* name -> state of a route */
	GHashTable *services; /* name -> retry budget of a service */
	GRand *rng;
	LIST_HEAD(snipe_entry_calls, snipe_entry_call) calls;
	int in_flight;
	int is_stopping;		/* client requests are refused: the process ends soon */
	struct snipe_histogram latency; /* of served client requests, microseconds */
	int count_requests, count_served, count_retries, count_refused, count_failed,
		count_cancelled, gauge_in_flight;
};

int snipe_entry_init(struct snipe_entry *e, const struct snipe_entry_config *config,
		     struct snipe_error_text *err);
void snipe_entry_finish(struct snipe_entry *e);

/* Newer tables are in force from now on. */
void snipe_entry_set_routing(struct snipe_entry *e, struct snipe_routing *routing);
/* The tables held were the newest at this time. */
void snipe_entry_confirm(struct snipe_entry *e, int64_t confirmed_us);
/* Whether requests with a key can be served: the tables were confirmed lately. */
int snipe_entry_is_confirmed(const struct snipe_entry *e, int64_t now_us);
int snipe_entry_in_flight(const struct snipe_entry *e);
void snipe_entry_dump(const struct snipe_entry *e, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
