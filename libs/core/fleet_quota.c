#include "core/fleet_quota.h"

#include <math.h>
#include <string.h>

#include "base/error.h"

/* Weight of a request in the demand fades by half in about this time, or in the interval of the
 * reports if that is longer. */
#define DEMAND_US 500000
/* Demand that each node is counted with at least, as a part of the rate, so that the first
 * request at a node finds a share. */
#define LEAST_DEMAND 0.02
/* Below this part of the burst, nodes spend only their shares. */
#define FREE_PART 0.15
/* Part of the burst that the shares may save up besides: the bucket holds the whole burst. */
#define SHARE_BURST 0.2
/* Part of the burst that a restarted process starts with: others of its kind may have spent
 * the rest just before. */
#define RESTART_PART 0.25
/* From this interval between reports on, that of 100 nodes, a node that spends from the bucket
 * spends its share first: what hundreds of nodes have saved up would come on top before they
 * know that the bucket is empty. */
#define SLOW_REPORTS_US 1000000
/* Own admissions from which those of the fleet are extrapolated are first reduced by this many
 * standard deviations, so that a short burst at one node is not taken for a rise everywhere. */
#define SAMPLE_DEVIATIONS 2.0
/* Requests that follow each other this closely are one batch of one caller, who sends them
 * before the first is answered: they are one sample, not several. */
#define SAME_BATCH_US 2000
/* Least share from which the fleet's admissions are extrapolated, as a part of an equal one:
 * the share of a node that had no request for an interval says nothing about the next one. */
#define SAMPLE_SHARE_LEAST 0.5
/* Mean age of what is known of the other nodes, in intervals. */
#define REPORT_AGE 0.5
/* Demand of others that room is made for, as a part of the rate: a workspace that asks for more
 * is about to be refused, and nodes that are cut off from each other spend the room twice. */
#define ROOM_DEMAND 0.7
/* Part of the burst that may be taken for spent without any room being made: what is left is
 * far above FREE_PART. */
#define NO_ROOM_PART 0.15
/* Bound of the room for what others spent unseen, with the burst, in seconds of the rate: up to
 * here a workspace that turns to 4.5 times its rate stays within the users' slack in fleets of
 * 64 to 300 nodes (fleet_quota_test). */
#define CAPACITY_S 1.5
/* Shortest time after which a refused caller is asked to come back. */
#define RETRY_LEAST_US 100000
/* Own reports for which the count of admissions is kept: they cover the time until a node
 * counts as silent. */
#define REPORTS_KEPT 5
/* Own demand counts in the settled split as it was this many reports ago: a node that has just
 * been cut off does not know it yet, and must not raise its part meanwhile. */
#define SETTLED_AGE 2
/* Reports of the own demand that are kept for that. */
#define DEMANDS_KEPT (SETTLED_AGE + 1)
/* A node that was silent for longer is taken for removed, unless this one may be cut off
 * itself. */
#define FORGET_US 60000000
/* Intervals within which all nodes must have reported for the split to settle. */
#define SETTLE_INTERVALS 1.5
/* Own demand, in requests a second, from which a workspace is reported although this node has
 * admitted none of its requests. */
#define LEAST_REPORTED 0.01
/* Shares are computed anew this often while requests come, so that silence is noticed. */
#define UPDATES_PER_INTERVAL 4

struct bucket {
	uint64_t id;
	double rate, burst;
	double tokens;	     /* of the fleet; negative after an overshoot */
	double share_tokens; /* own share, spent when the fleet's bucket runs low */
	double share;	     /* own part of the reported demand */
	double reachable;    /* part of the demand at nodes in contact, own included */
	double others_rate;  /* demand at other nodes in contact */
	int64_t at_us;
	struct admissions {
		uint32_t count;	  /* since the process started; wraps around */
		uint32_t squares; /* sum of the squared sizes of batches */
	} admitted;
	struct admissions admitted_at[REPORTS_KEPT]; /* at the last own reports, newest first */
	int64_t admitted_us;			     /* last admission */
	uint32_t batch_size;			     /* requests of the batch that it ended */
	double demand;				     /* decayed count of requests */
	int64_t demand_at_us;
	double reported[DEMANDS_KEPT]; /* own demand as reported, newest first */
	double settled;		       /* own demand when no node was silent */
	int64_t oldest_us;	       /* oldest report of a node in contact */
	double settled_total;	       /* at all nodes */
	int64_t updated_us;	       /* when the shares were computed */
};

struct peer_use {
	uint64_t workspace;
	uint32_t admitted;
	double demand;
	double settled; /* demand when no node was silent */
};

struct peer {
	uint64_t id;
	uint64_t process;
	int64_t heard_us;
	GArray *uses; /* of struct peer_use */
};

static void free_peer(gpointer p)
{
	struct peer *peer = p;

	g_array_free(peer->uses, TRUE);
	g_free(peer);
}

void snipe_fleet_quota_init(struct snipe_fleet_quota *q, int64_t interval_us, int starts_full)
{
	memset(q, 0, sizeof(*q));
	q->workspaces = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_peer);
	q->interval_us = interval_us;
	q->starts_full = starts_full;
}

void snipe_fleet_quota_finish(struct snipe_fleet_quota *q)
{
	g_hash_table_destroy(q->workspaces);
	g_hash_table_destroy(q->peers);
}

static double equal_share(const struct snipe_fleet_quota *q)
{
	return 1.0 / (g_hash_table_size(q->peers) + 1);
}

static double least_demand(const struct snipe_fleet_quota *q, const struct bucket *b)
{
	return LEAST_DEMAND * b->rate * equal_share(q);
}

static struct peer_use *use_of(const struct peer *p, uint64_t workspace)
{
	for (guint i = 0; i < p->uses->len; i++) {
		struct peer_use *u = &g_array_index(p->uses, struct peer_use, i);

		if (u->workspace == workspace)
			return u;
	}
	return NULL;
}

static int is_silent(const struct snipe_fleet_quota *q, const struct peer *p, int64_t now_us)
{
	return (double)(now_us - p->heard_us) > SNIPE_SILENT_INTERVALS * (double)q->interval_us;
}

/* What one workspace asks for at the nodes. */
struct demand {
	double contact;	       /* at nodes in contact, this one included */
	double settled;	       /* at all nodes, when all were in contact */
	double silent_settled; /* at the silent ones of them */
};

static void add_peer_demand(const struct snipe_fleet_quota *q, struct demand *d,
			    const struct peer *p, const struct bucket *b, double least,
			    int64_t now_us)
{
	const struct peer_use *u = use_of(p, b->id);
	double settled = (u ? u->settled : 0) + least;

	d->settled += settled;
	if (is_silent(q, p, now_us))
		d->silent_settled += settled;
	else
		d->contact += (u ? u->demand : 0) + least;
}

/* While all nodes are in contact, what they ask for is kept as the base of the split between
 * those that may lose contact later. Each side then spends its part, whatever is asked there.
 */
static void settle(struct snipe_fleet_quota *q, struct bucket *b)
{
	GHashTableIter it;
	gpointer value;

	b->settled = b->reported[SETTLED_AGE];
	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct peer_use *u = use_of(value, b->id);

		if (u)
			u->settled = u->demand;
	}
}

/* Whether all nodes reported lately. */
static int is_settled(const struct snipe_fleet_quota *q, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if ((double)(now_us - p->heard_us) > SETTLE_INTERVALS * (double)q->interval_us)
			return 0;
	}
	return 1;
}

/* Own admissions since the oldest report that the estimate rests on. */
static struct admissions recent_admissions(const struct snipe_fleet_quota *q,
					   const struct bucket *b, int64_t now_us)
{
	int64_t age = MAX(now_us - b->oldest_us, 0);
	int reports = (int)MIN(age / q->interval_us, REPORTS_KEPT - 1);
	int32_t count = (int32_t)(b->admitted.count - b->admitted_at[reports].count);
	int32_t squares = (int32_t)(b->admitted.squares - b->admitted_at[reports].squares);

	/* Tokens that were given back may outnumber those taken. */
	return (struct admissions){(uint32_t)MAX(count, 0), (uint32_t)MAX(squares, 0)};
}

/* Tokens that a rate, in tokens a second, spends in the mean age of the last reports. */
static double unseen_at(const struct snipe_fleet_quota *q, double rate)
{
	return rate * REPORT_AGE * (double)q->interval_us / 1e6;
}

/* Tokens that other nodes have probably spent and not reported yet: at the rate that they
 * reported or, when this node admits more than usual, as much as this node by their shares. */
static double unseen(const struct snipe_fleet_quota *q, const struct bucket *b, int64_t now_us)
{
	double seen = unseen_at(q, MIN(b->others_rate, b->rate));
	struct admissions recent = recent_admissions(q, b, now_us);
	double share = MAX(b->share, SAMPLE_SHARE_LEAST * equal_share(q) * b->reachable);
	double scaled = 0;

	if (share > 0)
		scaled = ((double)recent.count - SAMPLE_DEVIATIONS * sqrt(recent.squares)) *
			 (b->reachable / share - 1);
	return MAX(seen, scaled);
}

/*
 * Most tokens that the bucket is counted with. What others spent unseen has made room for as
 * much of the refill; without that the bucket of a small burst never looks full while reports
 * are seconds apart. How far this goes is bounded, because nodes that all see a full bucket
 * overspend together when a workspace turns hot.
 */
static double capacity(const struct snipe_fleet_quota *q, const struct bucket *b)
{
	double burst = b->burst * b->reachable, rate = b->rate * b->reachable;
	double usual = unseen_at(q, MIN(b->others_rate, ROOM_DEMAND * b->rate));
	double room = MAX(usual - NO_ROOM_PART * burst, 0);

	return MAX(burst, MIN(burst + room, CAPACITY_S * rate));
}

/* Own demand counts as it was reported, and a rise only once the others know of it: shares
 * that were computed from different times would add up to more than the whole. */
static void update_shares(struct snipe_fleet_quota *q, int64_t now_us, struct bucket *b)
{
	double least = least_demand(q, b);
	double own = MIN(b->reported[0], b->reported[1]);
	struct demand d = {0, b->settled + least, 0};
	double reachable;
	GHashTableIter it;
	gpointer value;

	if (is_settled(q, now_us))
		settle(q, b);
	else
		own = MIN(own, b->settled);
	own += least;
	d.contact = own;
	b->updated_us = b->oldest_us = now_us;
	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (!is_silent(q, p, now_us))
			b->oldest_us = MIN(b->oldest_us, p->heard_us);
		add_peer_demand(q, &d, p, b, least, now_us);
	}
	reachable = 1 - d.silent_settled / d.settled;
	/* The other side has spent tokens that are not known of, the room for them included,
	 * and spends its part of the rest. */
	if (b->reachable > 0 && reachable < b->reachable)
		b->tokens = MAX(b->tokens - unseen(q, b, now_us),
				b->burst * b->reachable - capacity(q, b)) *
			    reachable / b->reachable;
	b->reachable = reachable;
	b->settled_total = d.settled;
	b->share = b->reachable * own / d.contact;
	b->others_rate = d.contact - own;
}

static void refill(const struct snipe_fleet_quota *q, struct bucket *b, int64_t now_us)
{
	double seconds = (double)(now_us - b->at_us) / 1e6;
	double rate = b->rate * b->reachable;

	b->at_us = now_us;
	b->tokens = MIN(b->tokens + seconds * rate, capacity(q, b));
	b->share_tokens = MIN(b->share_tokens + seconds * b->rate * b->share,
			      MAX(b->burst * b->share * SHARE_BURST, 1));
}

void snipe_fleet_quota_limit(struct snipe_fleet_quota *q, int64_t now_us, uint64_t workspace,
			     double rate, double burst)
{
	struct bucket *b = g_hash_table_lookup(q->workspaces, &workspace);

	if (!b) {
		b = g_new0(struct bucket, 1);
		b->id = workspace;
		b->at_us = b->demand_at_us = now_us;
		b->rate = rate;
		b->burst = burst;
		b->tokens = q->starts_full ? burst : RESTART_PART * burst;
		g_hash_table_insert(q->workspaces, &b->id, b);
	} else if (b->rate == 0 && rate > 0) {
		b->tokens = burst;
		b->at_us = now_us;
	}
	b->rate = rate;
	b->burst = burst;
	b->tokens = MIN(b->tokens, burst);
	update_shares(q, now_us, b);
}

/* Finds what the peer used of a workspace. A count that is met for the first time is the base
 * of later ones: what the peer admitted before this node knew of it was spent earlier. */
static struct peer_use *find_use(struct peer *p, const struct snipe_quota_report *report,
				 int is_new_peer)
{
	struct peer_use fresh = {report->workspace, is_new_peer ? report->admitted : 0, 0, 0};
	struct peer_use *u = use_of(p, report->workspace);

	if (u)
		return u;
	g_array_append_val(p->uses, fresh);
	return &g_array_index(p->uses, struct peer_use, p->uses->len - 1);
}

/* What a node may have spent of its share while it was silent: nobody else did. */
static double reserved(const struct snipe_fleet_quota *q, const struct bucket *b,
		       const struct peer_use *use, int64_t silence_us)
{
	if ((double)silence_us <= SNIPE_SILENT_INTERVALS * (double)q->interval_us ||
	    b->settled_total <= 0)
		return 0;
	return b->rate * use->settled / b->settled_total * (double)silence_us / 1e6;
}

static void apply_use(struct snipe_fleet_quota *q, struct peer *p, int is_new_peer,
		      const struct snipe_quota_report *report, int64_t silence_us)
{
	struct bucket *b = g_hash_table_lookup(q->workspaces, &report->workspace);
	struct peer_use *use = find_use(p, report, is_new_peer);

	if (b)
		b->tokens -= MAX((int32_t)(report->admitted - use->admitted) -
					 reserved(q, b, use, silence_us),
				 0);
	use->admitted = report->admitted;
	use->demand = report->demand;
}

static struct peer *find_peer(struct snipe_fleet_quota *q, uint64_t id, uint64_t process)
{
	struct peer *p = g_hash_table_lookup(q->peers, &id);

	if (!p) {
		p = g_new0(struct peer, 1);
		p->id = id;
		p->process = process;
		p->uses = g_array_new(FALSE, FALSE, sizeof(struct peer_use));
		g_hash_table_insert(q->peers, &p->id, p);
	}
	return p;
}

/* The counts of a new process start at zero. What a report leaves out is as it was. */
static void begin_process(struct peer *p, uint64_t process)
{
	for (guint i = 0; i < p->uses->len; i++) {
		struct peer_use *u = &g_array_index(p->uses, struct peer_use, i);

		u->demand = 0;
		u->admitted = 0;
	}
	p->process = process;
}

void snipe_fleet_quota_peer(struct snipe_fleet_quota *q, int64_t now_us, uint64_t id,
			    uint64_t process, const struct snipe_quota_report *reports,
			    int count)
{
	int is_new_peer = !g_hash_table_contains(q->peers, &id);
	struct peer *p = find_peer(q, id, process);
	int64_t silence_us = now_us - p->heard_us;
	GHashTableIter it;
	gpointer value;

	if (p->process != process)
		begin_process(p, process);
	p->heard_us = now_us;
	g_hash_table_iter_init(&it, q->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &value))
		refill(q, value, now_us);
	for (int i = 0; i < count; i++)
		apply_use(q, p, is_new_peer, &reports[i], silence_us);
}

/* A node that gets a request every few seconds would otherwise report none most of the time. */
static double fade_us(const struct snipe_fleet_quota *q)
{
	return (double)MAX(DEMAND_US, q->interval_us);
}

static void count_demand(const struct snipe_fleet_quota *q, struct bucket *b, int64_t now_us)
{
	double age = (double)(now_us - b->demand_at_us) / fade_us(q);

	b->demand = b->demand / (1 + age + age * age / 2) + 1;
	b->demand_at_us = now_us;
}

static double demand_rate(const struct snipe_fleet_quota *q, const struct bucket *b,
			  int64_t now_us)
{
	double age = (double)(now_us - b->demand_at_us) / fade_us(q);

	return b->demand / (1 + age + age * age / 2) / (fade_us(q) / 1e6);
}

static void spend(struct bucket *b, int64_t now_us)
{
	b->batch_size = now_us - b->admitted_us <= SAME_BATCH_US ? b->batch_size + 1 : 1;
	b->admitted_us = now_us;
	b->tokens -= 1;
	b->admitted.count++;
	/* The square of the size grows by the difference of two squares. */
	b->admitted.squares += 2 * b->batch_size - 1;
}

/* Tokens that are probably left. Nodes whose reports are late may be cut off, and spend what
 * they take for a full bucket: then nothing is counted for the refill in their place. */
static double free_tokens(const struct snipe_fleet_quota *q, const struct bucket *b,
			  int64_t now_us)
{
	double burst = b->burst * b->reachable;
	int is_late =
		(double)(now_us - b->oldest_us) > SETTLE_INTERVALS * (double)q->interval_us;

	if (is_late)
		return MIN(b->tokens, burst) - unseen(q, b, now_us);
	return MIN(b->tokens - unseen(q, b, now_us), burst);
}

int snipe_fleet_quota_take(struct snipe_fleet_quota *q, int64_t now_us, uint64_t workspace,
			   int64_t *retry_after_us)
{
	struct bucket *b = g_hash_table_lookup(q->workspaces, &workspace);
	double left, rate;

	*retry_after_us = 0;
	if (!b || b->rate <= 0)
		return 1;
	count_demand(q, b, now_us);
	if (now_us - b->updated_us > q->interval_us / UPDATES_PER_INTERVAL)
		update_shares(q, now_us, b);
	refill(q, b, now_us);
	left = free_tokens(q, b, now_us);
	if (left >= MAX(FREE_PART * b->burst * b->reachable, 1)) {
		if (q->interval_us >= SLOW_REPORTS_US)
			b->share_tokens = MAX(b->share_tokens - 1, 0);
		spend(b, now_us);
		return 1;
	}
	if (b->tokens > 0 && b->share_tokens >= 1) {
		b->share_tokens -= 1;
		spend(b, now_us);
		return 1;
	}
	rate = b->rate * b->share;
	*retry_after_us = MAX((int64_t)(1e6 / MAX(rate, 0.1)), RETRY_LEAST_US);
	return 0;
}

int snipe_fleet_quota_view(const struct snipe_fleet_quota *q, int64_t now_us,
			   uint64_t workspace, struct snipe_quota_view *view)
{
	const struct bucket *b = g_hash_table_lookup(q->workspaces, &workspace);

	if (!b || b->rate <= 0)
		return SNIPE_ERR_NOT_FOUND;
	view->rate = b->rate;
	view->burst = b->burst;
	view->tokens = free_tokens(q, b, now_us);
	view->share_tokens = b->share_tokens;
	view->share = b->share;
	view->reachable = b->reachable;
	view->report_age_us = MAX(now_us - b->oldest_us, 0);
	return 0;
}

void snipe_fleet_quota_give_back(struct snipe_fleet_quota *q, uint64_t workspace)
{
	struct bucket *b = g_hash_table_lookup(q->workspaces, &workspace);

	if (!b || b->rate <= 0)
		return;
	b->tokens += 1;
	b->admitted.count--;
	b->admitted.squares--;
}

/* Gives the shares of removed nodes to the others. */
static void forget_removed(struct snipe_fleet_quota *q, int64_t now_us)
{
	guint heard = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		heard += !is_silent(q, value, now_us);
	if (2 * heard <= g_hash_table_size(q->peers))
		return;
	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (now_us - p->heard_us > FORGET_US)
			g_hash_table_iter_remove(&it);
	}
}

static void begin_own_report(struct snipe_fleet_quota *q, struct bucket *b, int64_t now_us)
{
	refill(q, b, now_us);
	memmove(&b->reported[1], b->reported, sizeof(b->reported) - sizeof(b->reported[0]));
	b->reported[0] = demand_rate(q, b, now_us);
	memmove(&b->admitted_at[1], b->admitted_at,
		sizeof(b->admitted_at) - sizeof(b->admitted_at[0]));
	b->admitted_at[0] = b->admitted;
	update_shares(q, now_us, b);
}

/* Counts are reported for good: a node that meets one later takes all of it for new. */
static int is_in_use(const struct bucket *b)
{
	return b->rate > 0 && (b->admitted.count || b->reported[0] > LEAST_REPORTED);
}

int snipe_fleet_quota_report(struct snipe_fleet_quota *q, int64_t now_us,
			     struct snipe_quota_report *reports, int max)
{
	GHashTableIter it;
	gpointer value;
	int in_use = 0, index = 0, n;

	forget_removed(q, now_us);
	g_hash_table_iter_init(&it, q->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct bucket *b = value;

		if (b->rate > 0)
			begin_own_report(q, b, now_us);
		in_use += is_in_use(b);
	}
	if (in_use == 0)
		return 0;
	q->first_reported %= in_use;
	g_hash_table_iter_init(&it, q->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct bucket *b = value;
		int place;

		if (!is_in_use(b))
			continue;
		place = (index++ - q->first_reported + in_use) % in_use;
		if (place >= max)
			continue;
		reports[place].workspace = b->id;
		reports[place].admitted = b->admitted.count;
		reports[place].demand = (float)b->reported[0];
	}
	n = MIN(in_use, max);
	/* What the datagram has no room for is at the end: it comes first the next time. */
	q->first_reported += MAX(n / 2, 1);
	return n;
}
