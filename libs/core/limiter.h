/*
 * Adaptive limit of the calls that run on one backend server at a time.
 *
 * The limit follows measured behaviour (latency against calls in flight), since the health and
 * load endpoints of backend servers lag or mislead. docs/decisions/adaptive-limit.md states the
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
	SNIPE_LIMITER_FIXED, /* constant limit; for comparisons */
	SNIPE_LIMITER_NONE,  /* no limit; for comparisons */
};

enum snipe_limiter_sample {
	SNIPE_SAMPLE_OK,
	SNIPE_SAMPLE_TIMEOUT,
	SNIPE_SAMPLE_SHED,   /* the backend server itself refused for load */
	SNIPE_SAMPLE_IGNORE, /* cancelled or failed for a reason that says nothing about load */
};

/* Fields are private. */
struct snipe_limiter {
	enum snipe_limiter_policy policy;
	int slots;
	int fixed_limit;
	double limit;
	double run_limit;      /* limit before the present run of decreases */
	double mean_us;	       /* mean latency of the last period; 0: none yet */
	double latency_us;     /* the same without outliers */
	int has_congestion;    /* seen since the start; until then the limit grows faster */
	int has_baseline;      /* the minimum was measured below saturation */
	int calm_periods;      /* below saturation, until then */
	int slow_periods;      /* in a row */
	int settle;	       /* samples to be left out before the next period */
	double min_latency_us; /* long-term minimum of the period means; 0: none yet */

	/* Samples since the last decision. */
	struct {
		int64_t start_us;
		double sum_us;
		double bounded_sum_us;
		int count;
		int congestion_count; /* timeouts and refusals by the server */
		int shed_count;
		int max_in_flight;
		int64_t in_flight_sum;
	} period;

	/* Measurement of the latency at a quarter of the limit. */
	struct {
		enum {
			SNIPE_LIMITER_NOT_PROBING,
			SNIPE_LIMITER_DRAINING, /* until few enough calls are in flight */
			SNIPE_LIMITER_MEASURING,
		} phase;
		double resume_limit;
		double before_us; /* latency before the probe */
		int64_t start_us;
		int64_t in_flight_sum;
		int count;
		int64_t give_up_us;
		int64_t last_us; /* end of the last probe */
		int wanted;	 /* sooner than at the regular interval */
	} probe;
};

/* slots is what the pool's table tells, and the upper bound. Starts there, and goes below only
 * by evidence. */
void snipe_limiter_init(struct snipe_limiter *l, enum snipe_limiter_policy policy, int slots,
			int fixed_limit, int64_t now_us);

/* Takes a changed table into account without losing what was learned. */
void snipe_limiter_set_slots(struct snipe_limiter *l, int slots);

/* Forgets what was learned: the backend server restarted and is cold. */
void snipe_limiter_reset(struct snipe_limiter *l, int64_t now_us);

/* Returns the number of calls that may run now, at least 1; INT_MAX without a limit. */
int snipe_limiter_limit(const struct snipe_limiter *l);

/*
 * Records a finished call. in_flight counts the running calls including this one. A timeout
 * that came sooner than a call normally takes says nothing about load and is ignored.
 */
void snipe_limiter_record(struct snipe_limiter *l, int64_t now_us, int64_t latency_us,
			  int in_flight, enum snipe_limiter_sample sample);

/* Returns the short-term average latency, 0 if there is none yet. */
int64_t snipe_limiter_latency_us(const struct snipe_limiter *l);

#ifdef __cplusplus
}
#endif

#endif
