#include "core/placement.h"

#include <math.h>
#include <string.h>

#include "base/error.h"

/* A report counts in full up to this age, its mean age in a small fleet. After that, the
 * reported load counts less and the capacity of the server more. */
#define REPORT_FRESH_US 150000
/* An older report no longer counts for the load. */
#define REPORT_EXPIRY_US 10000000
/* Assumed service time before any report. */
#define DEFAULT_SERVICE_US 100000
/* Factor on the service time of a server that has just started. */
#define COLD_FACTOR 2.0
/* A failure counts as this many service times. */
#define FAILURE_PENALTY 8.0
/* Weight of one attempt in the moving average of failures. */
#define FAILURE_WEIGHT 0.15
/* Time that halves the failure rate of a server without attempts, so that it is tried again. */
#define FAILURE_HALF_LIFE_US 1500000
/* Added part of the expected time in another failure domain. */
#define OTHER_DOMAIN_PENALTY 0.5
/* Twice the expected time gives a sixteenth of the weight. */
#define WEIGHT_EXPONENT 4.0
/* A server is failing above this failure rate, if the rate is also over twice the mean of the
 * others. */
#define FAILING_MIN_RATE 0.08
/* Busy servers are slower than idle ones: added part of the service time at the limit. */
#define BUSY_PENALTY 0.5

void snipe_placement_init(struct snipe_placement *p)
{
	memset(p, 0, sizeof(*p));
}

void snipe_placement_finish(struct snipe_placement *p)
{
	g_free(p->servers);
	g_free(p->weights);
}

static struct snipe_placement_server *server_at(struct snipe_placement *p, int server)
{
	if (server < 0 || server >= p->size || !p->servers[server].is_used)
		return NULL;
	return &p->servers[server];
}

int snipe_placement_add(struct snipe_placement *p, int is_same_domain)
{
	int i = 0;

	while (i < p->size && (p->servers[i].is_used || p->servers[i].in_flight > 0))
		i++;
	if (i == p->size) {
		p->size++;
		p->servers = g_renew(struct snipe_placement_server, p->servers, p->size);
		p->weights = g_renew(double, p->weights, p->size);
	}
	memset(&p->servers[i], 0, sizeof(p->servers[i]));
	p->servers[i].is_used = 1;
	p->servers[i].is_same_domain = is_same_domain;
	return i;
}

void snipe_placement_remove(struct snipe_placement *p, int server)
{
	struct snipe_placement_server *s = server_at(p, server);

	if (s)
		s->is_used = s->is_usable = 0;
}

void snipe_placement_set_usable(struct snipe_placement *p, int server, int is_usable)
{
	struct snipe_placement_server *s = server_at(p, server);

	if (s)
		s->is_usable = is_usable;
}

void snipe_placement_report(struct snipe_placement *p, int server, int64_t now_us,
			    const struct snipe_placement_load *load)
{
	struct snipe_placement_server *s = server_at(p, server);

	if (!s)
		return;
	s->load = *load;
	s->load_received_us = now_us;
	s->in_flight_at_report = s->in_flight;
}

void snipe_placement_set_cold(struct snipe_placement *p, int server, int64_t until_us)
{
	struct snipe_placement_server *s = server_at(p, server);

	if (!s)
		return;
	s->cold_until_us = until_us;
	p->cold_until_us = MAX(p->cold_until_us, until_us);
}

static int is_cold(const struct snipe_placement_server *s, int64_t now_us)
{
	return now_us < s->cold_until_us;
}

int snipe_placement_is_cold(const struct snipe_placement *p, int server, int64_t now_us)
{
	return server >= 0 && server < p->size && is_cold(&p->servers[server], now_us);
}

int snipe_placement_may_be_cold(const struct snipe_placement *p, int64_t now_us)
{
	return now_us < p->cold_until_us;
}

int snipe_placement_has_warm(const struct snipe_placement *p, int64_t now_us)
{
	for (int i = 0; i < p->size; i++)
		if (p->servers[i].is_usable && !is_cold(&p->servers[i], now_us))
			return 1;
	return 0;
}

static double decayed_failure_rate(const struct snipe_placement_server *s, int64_t now_us)
{
	double age = (double)MAX(now_us - s->failure_rate_at_us, 0) / FAILURE_HALF_LIFE_US;

	return s->failure_rate / (1 + age * age);
}

/* Returns the weight of the last report in the estimated load, 0 to 1. */
static double report_freshness(const struct snipe_placement_server *s, int64_t now_us)
{
	double age = (double)(now_us - s->load_received_us);

	if (!s->load_received_us || age > REPORT_EXPIRY_US)
		return 0;
	return age <= REPORT_FRESH_US ? 1 : REPORT_FRESH_US / age * (REPORT_FRESH_US / age);
}

/* Means over the servers with known values. */
struct pool_means {
	double service_us;
	double limit;
	double utilization; /* running and waiting requests, as a part of the limits */
};

static struct pool_means compute_pool_means(const struct snipe_placement *p, int64_t now_us)
{
	struct pool_means m = {0, 0, 0};
	int services = 0, loads = 0;

	for (int i = 0; i < p->size; i++) {
		const struct snipe_placement_server *s = &p->servers[i];

		if (!s->is_used)
			continue;
		if (s->load.service_us > 0) {
			m.service_us += (double)s->load.service_us;
			services++;
		}
		if (report_freshness(s, now_us) > 0) {
			m.limit += MAX(s->load.limit, 1);
			m.utilization += s->load.running + s->load.waiting;
			loads++;
		}
	}
	m.service_us = services ? m.service_us / services : DEFAULT_SERVICE_US;
	m.utilization = m.limit > 0 ? m.utilization / m.limit : 0;
	m.limit = loads ? m.limit / loads : 1;
	return m;
}

/* Returns the expected time of a request on this server while it is idle, in microseconds. */
static double unloaded_us(const struct snipe_placement_server *s, int64_t now_us,
			  const struct pool_means *means)
{
	double service =
		s->load.service_us > 0 ? (double)s->load.service_us : means->service_us;

	return is_cold(s, now_us) ? service * COLD_FACTOR : service;
}

/* Returns the expected time of a request on this server under its load, in microseconds.
 * service is the time on the idle server. */
static double expected_us(const struct snipe_placement_server *s, double service,
			  double freshness, const struct pool_means *means)
{
	double limit = MAX(s->load.limit, 1);
	double work = s->in_flight, utilization;

	if (freshness > 0) {
		work = s->load.running + s->load.waiting + s->in_flight -
		       s->in_flight_at_report;
		work = MAX(freshness * work + (1 - freshness) * means->utilization * limit,
			   s->in_flight);
	}
	utilization = MIN(work / limit, 1);
	service *= 1 + BUSY_PENALTY * utilization * utilization;
	if (work >= limit)
		service += service * (work + 1 - limit) / limit * 2;
	return service;
}

/*
 * Fresh reports allow a steep weight, since they soon show the load that it puts on a fast
 * server. With old reports a steep weight would overload the fast servers and leave the others
 * idle: each server then gets attempts in proportion to its capacity.
 */
static double server_weight(const struct snipe_placement_server *s, int64_t now_us,
			    const struct pool_means *means)
{
	double freshness = report_freshness(s, now_us);
	double service = unloaded_us(s, now_us, means);
	double distance = s->is_same_domain ? 1 : 1 + OTHER_DOMAIN_PENALTY;
	double failures = 1 + FAILURE_PENALTY * decayed_failure_rate(s, now_us);
	double latency_ratio = means->service_us / expected_us(s, service, freshness, means);
	double capacity_ratio = s->load.limit > 0 ? s->load.limit / means->limit : 1;

	capacity_ratio *= means->service_us / service;
	return pow(latency_ratio, WEIGHT_EXPONENT * freshness) *
	       pow(capacity_ratio, 1 - freshness) / pow(distance * failures, WEIGHT_EXPONENT);
}

static int is_excluded(int server, const int *exclude, int count)
{
	for (int i = 0; i < count; i++)
		if (exclude[i] == server)
			return 1;
	return 0;
}

static int choose(struct snipe_placement *p, int64_t now_us, GRand *rng, int is_warm_only,
		  const int *exclude, int exclude_count)
{
	struct pool_means means = compute_pool_means(p, now_us);
	double total = 0, draw;
	int chosen = SNIPE_ERR_NOT_FOUND;

	for (int i = 0; i < p->size; i++) {
		const struct snipe_placement_server *s = &p->servers[i];

		p->weights[i] = 0;
		if (!s->is_usable || (is_warm_only && is_cold(s, now_us)) ||
		    is_excluded(i, exclude, exclude_count))
			continue;
		p->weights[i] = server_weight(s, now_us, &means);
		total += p->weights[i];
	}
	draw = total > 0 ? g_rand_double(rng) * total : 0;
	for (int i = 0; i < p->size; i++) {
		if (p->weights[i] <= 0)
			continue;
		chosen = i;
		draw -= p->weights[i];
		if (draw < 0)
			break;
	}
	if (chosen >= 0)
		p->servers[chosen].in_flight++;
	return chosen;
}

int snipe_placement_choose(struct snipe_placement *p, int64_t now_us, GRand *rng,
			   const int *exclude, int exclude_count)
{
	return choose(p, now_us, rng, 0, exclude, exclude_count);
}

int snipe_placement_choose_warm(struct snipe_placement *p, int64_t now_us, GRand *rng,
				const int *exclude, int exclude_count)
{
	return choose(p, now_us, rng, 1, exclude, exclude_count);
}

int snipe_placement_is_failing(const struct snipe_placement *p, int server, int64_t now_us)
{
	double own, others = 0;
	int n = 0;

	if (server < 0 || server >= p->size)
		return 0;
	own = decayed_failure_rate(&p->servers[server], now_us);
	for (int i = 0; i < p->size; i++) {
		if (i == server || !p->servers[i].is_usable)
			continue;
		others += decayed_failure_rate(&p->servers[i], now_us);
		n++;
	}
	return own > FAILING_MIN_RATE && n > 0 && own > 2 * others / n;
}

void snipe_placement_record(struct snipe_placement *p, int server, int64_t now_us,
			    enum snipe_server_outcome outcome)
{
	struct snipe_placement_server *s;
	int is_failure = outcome == SNIPE_OUTCOME_FAILED || outcome == SNIPE_OUTCOME_TIMEOUT;

	if (server < 0 || server >= p->size)
		return;
	s = &p->servers[server];
	if (s->in_flight > 0)
		s->in_flight--;
	if (outcome == SNIPE_OUTCOME_CANCELLED || outcome == SNIPE_OUTCOME_REJECTED)
		return;
	s->failure_rate = decayed_failure_rate(s, now_us) * (1 - FAILURE_WEIGHT) +
			  (is_failure ? FAILURE_WEIGHT : 0);
	s->failure_rate_at_us = now_us;
}
