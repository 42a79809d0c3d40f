/*
 * Retries: a ledger at the first node bounds all retries behind one client request; a ratio
 * budget for each route at each node bounds retries against its calls; backoff has full jitter.
 * docs/decisions/retry-bound.md states the reasons.
 */
#ifndef SNIPE_RETRY_H
#define SNIPE_RETRY_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Ledger entries by client request. Fields are private. */
struct snipe_retry_ledger {
	GHashTable *entries; /* request id -> retries left */
};

void snipe_retry_ledger_init(struct snipe_retry_ledger *l);
void snipe_retry_ledger_finish(struct snipe_retry_ledger *l);

/* A client request enters here with its route's max_retries. Ids are unique for the node's
 * life; an id that is open already keeps its ledger. */
void snipe_retry_ledger_open(struct snipe_retry_ledger *l, uint64_t request, int max_retries);
void snipe_retry_ledger_close(struct snipe_retry_ledger *l, uint64_t request);

/* Takes one retry. Returns 1 if granted, 0 if the bound is reached or the request is unknown.
 */
int snipe_retry_ledger_take(struct snipe_retry_ledger *l, uint64_t request);

/* Ratio budget of one route at one node. Fields are private. */
struct snipe_retry_budget {
	int percent;
	int hundredths; /* of a token; each call adds percent, a retry takes 100 */
};

/*
 * Retries are at most percent of the calls, plus one at the start; at most 10 are saved up.
 * With percent 0 there are none.
 */
void snipe_retry_budget_init(struct snipe_retry_budget *b, int percent);
/* Takes a changed table into account and keeps what is saved up. */
void snipe_retry_budget_set_percent(struct snipe_retry_budget *b, int percent);
void snipe_retry_budget_on_call(struct snipe_retry_budget *b);
int snipe_retry_budget_take(struct snipe_retry_budget *b);
/* Gives back a token whose retry was refused by the ledger. */
void snipe_retry_budget_give_back(struct snipe_retry_budget *b);

/*
 * Share of one node in the budget of a fleet. Fields are private.
 *
 * Retries of all nodes together are at most ratio of the calls and what is saved up. A node of
 * a large fleet may save less than one retry; it then makes one with that probability.
 */
struct snipe_retry_share {
	double ratio;
	double saved_max;
	double tokens;
};

/* Starts with saved_max saved up. */
void snipe_retry_share_init(struct snipe_retry_share *s, double ratio, double saved_max);
/* The fleet, and with it what this node may save up, has changed. */
void snipe_retry_share_set_saved_max(struct snipe_retry_share *s, double saved_max);
void snipe_retry_share_on_call(struct snipe_retry_share *s);
int snipe_retry_share_take(struct snipe_retry_share *s, GRand *rng);

/* Returns the wait before attempt number attempt (1 is the first retry), with full jitter:
 * uniform in [0, min(200 ms, 10 ms * 2^(attempt-1))]. */
int64_t snipe_retry_backoff_us(int attempt, GRand *rng);

/*
 * Whether another attempt may be made at all, before ledger and budget are asked.
 * not_run: the last attempt certainly did not run.
 */
int snipe_retry_allowed(int idempotent, int not_run, int64_t now_us, int64_t backoff_us,
			int64_t deadline_us);

#ifdef __cplusplus
}
#endif

#endif
