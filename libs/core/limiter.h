/*
 * Adaptive limit of the calls that run on one backend server at a time.
 *
 * The limit is derived from measured latency and calls in flight, since the health and load
 * endpoints of backend servers lag or mislead. docs/decisions/adaptive-limit.md states the
 * reasons for the rules.
 */
#ifndef SNIPE_LIMITER_H
#define SNIPE_LIMITER_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_limiter_policy {
	SNIPE_LIMITER_ADAPTIVE,
	SNIPE_LIMITER_FIXED, /* constant limit, for comparison */
	SNIPE_LIMITER_NONE,  /* no limit, for comparison */
};

enum snipe_limiter_sample {
	SNIPE_SAMPLE_OK,
	SNIPE_SAMPLE_TIMEOUT,
	SNIPE_SAMPLE_SHED,   /* rejected by the backend server itself because of load */
	SNIPE_SAMPLE_IGNORE, /* cancelled or failed for a reason that says nothing about load */
};

/* Fields are private. */
struct snipe_limiter {
	enum snipe_limiter_policy policy;
	int slots;
	int fixed_limit;
	double limit;
	double limit_before_decreases; /* before the current series of decreases */
	double mean_us;		       /* mean latency of the last period; 0: none yet */
	double clipped_mean_us;	       /* the same with outliers clipped */
	int has_seen_congestion; /* since the last reset; before, the limit grows faster */
	int has_baseline; /* latency below saturation is known, or a probe was requested */
	int unsaturated_periods; /* counted until has_baseline */
	int slow_periods;	 /* consecutive */
	int skip_samples;	 /* samples to ignore before the next period */
	double min_latency_us;	 /* long-term minimum of the period means; 0: none yet */

	/* Samples of the current period, since the last decision. */
	struct {
		int64_t start_us;
		double sum_us;
		double clipped_sum_us;
		int count;
		int congestion_count; /* timeouts and rejections by the server */
		int shed_count;
		int max_in_flight;
		int64_t in_flight_sum;
	} period;

	/* Measurement of the latency at a quarter of the limit. */
	struct {
		enum {
			SNIPE_LIMITER_NOT_PROBING,
			SNIPE_LIMITER_DRAINING, /* until in_flight <= limit */
			SNIPE_LIMITER_MEASURING,
		} phase;
		double resume_limit;
		double before_us; /* latency before the probe */
		int64_t start_us;
		int64_t in_flight_sum;
		int count;
		int64_t deadline_us;
		int64_t last_us;  /* end of the last probe */
		int is_requested; /* sooner than at the regular interval */
	} probe;
};

/* slots, the concurrency configured in the table of the pool, is the initial limit and its
 * upper bound; only measurements lower it. fixed_limit is the limit of SNIPE_LIMITER_FIXED. */
void snipe_limiter_init(struct snipe_limiter *l, enum snipe_limiter_policy policy, int slots,
			int fixed_limit, int64_t now_us);

/* Applies a changed number of slots and keeps the measurements. */
void snipe_limiter_set_slots(struct snipe_limiter *l, int slots);

/* Discards the measurements, for a backend server that restarted and is cold. */
void snipe_limiter_reset(struct snipe_limiter *l, int64_t now_us);

/* Returns the number of calls that may run at a time, at least 1; INT_MAX without a limit. */
int snipe_limiter_limit(const struct snipe_limiter *l);

/*
 * Records the end of a call. in_flight counts the running calls including this one. A timeout
 * after at most twice the minimum latency says nothing about load and is ignored.
 */
void snipe_limiter_record(struct snipe_limiter *l, int64_t now_us, int64_t latency_us,
			  int in_flight, enum snipe_limiter_sample sample);

/* Returns the mean latency of the last period, 0 if there is none yet. */
int64_t snipe_limiter_latency_us(const struct snipe_limiter *l);

#ifdef __cplusplus
}
#endif

#endif
