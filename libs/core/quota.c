#include "core/quota.h"

#include <math.h>
#include <string.h>

#include "core/ownership.h"

/* The owner counts ahead tokens as open for 1% longer than the asker may use them, because
 * their clocks may run at different rates. */
#define OPEN_LIFE_US (SNIPE_GRANT_LIFE_US + SNIPE_GRANT_LIFE_US / 100)
/* Absorbs rounding: 0.1 tokens added ten times must make one. */
#define ROUNDING 1e-9
#define MAX_RETRY_US 60000000
/* Usage counts for at least one and less than two of these. */
#define DEMAND_SLOT_US 100000
/* Ahead tokens that are unused after this time go back to the owner, so that other nodes get
 * the whole burst. */
#define IDLE_RETURN_US 150000
/* An ask without a reply is taken as lost, and asked again, after this time. */
#define ASK_LOST_US 1000000

struct snipe_quota_bucket {
	double tokens;
	double rate, burst;
	int64_t refilled_us;
	int64_t acts_from_us;
	int open;      /* ahead tokens that askers may still use */
	GQueue grants; /* open grants by expiry */
	int shard;
};

struct open_grant {
	uint64_t id;
	int ahead;
	int64_t expires_us;
	struct snipe_quota_bucket *bucket;
	GList *link;
};

static void close_grant(struct snipe_quota_owner *q, struct open_grant *g)
{
	g->bucket->open -= g->ahead;
	g_queue_delete_link(&g->bucket->grants, g->link);
	g_hash_table_remove(q->grants, &g->id); /* frees it */
}

static void free_bucket(struct snipe_quota_owner *q, struct snipe_quota_bucket *b)
{
	while (!g_queue_is_empty(&b->grants))
		close_grant(q, g_queue_peek_head(&b->grants));
	g_free(b);
}

void snipe_quota_owner_init(struct snipe_quota_owner *q, uint64_t first_grant)
{
	memset(q, 0, sizeof(*q));
	q->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	q->grants = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->next_grant = first_grant;
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

/* Tokens and open ahead tokens together never exceed the burst. */
static void cap(struct snipe_quota_bucket *b)
{
	double room = b->burst - b->open;

	if (b->tokens > room)
		b->tokens = room;
}

static void add_time(struct snipe_quota_bucket *b, int64_t now_us)
{
	if (now_us > b->refilled_us) {
		b->tokens += b->rate * (double)(now_us - b->refilled_us) / 1e6;
		b->refilled_us = now_us;
	}
	cap(b);
}

/* Brings a bucket to now. Grants that expired on the way raise the cap only from then on. */
static void refill(struct snipe_quota_owner *q, struct snipe_quota_bucket *b, int64_t now_us)
{
	struct open_grant *g;

	while ((g = g_queue_peek_head(&b->grants)) && g->expires_us <= now_us) {
		add_time(b, g->expires_us);
		close_grant(q, g);
	}
	add_time(b, now_us);
}

static struct snipe_quota_bucket *get_bucket(struct snipe_quota_owner *q, int64_t now_us,
					     const char *workspace, double rate, double burst,
					     int64_t acts_from_us, int first_epoch)
{
	struct snipe_quota_bucket *b = g_hash_table_lookup(q->buckets, workspace);

	/* Another epoch of the same shard is another owner. */
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
	cap(b);
	return b;
}

static int whole_tokens(const struct snipe_quota_bucket *b)
{
	double n = floor(b->tokens + ROUNDING);

	return n <= 0 ? 0 : n >= G_MAXINT / 2 ? G_MAXINT / 2 : (int)n;
}

static int64_t time_to_token(struct snipe_quota_bucket *b, int64_t now_us)
{
	struct open_grant *g = g_queue_peek_head(&b->grants);
	double wait_us = MAX_RETRY_US;

	if (b->rate > 0 && (1 - b->tokens) * 1e6 / b->rate < MAX_RETRY_US)
		wait_us = (1 - b->tokens) * 1e6 / b->rate;
	if (g && b->burst - b->open < 1 && (double)(g->expires_us - now_us) > wait_us)
		wait_us = (double)(g->expires_us - now_us);
	return wait_us < 1 ? 1 : (int64_t)ceil(wait_us);
}

int snipe_quota_owner_should_wait(struct snipe_quota_owner *q, int64_t now_us,
				  const char *workspace, int want)
{
	struct snipe_quota_bucket *b = g_hash_table_lookup(q->buckets, workspace);

	if (!b)
		return 0;
	refill(q, b, now_us);
	return b->open > 0 && whole_tokens(b) < want;
}

void snipe_quota_owner_grant(struct snipe_quota_owner *q, int64_t now_us, const char *workspace,
			     double rate, double burst, int64_t acts_from_us, int first_epoch,
			     int want, int ahead, struct snipe_grant *grant)
{
	struct snipe_quota_bucket *b;
	struct open_grant *g;
	int spare;

	memset(grant, 0, sizeof(*grant));
	if (now_us < acts_from_us) {
		grant->retry_after_us = acts_from_us - now_us;
		return;
	}
	b = get_bucket(q, now_us, workspace, rate, burst, acts_from_us, first_epoch);
	grant->id = q->next_grant++;
	grant->tokens = CLAMP(want, 0, whole_tokens(b));
	b->tokens -= grant->tokens;
	if (grant->tokens < want)
		grant->retry_after_us = time_to_token(b, now_us);
	/* Half of the burst stays here for the other nodes. */
	spare = (int)floor(MIN(burst / 2 - b->open, b->tokens - burst / 2) + ROUNDING);
	grant->ahead = MIN(ahead, spare);
	if (grant->ahead <= 0) {
		grant->ahead = 0;
		return;
	}
	b->tokens -= grant->ahead;
	b->open += grant->ahead;
	g = g_new0(struct open_grant, 1);
	g->id = grant->id;
	g->ahead = grant->ahead;
	g->expires_us = now_us + OPEN_LIFE_US;
	g->bucket = b;
	g_queue_push_tail(&b->grants, g);
	g->link = b->grants.tail;
	g_hash_table_insert(q->grants, &g->id, g);
}

void snipe_quota_owner_return(struct snipe_quota_owner *q, int64_t now_us, uint64_t grant_id,
			      int tokens)
{
	struct open_grant *g = g_hash_table_lookup(q->grants, &grant_id);
	struct snipe_quota_bucket *b;

	if (!g)
		return;
	b = g->bucket;
	refill(q, b, now_us);
	/* The refill may have expired it. */
	g = g_hash_table_lookup(q->grants, &grant_id);
	if (!g)
		return;
	tokens = CLAMP(tokens, 0, g->ahead);
	close_grant(q, g);
	b->tokens += tokens;
	cap(b);
}

void snipe_quota_owner_tick(struct snipe_quota_owner *q, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->buckets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct snipe_quota_bucket *b = value;
		double again;

		refill(q, b, now_us);
		/* A bucket made again starts empty at acts_from_us: forget only one that would
		 * be full again at once. */
		again = b->rate * (double)(now_us - b->acts_from_us) / 1e6;
		if (b->open || b->tokens < b->burst || again < b->burst)
			continue;
		free_bucket(q, b);
		g_hash_table_iter_remove(&it);
	}
}

/* Asker's side. */
struct held_grant {
	uint64_t id;
	int tokens;
	int64_t sent_us; /* of the ask; the tokens end SNIPE_GRANT_LIFE_US later */
};

struct cache_entry {
	GArray *held; /* of struct held_grant, oldest first */
	int waiting;
	int is_asking;
	int asked_want;
	int64_t asked_us;
	int64_t over_until_us;
	int64_t slot_us; /* start of the running demand slot */
	int used, used_before;
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
		e->over_until_us = INT64_MIN;
		g_hash_table_insert(q->workspaces, g_strdup(workspace), e);
	}
	return e;
}

static void advance_demand(struct cache_entry *e, int64_t now_us)
{
	if (now_us - e->slot_us < DEMAND_SLOT_US)
		return;
	e->used_before = now_us - e->slot_us < (int64_t)2 * DEMAND_SLOT_US ? e->used : 0;
	e->used = 0;
	e->slot_us = now_us;
}

static int is_usable(const struct held_grant *g, int64_t now_us)
{
	return g->tokens > 0 && now_us < g->sent_us + SNIPE_GRANT_LIFE_US;
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

static void ask(struct cache_entry *e, int64_t now_us, int *want, int *ahead)
{
	if (e->is_asking && now_us - e->asked_us < ASK_LOST_US)
		return;
	*want = e->waiting;
	*ahead = MAX(e->used, e->used_before);
	if (!*want && !*ahead)
		return;
	e->is_asking = 1;
	e->asked_us = now_us;
	e->asked_want = *want;
}

enum snipe_quota_verdict snipe_quota_cache_take(struct snipe_quota_cache *q, int64_t now_us,
						const char *workspace, int *want, int *ahead,
						int64_t *retry_after_us)
{
	struct cache_entry *e = get_entry(q, workspace);

	*want = *ahead = 0;
	*retry_after_us = 0;
	advance_demand(e, now_us);
	if (!e->waiting && use_held_token(e, now_us)) {
		e->used++;
		if (held_tokens(e, now_us) <= MAX(e->used, e->used_before) / 2 &&
		    now_us >= e->over_until_us)
			ask(e, now_us, want, ahead);
		return SNIPE_QUOTA_TAKEN;
	}
	if (!e->waiting && now_us < e->over_until_us) {
		*retry_after_us = e->over_until_us - now_us;
		return SNIPE_QUOTA_OVER;
	}
	e->waiting++;
	ask(e, now_us, want, ahead);
	return SNIPE_QUOTA_WAIT;
}

/* Gives held tokens to waiting calls. Returns their number. */
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

void snipe_quota_cache_grant(struct snipe_quota_cache *q, int64_t now_us, const char *workspace,
			     int64_t sent_us, const struct snipe_grant *grant, int failed,
			     int *serve, int *refuse, int *want, int *ahead)
{
	struct cache_entry *e = get_entry(q, workspace);
	int is_current = e->is_asking && sent_us >= e->asked_us;

	*serve = *refuse = *want = *ahead = 0;
	/* A reply to an earlier ask is a duplicate, or too late to be used. */
	if (!is_current)
		return;
	e->is_asking = 0;
	advance_demand(e, now_us);
	if (failed) {
		*refuse = e->waiting;
	} else if (now_us - sent_us < SNIPE_GRANT_LIFE_US) {
		struct held_grant g = {grant->id, grant->ahead, sent_us};

		if (grant->ahead > 0)
			g_array_append_val(e->held, g);
		*serve = serve_waiting(e, now_us, grant->tokens);
		if (grant->tokens < e->asked_want) {
			e->over_until_us = sent_us + grant->retry_after_us;
			*refuse = e->waiting;
		}
	}
	e->waiting -= *refuse;
	if (e->waiting)
		ask(e, now_us, want, ahead);
}

void snipe_quota_cache_abandon(struct snipe_quota_cache *q, const char *workspace)
{
	struct cache_entry *e = get_entry(q, workspace);

	if (e->waiting > 0)
		e->waiting--;
}

static int is_entry_idle(const struct cache_entry *e, int64_t now_us)
{
	return !e->held->len && !e->waiting && !e->is_asking && now_us >= e->over_until_us &&
	       now_us - e->slot_us >= SNIPE_GRANT_LIFE_US;
}

/* Removes expired grants and takes out one that is used up or unused for too long. */
static int take_return(struct cache_entry *e, int64_t now_us, struct held_grant *out)
{
	for (guint i = 0; i < e->held->len;) {
		*out = g_array_index(e->held, struct held_grant, i);
		if (now_us < out->sent_us + SNIPE_GRANT_LIFE_US && out->tokens > 0 &&
		    now_us < out->sent_us + IDLE_RETURN_US) {
			i++;
			continue;
		}
		g_array_remove_index(e->held, i);
		if (now_us < out->sent_us + SNIPE_GRANT_LIFE_US)
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

		if (take_return(value, now_us, &g)) {
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
