#include "core/chain_limit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/error.h"

/* Time constant of the demand at an entry: short enough to follow a burst, long enough for some
 * requests of each route at each of a hundred entries. */
#define DEMAND_TIME_US 1000000.0
/* Part of the slots that is filled: calls arrive at random, and a full gate rejects some. */
#define FILL_RATIO 0.95
/* Part of the slots that is divided among the ranks that are not admitted in full, so that no
 * kind of request is shut out for as long as the shortage lasts. */
#define RESERVE_RATIO 0.1
/* Demand is reported for services that are busier than this: the others are not short soon, and
 * reports go to all nodes. */
#define BUSY_RATIO 0.75
/* A request that needs less than this part of the mean slot time is cut in proportion. */
#define SMALL_COST_RATIO 0.25
/* A service is limited from this part of busy slots on: a demand above its slots is an error of
 * the cost while they are not filled. */
#define FULL_RATIO 0.85
/* The trim falls while the gates of a full service reject more than this part of their calls,
 * by TRIM_FALL_PER_S times that part of itself in a second. It rises while slots are free, at
 * full speed below FULL_RATIO: rejections then come from single servers that are full, and
 * fewer requests would leave the others idle. */
#define MAX_REJECTED_RATIO 0.02
/* The trim starts when the requests that were admitted without the limit have ended, and this
 * time and this many report intervals after: until then, reports tell of them. */
#define TRIM_HOLD_US 1000000
#define TRIM_HOLD_INTERVALS 1.5
#define TRIM_FALL_PER_S 1.0
#define TRIM_RISE_PER_S 0.2
#define TRIM_MIN 0.4
#define TRIM_MAX 3.0

void snipe_chain_limit_init(struct snipe_chain_limit *l, int64_t now_us)
{
	memset(l, 0, sizeof(*l));
	l->updated_us = now_us;
}

static struct snipe_chain_service *find_service(struct snipe_chain_limit *l, uint64_t service)
{
	for (int i = 0; i < l->service_count; i++)
		if (l->services[i].service == service)
			return &l->services[i];
	return NULL;
}

/* Returns an entry that can be taken over: its service has no servers any more. */
static struct snipe_chain_service *find_unused(struct snipe_chain_limit *l)
{
	for (int i = 0; i < l->service_count; i++)
		if (l->services[i].weight <= 0 && !l->services[i].has_servers)
			return &l->services[i];
	return NULL;
}

/* Returns NULL if there are too many services: they are not limited. */
static struct snipe_chain_service *get_or_add_service(struct snipe_chain_limit *l,
						      uint64_t service)
{
	struct snipe_chain_service *s = find_service(l, service);

	if (s)
		return s;
	s = l->service_count < SNIPE_CHAIN_LIMIT_SERVICES ? &l->services[l->service_count++]
							  : find_unused(l);
	if (!s)
		return NULL;
	memset(s, 0, sizeof(*s));
	s->service = service;
	s->trim = 1;
	return s;
}

static struct snipe_chain_rank *get_or_add_rank(struct snipe_chain_service *s, int rank)
{
	int i = s->rank_count;

	while (i > 0 && s->ranks[i - 1].rank >= rank)
		i--;
	if (i < s->rank_count && s->ranks[i].rank == rank)
		return &s->ranks[i];
	if (s->rank_count == SNIPE_CHAIN_LIMIT_RANKS)
		return &s->ranks[MIN(i, s->rank_count - 1)];
	memmove(&s->ranks[i + 1], &s->ranks[i],
		(size_t)(s->rank_count - i) * sizeof(s->ranks[0]));
	s->rank_count++;
	s->ranks[i] = (struct snipe_chain_rank){.rank = rank, .share = 1};
	return &s->ranks[i];
}

static void decay_offered(struct snipe_chain_service *s, int64_t now_us)
{
	double factor = exp(-(double)(now_us - s->offered_at_us) / DEMAND_TIME_US);

	for (int i = 0; i < s->rank_count; i++)
		s->ranks[i].offered_us *= factor;
	s->offered_requests *= factor;
	s->offered_at_us = now_us;
}

/* Returns the part of the requests with this cost that is admitted for a service. */
static double request_share(const struct snipe_chain_service *s,
			    const struct snipe_chain_rank *r, double slot_us)
{
	double offered_us = 0, relative;

	for (int i = 0; i < s->rank_count; i++)
		offered_us += s->ranks[i].offered_us;
	relative = slot_us * s->offered_requests / offered_us;
	return 1 - (1 - r->share) * MIN(relative / SMALL_COST_RATIO, 1);
}

double snipe_chain_limit_offer(struct snipe_chain_limit *l, int64_t now_us, int64_t deadline_us,
			       int rank, const struct snipe_chain_cost *cost,
			       uint64_t *bottleneck)
{
	double share = 1;

	for (int i = 0; i < cost->count; i++) {
		struct snipe_chain_service *s =
			get_or_add_service(l, cost->services[i].service);
		struct snipe_chain_rank *r;
		double service_share;

		if (!s)
			continue;
		decay_offered(s, now_us);
		r = get_or_add_rank(s, rank);
		r->offered_us += cost->services[i].slot_us;
		s->offered_requests++;
		if (!s->is_limiting)
			s->unlimited_until_us = MAX(s->unlimited_until_us, deadline_us);
		service_share = request_share(s, r, cost->services[i].slot_us);
		if (s->is_limiting && service_share < share) {
			share = service_share;
			*bottleneck = s->service;
		}
	}
	return share;
}

static int is_busy(const struct snipe_chain_service *s)
{
	return s->is_limiting || s->busy_slots > BUSY_RATIO * s->slots;
}

static void insert_demand(struct snipe_chain_demand *demands, int count,
			  const struct snipe_chain_demand *demand)
{
	int i = count;

	for (; i > 0 && demands[i - 1].slots < demand->slots; i--)
		demands[i] = demands[i - 1];
	demands[i] = *demand;
}

int snipe_chain_limit_demand(struct snipe_chain_limit *l, int64_t now_us,
			     struct snipe_chain_demand *demands, int max)
{
	int count = 0;

	for (int i = 0; i < l->service_count; i++) {
		struct snipe_chain_service *s = &l->services[i];

		if (!is_busy(s))
			continue;
		decay_offered(s, now_us);
		for (int j = 0; j < s->rank_count; j++) {
			struct snipe_chain_demand d = {s->service, s->ranks[j].rank,
						       s->ranks[j].offered_us / DEMAND_TIME_US};

			if (count == max && (count == 0 || demands[count - 1].slots >= d.slots))
				continue;
			count -= count == max;
			insert_demand(demands, count++, &d);
		}
	}
	return count;
}

void snipe_chain_limit_begin_update(struct snipe_chain_limit *l)
{
	for (int i = 0; i < l->service_count; i++) {
		struct snipe_chain_service *s = &l->services[i];

		s->slots = s->busy_slots = s->rejected_ratio = s->weight = 0;
		for (int j = 0; j < s->rank_count; j++)
			s->ranks[j].demand = 0;
	}
}

void snipe_chain_limit_add_server(struct snipe_chain_limit *l, uint64_t service, int slots,
				  int busy, double rejected_ratio)
{
	struct snipe_chain_service *s = get_or_add_service(l, service);

	if (!s)
		return;
	s->slots += slots;
	s->busy_slots += MIN(busy, slots);
	s->rejected_ratio += rejected_ratio * slots;
	s->weight += slots;
	s->has_servers = 1;
}

void snipe_chain_limit_add_demand(struct snipe_chain_limit *l,
				  const struct snipe_chain_demand *demand)
{
	struct snipe_chain_service *s = get_or_add_service(l, demand->service);

	if (s)
		get_or_add_rank(s, demand->rank)->demand += demand->slots;
}

static double total_demand(const struct snipe_chain_service *s)
{
	double demand = 0;

	for (int i = 0; i < s->rank_count; i++)
		demand += s->ranks[i].demand;
	return demand;
}

static void adjust_trim(struct snipe_chain_service *s, int is_known, double elapsed_s)
{
	double busy = s->slots > 0 ? s->busy_slots / s->slots : 0;
	double unfilled = CLAMP((FILL_RATIO - busy) / (FILL_RATIO - FULL_RATIO), 0, 1);

	if (s->is_limiting && !is_known) {
		/* The trim fell while the costs, and so the demand, were not known. */
		if (total_demand(s) > FILL_RATIO * s->slots)
			s->trim = MAX(s->trim, 1);
		return;
	}
	if (busy >= FULL_RATIO && s->rejected_ratio > MAX_REJECTED_RATIO)
		s->trim *= 1 - MIN(TRIM_FALL_PER_S * s->rejected_ratio * elapsed_s, 0.5);
	else if (s->is_limiting || s->trim < 1)
		s->trim += TRIM_RISE_PER_S * unfilled * elapsed_s;
	else
		s->trim = 1;
	s->trim = CLAMP(s->trim, TRIM_MIN, TRIM_MAX);
}

/* Divides the slots among the ranks: first in the order of rank, then the reserve and what is
 * left in proportion to the demand that remains. */
static void compute_shares(struct snipe_chain_service *s, int64_t now_us)
{
	double slots = s->slots * FILL_RATIO * s->trim;
	double left = slots * (1 - RESERVE_RATIO), unmet = 0, rest;
	int was_limiting = s->is_limiting;

	s->is_limiting = s->slots > 0 && total_demand(s) > slots &&
			 (s->is_limiting || s->busy_slots >= FULL_RATIO * s->slots);
	s->has_changed |= s->is_limiting != was_limiting;
	if (!was_limiting)
		s->limiting_since_us = now_us;
	for (int i = 0; i < s->rank_count; i++) {
		struct snipe_chain_rank *r = &s->ranks[i];

		r->share = s->is_limiting && r->demand > left ? left / r->demand : 1;
		left -= r->share * r->demand;
		unmet += (1 - r->share) * r->demand;
	}
	rest = unmet > 0 ? MIN((left + slots * RESERVE_RATIO) / unmet, 1) : 0;
	for (int i = 0; i < s->rank_count; i++)
		s->ranks[i].share += rest * (1 - s->ranks[i].share);
}

void snipe_chain_limit_end_update(struct snipe_chain_limit *l, int64_t now_us,
				  int64_t report_interval_us)
{
	int64_t hold_us =
		TRIM_HOLD_US + (int64_t)(TRIM_HOLD_INTERVALS * (double)report_interval_us);
	double elapsed_s = (double)(now_us - l->updated_us) / 1e6;

	l->updated_us = now_us;
	for (int i = 0; i < l->service_count; i++) {
		struct snipe_chain_service *s = &l->services[i];

		s->has_servers = s->weight > 0;
		if (s->has_servers)
			s->rejected_ratio /= s->weight;
		adjust_trim(
			s, now_us - MAX(s->limiting_since_us, s->unlimited_until_us) >= hold_us,
			elapsed_s);
		compute_shares(s, now_us);
	}
}

int snipe_chain_limit_next_change(struct snipe_chain_limit *l,
				  struct snipe_chain_change *change)
{
	for (int i = 0; i < l->service_count; i++) {
		struct snipe_chain_service *s = &l->services[i];

		if (!s->has_changed)
			continue;
		s->has_changed = 0;
		*change = (struct snipe_chain_change){
			.service = s->service,
			.is_limiting = s->is_limiting,
			.slots = s->slots,
			.busy_slots = s->busy_slots,
			.demand = total_demand(s),
			.rejected_ratio = s->rejected_ratio,
			.trim = s->trim,
		};
		return 0;
	}
	return SNIPE_ERR_NOT_FOUND;
}
