/*
 * Adaptive limit of the calls that run on one backend server at a time.
 *
 * The limit follows measured behaviour (latency against calls in flight), since the health and
 * load endpoints of backend servers lag or mislead.
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
	double limit;
	int ceiling;
	double latency_us;     /* short-term average */
	double min_latency_us; /* long-term minimum */
	double window_min_us;  /* minimum of the running window */
	int64_t window_start_us;
	int64_t last_decrease_us;
};

/* slots is the pool's upper bound. Starts cold, at a quarter of slots. */
void snipe_limiter_init(struct snipe_limiter *l, enum snipe_limiter_policy policy, int slots,
			int fixed_limit, int64_t now_us);

/* Takes a changed table into account without losing what was learned. */
void snipe_limiter_set_slots(struct snipe_limiter *l, int slots);

/* Forgets what was learned: the backend server restarted and is cold. */
void snipe_limiter_reset(struct snipe_limiter *l, int64_t now_us);

/* Returns the number of calls that may run now, at least 1. */
int snipe_limiter_limit(const struct snipe_limiter *l);

/* Records a finished call. in_flight counts the running calls including this one. */
void snipe_limiter_record(struct snipe_limiter *l, int64_t now_us, int64_t latency_us,
			  int in_flight, enum snipe_limiter_sample sample);

/* Returns the short-term average latency, 0 if there is none yet. */
int64_t snipe_limiter_latency_us(const struct snipe_limiter *l);

#ifdef __cplusplus
}
#endif

#endif
