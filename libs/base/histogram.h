/*
 * A log-linear histogram of non-negative integers (microseconds, bytes).
 * Each power of two is divided into 16 linear buckets: a relative error of at most 1/16.
 * Values of 2^47 and above are counted in the last bucket.
 */
#ifndef SNIPE_HISTOGRAM_H
#define SNIPE_HISTOGRAM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_HISTOGRAM_STEPS 16
#define SNIPE_HISTOGRAM_BUCKETS (SNIPE_HISTOGRAM_STEPS * 44)

struct snipe_histogram {
	uint64_t total;
	uint64_t sum;
	uint32_t buckets[SNIPE_HISTOGRAM_BUCKETS];
};

void snipe_histogram_init(struct snipe_histogram *h);
void snipe_histogram_add(struct snipe_histogram *h, uint64_t value);

/* Returns the upper bound of the bucket that holds the quantile (0.0 to 1.0), 0 if empty. */
uint64_t snipe_histogram_quantile(const struct snipe_histogram *h, double quantile);

#ifdef __cplusplus
}
#endif

#endif
