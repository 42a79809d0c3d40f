#include "core/connection_limit.h"

/* Part of the descriptors that the node has for itself, and its minimum: listeners, links to
 * other nodes, connections to its server and to the store. */
#define OWN_RATIO 0.25
#define MIN_OWN 64
/* Clients get at least this part of the descriptors. */
#define MIN_CLIENT_RATIO 0.25
/* Part of the maximum from which connections are scarce. */
#define SCARCE_RATIO 0.5

static double larger(double a, double b)
{
	return a > b ? a : b;
}

void snipe_connection_limit_init(struct snipe_connection_limit *l, int descriptors)
{
	double own = larger(OWN_RATIO * descriptors, MIN_OWN);

	l->max = (int)larger(descriptors - own, MIN_CLIENT_RATIO * descriptors);
	l->scarce = (int)(SCARCE_RATIO * l->max);
}
