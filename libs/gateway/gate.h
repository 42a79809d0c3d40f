/*
 * The gate of the backend server beside the node. Every call to the server passes here, so that
 * slots, queue, connections, the server's identity and its leaving are decided in one place.
 */
#ifndef SNIPE_GATE_H
#define SNIPE_GATE_H

#include <event2/event_struct.h>
#include <glib.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "core/crash_guard.h"
#include "core/departure.h"
#include "core/work_queue.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"
#include "h1/pool.h"
#include "node/peer_task.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_gate_call;

/* Why the gate did not return a response; the reason of the ANSWER message. */
#define SNIPE_GATE_OVERLOADED "overloaded"
#define SNIPE_GATE_NO_SERVER "no_backend_server"
#define SNIPE_GATE_DRAINING "draining"
#define SNIPE_GATE_EXPIRED "expired"
#define SNIPE_GATE_CRASH_SUSPECT "crash_suspect"
#define SNIPE_GATE_SERVER_REFUSED "server_refused"
#define SNIPE_GATE_WRONG_SERVER "wrong_server"
#define SNIPE_GATE_TIMEOUT "timeout"
#define SNIPE_GATE_LOST "response_lost"
#define SNIPE_GATE_BROKEN "response_broken"

struct snipe_gate_config {
	struct event_base *base;
	const struct snipe_gateway_settings *settings;
	const struct snipe_dialect *dialect;
	struct snipe_peer_task *peers;
	struct snipe_counters *counters;
	struct snipe_crash_guard *guard;
	/* The state that other nodes act on has changed. */
	void (*changed)(void *arg);
	/* The server leaves: a later process of this node has to know of it. */
	void (*departed)(void *arg, const struct snipe_departure *d);
	void *arg;
};

/* Fields are private. */
struct snipe_gate {
	struct snipe_gate_config config;
	struct snipe_server_notice server; /* as announced last */
	int has_server;
	int is_down;	  /* refused a connection since its last notice */
	int64_t heard_us; /* last notice */
	int64_t cold_until_us;
	struct snipe_departure departure; /* the last one */
	int64_t departed_us;
	int is_stopping;
	int was_usable;
	int max_connections; /* of the tables; 0: not stated */
	struct snipe_work_queue queue;
	struct snipe_h1_pool pool;
	double service_us; /* mean run time; 0: none yet */
	GPtrArray *calls;  /* by handle; NULL where free */
	GHashTable *by_origin;
	int in_flight;
	uint64_t death;		       /* tells the last death apart from others */
	char dead_id[SNIPE_NAME_SIZE]; /* the server that died last */
	int64_t dead_born_ms;
	GArray *strikes; /* of recent deaths; struct snipe_strike without an age */
	guint told;	 /* of them, those that a report had */
	guint repeated;	 /* counts the repetitions */
	int64_t death_us;
	GArray *lost; /* fingerprints of requests whose connections ended lately */
	int64_t lost_us;
	struct event tick;
	int64_t tick_us; /* last turn of the tick; long ago: the process stood still */
	struct snipe_histogram wait, run; /* microseconds */
	int count_received, count_complete, count_refused, count_lost, gauge_running,
		gauge_waiting, gauge_limit;
};

void snipe_gate_init(struct snipe_gate *g, const struct snipe_gate_config *config);
void snipe_gate_finish(struct snipe_gate *g);

/* The backend server announced itself, or left. Returns 0, also for a late notice, which is
 * ignored, or SNIPE_ERR_INVALID for a server that does not belong here. */
int snipe_gate_notice(struct snipe_gate *g, const struct snipe_server_notice *notice,
		      struct snipe_error_text *err);
/* An earlier process of the node acknowledged this departure. */
void snipe_gate_recall(struct snipe_gate *g, const struct snipe_departure *d);
/* Connections that the tables allow to each backend server. */
void snipe_gate_set_max_connections(struct snipe_gate *g, int max_connections);
/* The node stops: no new calls. */
void snipe_gate_stop(struct snipe_gate *g);
int snipe_gate_in_flight(const struct snipe_gate *g);
/* Fills the server's part of the node's report. Strikes that no report had yet come first. */
void snipe_gate_fill_report(struct snipe_gate *g, int64_t now_us,
			    struct snipe_node_report *report);
/* Nonzero if there are strikes that no report had yet and the next one will have. */
int snipe_gate_has_news(const struct snipe_gate *g, int64_t now_us);
void snipe_gate_dump(const struct snipe_gate *g, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
