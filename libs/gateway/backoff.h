/*
 * How long calls to the store may take, and the pauses after calls that failed.
 */
#ifndef SNIPE_BACKOFF_H
#define SNIPE_BACKOFF_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Milliseconds. A store that is slow by a factor of a hundred answers within this time. */
#define SNIPE_STORE_TIMEOUT_MS 1500

/* Returns the pause in microseconds after so many failures in a row. It is drawn from the whole
 * range, so that nodes that lost the store together do not come back together. */
int64_t snipe_backoff_us(GRand *rng, int failures);

#ifdef __cplusplus
}
#endif

#endif
