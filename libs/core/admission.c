#include "core/admission.h"

#include <string.h>

#define NEWEST_FIRST_US 100000 /* waiting time of the oldest call that reverses the order */
#define SERVED_UNIT 1024       /* one served call; keeps some precision while it decays */
#define DECAY_US 1000000       /* served counts are halved after this time */
#define SHARES_BEFORE_SWEEP 64

struct share {
	uint64_t workspace; /* key in the table of shares */
	int running;
	int waiting[SNIPE_IMPORTANCE_COUNT];
	uint64_t served;
	int64_t served_step; /* multiple of DECAY_US up to which served has decayed */
};

struct snipe_admission_entry {
	struct snipe_admission_call call;
	struct share *share;
};

void snipe_admission_init(struct snipe_admission *q, int queue_limit)
{
	memset(q, 0, sizeof(*q));
	q->queue_limit = queue_limit;
	q->sweep_size = SHARES_BEFORE_SWEEP;
	q->shares = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void snipe_admission_finish(struct snipe_admission *q)
{
	g_hash_table_destroy(q->shares);
	g_free(q->waiting);
	memset(q, 0, sizeof(*q));
}

void snipe_admission_set_queue_limit(struct snipe_admission *q, int queue_limit)
{
	q->queue_limit = queue_limit;
}

static uint64_t decayed_served(struct share *s, int64_t now_us)
{
	int64_t step = now_us / DECAY_US;
	int64_t steps = step - s->served_step;

	if (steps > 0) {
		s->served = steps < 64 ? s->served >> steps : 0;
		s->served_step = step;
	}
	return s->served;
}

/* Compares the service that two workspaces get; negative if a is served less. */
static int compare_service(struct share *a, struct share *b, int64_t now_us)
{
	uint64_t served_a, served_b;

	if (a->running != b->running)
		return a->running < b->running ? -1 : 1;
	served_a = decayed_served(a, now_us);
	served_b = decayed_served(b, now_us);
	return served_a < served_b ? -1 : served_a > served_b;
}

static gboolean share_is_idle(void *key, void *value, void *user_data)
{
	struct share *s = value;

	for (int i = 0; i < SNIPE_IMPORTANCE_COUNT; i++)
		if (s->waiting[i] > 0)
			return FALSE;
	return s->running == 0 && decayed_served(s, *(int64_t *)user_data) == 0;
}

static struct share *find_share(struct snipe_admission *q, int64_t now_us, uint64_t workspace)
{
	struct share *s = g_hash_table_lookup(q->shares, &workspace);
	int count;

	if (s)
		return s;
	if ((int)g_hash_table_size(q->shares) >= q->sweep_size) {
		g_hash_table_foreach_remove(q->shares, share_is_idle, &now_us);
		count = (int)g_hash_table_size(q->shares);
		q->sweep_size = MAX(2 * count, SHARES_BEFORE_SWEEP);
	}
	s = g_new0(struct share, 1);
	s->workspace = workspace;
	s->served_step = now_us / DECAY_US;
	g_hash_table_insert(q->shares, &s->workspace, s);
	return s;
}

static void count_start(struct snipe_admission *q, struct share *s, int64_t now_us)
{
	q->running++;
	s->running++;
	s->served = decayed_served(s, now_us) + SERVED_UNIT;
}

static void add_entry(struct snipe_admission *q, const struct snipe_admission_call *call,
		      struct share *s, int64_t now_us)
{
	struct snipe_admission_entry *e;

	if (q->waiting_count == q->waiting_size) {
		q->waiting_size = q->waiting_size ? 2 * q->waiting_size : 16;
		q->waiting = g_renew(struct snipe_admission_entry, q->waiting, q->waiting_size);
	}
	e = &q->waiting[q->waiting_count++];
	e->call = *call;
	e->call.enqueued_us = now_us;
	e->share = s;
	s->waiting[call->importance]++;
	q->by_importance[call->importance]++;
}

static int remove_entry(struct snipe_admission *q, int index)
{
	struct snipe_admission_entry e = q->waiting[index];

	e.share->waiting[e.call.importance]--;
	q->by_importance[e.call.importance]--;
	q->waiting_count--;
	memmove(&q->waiting[index], &q->waiting[index + 1],
		(size_t)(q->waiting_count - index) * sizeof(e));
	return e.call.handle;
}

static int is_expired(const struct snipe_admission_entry *e, int64_t now_us)
{
	return e->call.deadline_us <= now_us;
}

static int find_expired(const struct snipe_admission *q, int64_t now_us)
{
	for (int i = 0; i < q->waiting_count; i++)
		if (is_expired(&q->waiting[i], now_us))
			return i;
	return -1;
}

/* Returns the highest importance that waits and is not expired, -1 if there is none. */
static int highest_waiting(const struct snipe_admission *q, int64_t now_us)
{
	int highest = -1;

	for (int i = 0; i < q->waiting_count; i++) {
		int importance = (int)q->waiting[i].call.importance;
		if (importance > highest && !is_expired(&q->waiting[i], now_us))
			highest = importance;
	}
	return highest;
}

static int lowest_waiting(const struct snipe_admission *q)
{
	int i = 0;

	while (i < SNIPE_IMPORTANCE_COUNT && q->by_importance[i] == 0)
		i++;
	return i;
}

/* The oldest and the newest call of a workspace at one importance. */
struct range {
	int oldest;
	int newest;
};

static struct range find_range(const struct snipe_admission *q, const struct share *s,
			       int importance, int64_t now_us)
{
	struct range r = {-1, -1};

	for (int i = 0; i < q->waiting_count; i++) {
		const struct snipe_admission_entry *e = &q->waiting[i];
		if (e->share != s || (int)e->call.importance != importance ||
		    is_expired(e, now_us))
			continue;
		if (r.oldest < 0)
			r.oldest = i;
		r.newest = i;
	}
	return r;
}

static int is_newest_first(const struct snipe_admission *q, struct range r, int64_t now_us)
{
	return r.oldest >= 0 &&
	       now_us - q->waiting[r.oldest].call.enqueued_us > NEWEST_FIRST_US;
}

/*
 * Finds the workspace that gives way at one importance: the one with the most calls in the
 * queue, counting the arriving call, then the most served one. Taking the most served one first
 * would empty the queue places of a small workspace whenever it is just ahead.
 */
static struct share *find_victim_share(struct snipe_admission *q, int64_t now_us,
				       int importance, struct share *arriving)
{
	struct share *victim = arriving;

	for (int i = 0; i < q->waiting_count; i++) {
		struct share *s = q->waiting[i].share;
		int excess;

		if ((int)q->waiting[i].call.importance != importance || s == victim)
			continue;
		if (!victim) {
			victim = s;
			continue;
		}
		excess = (s->waiting[importance] + (s == arriving)) -
			 (victim->waiting[importance] + (victim == arriving));
		if (excess > 0 || (excess == 0 && compare_service(s, victim, now_us) > 0))
			victim = s;
	}
	return victim;
}

/*
 * Chooses the call that gives way when the queue is full: among the least important calls, the
 * one that would run last. Returns its index, or -1 for the arriving call itself.
 */
static int find_victim(struct snipe_admission *q, int64_t now_us,
		       const struct snipe_admission_call *call, struct share *arriving)
{
	int lowest = lowest_waiting(q);
	int is_lowest = (int)call->importance <= lowest;
	struct share *victim;
	struct range r;

	if ((int)call->importance < lowest)
		return -1;
	victim = find_victim_share(q, now_us, lowest, is_lowest ? arriving : NULL);
	r = find_range(q, victim, lowest, now_us);
	if (is_newest_first(q, r, now_us))
		return r.oldest;
	return is_lowest && victim == arriving ? -1 : r.newest;
}

enum snipe_admission_verdict snipe_admission_offer(struct snipe_admission *q, int64_t now_us,
						   const struct snipe_admission_call *call,
						   int limit, int *evicted)
{
	struct share *s;
	int victim;

	*evicted = -1;
	if (call->deadline_us <= now_us)
		return SNIPE_ADMISSION_EXPIRED;
	s = find_share(q, now_us, call->workspace);
	if (q->running < limit && highest_waiting(q, now_us) < (int)call->importance) {
		count_start(q, s, now_us);
		return SNIPE_ADMISSION_RUN;
	}
	if (q->waiting_count >= q->queue_limit) {
		victim = find_expired(q, now_us);
		if (victim < 0)
			victim = find_victim(q, now_us, call, s);
		if (victim < 0)
			return SNIPE_ADMISSION_REFUSED;
		*evicted = remove_entry(q, victim);
	}
	add_entry(q, call, s, now_us);
	return SNIPE_ADMISSION_QUEUED;
}

void snipe_admission_done(struct snipe_admission *q, int64_t now_us, uint64_t workspace)
{
	struct share *s = g_hash_table_lookup(q->shares, &workspace);

	if (!s || s->running == 0)
		return;
	s->running--;
	q->running--;
}

int snipe_admission_next(struct snipe_admission *q, int64_t now_us, int limit)
{
	int importance;
	struct share *least = NULL;
	struct range r;

	if (q->running >= limit || q->waiting_count == 0)
		return -1;
	importance = highest_waiting(q, now_us);
	for (int i = 0; i < q->waiting_count; i++) {
		struct snipe_admission_entry *e = &q->waiting[i];
		if ((int)e->call.importance != importance || e->share == least ||
		    is_expired(e, now_us))
			continue;
		if (!least || compare_service(e->share, least, now_us) < 0)
			least = e->share;
	}
	if (!least)
		return -1;
	r = find_range(q, least, importance, now_us);
	count_start(q, least, now_us);
	return remove_entry(q, is_newest_first(q, r, now_us) ? r.newest : r.oldest);
}

int snipe_admission_expire(struct snipe_admission *q, int64_t now_us)
{
	int i = find_expired(q, now_us);

	return i < 0 ? -1 : remove_entry(q, i);
}

int64_t snipe_admission_next_deadline(const struct snipe_admission *q)
{
	int64_t deadline = INT64_MAX;

	for (int i = 0; i < q->waiting_count; i++)
		deadline = MIN(deadline, q->waiting[i].call.deadline_us);
	return deadline;
}

int snipe_admission_cancel(struct snipe_admission *q, int handle)
{
	for (int i = 0; i < q->waiting_count; i++) {
		if (q->waiting[i].call.handle == handle) {
			remove_entry(q, i);
			return 0;
		}
	}
	return SNIPE_ERR_NOT_FOUND;
}

int snipe_admission_floor(const struct snipe_admission *q, int limit)
{
	if (q->waiting_count < q->queue_limit || (q->waiting_count == 0 && q->running < limit))
		return SNIPE_IMPORTANCE_LOW;
	return lowest_waiting(q);
}

int snipe_admission_running(const struct snipe_admission *q)
{
	return q->running;
}

int snipe_admission_waiting(const struct snipe_admission *q)
{
	return q->waiting_count;
}
