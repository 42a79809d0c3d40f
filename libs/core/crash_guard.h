/*
 * Recognizes requests that crash backend servers.
 *
 * A fingerprint gets a strike for each crash of a backend server while such a request ran. Two
 * strikes without a success between make it suspect until 10 minutes after the last strike:
 * such requests are rejected. A success clears the strikes, so that harmless requests that ran
 * beside recover; to make a success possible, one suspect request is let through now and then
 * as a trial. docs/decisions/crashing-requests.md states the reasons.
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
/* Crashes that an entry remembers, since reports of them are repeated, also after a success. */
#define SNIPE_CRASH_IDS_PER_ENTRY 16
/* Successes that are reported to other nodes at a time. */
#define SNIPE_CRASH_MAX_CLEARED 8

/* Strikes of one suspect that are reported to other nodes: enough for them to reject it and to
 * delay its trial as long. */
#define SNIPE_CRASH_MAX_REPORTED_STRIKES 4

/* A crash of a server while the request ran. */
struct snipe_strike {
	uint64_t fingerprint;
	uint64_t crash_id; /* id of the crash */
	int64_t age_us;	   /* since the request's last strike */
};

/* Fields are private. */
struct snipe_crash_guard {
	struct snipe_crash_entry {
		uint64_t fingerprint;			       /* 0: free */
		uint64_t crash_ids[SNIPE_CRASH_IDS_PER_ENTRY]; /* last counted; 0: none */
		int next_crash_id;
		int strikes;
		int64_t last_strike_us;
		int has_run_trial; /* at this node, since the last strike */
		int is_local;	   /* one crash was of the server beside this node */
	} entries[SNIPE_CRASH_GUARD_ENTRIES];
	struct snipe_crash_cleared {
		uint64_t fingerprint; /* 0: free */
		int64_t at_us;
	} cleared[SNIPE_CRASH_MAX_CLEARED]; /* by successes at this node */
	int next_reported;		    /* index of the entry to report next */
	unsigned changes;		    /* see snipe_crash_guard_changes */
};

void snipe_crash_guard_init(struct snipe_crash_guard *g);

/* The parts of a request that its fingerprint covers. None depends on the tables, which may
 * change while a request is suspect. */
struct snipe_crash_request {
	const char *host;   /* lower case; empty where it does not distinguish requests */
	const char *caller; /* workspace of the caller; empty if unknown */
	const char *method;
	const char *path; /* with the query */
	const void *body;
	size_t body_len;
};

/* Never returns 0. */
uint64_t snipe_crash_fingerprint(const struct snipe_crash_request *r);

/*
 * Records a crash of a server while the request ran, here or at another node of the pool.
 * crash_id differs from that of any other recent crash; several running requests with one
 * fingerprint get one strike per crash. Returns 1 if the strike was counted: the caller then
 * reports it to the pool's other nodes if the server crashed here.
 */
int snipe_crash_guard_record_strike(struct snipe_crash_guard *g, int64_t now_us,
				    uint64_t fingerprint, uint64_t crash_id);

/* Like snipe_crash_guard_record_strike, for the server beside this node. */
int snipe_crash_guard_record_local_strike(struct snipe_crash_guard *g, int64_t now_us,
					  uint64_t fingerprint, uint64_t crash_id);
/* Records a strike that another node reported, maybe long after it. Returns 1 if it was
 * counted. */
int snipe_crash_guard_record_reported_strike(struct snipe_crash_guard *g, int64_t now_us,
					     const struct snipe_strike *strike);
/* Fills at most max strikes of suspects, for nodes that were away when the servers crashed.
 * Successive calls go through all suspects in turn. Returns the number of strikes. */
int snipe_crash_guard_list_strikes(struct snipe_crash_guard *g, int64_t now_us,
				   struct snipe_strike *strikes, int max);

/* Counts the changes of suspects that this node has to store for later processes: strikes of
 * suspects that crashed the server beside it, and successes of suspects at this node. */
unsigned snipe_crash_guard_changes(const struct snipe_crash_guard *g);
/* Appends the suspects as text, one per line, the 64 with the latest strikes if there are more.
 * wall_ms is the time of day in ms. */
void snipe_crash_guard_print(const struct snipe_crash_guard *g, int64_t now_us, int64_t wall_ms,
			     struct snipe_buffer *out);
/* Records the strikes of such a text. Returns the number of strikes that were counted, or
 * SNIPE_ERR_SYNTAX; strikes before the syntax error are recorded then. */
int snipe_crash_guard_load(struct snipe_crash_guard *g, int64_t now_us, int64_t wall_ms,
			   const char *text, size_t len);

/* Records that a request with this fingerprint ended here without a crash. Returns 1 if strikes
 * were cleared: then this should be reported to other nodes. */
int snipe_crash_guard_record_success(struct snipe_crash_guard *g, int64_t now_us,
				     uint64_t fingerprint);
/* Records a success that another node reported. Returns 1 if strikes were cleared. */
int snipe_crash_guard_clear(struct snipe_crash_guard *g, uint64_t fingerprint);
/* Fills the fingerprints whose strikes a success at this node cleared since since_us. Returns
 * their number. */
int snipe_crash_guard_list_cleared(const struct snipe_crash_guard *g, int64_t since_us,
				   uint64_t *fingerprints, int max);

/* Strikes of a request, for logs. */
struct snipe_crash_view {
	int strikes;		/* since the last success */
	int64_t last_strike_us; /* 0: none */
};

/* Fills zeros if the fingerprint is unknown. */
void snipe_crash_guard_view(const struct snipe_crash_guard *g, uint64_t fingerprint,
			    struct snipe_crash_view *view);

/* Returns nonzero if the request must be rejected, unless it runs as a trial. */
int snipe_crash_guard_is_suspect(const struct snipe_crash_guard *g, int64_t now_us,
				 uint64_t fingerprint);

/* Returns the time from which the first node (turn 0) may let a suspect request through as a
 * trial; INT64_MAX if it has too few strikes or ran as a trial here since the last one. */
int64_t snipe_crash_guard_trial_due(struct snipe_crash_guard *g, uint64_t fingerprint);
/*
 * Starts a trial of a suspect request if one is due: 5 s after its last strike, later with each
 * further strike, and then at one node after the other, 5 s apart. turn is this node's place in
 * that order, 0 for the first. Returns 1, at most once until a later strike, if the caller
 * shall let the request through.
 */
int snipe_crash_guard_start_trial(struct snipe_crash_guard *g, int64_t now_us,
				  uint64_t fingerprint, int turn);

#ifdef __cplusplus
}
#endif

#endif
