#include "core/retry.h"

#define TOKEN 100
#define SAVED_TOKENS 10 /* bounds a burst of retries after a long time without failures */
#define BACKOFF_FIRST_US 10000
#define BACKOFF_MAX_US 200000

struct entry {
	uint64_t request; /* key in the table of entries */
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
	b->hundredths = b->percent > 0 ? TOKEN : 0;
}

void snipe_retry_budget_set_percent(struct snipe_retry_budget *b, int percent)
{
	b->percent = MAX(percent, 0);
	if (b->percent == 0)
		b->hundredths = 0;
}

void snipe_retry_budget_on_call(struct snipe_retry_budget *b)
{
	b->hundredths = MIN(b->hundredths + b->percent, SAVED_TOKENS * TOKEN);
}

int snipe_retry_budget_take(struct snipe_retry_budget *b)
{
	if (b->hundredths < TOKEN)
		return 0;
	b->hundredths -= TOKEN;
	return 1;
}

void snipe_retry_budget_give_back(struct snipe_retry_budget *b)
{
	if (b->percent > 0)
		b->hundredths = MIN(b->hundredths + TOKEN, SAVED_TOKENS * TOKEN);
}

void snipe_retry_share_init(struct snipe_retry_share *s, double ratio, double saved_max)
{
	s->ratio = MAX(ratio, 0);
	s->saved_max = saved_max;
	s->tokens = saved_max;
}

void snipe_retry_share_set_saved_max(struct snipe_retry_share *s, double saved_max)
{
	s->saved_max = saved_max;
	s->tokens = MIN(s->tokens, saved_max);
}

void snipe_retry_share_on_call(struct snipe_retry_share *s)
{
	/* What this call brings can be used for itself, also where less can be saved up. */
	s->tokens = MIN(s->tokens, s->saved_max) + s->ratio;
}

int snipe_retry_share_take(struct snipe_retry_share *s, GRand *rng)
{
	double part = s->tokens;

	if (part >= 1) {
		s->tokens -= 1;
		return 1;
	}
	/* Drawn for once: another draw for the same part would be worth more than it. */
	s->tokens = 0;
	return g_rand_double(rng) < part;
}

int64_t snipe_retry_backoff_us(int attempt, GRand *rng)
{
	int doublings = CLAMP(attempt - 1, 0, 10);
	int64_t most = MIN((int64_t)BACKOFF_FIRST_US << doublings, BACKOFF_MAX_US);

	return g_rand_int_range(rng, 0, (gint32)most + 1);
}

int snipe_retry_allowed(int idempotent, int not_run, int64_t now_us, int64_t backoff_us,
			int64_t deadline_us)
{
	return (idempotent || not_run) && backoff_us < deadline_us - now_us;
}
