/*
 * Rate and burst of a workspace over the whole fleet, without an owner.
 *
 * Each node keeps its own estimate of one token bucket for the fleet: it takes off what it
 * admits at once, and what other nodes admitted when their reports arrive. While the bucket is
 * filled above a small part of the burst, a request is admitted wherever it comes; below that,
 * a node spends only its share, which follows the demand that the nodes report. Nodes that are
 * silent keep their last share, and the others spend only what remains, so the sum holds across
 * a partition. A node that was silent for a minute is forgotten by those that still hear most
 * others.
 *
 * Load pattern: one workspace sends several times its rate at all nodes at once, while small
 * workspaces send short bursts at single nodes.
 */
#ifndef SNIPE_FLEET_QUOTA_H
#define SNIPE_FLEET_QUOTA_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Intervals of the reports after which a node counts as silent: one lost report is tolerated.
 * No calls are placed there, for a node that is cut off or stands still holds every call that
 * it is sent, and its share of rates is left to it. */
#define SNIPE_SILENT_INTERVALS 2.2

struct snipe_fleet_quota {
	GHashTable *workspaces; /* id -> bucket */
	GHashTable *peers;	/* id -> peer */
	int64_t interval_us;	/* of the reports; may be changed as the fleet grows */
	int starts_full;
	int first_reported; /* index of the workspace in use that the next report begins with */
};

/* What one node reports of one workspace. */
struct snipe_quota_report {
	uint64_t workspace;
	uint32_t admitted; /* since the process started; wraps around */
	float demand;	   /* requests a second, admitted or not */
};

/* starts_full is nonzero when the whole fleet starts for the first time: no other process can
 * have spent tokens before. */
void snipe_fleet_quota_init(struct snipe_fleet_quota *q, int64_t interval_us, int starts_full);
void snipe_fleet_quota_finish(struct snipe_fleet_quota *q);

/* Sets the limits of a workspace; a rate of 0 admits all. */
void snipe_fleet_quota_limit(struct snipe_fleet_quota *q, int64_t now_us, uint64_t workspace,
			     double rate, double burst);

/* A report of a node arrived. process tells its processes apart: counts start anew. */
void snipe_fleet_quota_peer(struct snipe_fleet_quota *q, int64_t now_us, uint64_t peer,
			    uint64_t process, const struct snipe_quota_report *reports,
			    int count);
/* Takes one token. Returns 1, or 0 with the time after which to come back. */
int snipe_fleet_quota_take(struct snipe_fleet_quota *q, int64_t now_us, uint64_t workspace,
			   int64_t *retry_after_us);

/* What a decision about a workspace rests on. */
struct snipe_quota_view {
	double rate, burst;
	double tokens;	       /* of the whole fleet, less what others probably spent unseen */
	double share_tokens;   /* of this node, spent when those of the fleet run low */
	double share;	       /* part of the rate that this node may spend then */
	double reachable;      /* part of the rate that belongs to nodes in contact */
	int64_t report_age_us; /* of the oldest report of a node in contact */
};

/* Returns 0, or SNIPE_ERR_NOT_FOUND if the workspace has no limit. */
int snipe_fleet_quota_view(const struct snipe_fleet_quota *q, int64_t now_us,
			   uint64_t workspace, struct snipe_quota_view *view);

/* Gives a token back: the request was refused for another reason. */
void snipe_fleet_quota_give_back(struct snipe_fleet_quota *q, uint64_t workspace);

/* Fills the own report, with the workspaces in use; the shares follow what was reported last.
 * Call at the interval of the reports. Returns the number filled, at most max. Each report
 * begins with another workspace: its second half may be left out. */
int snipe_fleet_quota_report(struct snipe_fleet_quota *q, int64_t now_us,
			     struct snipe_quota_report *reports, int max);

#ifdef __cplusplus
}
#endif

#endif
