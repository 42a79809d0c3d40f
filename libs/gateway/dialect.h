/*
 * The platform's wire format, as far as the gateway depends on it: header names, names of
 * stored objects, and the decoding of tables and announcements.
 */
#ifndef SNIPE_DIALECT_H
#define SNIPE_DIALECT_H

#include "base/address.h"
#include "base/error.h"
#include "config/routing.h"
#include "h1/message.h"
#include "wire/report.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_header_names {
	const char *request_id;	     /* of one attempt by the caller; echoed in responses */
	const char *time_left_ms;    /* time for which the caller still waits */
	const char *workspace;	     /* set by the node from the caller's key */
	const char *expected_server; /* id of the backend server that is to run the request */
	const char *not_run; /* in a response: the backend server did not run the request */
	const char *caller_service; /* service of the VM where the request began */
	const char *signature;	    /* of the backend server's response */
	const char *key_scheme;	    /* scheme of the Authorization field */
};

/* What a backend server announces of itself to the node beside it. */
struct snipe_server_announcement {
	char id[SNIPE_NAME_SIZE];
	char service[SNIPE_NAME_SIZE]; /* empty when leaving */
	struct snipe_address address;  /* port 0: not given */
	enum snipe_server_state state; /* SNIPE_SERVER_NONE: it is leaving */
	int slots;
	int64_t cold_left_us;
	uint64_t sequence;  /* increases with each announcement of one process */
	int64_t started_ms; /* start of the process, ms since 1970; 0: not given */
};

struct snipe_dialect;

struct snipe_dialect_ops {
	/* Decodes tables. Returns 0 and sets *routing, or an error with the reason in err. */
	int (*decode_tables)(const struct snipe_dialect *d, const char *document, size_t len,
			     struct snipe_routing **routing, struct snipe_error_text *err);
	/* Decodes a request on the admin listener. Returns 0, SNIPE_ERR_NOT_FOUND if it is no
	 * announcement, or another error with the reason in err. */
	int (*decode_announcement)(const struct snipe_dialect *d,
				   const struct snipe_h1_message *m,
				   struct snipe_server_announcement *announcement,
				   struct snipe_error_text *err);
};

struct snipe_dialect {
	const struct snipe_dialect_ops *ops;
	struct snipe_header_names headers;
	const char *ready_path;
	/* Kinds of objects in the store. */
	const char *tables_kind, *tables_name; /* the object with the tables */
	const char *nodes_kind;		       /* one object per node: its address */
	const char *departures_kind;	       /* one per node: its server's last departure */
	const char *suspects_kind;	       /* one object: the requests that crash servers */
	const char *costs_kind;		       /* one object: what requests cost */
	const char *announcement_reply;	       /* body of the response to an announcement */
};

#ifdef __cplusplus
}
#endif

#endif
