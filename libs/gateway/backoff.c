#include "gateway/backoff.h"

/* Range of the first pause, about 25 times the answer time of a sound store, and its bound, so
 * that a store that is back is noticed within a second. */
#define BACKOFF_FIRST_US 100000
#define BACKOFF_MAX_US 800000
/* Doublings after which the longest pause is certainly reached. */
#define MAX_DOUBLINGS 6

int64_t snipe_backoff_us(GRand *rng, int failures)
{
	int64_t most =
		MIN((int64_t)BACKOFF_FIRST_US << MIN(failures, MAX_DOUBLINGS), BACKOFF_MAX_US);

	return BACKOFF_FIRST_US / 2 + (int64_t)(g_rand_double(rng) * (double)most);
}
