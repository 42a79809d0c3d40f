#include "core/fleet_quota.h"

#include <math.h>
#include <string.h>

#include "base/error.h"

/* The weight of a request in the demand halves in about this time, or in one report interval if
 * that is longer. */
#define DEMAND_DECAY_US 500000
/* Minimum demand assumed at all nodes together, as a ratio of the rate, so that a node has a
 * share for its first request. */
#define MIN_DEMAND_RATIO 0.02
/* Below this ratio of the burst, nodes spend only their shares. */
#define LOW_BUCKET_RATIO 0.15
/* Ratio of the burst that the shares may accumulate on top of the bucket, which already holds
 * the whole burst. */
#define SHARE_BURST_RATIO 0.2
/* Ratio of the burst that a restarted process starts with: earlier processes may have spent the
 * rest just before. */
#define RESTART_FILL_RATIO 0.25
/* From this report interval on, which is that of 100 nodes, each token taken from the bucket is
 * also taken from the node's share. Otherwise hundreds of nodes would spend their accumulated
 * shares on top of the bucket before they learn that it is empty. */
#define SLOW_INTERVAL_US 1000000
/* Standard deviations subtracted from a node's own admissions before the fleet's are
 * extrapolated from them, so that a short burst at one node is not taken for a rise at every
 * node. */
#define SAMPLE_MARGIN_STDDEVS 2.0
/* Requests no further apart than this count as a batch: a client sends them together, without
 * waiting for the first response. A batch is one sample of the load, not several. */
#define MAX_BATCH_GAP_US 2000
/* Minimum share from which the fleet's admissions are extrapolated, as a ratio of an equal
 * share: the share of a node that had no requests for an interval does not predict the next. */
#define MIN_SAMPLE_SHARE_RATIO 0.5
/* Mean age of the last reports of other nodes, in report intervals. */
#define MEAN_REPORT_AGE_INTERVALS 0.5
/* Maximum demand of other nodes that counts for the headroom (see max_bucket_tokens), as a
 * ratio of the rate. A workspace with more demand is about to be limited, and nodes on both
 * sides of a network partition would each spend the headroom. */
#define MAX_HEADROOM_DEMAND_RATIO 0.7
/* Unreported tokens up to this ratio of the burst need no headroom: the rest of the bucket is
 * far above LOW_BUCKET_RATIO. */
#define HEADROOM_THRESHOLD_RATIO 0.15
/* Maximum of burst and headroom together, in seconds of the rate. Up to this value a workspace
 * that rises to 4.5 times its rate stays within the platform's slack in fleets of 64 to 300
 * nodes (fleet_quota_test). */
#define MAX_CAPACITY_S 1.5
/* Minimum retry delay sent with a rejection. */
#define MIN_RETRY_AFTER_US 100000
/* Own reports for which the count of admissions is kept; covers the time until a node counts as
 * silent. */
#define HISTORY_REPORTS 5
/* The baseline takes a node's own demand from this many reports ago: a node that has just been
 * isolated does not know it yet and must not raise its baseline meanwhile. */
#define BASELINE_AGE_REPORTS 2
/* Own demand reports kept for the baseline. */
#define DEMAND_HISTORY (BASELINE_AGE_REPORTS + 1)
/* A node that sent no report for longer counts as removed, unless this node may itself be
 * isolated. */
#define PEER_EXPIRY_US 60000000
/* A report is late after this many intervals; the baseline is updated only if none is. */
#define LATE_REPORT_INTERVALS 1.5
/* Own demand above which a workspace is reported even if this node admitted none of its
 * requests. */
#define MIN_REPORTED_DEMAND_PER_S 0.01
/* Shares are recomputed this often while requests arrive, so that silent nodes are detected. */
#define SHARE_UPDATES_PER_INTERVAL 4

struct bucket {
	uint64_t id;
	double rate, burst;
	double tokens;	     /* of the fleet; negative if nodes overspent */
	double share_tokens; /* of this node, spent when the fleet's tokens run low */
	double share;	     /* ratio of the rate that this node may spend then */
	double reachable;    /* ratio of the rate that belongs to nodes that are not silent */
	double peer_demand;  /* demand at other nodes that are not silent */
	int64_t refilled_us;
	struct admissions {
		uint32_t count;		/* since the process started; wraps around */
		uint32_t batch_squares; /* sum of the squared batch sizes */
	} admitted;
	struct admissions past_admitted[HISTORY_REPORTS]; /* at own reports, newest first */
	int64_t last_admitted_us;			  /* time of the last admission */
	uint32_t batch_size;				  /* of the batch that it ended */
	double demand;					  /* decayed count of requests */
	int64_t demand_updated_us;
	double reported_demand[DEMAND_HISTORY]; /* in own reports, newest first */
	double baseline;			/* own demand when no report was late */
	int64_t oldest_report_us;  /* oldest last report of a node that is not silent */
	double baseline_total;	   /* of all nodes */
	int64_t shares_updated_us; /* when the shares were last computed */
};

struct peer_usage {
	uint64_t workspace;
	uint32_t admitted;
	double demand;
	double baseline; /* demand when no report was late */
};

struct peer {
	uint64_t id;
	uint64_t process;
	int64_t last_report_us;
	GArray *usage; /* of struct peer_usage */
};

static void free_peer(gpointer p)
{
	struct peer *peer = p;

	g_array_free(peer->usage, TRUE);
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

static double min_demand(const struct snipe_fleet_quota *q, const struct bucket *b)
{
	return MIN_DEMAND_RATIO * b->rate * equal_share(q);
}

static struct peer_usage *lookup_usage(const struct peer *p, uint64_t workspace)
{
	for (guint i = 0; i < p->usage->len; i++) {
		struct peer_usage *u = &g_array_index(p->usage, struct peer_usage, i);

		if (u->workspace == workspace)
			return u;
	}
	return NULL;
}

static int is_silent(const struct snipe_fleet_quota *q, const struct peer *p, int64_t now_us)
{
	return (double)(now_us - p->last_report_us) >
	       SNIPE_SILENT_INTERVALS * (double)q->interval_us;
}

/* Demand for one workspace, in requests per second. */
struct demand {
	double reachable;	/* at nodes that are not silent, including this one */
	double baseline;	/* at all nodes, when no report was late */
	double silent_baseline; /* the silent nodes' part of the baseline */
};

static void add_peer_demand(const struct snipe_fleet_quota *q, struct demand *d,
			    const struct peer *p, const struct bucket *b, double min,
			    int64_t now_us)
{
	const struct peer_usage *u = lookup_usage(p, b->id);
	double baseline = (u ? u->baseline : 0) + min;

	d->baseline += baseline;
	if (is_silent(q, p, now_us))
		d->silent_baseline += baseline;
	else
		d->reachable += (u ? u->demand : 0) + min;
}

/* While all nodes report on time, their demand is recorded as the baseline. If the network is
 * partitioned later, the rate is split by the baseline, whatever the demand on each side. */
static void update_baseline(struct snipe_fleet_quota *q, struct bucket *b)
{
	GHashTableIter it;
	gpointer value;

	b->baseline = b->reported_demand[BASELINE_AGE_REPORTS];
	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct peer_usage *u = lookup_usage(value, b->id);

		if (u)
			u->baseline = u->demand;
	}
}

/* Returns nonzero if no report is late. */
static int has_recent_reports(const struct snipe_fleet_quota *q, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if ((double)(now_us - p->last_report_us) >
		    LATE_REPORT_INTERVALS * (double)q->interval_us)
			return 0;
	}
	return 1;
}

/* Returns this node's admissions since the oldest report on which the estimate is based. */
static struct admissions recent_admissions(const struct snipe_fleet_quota *q,
					   const struct bucket *b, int64_t now_us)
{
	int64_t age = MAX(now_us - b->oldest_report_us, 0);
	int reports = (int)MIN(age / q->interval_us, HISTORY_REPORTS - 1);
	int32_t count = (int32_t)(b->admitted.count - b->past_admitted[reports].count);
	int32_t batch_squares =
		(int32_t)(b->admitted.batch_squares - b->past_admitted[reports].batch_squares);

	/* More tokens may have been refunded than taken. */
	return (struct admissions){(uint32_t)MAX(count, 0), (uint32_t)MAX(batch_squares, 0)};
}

/* Returns the tokens spent in the mean age of the last reports, at a rate in tokens/s. */
static double tokens_since_reports(const struct snipe_fleet_quota *q, double rate)
{
	return rate * MEAN_REPORT_AGE_INTERVALS * (double)q->interval_us / 1e6;
}

/* Returns the tokens that other nodes have probably spent and not reported yet: at the reported
 * rate or, if this node admits more than usual, in proportion to its admissions and share. */
static double unreported_tokens(const struct snipe_fleet_quota *q, const struct bucket *b,
				int64_t now_us)
{
	double by_demand = tokens_since_reports(q, MIN(b->peer_demand, b->rate));
	struct admissions recent = recent_admissions(q, b, now_us);
	double share = MAX(b->share, MIN_SAMPLE_SHARE_RATIO * equal_share(q) * b->reachable);
	double by_own_admissions = 0;

	if (share > 0)
		by_own_admissions = ((double)recent.count -
				     SAMPLE_MARGIN_STDDEVS * sqrt(recent.batch_squares)) *
				    (b->reachable / share - 1);
	return MAX(by_demand, by_own_admissions);
}

/*
 * Returns the maximum number of tokens in the bucket: the burst and some headroom. Tokens that
 * others have spent but not reported leave space for as much of the refill; without the
 * headroom, a bucket with a small burst never looks full while reports are seconds apart. The
 * headroom is limited, because nodes that all see a full bucket overspend together when the
 * demand of a workspace rises.
 */
static double max_bucket_tokens(const struct snipe_fleet_quota *q, const struct bucket *b)
{
	double burst = b->burst * b->reachable, rate = b->rate * b->reachable;
	double unreported = tokens_since_reports(
		q, MIN(b->peer_demand, MAX_HEADROOM_DEMAND_RATIO * b->rate));
	double headroom = MAX(unreported - HEADROOM_THRESHOLD_RATIO * burst, 0);

	return MAX(burst, MIN(burst + headroom, MAX_CAPACITY_S * rate));
}

/* Own demand counts as reported, and a rise only from the second report on, when the others
 * know of it: shares computed from demands at different times would add up to more than the
 * rate. */
static void update_shares(struct snipe_fleet_quota *q, int64_t now_us, struct bucket *b)
{
	double min = min_demand(q, b);
	double own = MIN(b->reported_demand[0], b->reported_demand[1]);
	struct demand d = {0, b->baseline + min, 0};
	double reachable;
	GHashTableIter it;
	gpointer value;

	if (has_recent_reports(q, now_us))
		update_baseline(q, b);
	else
		own = MIN(own, b->baseline);
	own += min;
	d.reachable = own;
	b->shares_updated_us = b->oldest_report_us = now_us;
	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (!is_silent(q, p, now_us))
			b->oldest_report_us = MIN(b->oldest_report_us, p->last_report_us);
		add_peer_demand(q, &d, p, b, min, now_us);
	}
	reachable = 1 - d.silent_baseline / d.baseline;
	/* Nodes that became silent have spent unreported tokens, the headroom included, and
	 * will spend their part of the rest. */
	if (b->reachable > 0 && reachable < b->reachable)
		b->tokens = MAX(b->tokens - unreported_tokens(q, b, now_us),
				b->burst * b->reachable - max_bucket_tokens(q, b)) *
			    reachable / b->reachable;
	b->reachable = reachable;
	b->baseline_total = d.baseline;
	b->share = b->reachable * own / d.reachable;
	b->peer_demand = d.reachable - own;
}

static void refill(const struct snipe_fleet_quota *q, struct bucket *b, int64_t now_us)
{
	double seconds = (double)(now_us - b->refilled_us) / 1e6;
	double rate = b->rate * b->reachable;

	b->refilled_us = now_us;
	b->tokens = MIN(b->tokens + seconds * rate, max_bucket_tokens(q, b));
	b->share_tokens = MIN(b->share_tokens + seconds * b->rate * b->share,
			      MAX(b->burst * b->share * SHARE_BURST_RATIO, 1));
}

void snipe_fleet_quota_set_limit(struct snipe_fleet_quota *q, int64_t now_us,
				 uint64_t workspace, double rate, double burst)
{
	struct bucket *b = g_hash_table_lookup(q->workspaces, &workspace);

	if (!b) {
		b = g_new0(struct bucket, 1);
		b->id = workspace;
		b->refilled_us = b->demand_updated_us = now_us;
		b->rate = rate;
		b->burst = burst;
		b->tokens = q->starts_full ? burst : RESTART_FILL_RATIO * burst;
		g_hash_table_insert(q->workspaces, &b->id, b);
	} else if (b->rate == 0 && rate > 0) {
		b->tokens = burst;
		b->refilled_us = now_us;
	}
	b->rate = rate;
	b->burst = burst;
	b->tokens = MIN(b->tokens, burst);
	update_shares(q, now_us, b);
}

/* Finds or adds the usage of a workspace by a peer. The counts in the first report of a new
 * peer are the base for later ones: tokens that it spent before are not charged. */
static struct peer_usage *get_usage(struct peer *p, const struct snipe_quota_report *report,
				    int is_new_peer)
{
	struct peer_usage new_usage = {report->workspace, is_new_peer ? report->admitted : 0, 0,
				       0};
	struct peer_usage *u = lookup_usage(p, report->workspace);

	if (u)
		return u;
	g_array_append_val(p->usage, new_usage);
	return &g_array_index(p->usage, struct peer_usage, p->usage->len - 1);
}

/* Returns the tokens of a node's share for the time it was silent: no other node spent them. */
static double reserved_tokens(const struct snipe_fleet_quota *q, const struct bucket *b,
			      const struct peer_usage *use, int64_t silence_us)
{
	if ((double)silence_us <= SNIPE_SILENT_INTERVALS * (double)q->interval_us ||
	    b->baseline_total <= 0)
		return 0;
	return b->rate * use->baseline / b->baseline_total * (double)silence_us / 1e6;
}

static void apply_usage(struct snipe_fleet_quota *q, struct peer *p, int is_new_peer,
			const struct snipe_quota_report *report, int64_t silence_us)
{
	struct bucket *b = g_hash_table_lookup(q->workspaces, &report->workspace);
	struct peer_usage *use = get_usage(p, report, is_new_peer);

	if (b)
		b->tokens -= MAX((int32_t)(report->admitted - use->admitted) -
					 reserved_tokens(q, b, use, silence_us),
				 0);
	use->admitted = report->admitted;
	use->demand = report->demand;
}

static struct peer *get_peer(struct snipe_fleet_quota *q, uint64_t id, uint64_t process)
{
	struct peer *p = g_hash_table_lookup(q->peers, &id);

	if (!p) {
		p = g_new0(struct peer, 1);
		p->id = id;
		p->process = process;
		p->usage = g_array_new(FALSE, FALSE, sizeof(struct peer_usage));
		g_hash_table_insert(q->peers, &p->id, p);
	}
	return p;
}

/* The counts of a new process start at 0. All are cleared at once, because a report doesn't
 * change the workspaces that it leaves out. */
static void reset_counts(struct peer *p, uint64_t process)
{
	for (guint i = 0; i < p->usage->len; i++) {
		struct peer_usage *u = &g_array_index(p->usage, struct peer_usage, i);

		u->demand = 0;
		u->admitted = 0;
	}
	p->process = process;
}

void snipe_fleet_quota_on_report(struct snipe_fleet_quota *q, int64_t now_us, uint64_t id,
				 uint64_t process, const struct snipe_quota_report *reports,
				 int count)
{
	int is_new_peer = !g_hash_table_contains(q->peers, &id);
	struct peer *p = get_peer(q, id, process);
	int64_t silence_us = now_us - p->last_report_us;
	GHashTableIter it;
	gpointer value;

	if (p->process != process)
		reset_counts(p, process);
	p->last_report_us = now_us;
	g_hash_table_iter_init(&it, q->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &value))
		refill(q, value, now_us);
	for (int i = 0; i < count; i++)
		apply_usage(q, p, is_new_peer, &reports[i], silence_us);
}

/* At least the report interval: otherwise a node with one request every few seconds would
 * report no demand most of the time. */
static double demand_decay_us(const struct snipe_fleet_quota *q)
{
	return (double)MAX(DEMAND_DECAY_US, q->interval_us);
}

static void count_demand(const struct snipe_fleet_quota *q, struct bucket *b, int64_t now_us)
{
	double age = (double)(now_us - b->demand_updated_us) / demand_decay_us(q);

	b->demand = b->demand / (1 + age + age * age / 2) + 1;
	b->demand_updated_us = now_us;
}

static double demand_rate(const struct snipe_fleet_quota *q, const struct bucket *b,
			  int64_t now_us)
{
	double age = (double)(now_us - b->demand_updated_us) / demand_decay_us(q);

	return b->demand / (1 + age + age * age / 2) / (demand_decay_us(q) / 1e6);
}

static void spend_token(struct bucket *b, int64_t now_us)
{
	b->batch_size =
		now_us - b->last_admitted_us <= MAX_BATCH_GAP_US ? b->batch_size + 1 : 1;
	b->last_admitted_us = now_us;
	b->tokens -= 1;
	b->admitted.count++;
	/* The squared size of the batch grows by n^2 - (n-1)^2 = 2n - 1. */
	b->admitted.batch_squares += 2 * b->batch_size - 1;
}

/* Returns the tokens that are probably left. Nodes whose reports are late may be isolated and
 * spend from a bucket that looks full to them; the headroom then doesn't count. */
static double estimate_tokens(const struct snipe_fleet_quota *q, const struct bucket *b,
			      int64_t now_us)
{
	double burst = b->burst * b->reachable;
	int is_late = (double)(now_us - b->oldest_report_us) >
		      LATE_REPORT_INTERVALS * (double)q->interval_us;

	if (is_late)
		return MIN(b->tokens, burst) - unreported_tokens(q, b, now_us);
	return MIN(b->tokens - unreported_tokens(q, b, now_us), burst);
}

int snipe_fleet_quota_take(struct snipe_fleet_quota *q, int64_t now_us, uint64_t workspace,
			   int64_t *retry_after_us)
{
	struct bucket *b = g_hash_table_lookup(q->workspaces, &workspace);
	double available, rate;

	*retry_after_us = 0;
	if (!b || b->rate <= 0)
		return 1;
	count_demand(q, b, now_us);
	if (now_us - b->shares_updated_us > q->interval_us / SHARE_UPDATES_PER_INTERVAL)
		update_shares(q, now_us, b);
	refill(q, b, now_us);
	available = estimate_tokens(q, b, now_us);
	if (available >= MAX(LOW_BUCKET_RATIO * b->burst * b->reachable, 1)) {
		if (q->interval_us >= SLOW_INTERVAL_US)
			b->share_tokens = MAX(b->share_tokens - 1, 0);
		spend_token(b, now_us);
		return 1;
	}
	if (b->tokens > 0 && b->share_tokens >= 1) {
		b->share_tokens -= 1;
		spend_token(b, now_us);
		return 1;
	}
	rate = b->rate * b->share;
	*retry_after_us = MAX((int64_t)(1e6 / MAX(rate, 0.1)), MIN_RETRY_AFTER_US);
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
	view->tokens = estimate_tokens(q, b, now_us);
	view->share_tokens = b->share_tokens;
	view->share = b->share;
	view->reachable = b->reachable;
	view->report_age_us = MAX(now_us - b->oldest_report_us, 0);
	return 0;
}

void snipe_fleet_quota_refund(struct snipe_fleet_quota *q, uint64_t workspace)
{
	struct bucket *b = g_hash_table_lookup(q->workspaces, &workspace);

	if (!b || b->rate <= 0)
		return;
	b->tokens += 1;
	b->admitted.count--;
	b->admitted.batch_squares--;
}

/* Removes expired peers, whose shares then go to the other nodes. Does nothing unless most
 * peers are reporting, because otherwise this node may itself be isolated. */
static void remove_expired_peers(struct snipe_fleet_quota *q, int64_t now_us)
{
	guint reporting = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		reporting += !is_silent(q, value, now_us);
	if (2 * reporting <= g_hash_table_size(q->peers))
		return;
	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (now_us - p->last_report_us > PEER_EXPIRY_US)
			g_hash_table_iter_remove(&it);
	}
}

static void record_history(struct snipe_fleet_quota *q, struct bucket *b, int64_t now_us)
{
	refill(q, b, now_us);
	memmove(&b->reported_demand[1], b->reported_demand,
		sizeof(b->reported_demand) - sizeof(b->reported_demand[0]));
	b->reported_demand[0] = demand_rate(q, b, now_us);
	memmove(&b->past_admitted[1], b->past_admitted,
		sizeof(b->past_admitted) - sizeof(b->past_admitted[0]));
	b->past_admitted[0] = b->admitted;
	update_shares(q, now_us, b);
}

/* A workspace with admissions is reported until the process ends: a node that received its
 * count only later would charge all of it as new. */
static int is_active_workspace(const struct bucket *b)
{
	return b->rate > 0 &&
	       (b->admitted.count || b->reported_demand[0] > MIN_REPORTED_DEMAND_PER_S);
}

int snipe_fleet_quota_make_report(struct snipe_fleet_quota *q, int64_t now_us,
				  struct snipe_quota_report *reports, int max)
{
	GHashTableIter it;
	gpointer value;
	int active = 0, index = 0, n;

	remove_expired_peers(q, now_us);
	g_hash_table_iter_init(&it, q->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct bucket *b = value;

		if (b->rate > 0)
			record_history(q, b, now_us);
		active += is_active_workspace(b);
	}
	if (active == 0)
		return 0;
	q->report_start %= active;
	g_hash_table_iter_init(&it, q->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct bucket *b = value;
		int position;

		if (!is_active_workspace(b))
			continue;
		position = (index++ - q->report_start + active) % active;
		if (position >= max)
			continue;
		reports[position].workspace = b->id;
		reports[position].admitted = b->admitted.count;
		reports[position].demand = (float)b->reported_demand[0];
	}
	n = MIN(active, max);
	/* Start the next report with the second half of this one, which the datagram may have
	 * no room for. */
	q->report_start += MAX(n / 2, 1);
	return n;
}
