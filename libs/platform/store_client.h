/*
 * Client of an object store over HTTP/1.1: what all dialects of such a store share. It owns the
 * calls with their handles and deadlines and the connections; a dialect writes requests and
 * reads responses. The process must ignore SIGPIPE.
 *
 * A connection may stop carrying data without a reset. When an answer is half a second overdue,
 * no connection that is open is used for further calls, and a read is sent once more on a new
 * one; the first answer counts.
 *
 * An answer of an earlier era than the newest one seen counts as lost: its versions mean
 * nothing any more, and what it says was written may be gone.
 */
#ifndef SNIPE_STORE_CLIENT_H
#define SNIPE_STORE_CLIENT_H

#include "base/log.h"
#include "h1/pool.h"
#include "platform/object_store.h"

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_store_op {
	SNIPE_STORE_GET,
	SNIPE_STORE_GET_ONCE,
	SNIPE_STORE_LIST,
	SNIPE_STORE_WATCH,
	SNIPE_STORE_PUT,
};

struct snipe_store_call;

/* What an operation asks for; valid as long as its call. */
struct snipe_store_request {
	enum snipe_store_op op;
	const char *kind, *name; /* name: NULL for a list */
	/* Of a put: version that is to be replaced, 0: there must be none. Of a watch: version
	 * that the caller has. */
	uint64_t version;
	int wait_ms;	 /* of a watch */
	int allow_stale; /* of a list */
};

struct snipe_store_client;

struct snipe_store_dialect {
	/* Appends the whole request, with value as the body's content for a put. Returns 0, or
	 * SNIPE_ERR_INVALID for an operation, kind or name that the dialect cannot express. */
	int (*write_request)(struct snipe_store_client *c,
			     const struct snipe_store_request *request, const char *value,
			     size_t len, struct evbuffer *out);
	/* Takes a complete response: calls exactly one of the functions that end a call, or
	 * snipe_store_call_continue. */
	void (*take_response)(struct snipe_store_client *c, struct snipe_store_call *call,
			      const struct snipe_h1_message *response);
	/* Releases what snipe_store_call_set_state set; NULL if that is not used. */
	void (*free_state)(void *state);
	/* Returns the era that a response of any status states, 0 if it states none. NULL for a
	 * store without eras. */
	uint64_t (*read_era)(const struct snipe_h1_message *response);
};

/* Fields are private but for the limits of the pool. */
struct snipe_store_client {
	struct snipe_object_store store; /* first member: the vtable */
	const struct snipe_store_dialect *dialect;
	struct event_base *base;
	struct snipe_h1_pool pool;
	struct snipe_store_call *calls;
	int next_handle;
	uint64_t era; /* newest one of all responses; 0: none has stated one */
	LIST_HEAD(snipe_era_listeners, snipe_era_listener) listeners;
	struct snipe_log_limit overdue_lines, stale_lines;
};

void snipe_store_client_init(struct snipe_store_client *c,
			     const struct snipe_store_dialect *dialect, struct event_base *base,
			     const struct snipe_address *address);
void snipe_store_client_move(struct snipe_store_client *c, const struct snipe_address *address);

/* For dialects. */
const struct snipe_store_request *snipe_store_call_request(const struct snipe_store_call *call);
/* What the call keeps between two responses; NULL at first. */
void *snipe_store_call_state(const struct snipe_store_call *call);
void snipe_store_call_set_state(struct snipe_store_call *call, void *state);
/* Sends another request, whose content is moved out of the buffer; its deadline starts anew. */
void snipe_store_call_continue(struct snipe_store_call *call, struct evbuffer *request);
/* The error of an operation that has no usable answer: a write may have been done. */
int snipe_store_call_lost_error(const struct snipe_store_call *call);
/* Each ends the call and tells its caller. */
void snipe_store_call_fail(struct snipe_store_call *call, int err);
void snipe_store_call_give(struct snipe_store_call *call, const struct snipe_object *object);
/* A watch saw no change. */
void snipe_store_call_unchanged(struct snipe_store_call *call);
void snipe_store_call_give_list(struct snipe_store_call *call,
				const struct snipe_object_entry *entries, int count);

#ifdef __cplusplus
}
#endif

#endif
