/*
 * Limits on retries. A ledger at the node where a client request enters bounds all retries made
 * on its behalf; each node has a budget per route that bounds retries to a ratio of its calls;
 * backoff is exponential with full jitter. Reasons: docs/decisions/retry-bound.md.
 */
#ifndef SNIPE_RETRY_H
#define SNIPE_RETRY_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Retries left for each open client request. Fields are private. */
struct snipe_retry_ledger {
	GHashTable *entries; /* request id -> retries left */
};

void snipe_retry_ledger_init(struct snipe_retry_ledger *l);
void snipe_retry_ledger_finish(struct snipe_retry_ledger *l);

/* Adds a client request with the max_retries of its route. Request ids must be unique while the
 * process runs; an id that is already open keeps its count. */
void snipe_retry_ledger_open(struct snipe_retry_ledger *l, uint64_t request, int max_retries);
void snipe_retry_ledger_close(struct snipe_retry_ledger *l, uint64_t request);

/* Takes one retry. Returns 1, or 0 if the request has none left or is unknown. */
int snipe_retry_ledger_take(struct snipe_retry_ledger *l, uint64_t request);

/* Token bucket for the retries of one route at one node. Fields are private. */
struct snipe_retry_budget {
	int percent;
	int token_hundredths; /* each call adds percent, a retry takes 100 */
};

/*
 * Allows retries for percent of the calls, plus one retry at the start. At most 10 unused
 * retries are kept. A percent of 0 allows none.
 */
void snipe_retry_budget_init(struct snipe_retry_budget *b, int percent);
/* Applies a new percentage; unused retries are kept, unless it is 0. */
void snipe_retry_budget_set_percent(struct snipe_retry_budget *b, int percent);
void snipe_retry_budget_on_call(struct snipe_retry_budget *b);
int snipe_retry_budget_take(struct snipe_retry_budget *b);
/* Refunds the token of a retry that the ledger rejected. */
void snipe_retry_budget_refund(struct snipe_retry_budget *b);

/*
 * One node's share of a retry budget for the whole fleet. Fields are private.
 *
 * The retries of all nodes together are at most ratio times their calls, plus the tokens that
 * they have saved. In a large fleet a node may hold less than one token; it then retries with
 * that probability.
 */
struct snipe_retry_share {
	double ratio;
	double max_tokens;
	double tokens;
};

/* Starts with max_tokens tokens. */
void snipe_retry_share_init(struct snipe_retry_share *s, double ratio, double max_tokens);
/* Sets how many tokens this node may save; call when the size of the fleet changes. */
void snipe_retry_share_set_max_tokens(struct snipe_retry_share *s, double max_tokens);
void snipe_retry_share_on_call(struct snipe_retry_share *s);
int snipe_retry_share_take(struct snipe_retry_share *s, GRand *rng);

/* Returns the backoff in microseconds before retry number attempt, counted from 1: uniform in
 * [0, min(200 ms, 10 ms * 2^(attempt-1))] (full jitter). */
int64_t snipe_retry_backoff_us(int attempt, GRand *rng);

/*
 * Returns nonzero if a retry is safe and the backoff ends before the deadline. Does not look at
 * the ledger and the budget. not_run: the last attempt certainly did not run.
 */
int snipe_retry_is_allowed(int idempotent, int not_run, int64_t now_us, int64_t backoff_us,
			   int64_t deadline_us);

#ifdef __cplusplus
}
#endif

#endif
