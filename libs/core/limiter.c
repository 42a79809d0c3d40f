#include "core/limiter.h"

#include <limits.h>
#include <string.h>

#define DECREASE_FACTOR 0.9
#define INCREASE_DIVISOR 32 /* adds slots / 32 in each period */
#define STARTUP_DIVISOR 2   /* adds limit / 2 in each period until the first congestion */
#define MINIMUM_WEIGHT 0.25 /* a minimum that is too low by chance keeps the limit too low */

/* Multiples of the minimum latency. */
#define CONGESTION_FACTOR 2.0 /* a mean above it is congestion */
#define SEVERE_FACTOR 4.0     /* a mean above it starts a probe for the cause at once */
#define OUTLIER_FACTOR 8.0    /* samples are clipped to it */
#define FASTER_FACTOR 0.6     /* a mean below it requests a probe */

/* With fewer samples, the mean of a period is too noisy to compare with a minimum of means. */
#define PERIOD_SAMPLES 32
#define PERIOD_MIN_SAMPLES 8 /* enough after PERIOD_TIMEOUT_US */
#define PERIOD_TIMEOUT_US 1000000

/* A period is congested if 1 in 10 calls timed out or was rejected by the server. A single
 * failing route must not lower the limit of the whole server. */
#define CONGESTION_DIVISOR 10

/* In a surge on a server without a baseline, the limit restarts at slots / 4. */
#define SURGE_START_DIVISOR 4
/* Mean ratio of calls in flight to the limit from which on the limit delays calls. */
#define SATURATION_RATIO 0.9
/* Unsaturated periods after which the server is known to keep up with its load; a surge would
 * saturate it sooner. */
#define BASELINE_PERIODS 4
/* Consecutive slow periods that count as the first congestion. */
#define SLOW_PERIODS 2

#define PROBE_DIVISOR 4
#define PROBE_SAMPLES 64
#define PROBE_MIN_SAMPLES 32
#define PROBE_INTERVAL_US 10000000
#define PROBE_INTERVAL_LATENCIES 100 /* bounds the time spent probing on slow servers */
/* Least time between probes that are requested or check for congestion. */
#define PROBE_EARLY_INTERVAL_US 50000
#define PROBE_EARLY_INTERVAL_LATENCIES 25
#define INITIAL_PROBE_AGE_US 3600000000 /* makes the first probe due at once */
#define PROBE_ABORT_US 3000000		/* ends a probe that lacks demand */
#define PROBE_ABORT_LATENCIES 8

/* Samples ignored after a probe, as a multiple of the limit: after a jump of the limit the
 * short calls end first, so the samples are not representative yet. */
#define SETTLE_LIMIT_MULTIPLE 3

static double clamp(double v, double low, double high)
{
	return v < low ? low : v > high ? high : v;
}

static double max_double(double a, double b)
{
	return a > b ? a : b;
}

static double increase_step(const struct snipe_limiter *l)
{
	double additive = max_double(1, (double)l->slots / INCREASE_DIVISOR);

	return l->has_seen_congestion ? additive
				      : max_double(additive, l->limit / STARTUP_DIVISOR);
}

static void set_limit(struct snipe_limiter *l, double limit)
{
	l->limit = clamp(limit, 1, l->slots);
}

static void start_period(struct snipe_limiter *l, int64_t now_us)
{
	memset(&l->period, 0, sizeof(l->period));
	l->period.start_us = now_us;
}

/* Discards the measurements and continues at this limit. */
static void reset_estimates(struct snipe_limiter *l, int64_t now_us, double limit)
{
	set_limit(l, limit);
	l->limit_before_decreases = l->limit;
	l->mean_us = 0;
	l->clipped_mean_us = 0;
	l->min_latency_us = 0;
	l->skip_samples = 0;
	memset(&l->probe, 0, sizeof(l->probe));
	l->probe.last_us = now_us - INITIAL_PROBE_AGE_US;
	l->has_seen_congestion = 0;
	l->slow_periods = 0;
	start_period(l, now_us);
}

void snipe_limiter_reset(struct snipe_limiter *l, int64_t now_us)
{
	reset_estimates(l, now_us, l->slots);
	l->has_baseline = 0;
	l->unsaturated_periods = 0;
}

void snipe_limiter_init(struct snipe_limiter *l, enum snipe_limiter_policy policy, int slots,
			int fixed_limit, int64_t now_us)
{
	memset(l, 0, sizeof(*l));
	l->policy = policy;
	l->slots = slots > 1 ? slots : 1;
	l->fixed_limit = fixed_limit > 1 ? fixed_limit : 1;
	snipe_limiter_reset(l, now_us);
}

void snipe_limiter_set_slots(struct snipe_limiter *l, int slots)
{
	l->slots = slots > 1 ? slots : 1;
	set_limit(l, l->limit);
	l->limit_before_decreases = clamp(l->limit_before_decreases, 1, l->slots);
	l->probe.resume_limit = clamp(l->probe.resume_limit, 1, l->slots);
}

int snipe_limiter_limit(const struct snipe_limiter *l)
{
	if (l->policy == SNIPE_LIMITER_NONE)
		return INT_MAX;
	if (l->policy == SNIPE_LIMITER_FIXED)
		return l->fixed_limit;
	return (int)l->limit;
}

int64_t snipe_limiter_latency_us(const struct snipe_limiter *l)
{
	return (int64_t)l->mean_us;
}

/* The intervals depend on the current latency, so that the next probe is not delayed by many
 * times the latency of an earlier slow phase. */
static int is_early_probe_allowed(const struct snipe_limiter *l, int64_t now_us)
{
	return (double)(now_us - l->probe.last_us) >=
	       max_double(PROBE_EARLY_INTERVAL_US,
			  PROBE_EARLY_INTERVAL_LATENCIES * l->clipped_mean_us);
}

static int is_probe_due(const struct snipe_limiter *l, int64_t now_us)
{
	if (l->probe.is_requested)
		return is_early_probe_allowed(l, now_us);
	/* At its upper bound the limit cannot be raised; a probe would only cost goodput. */
	if (l->limit >= l->slots)
		return 0;
	return (double)(now_us - l->probe.last_us) >=
	       max_double(PROBE_INTERVAL_US, PROBE_INTERVAL_LATENCIES * l->clipped_mean_us);
}

/* A probe lowers the limit to a quarter for some calls, to measure the latency that is not
 * caused by concurrency. */
static void start_probe(struct snipe_limiter *l, int64_t now_us)
{
	l->probe.phase = SNIPE_LIMITER_DRAINING;
	l->probe.resume_limit = l->limit;
	l->probe.before_us = l->mean_us;
	l->probe.in_flight_sum = 0;
	l->probe.count = 0;
	l->probe.deadline_us =
		now_us +
		(int64_t)max_double(PROBE_ABORT_US, PROBE_ABORT_LATENCIES * l->clipped_mean_us);
	set_limit(l, l->limit / PROBE_DIVISOR);
}

/*
 * Computes the latency by Little's law, calls in flight / throughput. The mean of the samples
 * would mislead, since calls that started at the higher limit still end during the probe.
 * Returns 0 without enough demand to apply the law.
 */
static double probe_latency_us(const struct snipe_limiter *l, int64_t now_us)
{
	double in_flight;

	if (l->probe.count < PERIOD_MIN_SAMPLES)
		return 0;
	in_flight = (double)l->probe.in_flight_sum / l->probe.count;
	if (in_flight * 2 < (int)l->limit)
		return 0;
	return in_flight * (double)(now_us - l->probe.start_us) / l->probe.count;
}

static void finish_probe(struct snipe_limiter *l, int64_t now_us)
{
	double mean = probe_latency_us(l, now_us);
	double before = l->probe.before_us, resume = l->probe.resume_limit;

	if (mean <= 0) {
		set_limit(l, resume);
	} else if (mean <= CONGESTION_FACTOR * l->min_latency_us) {
		/* The minimum is confirmed. If the latency was more than twice the minimum,
		 * the limit is scaled, by Little's law, to where it is twice the minimum. */
		l->min_latency_us = mean;
		if (before > CONGESTION_FACTOR * mean)
			resume *= CONGESTION_FACTOR * mean / before;
		set_limit(l, max_double(l->limit, resume));
	} else if (mean >= before / 2 || (int)l->limit == 1) {
		/* The latency did not fall with concurrency, or a single call is slow: the
		 * server itself became slower, and the decreases are undone. */
		l->min_latency_us = mean;
		set_limit(l, max_double(resume, l->limit_before_decreases));
	}
	/* Otherwise a quarter of the limit still saturates the server, and is kept. */

	l->probe.phase = SNIPE_LIMITER_NOT_PROBING;
	l->probe.last_us = now_us;
	l->probe.is_requested = 0;
	if (mean > 0)
		l->limit_before_decreases = l->limit;
	start_period(l, now_us);
	l->skip_samples = SETTLE_LIMIT_MULTIPLE * (int)l->limit;
}

static void record_probe(struct snipe_limiter *l, int64_t now_us, int in_flight, int is_shed)
{
	int sample_target = (int)clamp(2 * l->limit, PROBE_MIN_SAMPLES, PROBE_SAMPLES);

	if (l->probe.phase == SNIPE_LIMITER_DRAINING) {
		if (in_flight <= (int)l->limit) {
			l->probe.phase = SNIPE_LIMITER_MEASURING;
			l->probe.start_us = now_us;
		}
	} else if (!is_shed) {
		l->probe.in_flight_sum += in_flight;
		l->probe.count++;
	}
	if (l->probe.count >= sample_target || now_us >= l->probe.deadline_us)
		finish_probe(l, now_us);
}

static void decrease(struct snipe_limiter *l)
{
	set_limit(l, l->limit * DECREASE_FACTOR);
}

/* High latency or timeouts alone lower the limit to half; further decreases need a probe that
 * shows that concurrency is the cause. */
static void decrease_or_probe(struct snipe_limiter *l, int64_t now_us)
{
	int needs_probe = l->clipped_mean_us > SEVERE_FACTOR * l->min_latency_us ||
			  l->limit <= l->limit_before_decreases / 2;

	if (needs_probe && is_early_probe_allowed(l, now_us))
		start_probe(l, now_us);
	else if (!needs_probe)
		decrease(l);
}

/* Clips outliers: a few very slow calls are no sign of overload, which slows most calls. */
static double clip_latency(const struct snipe_limiter *l, int64_t latency_us)
{
	double bound = OUTLIER_FACTOR * l->min_latency_us;

	return bound > 0 && (double)latency_us > bound ? bound : (double)latency_us;
}

/* Moves the minimum towards a lower mean, weighted by the number of samples. The plain minimum
 * of many means would be far below the typical latency. */
static void update_minimum(struct snipe_limiter *l)
{
	double share = clamp((double)l->period.count / PERIOD_SAMPLES, 0, 1);

	/* The server became faster without a probe, so the minimum is probably lower still. */
	if (l->clipped_mean_us < FASTER_FACTOR * l->min_latency_us)
		l->probe.is_requested = 1;
	if (l->min_latency_us <= 0)
		l->min_latency_us = l->clipped_mean_us;
	else if (l->clipped_mean_us < l->min_latency_us)
		l->min_latency_us +=
			(l->clipped_mean_us - l->min_latency_us) * share * MINIMUM_WEIGHT;
}

static void update_means(struct snipe_limiter *l)
{
	if (l->period.count == 0)
		return;
	l->mean_us = l->period.sum_us / l->period.count;
	l->clipped_mean_us = l->period.clipped_sum_us / l->period.count;
}

/*
 * While the calls in flight stay below the limit, the server is not saturated, and its latency
 * can serve as the minimum. If a surge saturates it before that is known, the configured slots
 * may be too many, and the limit restarts at a fraction of them. Returns 0 in that case, in
 * which the period has ended.
 */
static int check_baseline(struct snipe_limiter *l, int64_t now_us)
{
	int total = l->period.count + l->period.shed_count;

	if ((double)l->period.in_flight_sum < SATURATION_RATIO * l->limit * total) {
		l->has_baseline = ++l->unsaturated_periods >= BASELINE_PERIODS;
		return 1;
	}
	l->has_baseline = 1;
	reset_estimates(l, now_us, l->slots / (double)SURGE_START_DIVISOR);
	l->probe.is_requested = 1;
	/* Ignores the calls that started at the higher limit. */
	l->skip_samples = l->slots;
	return 0;
}

static void finish_period(struct snipe_limiter *l, int64_t now_us)
{
	int total = l->period.count + l->period.shed_count;
	int is_congested = l->period.congestion_count * CONGESTION_DIVISOR >= total;
	int is_shedding = l->period.shed_count * CONGESTION_DIVISOR >= total;
	int is_limit_used = l->period.max_in_flight + (int)increase_step(l) >= (int)l->limit;
	int is_loaded = l->period.max_in_flight * 2 >= (int)l->limit;
	int is_slow;

	update_means(l);
	if (l->period.count > 0)
		update_minimum(l);
	is_slow = is_loaded && l->clipped_mean_us > CONGESTION_FACTOR * l->min_latency_us;
	l->slow_periods = is_slow ? l->slow_periods + 1 : 0;
	/* Before the first congestion, a single slow period may be chance. */
	if (!l->has_seen_congestion && l->slow_periods < SLOW_PERIODS)
		is_slow = 0;
	if (!l->has_baseline && !check_baseline(l, now_us))
		return;
	if (!l->has_seen_congestion && (is_congested || is_slow)) {
		/* From now on the limit depends on the minimum, so a probe verifies it. */
		l->has_seen_congestion = 1;
		l->probe.is_requested = 1;
	}
	if (is_shedding) {
		decrease(l);
	} else if (is_congested || is_slow) {
		decrease_or_probe(l, now_us);
	} else if (is_limit_used && l->period.count > 0) {
		if (is_probe_due(l, now_us)) {
			start_probe(l, now_us);
		} else {
			set_limit(l, l->limit + increase_step(l));
			l->limit_before_decreases = l->limit;
		}
	}
	start_period(l, now_us);
}

static int is_period_complete(const struct snipe_limiter *l, int64_t now_us)
{
	int64_t elapsed = now_us - l->period.start_us;
	int total = l->period.count + l->period.shed_count;

	if (elapsed < (int64_t)l->clipped_mean_us)
		return 0;
	if (l->period.count > 0 &&
	    elapsed < (int64_t)(l->period.clipped_sum_us / l->period.count))
		return 0;
	/* A small limit needs fewer samples, so that it grows sooner. */
	if (total >= (int)clamp(2 * l->limit, PERIOD_MIN_SAMPLES, PERIOD_SAMPLES))
		return 1;
	return total >= PERIOD_MIN_SAMPLES && elapsed >= PERIOD_TIMEOUT_US;
}

void snipe_limiter_record(struct snipe_limiter *l, int64_t now_us, int64_t latency_us,
			  int in_flight, enum snipe_limiter_sample sample)
{
	int is_shed = sample == SNIPE_SAMPLE_SHED;
	int is_timeout = sample == SNIPE_SAMPLE_TIMEOUT;

	if (sample == SNIPE_SAMPLE_IGNORE || latency_us < 0)
		return;
	if (is_timeout && (double)latency_us <= CONGESTION_FACTOR * l->min_latency_us)
		return;
	if (l->probe.phase != SNIPE_LIMITER_NOT_PROBING) {
		record_probe(l, now_us, in_flight, is_shed);
		return;
	}
	if (l->skip_samples > 0) {
		l->skip_samples--;
		l->period.start_us = now_us;
		return;
	}
	if (is_shed) {
		l->period.shed_count++;
	} else {
		/* The latency of a timeout is a lower bound. */
		l->period.sum_us += (double)latency_us;
		l->period.clipped_sum_us += clip_latency(l, latency_us);
		l->period.count++;
	}
	l->period.congestion_count += is_shed || is_timeout;
	l->period.in_flight_sum += in_flight;
	if (in_flight > l->period.max_in_flight)
		l->period.max_in_flight = in_flight;
	if (!is_period_complete(l, now_us))
		return;
	if (l->policy == SNIPE_LIMITER_ADAPTIVE) {
		finish_period(l, now_us);
		return;
	}
	update_means(l);
	start_period(l, now_us);
}
