#include "core/admission.h"

#include <string.h>

#define LIFO_AFTER_US 100000 /* waiting time of the oldest call that switches to LIFO */
#define SERVED_PER_CALL 1024 /* fixed point, to keep precision while the count decays */
#define SERVED_HALF_LIFE_US 1000000
#define USAGE_SWEEP_MIN_COUNT 64

/* Recent use of the backend server by one workspace. */
struct workspace_usage {
	uint64_t workspace; /* key in usage_by_workspace */
	int running;
	int waiting[SNIPE_IMPORTANCE_COUNT];
	uint64_t served;    /* started calls times SERVED_PER_CALL, decaying exponentially */
	int64_t decay_step; /* last decay of served, in multiples of SERVED_HALF_LIFE_US */
};

struct snipe_admission_entry {
	struct snipe_admission_call call;
	struct workspace_usage *usage;
};

void snipe_admission_init(struct snipe_admission *q, int queue_limit)
{
	memset(q, 0, sizeof(*q));
	q->queue_limit = queue_limit;
	q->sweep_threshold = USAGE_SWEEP_MIN_COUNT;
	q->usage_by_workspace =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void snipe_admission_finish(struct snipe_admission *q)
{
	g_hash_table_destroy(q->usage_by_workspace);
	g_free(q->waiting);
	memset(q, 0, sizeof(*q));
}

void snipe_admission_set_queue_limit(struct snipe_admission *q, int queue_limit)
{
	q->queue_limit = queue_limit;
}

static uint64_t decayed_served(struct workspace_usage *u, int64_t now_us)
{
	int64_t step = now_us / SERVED_HALF_LIFE_US;
	int64_t steps = step - u->decay_step;

	if (steps > 0) {
		u->served = steps < 64 ? u->served >> steps : 0;
		u->decay_step = step;
	}
	return u->served;
}

/* Orders two workspaces by usage; negative if a has used less. */
static int compare_usage(struct workspace_usage *a, struct workspace_usage *b, int64_t now_us)
{
	uint64_t served_a, served_b;

	if (a->running != b->running)
		return a->running < b->running ? -1 : 1;
	served_a = decayed_served(a, now_us);
	served_b = decayed_served(b, now_us);
	return served_a < served_b ? -1 : served_a > served_b;
}

static gboolean usage_is_idle(void *key, void *value, void *user_data)
{
	struct workspace_usage *u = value;

	for (int i = 0; i < SNIPE_IMPORTANCE_COUNT; i++)
		if (u->waiting[i] > 0)
			return FALSE;
	return u->running == 0 && decayed_served(u, *(int64_t *)user_data) == 0;
}

static struct workspace_usage *find_usage(struct snipe_admission *q, int64_t now_us,
					  uint64_t workspace)
{
	struct workspace_usage *u = g_hash_table_lookup(q->usage_by_workspace, &workspace);
	int count;

	if (u)
		return u;
	if ((int)g_hash_table_size(q->usage_by_workspace) >= q->sweep_threshold) {
		g_hash_table_foreach_remove(q->usage_by_workspace, usage_is_idle, &now_us);
		count = (int)g_hash_table_size(q->usage_by_workspace);
		q->sweep_threshold = MAX(2 * count, USAGE_SWEEP_MIN_COUNT);
	}
	u = g_new0(struct workspace_usage, 1);
	u->workspace = workspace;
	u->decay_step = now_us / SERVED_HALF_LIFE_US;
	g_hash_table_insert(q->usage_by_workspace, &u->workspace, u);
	return u;
}

static void count_start(struct snipe_admission *q, struct workspace_usage *u, int64_t now_us)
{
	q->running++;
	u->running++;
	u->served = decayed_served(u, now_us) + SERVED_PER_CALL;
}

static void add_entry(struct snipe_admission *q, const struct snipe_admission_call *call,
		      struct workspace_usage *u, int64_t now_us)
{
	struct snipe_admission_entry *e;

	if (q->waiting_count == q->waiting_capacity) {
		q->waiting_capacity = q->waiting_capacity ? 2 * q->waiting_capacity : 16;
		q->waiting =
			g_renew(struct snipe_admission_entry, q->waiting, q->waiting_capacity);
	}
	e = &q->waiting[q->waiting_count++];
	e->call = *call;
	e->call.enqueued_us = now_us;
	e->usage = u;
	u->waiting[call->importance]++;
	q->waiting_by_importance[call->importance]++;
}

static int remove_entry(struct snipe_admission *q, int index)
{
	struct snipe_admission_entry e = q->waiting[index];

	e.usage->waiting[e.call.importance]--;
	q->waiting_by_importance[e.call.importance]--;
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

/* Returns the highest importance of the waiting calls that have not expired, -1 without any. */
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

	while (i < SNIPE_IMPORTANCE_COUNT && q->waiting_by_importance[i] == 0)
		i++;
	return i;
}

/* Queue indexes of the oldest and the newest call of a workspace at one importance. */
struct range {
	int oldest;
	int newest;
};

static struct range find_range(const struct snipe_admission *q, const struct workspace_usage *u,
			       int importance, int64_t now_us)
{
	struct range r = {-1, -1};

	for (int i = 0; i < q->waiting_count; i++) {
		const struct snipe_admission_entry *e = &q->waiting[i];
		if (e->usage != u || (int)e->call.importance != importance ||
		    is_expired(e, now_us))
			continue;
		if (r.oldest < 0)
			r.oldest = i;
		r.newest = i;
	}
	return r;
}

static int is_lifo(const struct snipe_admission *q, struct range r, int64_t now_us)
{
	return r.oldest >= 0 && now_us - q->waiting[r.oldest].call.enqueued_us > LIFO_AFTER_US;
}

/*
 * Finds the workspace to evict from at one importance: the one with most calls waiting,
 * counting the arriving call, then the most served one. With the most served one first, a
 * workspace with few calls would lose all of them whenever it is slightly ahead.
 */
static struct workspace_usage *find_victim_usage(struct snipe_admission *q, int64_t now_us,
						 int importance,
						 struct workspace_usage *arriving)
{
	struct workspace_usage *victim = arriving;

	for (int i = 0; i < q->waiting_count; i++) {
		struct workspace_usage *u = q->waiting[i].usage;
		int excess;

		if ((int)q->waiting[i].call.importance != importance || u == victim)
			continue;
		if (!victim) {
			victim = u;
			continue;
		}
		excess = (u->waiting[importance] + (u == arriving)) -
			 (victim->waiting[importance] + (victim == arriving));
		if (excess > 0 || (excess == 0 && compare_usage(u, victim, now_us) > 0))
			victim = u;
	}
	return victim;
}

/*
 * Finds the call to evict from a full queue: of the lowest importance, from the workspace that
 * find_victim_usage returns, the call that would run last. Returns its index, or -1 for the
 * arriving call.
 */
static int find_victim(struct snipe_admission *q, int64_t now_us,
		       const struct snipe_admission_call *call,
		       struct workspace_usage *arriving)
{
	int lowest = lowest_waiting(q);
	int is_lowest = (int)call->importance <= lowest;
	struct workspace_usage *victim;
	struct range r;

	if ((int)call->importance < lowest)
		return -1;
	victim = find_victim_usage(q, now_us, lowest, is_lowest ? arriving : NULL);
	r = find_range(q, victim, lowest, now_us);
	if (is_lifo(q, r, now_us))
		return r.oldest;
	return is_lowest && victim == arriving ? -1 : r.newest;
}

enum snipe_admission_verdict snipe_admission_offer(struct snipe_admission *q, int64_t now_us,
						   const struct snipe_admission_call *call,
						   int limit, int *evicted)
{
	struct workspace_usage *u;
	int victim;

	*evicted = -1;
	if (call->deadline_us <= now_us)
		return SNIPE_ADMISSION_EXPIRED;
	u = find_usage(q, now_us, call->workspace);
	if (q->running < limit && highest_waiting(q, now_us) < (int)call->importance) {
		count_start(q, u, now_us);
		return SNIPE_ADMISSION_RUN;
	}
	if (q->waiting_count >= q->queue_limit) {
		victim = find_expired(q, now_us);
		if (victim < 0)
			victim = find_victim(q, now_us, call, u);
		if (victim < 0)
			return SNIPE_ADMISSION_REJECTED;
		*evicted = remove_entry(q, victim);
	}
	add_entry(q, call, u, now_us);
	return SNIPE_ADMISSION_QUEUED;
}

void snipe_admission_done(struct snipe_admission *q, int64_t now_us, uint64_t workspace)
{
	struct workspace_usage *u = g_hash_table_lookup(q->usage_by_workspace, &workspace);

	if (!u || u->running == 0)
		return;
	u->running--;
	q->running--;
}

int snipe_admission_next(struct snipe_admission *q, int64_t now_us, int limit)
{
	int importance;
	struct workspace_usage *least_served = NULL;
	struct range r;

	if (q->running >= limit || q->waiting_count == 0)
		return -1;
	importance = highest_waiting(q, now_us);
	for (int i = 0; i < q->waiting_count; i++) {
		struct snipe_admission_entry *e = &q->waiting[i];
		if ((int)e->call.importance != importance || e->usage == least_served ||
		    is_expired(e, now_us))
			continue;
		if (!least_served || compare_usage(e->usage, least_served, now_us) < 0)
			least_served = e->usage;
	}
	if (!least_served)
		return -1;
	r = find_range(q, least_served, importance, now_us);
	count_start(q, least_served, now_us);
	return remove_entry(q, is_lifo(q, r, now_us) ? r.newest : r.oldest);
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
