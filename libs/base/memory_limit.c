#include "base/memory_limit.h"

#include <string.h>

/* Part of the limit that is free after it was enforced. */
#define FREE_RATIO 8
/* Added to the time for which bytes have been held, so that among new ones the largest costs
 * most. */
#define MIN_HELD_US 1000

void snipe_memory_limit_init(struct snipe_memory_limit *l, size_t max_bytes,
			     void (*exceeded)(void *arg), void *arg)
{
	memset(l, 0, sizeof(*l));
	snipe_memory_account_init(&l->account, NULL);
	l->account.limit = max_bytes;
	l->account.exceeded = exceeded;
	l->account.arg = arg;
	SLIST_INIT(&l->holders);
}

void snipe_memory_limit_add(struct snipe_memory_limit *l, struct snipe_memory_holder *h,
			    const struct snipe_memory_holder_ops *ops, void *arg)
{
	h->ops = ops;
	h->arg = arg;
	SLIST_INSERT_HEAD(&l->holders, h, entry);
}

static int give_up_worst(struct snipe_memory_limit *l, int64_t now_us)
{
	struct snipe_memory_holder *worst = NULL;
	double most = 0;

	for (struct snipe_memory_holder *h = SLIST_FIRST(&l->holders); h;
	     h = SLIST_NEXT(h, entry)) {
		double cost = h->ops->find_worst(h->arg, now_us);

		if (cost > most) {
			most = cost;
			worst = h;
		}
	}
	if (!worst)
		return 0;
	worst->ops->give_up(worst->arg);
	l->given_up++;
	return 1;
}

void snipe_memory_limit_enforce(struct snipe_memory_limit *l, int64_t now_us)
{
	struct snipe_memory_account *a = &l->account;

	while (a->limit && a->held > a->limit - a->limit / FREE_RATIO)
		if (!give_up_worst(l, now_us))
			break;
	snipe_memory_clear_excess(a);
}

double snipe_memory_cost(size_t bytes, int64_t since_us, int64_t now_us)
{
	if (bytes < SNIPE_MEMORY_SMALL_BYTES)
		return 0;
	return (double)bytes * (double)(now_us - since_us + MIN_HELD_US);
}
