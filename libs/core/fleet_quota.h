/*
 * Fleet-wide limits on the rate and burst of a workspace, without an owner.
 *
 * Each node estimates the level of one token bucket for the whole fleet. It subtracts its own
 * admissions at once and those of other nodes when their reports arrive. While the bucket holds
 * more than a small part of the burst, any node admits requests; below that, a node spends only
 * its share of the rate, which is proportional to its part of the reported demand. Silent nodes
 * keep their last share and the others spend only the rest, so that the limit holds across a
 * network partition. A node that was silent for a minute is removed by nodes that still receive
 * reports from most others.
 *
 * Load pattern: one workspace sends several times its rate to all nodes at once, while small
 * workspaces send short bursts to single nodes.
 */
#ifndef SNIPE_FLEET_QUOTA_H
#define SNIPE_FLEET_QUOTA_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Report intervals without a report after which a node counts as silent; tolerates one lost
 * report. A silent node gets no calls, because a node that is isolated or stalled leaves every
 * call unanswered. It keeps its share of the rates. */
#define SNIPE_SILENT_INTERVALS 2.2

struct snipe_fleet_quota {
	GHashTable *workspaces; /* workspace id -> bucket */
	GHashTable *peers;	/* node id -> peer */
	int64_t interval_us;	/* between reports; may be changed as the fleet grows */
	int starts_full;
	int report_start; /* index of the active workspace that the next report starts with */
};

/* One node's report on one workspace. */
struct snipe_quota_report {
	uint64_t workspace;
	uint32_t admitted; /* since the process started; wraps around */
	float demand;	   /* requests per second, admitted or not */
};

/* starts_full must be nonzero only if the whole fleet starts for the first time: then no
 * earlier process can have spent tokens. */
void snipe_fleet_quota_init(struct snipe_fleet_quota *q, int64_t interval_us, int starts_full);
void snipe_fleet_quota_finish(struct snipe_fleet_quota *q);

/* Sets the limits of a workspace: rate in requests per second, burst in requests. A rate of 0
 * admits all. */
void snipe_fleet_quota_set_limit(struct snipe_fleet_quota *q, int64_t now_us,
				 uint64_t workspace, double rate, double burst);

/* Handles a report received from a node. A new value of process means that the node restarted
 * and its counts start at 0. */
void snipe_fleet_quota_on_report(struct snipe_fleet_quota *q, int64_t now_us, uint64_t peer,
				 uint64_t process, const struct snipe_quota_report *reports,
				 int count);

/* Takes one token for a request. Returns 1, or 0 if it must be rejected; *retry_after_us then
 * receives the time after which to retry. */
int snipe_fleet_quota_take(struct snipe_fleet_quota *q, int64_t now_us, uint64_t workspace,
			   int64_t *retry_after_us);

/* State on which decisions about a workspace are based. */
struct snipe_quota_view {
	double rate, burst;
	double tokens;	       /* of the fleet, less those probably spent unreported */
	double share_tokens;   /* of this node, spent when the fleet's tokens run low */
	double share;	       /* ratio of the rate that this node may spend then */
	double reachable;      /* ratio of the rate that belongs to nodes that are not silent */
	int64_t report_age_us; /* of the oldest last report of a node that is not silent */
};

/* Returns 0, or SNIPE_ERR_NOT_FOUND if the workspace has no limit. */
int snipe_fleet_quota_view(const struct snipe_fleet_quota *q, int64_t now_us,
			   uint64_t workspace, struct snipe_quota_view *view);

/* Refunds the token of a request that was then rejected for another reason. */
void snipe_fleet_quota_refund(struct snipe_fleet_quota *q, uint64_t workspace);

/* Fills the report of this node on its active workspaces and updates the shares. Call once per
 * report interval. Returns the number of entries, at most max. Each report starts with another
 * workspace, so that the caller may leave out the second half. */
int snipe_fleet_quota_make_report(struct snipe_fleet_quota *q, int64_t now_us,
				  struct snipe_quota_report *reports, int max);

#ifdef __cplusplus
}
#endif

#endif
