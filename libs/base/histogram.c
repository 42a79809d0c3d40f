#include "base/histogram.h"

#include <string.h>

static unsigned bucket_of(uint64_t value)
{
	unsigned shift, index;

	if (value < SNIPE_HISTOGRAM_STEPS)
		return (unsigned)value;
	shift = 63u - (unsigned)__builtin_clzll(value) - 4u;
	index = (shift + 1) * SNIPE_HISTOGRAM_STEPS + (unsigned)((value >> shift) & 15u);
	return index < SNIPE_HISTOGRAM_BUCKETS ? index : SNIPE_HISTOGRAM_BUCKETS - 1;
}

static uint64_t upper_bound(unsigned index)
{
	unsigned shift;

	if (index < SNIPE_HISTOGRAM_STEPS)
		return index;
	shift = index / SNIPE_HISTOGRAM_STEPS - 1;
	return ((uint64_t)(SNIPE_HISTOGRAM_STEPS + index % SNIPE_HISTOGRAM_STEPS + 1)
		<< shift) -
	       1;
}

void snipe_histogram_init(struct snipe_histogram *h)
{
	memset(h, 0, sizeof(*h));
}

void snipe_histogram_add(struct snipe_histogram *h, uint64_t value)
{
	h->buckets[bucket_of(value)]++;
	h->total++;
	h->sum += value;
}

uint64_t snipe_histogram_quantile(const struct snipe_histogram *h, double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)h->total);
	uint64_t seen = 0;

	if (h->total == 0)
		return 0;
	if (rank >= h->total)
		rank = h->total - 1;
	for (unsigned i = 0; i < SNIPE_HISTOGRAM_BUCKETS; i++) {
		seen += h->buckets[i];
		if (seen > rank)
			return upper_bound(i);
	}
	return upper_bound(SNIPE_HISTOGRAM_BUCKETS - 1);
}
