/*
 * State of the backend task and of one call on it, shared by the files of the task.
 */
#ifndef SNIPE_BACKEND_STATE_H
#define SNIPE_BACKEND_STATE_H

#include <event2/event_struct.h>
#include <glib.h>

#include "core/admission.h"
#include "core/crash_guard.h"
#include "core/limiter.h"
#include "node/announcement.h"
#include "node/backend_task.h"
#include "node/call_context.h"
#include "node/http_client.h"
#include "node/rejection.h"
#include "node/task_messages.h"

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_backend_call_state {
	SNIPE_BACKEND_CALL_WAITING,
	SNIPE_BACKEND_CALL_RUNNING,
	SNIPE_BACKEND_CALL_PROBED, /* its connection ended; a probe tells whether the server
				      died */
};

struct snipe_backend_call {
	struct snipe_backend_task *task;
	int handle; /* index into task->calls */
	enum snipe_backend_call_state state;
	struct snipe_peer_origin origin;
	struct snipe_http_exchange http;
	struct snipe_context_entry context;
	int command; /* enum evhttp_cmd_type */
	char *uri;
	uint64_t workspace_hash;
	uint64_t fingerprint;
	int64_t started_us;
	int has_strike;
	enum snipe_reason lost_reason; /* while PROBED: reason if the server lives */
	struct event deadline;
};

struct snipe_backend_task {
	struct event_base *base;
	const struct snipe_settings *settings;
	struct snipe_peer_task *peers;
	struct snipe_counters *counters;
	struct snipe_mailbox *control;
	struct snipe_mailbox box;
	struct snipe_snapshot *snapshot;
	struct event tick;
	enum snipe_limiter_policy policy;
	/* the backend server as it announced itself */
	struct snipe_announcement announced;
	int64_t heard_us; /* last announcement; 0: none, or none since it died */
	uint64_t death;	  /* of the last death; 0: it announced itself since */
	int is_draining;  /* the node drains */
	enum snipe_member_state posted_state;
	char posted_pool[SNIPE_NAME_SIZE];
	/* decisions */
	struct snipe_limiter limiter;
	struct snipe_admission admission;
	struct snipe_crash_guard guard;
	struct snipe_context_table contexts;
	struct snipe_http_client http;
	/* limits of the pool; slots 0: the pool is not in the tables */
	int slots;
	int connections;
	/* calls */
	GPtrArray *calls; /* by handle; NULL where free */
	GArray *free_handles;
	GHashTable *by_origin; /* origin -> call */
	int in_flight;
	int count_received, count_complete, count_died, count_probes;
};

/* backend_call.c */
void snipe_backend_call_receive(void *arg, const struct snipe_peer_origin *from,
				const struct snipe_message *msg, const char *body,
				size_t body_len);
void snipe_backend_call_cancel(void *arg, const struct snipe_peer_origin *from,
			       const struct snipe_message *msg, const char *body,
			       size_t body_len);
/* Starts waiting calls while the limit allows it. */
void snipe_backend_call_start_waiting(struct snipe_backend_task *t);
/* Ends a call without a response; its memory is freed. */
void snipe_backend_call_drop(struct snipe_backend_call *call);
void snipe_backend_call_reject_waiting(struct snipe_backend_task *t, enum snipe_reason reason);
/* Ends the calls whose connections ended; died tells whether the server did. */
void snipe_backend_call_end_probed(struct snipe_backend_task *t, int died);

/* backend_task.c */
int snipe_backend_task_limit(const struct snipe_backend_task *t);
/* SNIPE_REASON_NONE if new calls of this pool are accepted. */
enum snipe_reason snipe_backend_task_check(const struct snipe_backend_task *t, int64_t now_us,
					   const char *pool);
/* Tests with a new connection whether the backend server still lives. */
void snipe_backend_task_probe(struct snipe_backend_task *t);
/* Tells the pool's other nodes that a request with strikes succeeded. */
void snipe_backend_task_post_cleared(struct snipe_backend_task *t, uint64_t fingerprint);
/* The backend server refused a connection: strikes for all running calls, no new work until
 * it announces itself again. */
void snipe_backend_task_died(struct snipe_backend_task *t);

#ifdef __cplusplus
}
#endif

#endif
