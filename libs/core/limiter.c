#include "core/limiter.h"

#include <limits.h>
#include <string.h>

#define DECREASE_FACTOR 0.9
#define LATENCY_FACTOR 2.0  /* latency above this multiple of the minimum is congestion */
#define SEVERE_FACTOR 4.0   /* and above this one, a probe finds the cause at once */
#define OUTLIER_FACTOR 8.0  /* a sample counts at most as this multiple of the minimum */
#define MINIMUM_WEIGHT 0.25 /* a minimum that is too low by chance keeps the limit too low */
#define FASTER_FACTOR 0.6   /* latency below this multiple of the minimum: a probe is due */
#define INCREASE_DIVISOR 32 /* slots / 32 for each period */
#define START_DIVISOR 2	    /* limit / 2 for each period until the first congestion */

/* A period with fewer samples has a mean too noisy to compare with a minimum of means. */
#define PERIOD_SAMPLES 32
#define PERIOD_FEW_SAMPLES 8 /* enough after PERIOD_LONG_US */
#define PERIOD_LONG_US 1000000

/* Share of timeouts and refusals that counts as congestion: 1 in 10. A single failing route
 * must not bring down the limit of the whole server. */
#define CONGESTION_SHARE 10

/* A surge that meets a server of which nothing is known begins at slots / 4. */
#define CAUTIOUS_DIVISOR 4
/* Mean part of the limit in flight from which on the limit holds calls back. */
#define SATURATED_SHARE 0.9
/* Periods below that after which the server is known to keep up: a surge fills it sooner. */
#define BASELINE_PERIODS 4
/* Slow periods in a row that are the first sign of congestion. */
#define SLOW_PERIODS 2

#define PROBE_DIVISOR 4
#define PROBE_SAMPLES 64
#define PROBE_FEW_SAMPLES 32
#define PROBE_INTERVAL_US 10000000
#define PROBE_INTERVAL_PERIODS 100 /* keeps the share of probing small on slow servers */
#define PROBE_SUSPICION_US 50000
#define PROBE_SUSPICION_PERIODS 25
#define FIRST_PROBE_US 3600000000 /* before the start: the first probe is due at once */
#define PROBE_GIVE_UP_US 3000000  /* for lack of demand */
#define PROBE_GIVE_UP_PERIODS 8

/* The first calls to end after a jump of the limit are the short ones. After a probe, so many
 * times the limit are left out, until the mix of calls that end is the typical one. */
#define SETTLE_LIMITS 3

static double clamp(double v, double low, double high)
{
	return v < low ? low : v > high ? high : v;
}

static double max_double(double a, double b)
{
	return a > b ? a : b;
}

static double step(const struct snipe_limiter *l)
{
	double plain = max_double(1, (double)l->slots / INCREASE_DIVISOR);

	return l->has_congestion ? plain : max_double(plain, l->limit / START_DIVISOR);
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

/* Starts to learn at this limit. */
static void restart(struct snipe_limiter *l, int64_t now_us, double limit)
{
	set_limit(l, limit);
	l->run_limit = l->limit;
	l->mean_us = 0;
	l->latency_us = 0;
	l->min_latency_us = 0;
	l->settle = 0;
	memset(&l->probe, 0, sizeof(l->probe));
	l->probe.last_us = now_us - FIRST_PROBE_US;
	l->has_congestion = 0;
	l->slow_periods = 0;
	start_period(l, now_us);
}

void snipe_limiter_reset(struct snipe_limiter *l, int64_t now_us)
{
	restart(l, now_us, l->slots);
	l->has_baseline = 0;
	l->calm_periods = 0;
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
	l->run_limit = clamp(l->run_limit, 1, l->slots);
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

/* The intervals follow the latency of now: after a time of very slow calls, the next probe must
 * not wait for many times their latency. */
static int may_probe(const struct snipe_limiter *l, int64_t now_us)
{
	return (double)(now_us - l->probe.last_us) >=
	       max_double(PROBE_SUSPICION_US, PROBE_SUSPICION_PERIODS * l->latency_us);
}

static int is_probe_due(const struct snipe_limiter *l, int64_t now_us)
{
	if (l->probe.wanted)
		return may_probe(l, now_us);
	/* At its ceiling the limit holds nothing back, and a probe would only cost goodput. */
	if (l->limit >= l->slots)
		return 0;
	return (double)(now_us - l->probe.last_us) >=
	       max_double(PROBE_INTERVAL_US, PROBE_INTERVAL_PERIODS * l->latency_us);
}

/*
 * Probe: the limit is lowered to a quarter for some calls, which shows the latency
 * that does not come from concurrency.
 */
static void start_probe(struct snipe_limiter *l, int64_t now_us)
{
	l->probe.phase = SNIPE_LIMITER_DRAINING;
	l->probe.resume_limit = l->limit;
	l->probe.before_us = l->mean_us;
	l->probe.in_flight_sum = 0;
	l->probe.count = 0;
	l->probe.give_up_us =
		now_us +
		(int64_t)max_double(PROBE_GIVE_UP_US, PROBE_GIVE_UP_PERIODS * l->latency_us);
	set_limit(l, l->limit / PROBE_DIVISOR);
}

/*
 * Little's law: latency = calls in flight / throughput. The latencies of the calls themselves
 * would mislead here, since calls that ran among many others still end during the probe.
 * Without demand the law cannot be used, and the result is 0.
 */
static double measured_latency(const struct snipe_limiter *l, int64_t now_us)
{
	double in_flight;

	if (l->probe.count < PERIOD_FEW_SAMPLES)
		return 0;
	in_flight = (double)l->probe.in_flight_sum / l->probe.count;
	if (in_flight * 2 < (int)l->limit)
		return 0;
	return in_flight * (double)(now_us - l->probe.start_us) / l->probe.count;
}

static void finish_probe(struct snipe_limiter *l, int64_t now_us)
{
	double mean = measured_latency(l, now_us);
	double before = l->probe.before_us, resume = l->probe.resume_limit;

	if (mean <= 0) {
		set_limit(l, resume);
	} else if (mean <= LATENCY_FACTOR * l->min_latency_us) {
		/* The minimum is confirmed. By Little's law the second line gives the limit
		 * at which the latency is twice the minimum. */
		l->min_latency_us = mean;
		if (before > LATENCY_FACTOR * mean)
			resume *= LATENCY_FACTOR * mean / before;
		set_limit(l, max_double(l->limit, resume));
	} else if (mean >= before / 2 || (int)l->limit == 1) {
		/* Fewer calls did not make them faster, or a single call is slow: the server
		 * itself became slower, and the decreases were of no use. */
		l->min_latency_us = mean;
		set_limit(l, max_double(resume, l->run_limit));
	}
	/* Otherwise even a quarter of the calls saturates the server: that limit stays. */

	l->probe.phase = SNIPE_LIMITER_NOT_PROBING;
	l->probe.last_us = now_us;
	l->probe.wanted = 0;
	if (mean > 0)
		l->run_limit = l->limit;
	start_period(l, now_us);
	l->settle = SETTLE_LIMITS * (int)l->limit;
}

static void record_probe(struct snipe_limiter *l, int64_t now_us, int in_flight, int is_shed)
{
	int want = (int)clamp(2 * l->limit, PROBE_FEW_SAMPLES, PROBE_SAMPLES);

	if (l->probe.phase == SNIPE_LIMITER_DRAINING) {
		if (in_flight <= (int)l->limit) {
			l->probe.phase = SNIPE_LIMITER_MEASURING;
			l->probe.start_us = now_us;
		}
	} else if (!is_shed) {
		l->probe.in_flight_sum += in_flight;
		l->probe.count++;
	}
	if (l->probe.count >= want || now_us >= l->probe.give_up_us)
		finish_probe(l, now_us);
}

static void decrease(struct snipe_limiter *l)
{
	set_limit(l, l->limit * DECREASE_FACTOR);
}

/* Half of the concurrency is given up on high latency or timeouts; more only after a probe has
 * shown that concurrency is the cause. */
static void decrease_or_probe(struct snipe_limiter *l, int64_t now_us)
{
	int suspicious = l->latency_us > SEVERE_FACTOR * l->min_latency_us ||
			 l->limit <= l->run_limit / 2;

	if (suspicious && may_probe(l, now_us))
		start_probe(l, now_us);
	else if (!suspicious)
		decrease(l);
}

/* A few very slow calls say nothing about load, while overload slows down most calls. */
static double bounded_latency(const struct snipe_limiter *l, int64_t latency_us)
{
	double bound = OUTLIER_FACTOR * l->min_latency_us;

	return bound > 0 && (double)latency_us > bound ? bound : (double)latency_us;
}

/* Moves the long-term minimum towards a lower mean, by the number of samples: the minimum of
 * many means would be far below the typical latency. */
static void update_minimum(struct snipe_limiter *l)
{
	double share = clamp((double)l->period.count / PERIOD_SAMPLES, 0, 1);

	/* The server became faster by itself, so the true minimum is probably lower still. */
	if (l->latency_us < FASTER_FACTOR * l->min_latency_us)
		l->probe.wanted = 1;
	if (l->min_latency_us <= 0)
		l->min_latency_us = l->latency_us;
	else if (l->latency_us < l->min_latency_us)
		l->min_latency_us +=
			(l->latency_us - l->min_latency_us) * share * MINIMUM_WEIGHT;
}

static void update_means(struct snipe_limiter *l)
{
	if (l->period.count == 0)
		return;
	l->mean_us = l->period.sum_us / l->period.count;
	l->latency_us = l->period.bounded_sum_us / l->period.count;
}

/*
 * A server that keeps up with its demand below the limit is not saturated, so that its latency
 * can be the minimum. In a surge that begins before that, the told slots are not trusted: the
 * limit grows from a part of them. Returns 0 in that case, which ends the period.
 */
static int find_baseline(struct snipe_limiter *l, int64_t now_us)
{
	int total = l->period.count + l->period.shed_count;

	if ((double)l->period.in_flight_sum < SATURATED_SHARE * l->limit * total) {
		l->has_baseline = ++l->calm_periods >= BASELINE_PERIODS;
		return 1;
	}
	l->has_baseline = 1;
	restart(l, now_us, l->slots / (double)CAUTIOUS_DIVISOR);
	l->probe.wanted = 1;
	/* What was let through until now ends first. */
	l->settle = l->slots;
	return 0;
}

static void finish_period(struct snipe_limiter *l, int64_t now_us)
{
	int total = l->period.count + l->period.shed_count;
	int congested = l->period.congestion_count * CONGESTION_SHARE >= total;
	int is_shedding = l->period.shed_count * CONGESTION_SHARE >= total;
	int in_use = l->period.max_in_flight + (int)step(l) >= (int)l->limit;
	int loaded = l->period.max_in_flight * 2 >= (int)l->limit;
	int is_slow;

	update_means(l);
	if (l->period.count > 0)
		update_minimum(l);
	is_slow = loaded && l->latency_us > LATENCY_FACTOR * l->min_latency_us;
	l->slow_periods = is_slow ? l->slow_periods + 1 : 0;
	/* Until something else showed congestion, one slow period may be chance. */
	if (!l->has_congestion && l->slow_periods < SLOW_PERIODS)
		is_slow = 0;
	if (!l->has_baseline && !find_baseline(l, now_us))
		return;
	if (!l->has_congestion && (congested || is_slow)) {
		/* From here on the limit depends on the minimum, so it has to be right. */
		l->has_congestion = 1;
		l->probe.wanted = 1;
	}
	if (is_shedding) {
		decrease(l);
	} else if (congested || is_slow) {
		decrease_or_probe(l, now_us);
	} else if (in_use && l->period.count > 0) {
		if (is_probe_due(l, now_us)) {
			start_probe(l, now_us);
		} else {
			set_limit(l, l->limit + step(l));
			l->run_limit = l->limit;
		}
	}
	start_period(l, now_us);
}

static int period_is_complete(const struct snipe_limiter *l, int64_t now_us)
{
	int64_t elapsed = now_us - l->period.start_us;
	int total = l->period.count + l->period.shed_count;

	if (elapsed < (int64_t)l->latency_us)
		return 0;
	if (l->period.count > 0 &&
	    elapsed < (int64_t)(l->period.bounded_sum_us / l->period.count))
		return 0;
	/* A small limit that is in use waits for fewer samples, so that it grows soon. */
	if (total >= (int)clamp(2 * l->limit, PERIOD_FEW_SAMPLES, PERIOD_SAMPLES))
		return 1;
	return total >= PERIOD_FEW_SAMPLES && elapsed >= PERIOD_LONG_US;
}

void snipe_limiter_record(struct snipe_limiter *l, int64_t now_us, int64_t latency_us,
			  int in_flight, enum snipe_limiter_sample sample)
{
	int is_shed = sample == SNIPE_SAMPLE_SHED;
	int is_timeout = sample == SNIPE_SAMPLE_TIMEOUT;

	if (sample == SNIPE_SAMPLE_IGNORE || latency_us < 0)
		return;
	if (is_timeout && (double)latency_us <= LATENCY_FACTOR * l->min_latency_us)
		return;
	if (l->probe.phase != SNIPE_LIMITER_NOT_PROBING) {
		record_probe(l, now_us, in_flight, is_shed);
		return;
	}
	if (l->settle > 0) {
		l->settle--;
		l->period.start_us = now_us;
		return;
	}
	if (is_shed) {
		l->period.shed_count++;
	} else {
		/* For a timeout the latency is a lower bound. */
		l->period.sum_us += (double)latency_us;
		l->period.bounded_sum_us += bounded_latency(l, latency_us);
		l->period.count++;
	}
	l->period.congestion_count += is_shed || is_timeout;
	l->period.in_flight_sum += in_flight;
	if (in_flight > l->period.max_in_flight)
		l->period.max_in_flight = in_flight;
	if (!period_is_complete(l, now_us))
		return;
	if (l->policy == SNIPE_LIMITER_ADAPTIVE) {
		finish_period(l, now_us);
		return;
	}
	update_means(l);
	start_period(l, now_us);
}
