/*
 * Recognizes requests that crash backend servers.
 *
 * A fingerprint gets a strike for each death of a backend server while such a request ran. Two
 * strikes without a success since the first make it suspect for 10 minutes. A success clears
 * it, so that innocent requests that ran beside recover; since suspects are refused, one of
 * them is let through now and then as a trial. docs/decisions/crashing-requests.md states the
 * reasons.
 */
#ifndef SNIPE_CRASH_GUARD_H
#define SNIPE_CRASH_GUARD_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_CRASH_GUARD_ENTRIES 1024
/* Deaths that an entry remembers: reports of them are repeated, also after a success. */
#define SNIPE_CRASH_DEATHS 16
/* Successes that are told to other nodes at a time. */
#define SNIPE_CRASH_CLEARED 8

/* Strikes of one suspect that are told to other nodes: enough for them to refuse it and to wait
 * as long for a trial. */
#define SNIPE_CRASH_STRIKES_TOLD 4

/* A server died while the request ran. */
struct snipe_strike {
	uint64_t fingerprint;
	uint64_t death; /* tells deaths apart */
	int64_t age_us; /* since the request's last strike */
};

/* Fields are private. */
struct snipe_crash_guard {
	struct snipe_crash_entry {
		uint64_t fingerprint;		     /* 0: free */
		uint64_t deaths[SNIPE_CRASH_DEATHS]; /* the last ones that counted; 0: none */
		int next_death;
		int strikes;
		int64_t last_strike_us;
		int has_tried; /* a trial ran here since the last strike */
		int is_own;    /* one of the deaths was beside this node */
	} entries[SNIPE_CRASH_GUARD_ENTRIES];
	struct snipe_crash_cleared {
		uint64_t fingerprint; /* 0: free */
		int64_t at_us;
	} cleared[SNIPE_CRASH_CLEARED]; /* by successes that this node saw */
	int next_told;			/* index of the suspect that is told next */
	unsigned changes;		/* see snipe_crash_guard_changes */
};

void snipe_crash_guard_init(struct snipe_crash_guard *g);

/* What makes two requests the same. Nothing in it depends on the tables, which change while a
 * request is suspect. */
struct snipe_crash_request {
	const char *host;   /* lower case; empty where requests are not told apart by it */
	const char *caller; /* workspace; empty if none is known */
	const char *method;
	const char *path; /* with the query */
	const void *body;
	size_t body_len;
};

/* Never returns 0. */
uint64_t snipe_crash_fingerprint(const struct snipe_crash_request *r);

/*
 * A server died while the request ran, here or at another node of the pool. death identifies
 * the death, so that several running requests with one fingerprint give it one strike; it
 * differs from the number of any other recent death. Returns 1 if the strike was counted: the
 * owner sends it to the pool's other nodes if the server died here.
 */
int snipe_crash_guard_strike(struct snipe_crash_guard *g, int64_t now_us, uint64_t fingerprint,
			     uint64_t death);

/* The same for a server beside this node. */
int snipe_crash_guard_witness(struct snipe_crash_guard *g, int64_t now_us, uint64_t fingerprint,
			      uint64_t death);
/* Another node tells of a strike, maybe long after it. Returns 1 if it was counted. */
int snipe_crash_guard_told(struct snipe_crash_guard *g, int64_t now_us,
			   const struct snipe_strike *strike);
/* Fills the strikes of suspects, so many at a time and each in its turn, for nodes that were
 * away when the servers died. Returns their number. */
int snipe_crash_guard_tell(struct snipe_crash_guard *g, int64_t now_us,
			   struct snipe_strike *strikes, int max);

/* Counts the changes of suspects that this node has to keep for later processes: strikes of
 * those that ended a server beside it, and successes that it saw. */
unsigned snipe_crash_guard_changes(const struct snipe_crash_guard *g);
/* Appends the suspects as text, a line each, the latest ones if there are many. wall_ms is the
 * time of day in ms. */
void snipe_crash_guard_print(const struct snipe_crash_guard *g, int64_t now_us, int64_t wall_ms,
			     struct snipe_buffer *out);
/* Takes over what such a text tells. Returns the number of strikes that were counted, or
 * SNIPE_ERR_SYNTAX; the lines before the malformed one count then. */
int snipe_crash_guard_load(struct snipe_crash_guard *g, int64_t now_us, int64_t wall_ms,
			   const char *text, size_t len);

/* A request with this fingerprint ended here without a crash. Returns 1 if strikes were
 * cleared: then other nodes should be told. */
int snipe_crash_guard_success(struct snipe_crash_guard *g, int64_t now_us,
			      uint64_t fingerprint);
/* Another node saw such a success. Returns 1 if strikes were cleared. */
int snipe_crash_guard_clear(struct snipe_crash_guard *g, uint64_t fingerprint);
/* Fills the fingerprints of the successes since since_us that cleared strikes; returns their
 * number. */
int snipe_crash_guard_cleared(const struct snipe_crash_guard *g, int64_t since_us,
			      uint64_t *fingerprints, int max);

/* What the guard knows of a request, for logs. */
struct snipe_crash_view {
	int strikes;		/* since the last success */
	int64_t last_strike_us; /* 0: none */
};

/* Fills what is known of the request; zeroes if nothing is. */
void snipe_crash_guard_view(const struct snipe_crash_guard *g, uint64_t fingerprint,
			    struct snipe_crash_view *view);

/* Returns nonzero if the request must be refused. */
int snipe_crash_guard_is_suspect(const struct snipe_crash_guard *g, int64_t now_us,
				 uint64_t fingerprint);

/* Returns the time from which the first node may let a suspect request through as a trial;
 * INT64_MAX if none may. */
int64_t snipe_crash_guard_trial_due(struct snipe_crash_guard *g, uint64_t fingerprint);
/*
 * Whether a suspect request may run as a trial of the fleet: some seconds after its last
 * strike, longer after each strike more, and then at one node after the other. turn is this
 * node's place in the order in which the nodes try, 0 for the first. Returns 1 once for each
 * turn; the caller then lets the request through.
 */
int snipe_crash_guard_try(struct snipe_crash_guard *g, int64_t now_us, uint64_t fingerprint,
			  int turn);

#ifdef __cplusplus
}
#endif

#endif
