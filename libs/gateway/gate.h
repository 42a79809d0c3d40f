/*
 * The queue and limiter in front of the node's backend server. Every call to the server goes
 * through the gate, so that one module decides on slots, queueing, connections, the server's
 * identity and its departure.
 */
#ifndef SNIPE_GATE_H
#define SNIPE_GATE_H

#include <event2/event_struct.h>
#include <glib.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "base/memory_limit.h"
#include "core/call_profile.h"
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

/* Why the gate returns no response; the reason field of the ANSWER message. */
#define SNIPE_GATE_OVERLOADED "overloaded"
#define SNIPE_GATE_NO_SERVER "no_backend_server"
#define SNIPE_GATE_NO_SOCKET "no_socket"
#define SNIPE_GATE_NO_MEMORY "no_memory"
#define SNIPE_GATE_DRAINING "draining"
#define SNIPE_GATE_UNCONFIRMED "server_unconfirmed"
#define SNIPE_GATE_EXPIRED "expired"
#define SNIPE_GATE_CRASH_SUSPECT "crash_suspect"
#define SNIPE_GATE_SERVER_REJECTED "server_refused"
#define SNIPE_GATE_WRONG_SERVER "wrong_server"
#define SNIPE_GATE_TIMEOUT "timeout"
#define SNIPE_GATE_RESPONSE_LOST "response_lost"
#define SNIPE_GATE_RESPONSE_BROKEN "response_broken"

struct snipe_gate_config {
	struct event_base *base;
	const struct snipe_gateway_settings *settings;
	const struct snipe_dialect *dialect;
	struct snipe_peer_task *peers;
	struct snipe_counters *counters;
	struct snipe_crash_guard *guard;
	struct snipe_call_profile *profile;
	struct snipe_memory_limit *memory; /* NULL: no limit */
	/* Called when the server became usable or unusable, or a trial crashed it: other nodes
	 * need a new report at once. */
	void (*changed)(void *arg);
	/* Called for each new departure, which later processes of this node must know. */
	void (*departed)(void *arg, const struct snipe_departure *d);
	void *arg;
};

/* Fields are private. */
struct snipe_gate {
	struct snipe_gate_config config;
	struct snipe_server_announcement server; /* the last announcement */
	int has_server;
	int is_down; /* refused a connection, or answered 421, since its last announcement */
	int is_confirmed; /* no earlier process can have acknowledged its departure */
	int64_t last_announcement_us;
	int64_t cold_until_us;
	struct snipe_departure departure; /* the last one; an empty id: none */
	int is_departure_restored;	  /* an earlier process received it */
	int64_t departed_us;		  /* when it was received or restored */
	int are_departures_known;	  /* those of earlier processes */
	int64_t started_us;
	int is_stopping;
	int was_usable;	     /* as last reported to other nodes */
	int max_connections; /* limit in the tables; 0: none */
	struct snipe_work_queue queue;
	struct snipe_h1_pool pool;
	struct snipe_memory_holder holder;
	struct snipe_gate_call *worst;	  /* of all calls, as last found by the holder */
	double service_us;		  /* mean run time of calls; 0: no response yet */
	double recent_calls, recent_full; /* calls that came in, and those that were rejected
					     for lack of slots; decaying sums */
	int64_t recent_at_us;		  /* when these sums were last computed */
	unsigned complete_count; /* counts complete answers, some of which state costs */
	GPtrArray *calls;	 /* by handle; NULL where free */
	GHashTable *calls_by_origin;
	int in_flight;
	uint64_t crash_id;			 /* of the last crash */
	char crashed_server_id[SNIPE_NAME_SIZE]; /* of the last crash */
	int64_t crashed_server_started_ms;
	GArray *strikes;	     /* of recent crashes; struct snipe_strike without an age */
	guint reported_strike_count; /* strikes before this index were reported */
	guint repeat_count;	     /* counts strikes reported again, to take each in turn */
	int64_t crash_us;
	GArray *lost_fingerprints; /* of requests that recently lost their connections */
	int64_t connection_lost_us;
	struct event tick;
	int64_t ticked_us; /* last run of the tick; long ago if the process stalled */
	struct snipe_histogram wait_time_us, run_time_us;
	int count_received, count_complete, count_not_run, count_unknown, busy_calls,
		gauge_running, gauge_waiting, gauge_limit;
};

void snipe_gate_init(struct snipe_gate *g, const struct snipe_gate_config *config);
void snipe_gate_finish(struct snipe_gate *g);

/* Handles an announcement of the backend server, also of its departure. Returns 0, also for an
 * outdated one, which is ignored. Otherwise nothing has changed: SNIPE_ERR_INVALID for a server
 * of another service or one that starts in the future, and SNIPE_ERR_CONFLICT for an outdated
 * departure of the process that is in use. */
int snipe_gate_handle_announcement(struct snipe_gate *g,
				   const struct snipe_server_announcement *a,
				   struct snipe_error_text *err);
/* Applies a departure that an earlier process of the node recorded. Returns nonzero if it was
 * applied, and 0 if a later one is known. */
int snipe_gate_restore_departure(struct snipe_gate *g, const struct snipe_departure *d);
/* All departures that earlier processes acknowledged were restored. Before this call, and until
 * departures are too old to matter, a server is used only after a second announcement: it sends
 * none after its departure, but one that was delayed may arrive. */
void snipe_gate_set_departures_known(struct snipe_gate *g);
/* Sets the limit of the tables on connections to one backend server; 0: none. */
void snipe_gate_set_max_connections(struct snipe_gate *g, int max_connections);
/* Rejects new and waiting calls because the node stops. */
void snipe_gate_stop(struct snipe_gate *g);
/* Returns the number of calls that run or wait. */
int snipe_gate_in_flight(const struct snipe_gate *g);
/* Fills the server's part of the node's report. Strikes not reported before come first. */
void snipe_gate_fill_report(struct snipe_gate *g, int64_t now_us,
			    struct snipe_node_report *report);
/* Nonzero if the next report will carry strikes that were not reported before. */
int snipe_gate_has_unreported_strikes(const struct snipe_gate *g, int64_t now_us);
/* Appends the state of the gate as a JSON object. */
void snipe_gate_dump(const struct snipe_gate *g, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
