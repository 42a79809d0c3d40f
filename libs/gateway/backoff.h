/*
 * Timeout of calls to the store, and the backoff after failed calls.
 */
#ifndef SNIPE_BACKOFF_H
#define SNIPE_BACKOFF_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A store that is slower than usual by a factor of 100 answers within this time. */
#define SNIPE_STORE_TIMEOUT_MS 1500

/* Returns the backoff in microseconds after this number of consecutive failures. It is random
 * over its whole range, so that nodes that lost the store together do not retry together. */
int64_t snipe_backoff_us(GRand *rng, int failures);

#ifdef __cplusplus
}
#endif

#endif
