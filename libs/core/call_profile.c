#include "core/call_profile.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/error.h"

/* Length of one sample of the runs and calls: longer than most runs, whose calls would else
 * fall into other samples than their starts and ends. */
#define SAMPLE_US 500000
/* Time constants of the sums over samples. Chains are cut shorter or less short from one second
 * to the next. */
#define MEMORY_US 30000000.0
#define TRUNCATED_MEMORY_US 2000000.0
/* Fewer samples, or runs of a route, do not show yet how many calls it makes. */
#define MIN_SAMPLES 3.0
#define MIN_TRUNCATED_SAMPLES 2.0
#define MIN_RUNS 5.0
/* Runs that have not ended may have made most of their calls, and count a half. */
#define MIN_RUNS_PER_OPEN_RUN 3.0
/* Time constant of the part of the calls that fail; while it is above MAX_FAILED_RATIO, samples
 * count as truncated. */
#define FAILED_TIME_US 1000000.0
#define MAX_FAILED_RATIO 0.05
/* Highest part of the calls that fail for which the chains can be told. */
#define MAX_TOLD_FAILED_RATIO 0.95
/* A route makes calls only if its estimate is above this many standard errors. */
#define MIN_STANDARD_ERRORS 3.0
/* Calls for each request that a cost must include: requests of clients without a key look like
 * rare calls. */
#define MIN_CALLS 0.1
/* A cost exceeds another one by this factor, at a service that takes this part of it. */
#define EXCESS_FACTOR 2.0
#define MIN_PART 0.1
/* Weight of one run in the mean run time, and of one answer in the mean cost of a call. */
#define RUN_WEIGHT 0.05
#define ANSWER_WEIGHT 0.2
#define MAX_ROUTES SNIPE_CALL_PROFILE_ROUTES
#define MAX_CALLEES SNIPE_CALL_PROFILE_CALLEES

static void insert_cost(struct snipe_chain_cost *sum, uint64_t service, double slot_us)
{
	int cheapest = 0;

	for (int i = 0; i < sum->count; i++) {
		if (sum->services[i].service == service) {
			sum->services[i].slot_us += slot_us;
			return;
		}
		if (sum->services[i].slot_us < sum->services[cheapest].slot_us)
			cheapest = i;
	}
	if (sum->count < SNIPE_CHAIN_MAX_SERVICES)
		cheapest = sum->count++;
	else if (sum->services[cheapest].slot_us >= slot_us)
		return;
	sum->services[cheapest].service = service;
	sum->services[cheapest].slot_us = slot_us;
}

void snipe_chain_cost_add(struct snipe_chain_cost *sum, const struct snipe_chain_cost *cost,
			  double factor)
{
	for (int i = 0; i < cost->count; i++)
		insert_cost(sum, cost->services[i].service, cost->services[i].slot_us * factor);
	sum->is_rough |= factor > 0 && cost->is_rough;
}

double snipe_chain_cost_at(const struct snipe_chain_cost *cost, uint64_t service)
{
	for (int i = 0; i < cost->count; i++)
		if (cost->services[i].service == service)
			return cost->services[i].slot_us;
	return 0;
}

int snipe_chain_cost_exceeds(const struct snipe_chain_cost *cost,
			     const struct snipe_chain_cost *other)
{
	double sum = 0;

	for (int i = 0; i < cost->count; i++)
		sum += cost->services[i].slot_us;
	for (int i = 0; i < cost->count; i++) {
		const struct snipe_service_cost *s = &cost->services[i];

		if (s->slot_us >= MIN_PART * sum &&
		    s->slot_us > EXCESS_FACTOR * snipe_chain_cost_at(other, s->service))
			return 1;
	}
	return 0;
}

void snipe_chain_cost_average(struct snipe_chain_cost *mean,
			      const struct snipe_chain_cost *sample, double weight)
{
	struct snipe_chain_cost next = {.count = 0};

	if (mean->count > 0 && sample->is_rough && !mean->is_rough &&
	    !snipe_chain_cost_exceeds(sample, mean))
		return;
	if (mean->count > 0 && sample->is_rough == mean->is_rough) {
		snipe_chain_cost_add(&next, mean, 1 - weight);
		snipe_chain_cost_add(&next, sample, weight);
		*mean = next;
	} else {
		*mean = *sample;
	}
}

void snipe_call_profile_init(struct snipe_call_profile *p, int64_t now_us)
{
	memset(p, 0, sizeof(*p));
	p->sample_start_us = now_us;
}

static int find_route(const struct snipe_call_profile *p, uint64_t route)
{
	for (int i = 0; i < p->route_count; i++)
		if (p->routes[i].route == route)
			return i;
	return -1;
}

static int find_callee(const struct snipe_call_profile *p, uint64_t route)
{
	for (int i = 0; i < p->callee_count; i++)
		if (p->callees[i].route == route)
			return i;
	return -1;
}

static struct snipe_call_profile_route *get_or_add_route(struct snipe_call_profile *p,
							 uint64_t route)
{
	int i = find_route(p, route);

	if (i < 0 && p->route_count < MAX_ROUTES) {
		i = p->route_count++;
		p->routes[i].route = route;
	}
	return i < 0 ? NULL : &p->routes[i];
}

static struct snipe_call_profile_callee *get_or_add_callee(struct snipe_call_profile *p,
							   uint64_t route)
{
	int i = find_callee(p, route);

	if (i < 0 && p->callee_count < MAX_CALLEES) {
		i = p->callee_count++;
		p->callees[i].route = route;
	}
	return i < 0 ? NULL : &p->callees[i];
}

/* Adds the sample to the sums of the least squares problem. */
static void add_sample(const struct snipe_call_profile *p, struct snipe_call_sums *s)
{
	s->samples++;
	for (int i = 0; i < p->route_count; i++) {
		double runs = p->routes[i].sample_runs;

		s->runs[i] += runs;
		s->failed_runs[i] += p->routes[i].sample_failed_runs;
		for (int j = 0; j < p->route_count; j++)
			s->products[i][j] += runs * p->routes[j].sample_runs;
		for (int j = 0; j < p->callee_count; j++)
			s->call_products[i][j] += runs * p->callees[j].sample_calls;
	}
	for (int j = 0; j < p->callee_count; j++) {
		s->calls[j] += p->callees[j].sample_calls;
		s->failed_calls[j] += p->callees[j].sample_failed_calls;
		s->squares[j] += p->callees[j].sample_calls * p->callees[j].sample_calls;
	}
}

static void decay_sums(const struct snipe_call_profile *p, struct snipe_call_sums *s,
		       double factor)
{
	s->samples *= factor;
	for (int i = 0; i < p->route_count; i++) {
		s->runs[i] *= factor;
		s->failed_runs[i] *= factor;
		for (int j = 0; j < p->route_count; j++)
			s->products[i][j] *= factor;
		for (int j = 0; j < p->callee_count; j++)
			s->call_products[i][j] *= factor;
	}
	for (int j = 0; j < p->callee_count; j++) {
		s->calls[j] *= factor;
		s->failed_calls[j] *= factor;
		s->squares[j] *= factor;
	}
}

/* Whether the samples of one kind of times tell about a route. */
static int is_known(const struct snipe_call_profile *p, enum snipe_call_times times, int route)
{
	const struct snipe_call_sums *s = &p->sums[times];

	if (s->runs[route] < MIN_RUNS)
		return 0;
	if (times == SNIPE_CALLS_FAIL)
		return s->samples >= MIN_TRUNCATED_SAMPLES;
	return s->samples >= MIN_SAMPLES &&
	       s->runs[route] >= MIN_RUNS_PER_OPEN_RUN * p->routes[route].open_runs;
}

/* Least squares over some of the routes. */
struct estimate {
	int routes[MAX_ROUTES]; /* indexes */
	int count;
	double calls[MAX_ROUTES];	   /* for each request, by position in routes */
	double standard_error[MAX_ROUTES]; /* of calls; 0 for a route that cannot be told apart
					    */
};

/* Inverts the matrix of the products by Gauss-Jordan elimination without pivoting, which is
 * stable since it is positive semidefinite. Returns the position of a route that depends on
 * those before it, or -1. */
static int invert_products(const struct snipe_call_sums *s, const struct estimate *e,
			   double inverse[MAX_ROUTES][MAX_ROUTES])
{
	double m[MAX_ROUTES][MAX_ROUTES];
	int n = e->count;

	for (int i = 0; i < n; i++)
		for (int j = 0; j < n; j++) {
			m[i][j] = s->products[e->routes[i]][e->routes[j]];
			inverse[i][j] = i == j;
		}
	for (int i = 0; i < n; i++) {
		double pivot = m[i][i];

		if (pivot <= 1e-9 * s->products[e->routes[i]][e->routes[i]])
			return i;
		for (int j = 0; j < n; j++) {
			m[i][j] /= pivot;
			inverse[i][j] /= pivot;
		}
		for (int k = 0; k < n; k++) {
			double factor = m[k][i];

			for (int j = 0; k != i && j < n; j++) {
				m[k][j] -= factor * m[i][j];
				inverse[k][j] -= factor * inverse[i][j];
			}
		}
	}
	return -1;
}

static void fit(const struct snipe_call_sums *s, int callee, struct estimate *e)
{
	double inverse[MAX_ROUTES][MAX_ROUTES];
	double residual = s->squares[callee], variance;
	int dependent = invert_products(s, e, inverse);

	memset(e->calls, 0, sizeof(e->calls));
	memset(e->standard_error, 0, sizeof(e->standard_error));
	if (dependent >= 0) {
		e->standard_error[dependent] = INFINITY;
		return;
	}
	for (int i = 0; i < e->count; i++) {
		for (int j = 0; j < e->count; j++)
			e->calls[i] += inverse[i][j] * s->call_products[e->routes[j]][callee];
		residual -= e->calls[i] * s->call_products[e->routes[i]][callee];
	}
	variance = MAX(residual, 0) / MAX(s->samples - e->count, 1);
	for (int i = 0; i < e->count; i++)
		e->standard_error[i] = sqrt(variance * inverse[i][i]);
}

/* Estimates the calls to a callee that a request of each route makes. The route whose estimate
 * is the least certain is left out until all are certain, or one is left. */
static void estimate_calls(struct snipe_call_profile *p, enum snipe_call_times times,
			   int callee)
{
	const struct snipe_call_sums *s = &p->sums[times];
	struct estimate e = {.count = 0};

	for (int i = 0; i < p->route_count; i++)
		if (s->runs[i] >= MIN_RUNS)
			e.routes[e.count++] = i;
	while (e.count > 0) {
		int least = 0;
		double margin, least_margin = INFINITY;

		fit(s, callee, &e);
		for (int i = 0; i < e.count; i++) {
			margin = e.calls[i] - MIN_STANDARD_ERRORS * e.standard_error[i];
			if (margin < least_margin) {
				least = i;
				least_margin = margin;
			}
		}
		if (e.count == 1 || least_margin > 0)
			break;
		e.count--;
		memmove(&e.routes[least], &e.routes[least + 1],
			(size_t)(e.count - least) * sizeof(e.routes[0]));
	}
	for (int i = 0; i < p->route_count; i++)
		p->routes[i].calls[times][callee] = 0;
	for (int i = 0; i < e.count; i++)
		p->routes[e.routes[i]].calls[times][callee] = MAX(e.calls[i], 0);
}

/* Lengthens the chains of a route, estimated while calls failed, to what they would be if none
 * did. If a run fails with its first failed call, and calls succeed independently with chance
 * q, a run that needs n calls succeeds with chance q^n; n follows from both chances. A run that
 * failed for another reason does not count: there are no more such runs than failed calls. */
static void extend_chains(struct snipe_call_profile *p, int route)
{
	const struct snipe_call_sums *s = &p->sums[SNIPE_CALLS_FAIL];
	double *calls = p->routes[route].calls[SNIPE_CALLS_FAIL];
	double failed_calls = 0, log_success = 0, failed, factor;

	for (int j = 0; j < p->callee_count; j++) {
		double ratio = (s->failed_calls[j] + 0.5) / (s->calls[j] + 1);

		failed_calls += calls[j] * ratio;
		log_success += calls[j] * log(1 - MIN(ratio, MAX_TOLD_FAILED_RATIO));
	}
	if (log_success >= 0)
		return;
	failed = MIN(s->failed_runs[route] / s->runs[route], failed_calls);
	factor = log(MAX(1 - failed, 0.5 / s->runs[route])) / log_success;
	for (int j = 0; j < p->callee_count; j++)
		calls[j] *= MAX(factor, 1);
}

static void end_sample(struct snipe_call_profile *p, int64_t now_us)
{
	double elapsed_us = (double)(now_us - p->sample_start_us);
	double failed_factor = exp(-elapsed_us / FAILED_TIME_US);
	int is_failing = p->recent_failed_calls > MAX_FAILED_RATIO * p->recent_calls;
	enum snipe_call_times times = is_failing ? SNIPE_CALLS_FAIL : SNIPE_CALLS_SUCCEED;
	struct snipe_call_sums *s = &p->sums[times];

	p->times = times;
	p->samples[times]++;
	decay_sums(p, s, exp(-elapsed_us / (is_failing ? TRUNCATED_MEMORY_US : MEMORY_US)));
	add_sample(p, s);
	for (int j = 0; j < p->callee_count; j++)
		estimate_calls(p, times, j);
	for (int i = 0; is_failing && i < p->route_count; i++)
		if (is_known(p, times, i))
			extend_chains(p, i);
	p->recent_calls *= failed_factor;
	p->recent_failed_calls *= failed_factor;
	for (int i = 0; i < p->route_count; i++)
		p->routes[i].sample_runs = p->routes[i].sample_failed_runs = 0;
	for (int j = 0; j < p->callee_count; j++)
		p->callees[j].sample_calls = p->callees[j].sample_failed_calls = 0;
	p->sample_start_us = now_us;
}

static void advance(struct snipe_call_profile *p, int64_t now_us)
{
	if (now_us - p->sample_start_us >= SAMPLE_US)
		end_sample(p, now_us);
}

/* The start and the end of a run count a half each: its calls fall between them. */
void snipe_call_profile_start(struct snipe_call_profile *p, int64_t now_us, uint64_t route)
{
	struct snipe_call_profile_route *r = get_or_add_route(p, route);

	advance(p, now_us);
	if (!r)
		return;
	r->sample_runs += 0.5;
	r->open_runs++;
}

void snipe_call_profile_end(struct snipe_call_profile *p, int64_t now_us, uint64_t route,
			    int64_t run_us, int is_success)
{
	struct snipe_call_profile_route *r = get_or_add_route(p, route);
	double *mean_us;

	advance(p, now_us);
	if (!r)
		return;
	r->sample_runs += 0.5;
	r->sample_failed_runs += !is_success;
	r->open_runs--;
	mean_us = is_success ? &r->run_us : &r->failed_run_us;
	*mean_us = *mean_us > 0 ? *mean_us + RUN_WEIGHT * ((double)run_us - *mean_us)
				: (double)run_us;
}

void snipe_call_profile_call(struct snipe_call_profile *p, int64_t now_us, uint64_t callee)
{
	struct snipe_call_profile_callee *c = get_or_add_callee(p, callee);

	advance(p, now_us);
	p->recent_calls++;
	if (c)
		c->sample_calls++;
}

void snipe_call_profile_answer(struct snipe_call_profile *p, uint64_t callee, int is_success,
			       const struct snipe_chain_cost *cost)
{
	struct snipe_call_profile_callee *c = get_or_add_callee(p, callee);

	p->recent_failed_calls += !is_success;
	if (c)
		c->sample_failed_calls += !is_success;
	if (c && cost && cost->count > 0)
		snipe_chain_cost_average(&c->cost, cost, ANSWER_WEIGHT);
}

/* Whether the route makes calls of which no answer has stated the cost. */
static int has_unknown_call(const struct snipe_call_profile *p, const double *calls)
{
	for (int j = 0; j < p->callee_count; j++)
		if (calls[j] >= MIN_CALLS && p->callees[j].cost.count == 0)
			return 1;
	return 0;
}

/* Fills the cost as the samples of one kind of times tell it, empty if they do not. */
static void fill_cost(const struct snipe_call_profile *p, enum snipe_call_times times,
		      int route, uint64_t service, struct snipe_chain_cost *cost)
{
	const struct snipe_call_profile_route *r = &p->routes[route];
	const double *calls = r->calls[times];

	memset(cost, 0, sizeof(*cost));
	if (!is_known(p, times, route) || (r->run_us <= 0 && r->failed_run_us <= 0))
		return;
	insert_cost(cost, service, r->run_us > 0 ? r->run_us : r->failed_run_us);
	cost->is_rough =
		times == SNIPE_CALLS_FAIL || r->run_us <= 0 || has_unknown_call(p, calls);
	for (int j = 0; j < p->callee_count; j++)
		snipe_chain_cost_add(cost, &p->callees[j].cost, calls[j]);
}

int snipe_call_profile_cost(const struct snipe_call_profile *p, uint64_t route,
			    uint64_t service, struct snipe_chain_cost *cost)
{
	struct snipe_chain_cost rough;
	int i = find_route(p, route);

	memset(cost, 0, sizeof(*cost));
	if (i < 0)
		return SNIPE_ERR_NOT_FOUND;
	fill_cost(p, SNIPE_CALLS_SUCCEED, i, service, cost);
	fill_cost(p, SNIPE_CALLS_FAIL, i, service, &rough);
	if (cost->count == 0 ||
	    (p->times == SNIPE_CALLS_FAIL && snipe_chain_cost_exceeds(&rough, cost)))
		*cost = rough;
	return cost->count > 0 ? 0 : SNIPE_ERR_NOT_FOUND;
}
