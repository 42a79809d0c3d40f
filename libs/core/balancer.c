#include "core/balancer.h"

#include <string.h>

#include "base/error.h"

#define COLD_RAMP_US 10000000
#define MIN_RAMP_WEIGHT 0.05	    /* weight of a cold server at the start */
#define LATENCY_SAMPLE_WEIGHT 0.125 /* in the moving average */
#define LATENCY_DECAY_US 500000	    /* halves an estimate without a new sample */
/* A server in the own failure domain is preferred below this share of its limit, and up to this
 * multiple of the cost of a server drawn from all domains. */
#define OWN_DOMAIN_MAX_LOAD 0.7
#define OWN_DOMAIN_MAX_COST_RATIO 3.0
#define REPORT_MAX_AGE_US 1000000
#define REJECTED_CALLS_PER_PROBE 20
#define CONNECTION_RESERVE_SHARES 20 /* one is reserved per level below critical */
#define CONSECUTIVE_FAILURES_TO_EJECT 5
#define MIN_EJECTION_US 1000000
#define MAX_EJECTION_US 30000000
#define CRITICAL_PROBE_DELAY_US 1000000

#define INDEX_BITS 16
#define GENERATION_MASK 0x7fffu

struct snipe_balancer_server {
	int is_in_use;
	unsigned generation;
	int failure_domain;
	int is_usable;
	int in_flight;
	int is_cold;
	int64_t added_us;
	double latency_us; /* 0: no estimate yet */
	int64_t latency_updated_us;
	int consecutive_failures;
	int is_ejected; /* until a probe succeeds */
	int ejection_count;
	int has_probe;
	int64_t ejected_at_us;
	int64_t ejected_until_us;
	struct snipe_load_report report;
	int has_report;
	int64_t report_received_us;
};

void snipe_balancer_init(struct snipe_balancer *b, int failure_domain, int max_connections)
{
	memset(b, 0, sizeof(*b));
	b->failure_domain = failure_domain;
	snipe_balancer_set_connections(b, max_connections);
}

void snipe_balancer_finish(struct snipe_balancer *b)
{
	g_free(b->servers);
	g_free(b->candidates);
	memset(b, 0, sizeof(*b));
}

void snipe_balancer_set_connections(struct snipe_balancer *b, int max_connections)
{
	b->max_connections = MAX(max_connections, 1);
}

static struct snipe_balancer_server *find_server(const struct snipe_balancer *b, int server)
{
	int index = server & ((1 << INDEX_BITS) - 1);
	struct snipe_balancer_server *s;

	if (server < 0 || index >= b->size)
		return NULL;
	s = &b->servers[index];
	return s->is_in_use && s->generation == (unsigned)server >> INDEX_BITS ? s : NULL;
}

static int handle_of(const struct snipe_balancer *b, int index)
{
	return (int)(b->servers[index].generation << INDEX_BITS) | index;
}

/* Keeps at most half of the usable servers ejected, also after servers leave: ends the
 * ejections that expire first. */
static void limit_ejections(struct snipe_balancer *b)
{
	for (;;) {
		struct snipe_balancer_server *first = NULL;
		int usable = 0, ejected = 0;

		for (int i = 0; i < b->size; i++) {
			struct snipe_balancer_server *s = &b->servers[i];
			if (!s->is_in_use || !s->is_usable)
				continue;
			usable++;
			if (!s->is_ejected)
				continue;
			ejected++;
			if (!first || s->ejected_until_us < first->ejected_until_us)
				first = s;
		}
		if (!first || ejected * 2 <= usable)
			return;
		first->is_ejected = 0;
		first->has_probe = 0;
	}
}

int snipe_balancer_add(struct snipe_balancer *b, int64_t now_us, int failure_domain,
		       int is_cold)
{
	int i = 0;

	while (i < b->size && b->servers[i].is_in_use)
		i++;
	if (i == 1 << INDEX_BITS)
		return SNIPE_ERR_FULL;
	if (i == b->size) {
		b->size++;
		b->servers = g_renew(struct snipe_balancer_server, b->servers, b->size);
		b->candidates = g_renew(int, b->candidates, b->size);
	}
	memset(&b->servers[i], 0, sizeof(b->servers[i]));
	b->servers[i].is_in_use = 1;
	b->servers[i].generation = b->generation++ & GENERATION_MASK;
	b->servers[i].failure_domain = failure_domain;
	b->servers[i].is_usable = 1;
	b->servers[i].is_cold = is_cold;
	b->servers[i].added_us = now_us;
	return handle_of(b, i);
}

void snipe_balancer_remove(struct snipe_balancer *b, int server)
{
	struct snipe_balancer_server *s = find_server(b, server);

	if (!s)
		return;
	s->is_in_use = 0;
	limit_ejections(b);
}

void snipe_balancer_set_usable(struct snipe_balancer *b, int server, int is_usable)
{
	struct snipe_balancer_server *s = find_server(b, server);

	if (!s)
		return;
	s->is_usable = is_usable != 0;
	limit_ejections(b);
}

static double ramp_weight(const struct snipe_balancer_server *s, int64_t now_us)
{
	double w;

	if (!s->is_cold)
		return 1;
	w = (double)(now_us - s->added_us) / COLD_RAMP_US;
	return CLAMP(w, MIN_RAMP_WEIGHT, 1);
}

/* Factor of an estimate. It falls while no call ends at the server, so that a server that was
 * slow once is tried again. */
static double latency_decay(const struct snipe_balancer_server *s, int64_t now_us)
{
	double idle = (double)MAX(now_us - s->latency_updated_us, 0);

	return LATENCY_DECAY_US / (LATENCY_DECAY_US + idle);
}

static double expected_cost(const struct snipe_balancer_server *s, int64_t now_us,
			    double default_us)
{
	double latency =
		s->latency_us > 0 ? s->latency_us * latency_decay(s, now_us) : default_us;

	return (s->in_flight + 1) * latency;
}

static int is_report_fresh(const struct snipe_balancer_server *s, int64_t now_us)
{
	return s->has_report && now_us - s->report_received_us <= REPORT_MAX_AGE_US;
}

static int is_lightly_loaded(const struct snipe_balancer_server *s, int64_t now_us)
{
	int load;

	if (!is_report_fresh(s, now_us) || s->report.limit <= 0)
		return 1;
	load = MAX(s->report.running + s->report.waiting, s->in_flight);
	return load < OWN_DOMAIN_MAX_LOAD * s->report.limit;
}

/* Arguments of one snipe_balancer_choose. */
struct choice {
	int64_t now_us;
	GRand *rng;
	int importance;
	const int *exclude;
	int exclude_count;
	double default_us; /* mean latency estimate, for servers without one */
};

static int is_excluded(const struct choice *c, int server)
{
	for (int i = 0; i < c->exclude_count; i++)
		if (c->exclude[i] == server)
			return 1;
	return 0;
}

/* Less important calls leave the last connections to more important ones. */
static int has_free_connection(const struct snipe_balancer *b,
			       const struct snipe_balancer_server *s, int importance)
{
	int reserved = (SNIPE_IMPORTANCE_CRITICAL - importance) * b->max_connections /
		       CONNECTION_RESERVE_SHARES;

	return s->in_flight < b->max_connections - reserved;
}

/* A server whose ejection time has passed gets a single call as a probe. A critical call
 * becomes the probe only if no less important one came for a while. */
static int is_probe_due(const struct snipe_balancer_server *s, const struct choice *c)
{
	int64_t wait = c->importance == SNIPE_IMPORTANCE_CRITICAL ? CRITICAL_PROBE_DELAY_US : 0;

	return s->is_ejected && !s->has_probe && c->now_us >= s->ejected_until_us + wait;
}

static double mean_latency(const struct snipe_balancer *b)
{
	double sum = 0;
	int count = 0;

	for (int i = 0; i < b->size; i++) {
		if (!b->servers[i].is_in_use || b->servers[i].latency_us <= 0)
			continue;
		sum += b->servers[i].latency_us;
		count++;
	}
	return count ? sum / count : 1;
}

/* Draws a random candidate other than the index skip, weighted by the ramp. Returns its index,
 * or -1 if there is none. */
static int draw_weighted(const struct snipe_balancer *b, const struct choice *c, int count,
			 int skip)
{
	double total = 0, r;
	int last = -1;

	for (int i = 0; i < count; i++)
		if (b->candidates[i] != skip)
			total += ramp_weight(&b->servers[b->candidates[i]], c->now_us);
	r = g_rand_double(c->rng) * total;
	for (int i = 0; i < count; i++) {
		if (b->candidates[i] == skip)
			continue;
		last = b->candidates[i];
		r -= ramp_weight(&b->servers[last], c->now_us);
		if (r < 0)
			break;
	}
	return last;
}

static double candidate_cost(const struct snipe_balancer *b, const struct choice *c, int index)
{
	return expected_cost(&b->servers[index], c->now_us, c->default_us);
}

static int better_of_two(const struct snipe_balancer *b, const struct choice *c, int count)
{
	int first = draw_weighted(b, c, count, -1);
	int second = draw_weighted(b, c, count, first);

	return second >= 0 && candidate_cost(b, c, second) < candidate_cost(b, c, first)
		       ? second
		       : first;
}

/* Moves the candidates in the own failure domain to the front. Returns their number. */
static int move_own_domain_first(struct snipe_balancer *b, int count)
{
	int own = 0;

	for (int i = 0; i < count; i++) {
		int index = b->candidates[i];
		if (b->servers[index].failure_domain != b->failure_domain)
			continue;
		b->candidates[i] = b->candidates[own];
		b->candidates[own++] = index;
	}
	return own;
}

static int pick_candidate(struct snipe_balancer *b, const struct choice *c, int count)
{
	int own_count = move_own_domain_first(b, count);
	int any = better_of_two(b, c, count);
	int own = own_count ? better_of_two(b, c, own_count) : -1;

	if (own >= 0 && is_lightly_loaded(&b->servers[own], c->now_us) &&
	    candidate_cost(b, c, own) <= OWN_DOMAIN_MAX_COST_RATIO * candidate_cost(b, c, any))
		return own;
	return any;
}

static int is_accepting(const struct snipe_balancer_server *s, const struct choice *c)
{
	return !is_report_fresh(s, c->now_us) || s->report.floor <= c->importance;
}

/*
 * Fills the candidates: usable servers, neither excluded nor ejected, with a free connection
 * and, unless is_probe, a report that accepts this importance. *usable receives the number of
 * usable servers that are neither excluded nor ejected.
 */
static int find_candidates(struct snipe_balancer *b, const struct choice *c, int is_probe,
			   int *usable)
{
	int count = 0;

	*usable = 0;
	for (int i = 0; i < b->size; i++) {
		const struct snipe_balancer_server *s = &b->servers[i];
		if (!s->is_in_use || !s->is_usable || s->is_ejected ||
		    is_excluded(c, handle_of(b, i)))
			continue;
		(*usable)++;
		if (has_free_connection(b, s, c->importance) &&
		    (is_probe || is_accepting(s, c)))
			b->candidates[count++] = i;
	}
	return count;
}

static int find_due_probe(const struct snipe_balancer *b, const struct choice *c)
{
	for (int i = 0; i < b->size; i++) {
		const struct snipe_balancer_server *s = &b->servers[i];
		if (s->is_in_use && s->is_usable && is_probe_due(s, c) &&
		    has_free_connection(b, s, c->importance) &&
		    !is_excluded(c, handle_of(b, i)))
			return i;
	}
	return -1;
}

int snipe_balancer_choose(struct snipe_balancer *b, int64_t now_us, GRand *rng,
			  enum snipe_importance importance, const int *exclude,
			  int exclude_count)
{
	struct choice c = {now_us, rng, (int)importance, exclude, exclude_count, 0};
	int usable, count, index = find_due_probe(b, &c);

	if (index >= 0) {
		b->servers[index].has_probe = 1;
	} else {
		count = find_candidates(b, &c, 0, &usable);
		if (count == 0 && usable > 0 &&
		    g_rand_int_range(rng, 0, REJECTED_CALLS_PER_PROBE) == 0)
			count = find_candidates(b, &c, 1, &usable);
		if (count == 0)
			return usable > 0 ? SNIPE_ERR_FULL : SNIPE_ERR_NOT_FOUND;
		c.default_us = mean_latency(b);
		index = pick_candidate(b, &c, count);
	}
	b->servers[index].in_flight++;
	return handle_of(b, index);
}

static void eject(struct snipe_balancer *b, struct snipe_balancer_server *s, int64_t now_us)
{
	int64_t span;

	if (s->ejection_count > 0 && now_us - s->ejected_until_us > MAX_EJECTION_US)
		s->ejection_count = 0;
	span = s->ejection_count < 5 ? (int64_t)MIN_EJECTION_US << s->ejection_count
				     : MAX_EJECTION_US;
	s->ejection_count++;
	s->is_ejected = 1;
	s->has_probe = 0;
	s->ejected_at_us = now_us;
	s->ejected_until_us = now_us + span;
	limit_ejections(b);
}

static void record_ejected(struct snipe_balancer *b, struct snipe_balancer_server *s,
			   int64_t now_us, int64_t started_us,
			   enum snipe_server_outcome outcome, int is_failure)
{
	/* Only a probe can start after the ejection; ends of older calls say nothing new. */
	if (started_us < s->ejected_at_us + MIN_EJECTION_US / 2)
		return;
	s->has_probe = 0;
	if (is_failure) {
		eject(b, s, now_us);
	} else if (outcome == SNIPE_OUTCOME_OK || outcome == SNIPE_OUTCOME_REJECTED) {
		s->is_ejected = 0;
		s->consecutive_failures = 0;
	}
}

static void record_latency(struct snipe_balancer_server *s, int64_t now_us, int64_t latency_us)
{
	double latency = (double)MAX(latency_us, 1);
	double weight = MAX(LATENCY_SAMPLE_WEIGHT, 1 - latency_decay(s, now_us));

	if (s->latency_us <= 0)
		s->latency_us = latency;
	else
		s->latency_us += (latency - s->latency_us) * weight;
	s->latency_updated_us = now_us;
}

void snipe_balancer_record(struct snipe_balancer *b, int server, int64_t now_us,
			   int64_t latency_us, enum snipe_server_outcome outcome,
			   const struct snipe_load_report *report)
{
	struct snipe_balancer_server *s = find_server(b, server);
	int is_failure;

	if (!s)
		return;
	s->in_flight -= s->in_flight > 0;
	if (report) {
		s->report = *report;
		s->has_report = 1;
		s->report_received_us = now_us;
	}
	/* A timeout shorter than the usual latency is the caller's choice, not the server's
	 * failure. */
	is_failure = outcome == SNIPE_OUTCOME_FAILED ||
		     (outcome == SNIPE_OUTCOME_TIMEOUT && latency_us >= (int64_t)s->latency_us);
	/* Rejections and failures are quick and must not make the server look fast. */
	if (outcome == SNIPE_OUTCOME_OK || (outcome == SNIPE_OUTCOME_TIMEOUT && is_failure))
		record_latency(s, now_us, latency_us);
	if (s->is_ejected) {
		record_ejected(b, s, now_us, now_us - latency_us, outcome, is_failure);
		return;
	}
	if (outcome == SNIPE_OUTCOME_OK)
		s->consecutive_failures = 0;
	s->consecutive_failures += is_failure;
	if (s->is_usable && is_failure &&
	    s->consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT)
		eject(b, s, now_us);
}

int snipe_balancer_get_view(const struct snipe_balancer *b, int server, int64_t now_us,
			    struct snipe_balancer_view *view)
{
	const struct snipe_balancer_server *s = find_server(b, server);

	if (!s)
		return SNIPE_ERR_NOT_FOUND;
	view->in_flight = s->in_flight;
	view->latency_us = (int64_t)s->latency_us;
	view->is_usable = s->is_usable;
	view->is_ejected = s->is_ejected;
	view->report = s->report;
	return 0;
}
