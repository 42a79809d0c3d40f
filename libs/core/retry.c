#include "core/retry.h"

#define TOKEN_HUNDREDTHS 100
#define MAX_SAVED_TOKENS 10 /* limits a burst of retries after a long time without failures */
#define BACKOFF_BASE_US 10000
#define BACKOFF_MAX_US 200000

struct entry {
	uint64_t request; /* hash table key */
	int retries_left;
};

void snipe_retry_ledger_init(struct snipe_retry_ledger *l)
{
	l->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void snipe_retry_ledger_finish(struct snipe_retry_ledger *l)
{
	g_hash_table_destroy(l->entries);
	l->entries = NULL;
}

void snipe_retry_ledger_open(struct snipe_retry_ledger *l, uint64_t request, int max_retries)
{
	struct entry *e;

	if (g_hash_table_contains(l->entries, &request))
		return;
	e = g_new(struct entry, 1);
	e->request = request;
	e->retries_left = max_retries;
	g_hash_table_insert(l->entries, &e->request, e);
}

void snipe_retry_ledger_close(struct snipe_retry_ledger *l, uint64_t request)
{
	g_hash_table_remove(l->entries, &request);
}

int snipe_retry_ledger_take(struct snipe_retry_ledger *l, uint64_t request)
{
	struct entry *e = g_hash_table_lookup(l->entries, &request);

	if (!e || e->retries_left <= 0)
		return 0;
	e->retries_left--;
	return 1;
}

void snipe_retry_budget_init(struct snipe_retry_budget *b, int percent)
{
	b->percent = MAX(percent, 0);
	b->token_hundredths = b->percent > 0 ? TOKEN_HUNDREDTHS : 0;
}

void snipe_retry_budget_set_percent(struct snipe_retry_budget *b, int percent)
{
	b->percent = MAX(percent, 0);
	if (b->percent == 0)
		b->token_hundredths = 0;
}

void snipe_retry_budget_on_call(struct snipe_retry_budget *b)
{
	b->token_hundredths =
		MIN(b->token_hundredths + b->percent, MAX_SAVED_TOKENS * TOKEN_HUNDREDTHS);
}

int snipe_retry_budget_take(struct snipe_retry_budget *b)
{
	if (b->token_hundredths < TOKEN_HUNDREDTHS)
		return 0;
	b->token_hundredths -= TOKEN_HUNDREDTHS;
	return 1;
}

void snipe_retry_budget_refund(struct snipe_retry_budget *b)
{
	if (b->percent > 0)
		b->token_hundredths = MIN(b->token_hundredths + TOKEN_HUNDREDTHS,
					  MAX_SAVED_TOKENS * TOKEN_HUNDREDTHS);
}

void snipe_retry_share_init(struct snipe_retry_share *s, double ratio, double max_tokens)
{
	s->ratio = MAX(ratio, 0);
	s->max_tokens = max_tokens;
	s->tokens = max_tokens;
}

void snipe_retry_share_set_max_tokens(struct snipe_retry_share *s, double max_tokens)
{
	s->max_tokens = max_tokens;
	s->tokens = MIN(s->tokens, max_tokens);
}

void snipe_retry_share_on_call(struct snipe_retry_share *s)
{
	/* The call's own tokens are added after the limit, so that a retry of the call can use
	 * them even if the node may save less. */
	s->tokens = MIN(s->tokens, s->max_tokens) + s->ratio;
}

int snipe_retry_share_take(struct snipe_retry_share *s, GRand *rng)
{
	double tokens = s->tokens;

	if (tokens >= 1) {
		s->tokens -= 1;
		return 1;
	}
	/* A fraction of a token is drawn for only once: repeated draws would allow more retries
	 * than it is worth. */
	s->tokens = 0;
	return g_rand_double(rng) < tokens;
}

int64_t snipe_retry_backoff_us(int attempt, GRand *rng)
{
	int exponent = CLAMP(attempt - 1, 0, 10);
	int64_t max_us = MIN((int64_t)BACKOFF_BASE_US << exponent, BACKOFF_MAX_US);

	return g_rand_int_range(rng, 0, (gint32)max_us + 1);
}

int snipe_retry_is_allowed(int idempotent, int not_run, int64_t now_us, int64_t backoff_us,
			   int64_t deadline_us)
{
	return (idempotent || not_run) && backoff_us < deadline_us - now_us;
}
