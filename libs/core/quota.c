#include "core/quota.h"

#include <math.h>
#include <string.h>

#include "core/ownership.h"

/* The owner counts prefetched tokens as outstanding for 1% longer than the entry node may use
 * them, because their clocks may run at different rates. */
#define OUTSTANDING_LIFETIME_US (SNIPE_GRANT_LIFETIME_US + SNIPE_GRANT_LIFETIME_US / 100)
/* Absorbs rounding errors: 0.1 tokens added ten times must make one. */
#define ROUNDING_TOKENS 1e-9
#define MAX_RETRY_AFTER_US 60000000
/* Usage counts as demand for at least one and less than two of these windows. */
#define DEMAND_WINDOW_US 100000
/* Prefetched tokens that are unused after this time are returned to the owner, so that other
 * nodes can get the whole burst. */
#define IDLE_RETURN_US 150000
/* An ask without a reply counts as lost after this time and may be repeated. */
#define ASK_TIMEOUT_US 1000000

struct snipe_quota_bucket {
	double tokens;
	double rate, burst;
	int64_t refilled_us;
	int64_t acts_from_us;
	int outstanding; /* prefetched tokens that nodes may still use */
	GQueue grants;	 /* outstanding grants by expiry */
	int shard;
};

struct outstanding_grant {
	uint64_t id;
	int prefetch;
	int64_t expires_us;
	struct snipe_quota_bucket *bucket;
	GList *link;
};

static void close_grant(struct snipe_quota_owner *q, struct outstanding_grant *g)
{
	g->bucket->outstanding -= g->prefetch;
	g_queue_delete_link(&g->bucket->grants, g->link);
	g_hash_table_remove(q->grants, &g->id); /* frees g */
}

static void free_bucket(struct snipe_quota_owner *q, struct snipe_quota_bucket *b)
{
	while (!g_queue_is_empty(&b->grants))
		close_grant(q, g_queue_peek_head(&b->grants));
	g_free(b);
}

void snipe_quota_owner_init(struct snipe_quota_owner *q, uint64_t first_grant_id)
{
	memset(q, 0, sizeof(*q));
	q->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	q->grants = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->next_grant_id = first_grant_id;
}

void snipe_quota_owner_finish(struct snipe_quota_owner *q)
{
	GHashTableIter it;
	gpointer bucket;

	g_hash_table_iter_init(&it, q->buckets);
	while (g_hash_table_iter_next(&it, NULL, &bucket))
		free_bucket(q, bucket);
	g_hash_table_destroy(q->buckets);
	g_hash_table_destroy(q->grants);
}

void snipe_quota_owner_drop_shard(struct snipe_quota_owner *q, int shard)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->buckets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct snipe_quota_bucket *b = value;

		if (b->shard != shard)
			continue;
		free_bucket(q, b);
		g_hash_table_iter_remove(&it);
	}
}

/* Keeps available and outstanding tokens together within the burst. */
static void limit_tokens(struct snipe_quota_bucket *b)
{
	double max_tokens = b->burst - b->outstanding;

	if (b->tokens > max_tokens)
		b->tokens = max_tokens;
}

static void add_tokens(struct snipe_quota_bucket *b, int64_t now_us)
{
	if (now_us > b->refilled_us) {
		b->tokens += b->rate * (double)(now_us - b->refilled_us) / 1e6;
		b->refilled_us = now_us;
	}
	limit_tokens(b);
}

/* Refills a bucket up to now. Outstanding tokens count against the burst until they expire. */
static void refill(struct snipe_quota_owner *q, struct snipe_quota_bucket *b, int64_t now_us)
{
	struct outstanding_grant *g;

	while ((g = g_queue_peek_head(&b->grants)) && g->expires_us <= now_us) {
		add_tokens(b, g->expires_us);
		close_grant(q, g);
	}
	add_tokens(b, now_us);
}

static struct snipe_quota_bucket *get_bucket(struct snipe_quota_owner *q, int64_t now_us,
					     const char *workspace, double rate, double burst,
					     int64_t acts_from_us, int first_epoch)
{
	struct snipe_quota_bucket *b = g_hash_table_lookup(q->buckets, workspace);

	/* A new epoch of the shard means a new owner, which starts with a new bucket. */
	if (b && b->acts_from_us != acts_from_us) {
		free_bucket(q, b);
		g_hash_table_remove(q->buckets, workspace);
		b = NULL;
	}
	if (!b) {
		b = g_new0(struct snipe_quota_bucket, 1);
		g_queue_init(&b->grants);
		b->shard = snipe_shard_of_workspace(workspace);
		b->acts_from_us = acts_from_us;
		b->refilled_us = first_epoch ? now_us : acts_from_us;
		b->tokens = first_epoch ? burst : 0;
		b->rate = rate;
		b->burst = burst;
		g_hash_table_insert(q->buckets, g_strdup(workspace), b);
	}
	refill(q, b, now_us);
	b->rate = rate;
	b->burst = burst;
	limit_tokens(b);
	return b;
}

static int whole_tokens(const struct snipe_quota_bucket *b)
{
	double n = floor(b->tokens + ROUNDING_TOKENS);

	return n <= 0 ? 0 : n >= G_MAXINT / 2 ? G_MAXINT / 2 : (int)n;
}

static int64_t next_token_us(struct snipe_quota_bucket *b, int64_t now_us)
{
	struct outstanding_grant *g = g_queue_peek_head(&b->grants);
	double wait_us = MAX_RETRY_AFTER_US;

	if (b->rate > 0 && (1 - b->tokens) * 1e6 / b->rate < MAX_RETRY_AFTER_US)
		wait_us = (1 - b->tokens) * 1e6 / b->rate;
	if (g && b->burst - b->outstanding < 1 && (double)(g->expires_us - now_us) > wait_us)
		wait_us = (double)(g->expires_us - now_us);
	return wait_us < 1 ? 1 : (int64_t)ceil(wait_us);
}

int snipe_quota_owner_should_delay(struct snipe_quota_owner *q, int64_t now_us,
				   const char *workspace, int want)
{
	struct snipe_quota_bucket *b = g_hash_table_lookup(q->buckets, workspace);

	if (!b)
		return 0;
	refill(q, b, now_us);
	return b->outstanding > 0 && whole_tokens(b) < want;
}

void snipe_quota_owner_grant(struct snipe_quota_owner *q, int64_t now_us, const char *workspace,
			     double rate, double burst, int64_t acts_from_us, int first_epoch,
			     int want, int prefetch, struct snipe_grant *grant)
{
	struct snipe_quota_bucket *b;
	struct outstanding_grant *g;
	int spare;

	memset(grant, 0, sizeof(*grant));
	if (now_us < acts_from_us) {
		grant->retry_after_us = acts_from_us - now_us;
		return;
	}
	b = get_bucket(q, now_us, workspace, rate, burst, acts_from_us, first_epoch);
	grant->id = q->next_grant_id++;
	grant->tokens = CLAMP(want, 0, whole_tokens(b));
	b->tokens -= grant->tokens;
	if (grant->tokens < want)
		grant->retry_after_us = next_token_us(b, now_us);
	/* Half of the burst is kept for the other nodes. */
	spare = (int)floor(MIN(burst / 2 - b->outstanding, b->tokens - burst / 2) +
			   ROUNDING_TOKENS);
	grant->prefetch_tokens = MIN(prefetch, spare);
	if (grant->prefetch_tokens <= 0) {
		grant->prefetch_tokens = 0;
		return;
	}
	b->tokens -= grant->prefetch_tokens;
	b->outstanding += grant->prefetch_tokens;
	g = g_new0(struct outstanding_grant, 1);
	g->id = grant->id;
	g->prefetch = grant->prefetch_tokens;
	g->expires_us = now_us + OUTSTANDING_LIFETIME_US;
	g->bucket = b;
	g_queue_push_tail(&b->grants, g);
	g->link = b->grants.tail;
	g_hash_table_insert(q->grants, &g->id, g);
}

void snipe_quota_owner_return(struct snipe_quota_owner *q, int64_t now_us, uint64_t grant_id,
			      int tokens)
{
	struct outstanding_grant *g = g_hash_table_lookup(q->grants, &grant_id);
	struct snipe_quota_bucket *b;

	if (!g)
		return;
	b = g->bucket;
	refill(q, b, now_us);
	/* The refill closes expired grants and may have freed this one. */
	g = g_hash_table_lookup(q->grants, &grant_id);
	if (!g)
		return;
	tokens = CLAMP(tokens, 0, g->prefetch);
	close_grant(q, g);
	b->tokens += tokens;
	limit_tokens(b);
}

void snipe_quota_owner_tick(struct snipe_quota_owner *q, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->buckets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct snipe_quota_bucket *b = value;
		double recreated_tokens;

		refill(q, b, now_us);
		/* A recreated bucket starts empty at acts_from_us, so free only a bucket that
		 * would be full again by now. */
		recreated_tokens = b->rate * (double)(now_us - b->acts_from_us) / 1e6;
		if (b->outstanding || b->tokens < b->burst || recreated_tokens < b->burst)
			continue;
		free_bucket(q, b);
		g_hash_table_iter_remove(&it);
	}
}

/* Cached at an entry node. */
struct held_grant {
	uint64_t id;
	int tokens;
	int64_t sent_us; /* of the ask; the tokens expire SNIPE_GRANT_LIFETIME_US later */
};

struct cache_entry {
	GArray *held; /* of struct held_grant, oldest first */
	int waiting;
	int is_ask_pending;
	int asked_tokens;
	int64_t asked_us;
	int64_t exhausted_until_us;
	int64_t window_start_us; /* start of the current demand window */
	int used, used_previous; /* tokens, in the current and the previous window */
};

static void free_cache_entry(gpointer data)
{
	struct cache_entry *e = data;

	g_array_free(e->held, TRUE);
	g_free(e);
}

void snipe_quota_cache_init(struct snipe_quota_cache *q)
{
	q->workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_cache_entry);
}

void snipe_quota_cache_finish(struct snipe_quota_cache *q)
{
	g_hash_table_destroy(q->workspaces);
}

static struct cache_entry *get_entry(struct snipe_quota_cache *q, const char *workspace)
{
	struct cache_entry *e = g_hash_table_lookup(q->workspaces, workspace);

	if (!e) {
		e = g_new0(struct cache_entry, 1);
		e->held = g_array_new(FALSE, FALSE, sizeof(struct held_grant));
		e->exhausted_until_us = INT64_MIN;
		g_hash_table_insert(q->workspaces, g_strdup(workspace), e);
	}
	return e;
}

static void advance_demand(struct cache_entry *e, int64_t now_us)
{
	if (now_us - e->window_start_us < DEMAND_WINDOW_US)
		return;
	e->used_previous =
		now_us - e->window_start_us < (int64_t)2 * DEMAND_WINDOW_US ? e->used : 0;
	e->used = 0;
	e->window_start_us = now_us;
}

static int is_usable(const struct held_grant *g, int64_t now_us)
{
	return g->tokens > 0 && now_us < g->sent_us + SNIPE_GRANT_LIFETIME_US;
}

static int held_tokens(const struct cache_entry *e, int64_t now_us)
{
	int n = 0;

	for (guint i = 0; i < e->held->len; i++) {
		const struct held_grant *g = &g_array_index(e->held, struct held_grant, i);

		if (is_usable(g, now_us))
			n += g->tokens;
	}
	return n;
}

static int use_held_token(struct cache_entry *e, int64_t now_us)
{
	for (guint i = 0; i < e->held->len; i++) {
		struct held_grant *g = &g_array_index(e->held, struct held_grant, i);

		if (is_usable(g, now_us)) {
			g->tokens--;
			return 1;
		}
	}
	return 0;
}

static void prepare_ask(struct cache_entry *e, int64_t now_us, int *want, int *prefetch)
{
	if (e->is_ask_pending && now_us - e->asked_us < ASK_TIMEOUT_US)
		return;
	*want = e->waiting;
	*prefetch = MAX(e->used, e->used_previous);
	if (!*want && !*prefetch)
		return;
	e->is_ask_pending = 1;
	e->asked_us = now_us;
	e->asked_tokens = *want;
}

enum snipe_quota_verdict snipe_quota_cache_take(struct snipe_quota_cache *q, int64_t now_us,
						const char *workspace, int *want, int *prefetch,
						int64_t *retry_after_us)
{
	struct cache_entry *e = get_entry(q, workspace);

	*want = *prefetch = 0;
	*retry_after_us = 0;
	advance_demand(e, now_us);
	if (!e->waiting && use_held_token(e, now_us)) {
		e->used++;
		if (held_tokens(e, now_us) <= MAX(e->used, e->used_previous) / 2 &&
		    now_us >= e->exhausted_until_us)
			prepare_ask(e, now_us, want, prefetch);
		return SNIPE_QUOTA_TAKEN;
	}
	if (!e->waiting && now_us < e->exhausted_until_us) {
		*retry_after_us = e->exhausted_until_us - now_us;
		return SNIPE_QUOTA_EXHAUSTED;
	}
	e->waiting++;
	prepare_ask(e, now_us, want, prefetch);
	return SNIPE_QUOTA_WAIT;
}

/* Gives granted and held tokens to waiting calls. Returns the number of calls served. */
static int serve_waiting(struct cache_entry *e, int64_t now_us, int tokens)
{
	int served = 0;

	while (e->waiting > 0 && (tokens-- > 0 || use_held_token(e, now_us))) {
		e->waiting--;
		e->used++;
		served++;
	}
	return served;
}

void snipe_quota_cache_on_grant(struct snipe_quota_cache *q, int64_t now_us,
				const char *workspace, int64_t sent_us,
				const struct snipe_grant *grant, int failed, int *serve,
				int *reject, int *want, int *prefetch)
{
	struct cache_entry *e = get_entry(q, workspace);
	int is_current = e->is_ask_pending && sent_us >= e->asked_us;

	*serve = *reject = *want = *prefetch = 0;
	/* A reply to an earlier ask is a duplicate or too late. */
	if (!is_current)
		return;
	e->is_ask_pending = 0;
	advance_demand(e, now_us);
	if (failed) {
		*reject = e->waiting;
	} else if (now_us - sent_us < SNIPE_GRANT_LIFETIME_US) {
		struct held_grant g = {grant->id, grant->prefetch_tokens, sent_us};

		if (grant->prefetch_tokens > 0)
			g_array_append_val(e->held, g);
		*serve = serve_waiting(e, now_us, grant->tokens);
		if (grant->tokens < e->asked_tokens) {
			e->exhausted_until_us = sent_us + grant->retry_after_us;
			*reject = e->waiting;
		}
	}
	e->waiting -= *reject;
	if (e->waiting)
		prepare_ask(e, now_us, want, prefetch);
}

void snipe_quota_cache_cancel_wait(struct snipe_quota_cache *q, const char *workspace)
{
	struct cache_entry *e = get_entry(q, workspace);

	if (e->waiting > 0)
		e->waiting--;
}

static int is_entry_idle(const struct cache_entry *e, int64_t now_us)
{
	return !e->held->len && !e->waiting && !e->is_ask_pending &&
	       now_us >= e->exhausted_until_us &&
	       now_us - e->window_start_us >= SNIPE_GRANT_LIFETIME_US;
}

/* Removes expired grants, and one that is used up or was unused for too long. Returns 1 if it
 * found one to return to the owner. */
static int remove_returnable(struct cache_entry *e, int64_t now_us, struct held_grant *out)
{
	for (guint i = 0; i < e->held->len;) {
		*out = g_array_index(e->held, struct held_grant, i);
		if (now_us < out->sent_us + SNIPE_GRANT_LIFETIME_US && out->tokens > 0 &&
		    now_us < out->sent_us + IDLE_RETURN_US) {
			i++;
			continue;
		}
		g_array_remove_index(e->held, i);
		if (now_us < out->sent_us + SNIPE_GRANT_LIFETIME_US)
			return 1;
	}
	return 0;
}

int snipe_quota_cache_next_return(struct snipe_quota_cache *q, int64_t now_us,
				  const char **workspace, uint64_t *grant_id, int *tokens)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, q->workspaces);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct held_grant g;

		if (remove_returnable(value, now_us, &g)) {
			*workspace = key;
			*grant_id = g.id;
			*tokens = g.tokens;
			return 1;
		}
		if (is_entry_idle(value, now_us))
			g_hash_table_iter_remove(&it);
	}
	return 0;
}
