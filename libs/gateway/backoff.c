#include "gateway/backoff.h"

/* Range of the first backoff, about 25 times the response time of a healthy store. */
#define BACKOFF_FIRST_US 100000
/* Longest range, so that a store that has recovered is noticed within a second. */
#define BACKOFF_MAX_US 800000
/* Doublings that certainly reach BACKOFF_MAX_US. */
#define MAX_DOUBLINGS 6

int64_t snipe_backoff_us(GRand *rng, int failures)
{
	int64_t range_us =
		MIN((int64_t)BACKOFF_FIRST_US << MIN(failures, MAX_DOUBLINGS), BACKOFF_MAX_US);

	return BACKOFF_FIRST_US / 2 + (int64_t)(g_rand_double(rng) * (double)range_us);
}
