#include "core/placement.h"

#include <math.h>
#include <string.h>

#include "base/error.h"

/* A report is as good as new for this time, its mean age in a small fleet. After it, the
 * draw turns to what needs no news, and the reported load counts less. */
#define FRESH_US 150000
/* A report older than this says nothing about the load any more. */
#define LOAD_LIFE_US 10000000
/* Service time assumed before any report, and the slowdown of a server that has just started.
 */
#define DEFAULT_SERVICE_US 100000
#define COLD_FACTOR 2.0
/* A failed call counts as this many service times. */
#define FAILURE_COST 8.0
/* Weight of one call in the part of calls that failed. */
#define FAILURE_WEIGHT 0.15
/* Failures are forgotten by half in about this time, so that the server is tried again. */
#define FAILURE_FADE_US 1500000
/* Extra cost of a server of another failure domain, as a part of its time. */
#define FAR_COST 0.5
/* Steepness of the draw: twice the time gives a sixteenth of the weight. */
#define STEEPNESS 4.0
/* A server is suspect above this part of failed calls, if it is twice that of the others. */
#define SUSPECT_FAILURES 0.08
/* Busy servers are slower than idle ones: extra time at the limit, as a part. */
#define BUSY_COST 0.5

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

int snipe_placement_add(struct snipe_placement *p, int is_near)
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
	p->servers[i].is_near = is_near;
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
	s->load_at_us = now_us;
	s->in_flight_at_load = s->in_flight;
}

void snipe_placement_set_cold(struct snipe_placement *p, int server, int64_t until_us)
{
	struct snipe_placement_server *s = server_at(p, server);

	if (s)
		s->cold_until_us = until_us;
}

static double recent_failures(const struct snipe_placement_server *s, int64_t now_us)
{
	double age = (double)MAX(now_us - s->failures_at_us, 0) / FAILURE_FADE_US;

	return s->failures / (1 + age * age);
}

/* How far the last report still tells the load, 0 to 1. */
static double freshness(const struct snipe_placement_server *s, int64_t now_us)
{
	double age = (double)(now_us - s->load_at_us);

	if (!s->load_at_us || age > LOAD_LIFE_US)
		return 0;
	return age <= FRESH_US ? 1 : FRESH_US / age * (FRESH_US / age);
}

/* Means over the servers of which something is known. */
struct pool_means {
	double service_us;
	double limit;
	double busy; /* work as a part of the limit */
};

static struct pool_means find_means(const struct snipe_placement *p, int64_t now_us)
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
		if (freshness(s, now_us) > 0) {
			m.limit += MAX(s->load.limit, 1);
			m.busy += s->load.running + s->load.waiting;
			loads++;
		}
	}
	m.service_us = services ? m.service_us / services : DEFAULT_SERVICE_US;
	m.busy = m.limit > 0 ? m.busy / m.limit : 0;
	m.limit = loads ? m.limit / loads : 1;
	return m;
}

/* Time of a call on this server without any other call there, in microseconds. */
static double unloaded_us(const struct snipe_placement_server *s, int64_t now_us,
			  const struct pool_means *means)
{
	double service =
		s->load.service_us > 0 ? (double)s->load.service_us : means->service_us;

	return now_us < s->cold_until_us ? service * COLD_FACTOR : service;
}

/* Expected time of a call that takes service microseconds without any other call there. */
static double expected_us(const struct snipe_placement_server *s, double service, double fresh,
			  const struct pool_means *means)
{
	double limit = MAX(s->load.limit, 1);
	double work = s->in_flight, busy;

	if (fresh > 0) {
		work = s->load.running + s->load.waiting + s->in_flight - s->in_flight_at_load;
		work = MAX(fresh * work + (1 - fresh) * means->busy * limit, s->in_flight);
	}
	busy = MIN(work / limit, 1);
	service *= 1 + BUSY_COST * busy * busy;
	if (work >= limit)
		service += service * (work + 1 - limit) / limit * 2;
	return service;
}

/*
 * With fresh reports the draw is steep, since what goes to a fast server soon shows there. With
 * old ones it would fill the fast servers and leave the others idle: each server then gets
 * calls in proportion to what it can do.
 */
static double weight(const struct snipe_placement_server *s, int64_t now_us,
		     const struct pool_means *means)
{
	double fresh = freshness(s, now_us);
	double service = unloaded_us(s, now_us, means);
	double distance = s->is_near ? 1 : 1 + FAR_COST;
	double failures = 1 + FAILURE_COST * recent_failures(s, now_us);
	double by_time = means->service_us / expected_us(s, service, fresh, means);
	double by_room = s->load.limit > 0 ? s->load.limit / means->limit : 1;

	by_room *= means->service_us / service;
	return pow(by_time, STEEPNESS * fresh) * pow(by_room, 1 - fresh) /
	       pow(distance * failures, STEEPNESS);
}

static int is_excluded(int server, const int *exclude, int count)
{
	for (int i = 0; i < count; i++)
		if (exclude[i] == server)
			return 1;
	return 0;
}

int snipe_placement_choose(struct snipe_placement *p, int64_t now_us, GRand *rng,
			   const int *exclude, int exclude_count)
{
	struct pool_means means = find_means(p, now_us);
	double total = 0, draw;
	int chosen = SNIPE_ERR_NOT_FOUND;

	for (int i = 0; i < p->size; i++) {
		const struct snipe_placement_server *s = &p->servers[i];

		p->weights[i] = 0;
		if (!s->is_usable || is_excluded(i, exclude, exclude_count))
			continue;
		p->weights[i] = weight(s, now_us, &means);
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

int snipe_placement_is_suspect(const struct snipe_placement *p, int server, int64_t now_us)
{
	double own, others = 0;
	int n = 0;

	if (server < 0 || server >= p->size)
		return 0;
	own = recent_failures(&p->servers[server], now_us);
	for (int i = 0; i < p->size; i++) {
		if (i == server || !p->servers[i].is_usable)
			continue;
		others += recent_failures(&p->servers[i], now_us);
		n++;
	}
	return own > SUSPECT_FAILURES && n > 0 && own > 2 * others / n;
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
	if (outcome == SNIPE_OUTCOME_CANCELLED || outcome == SNIPE_OUTCOME_REFUSED)
		return;
	s->failures = recent_failures(s, now_us) * (1 - FAILURE_WEIGHT) +
		      (is_failure ? FAILURE_WEIGHT : 0);
	s->failures_at_us = now_us;
}
