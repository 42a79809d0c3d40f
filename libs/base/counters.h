/*
 * Named counters and gauges of one process, printed in the Prometheus text format.
 * A handle is the index of a counter in the table.
 */
#ifndef SNIPE_COUNTERS_H
#define SNIPE_COUNTERS_H

#include <stdint.h>

#include "base/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_COUNTERS_MAX 256

struct snipe_counters {
	int count;
	struct {
		char name[64];	/* metric name without the prefix "snipescale_" */
		char label[96]; /* for example reason="over_rate", or empty */
		int64_t value;
		int is_gauge;
	} entries[SNIPE_COUNTERS_MAX];
};

void snipe_counters_init(struct snipe_counters *c);

/* Returns the handle of the counter with this name and label; creates it at first use.
 * Returns SNIPE_ERR_FULL when the table is full. */
int snipe_counters_get(struct snipe_counters *c, const char *name, const char *label);

/* A negative handle is ignored, so that requests are still served when the table is full. */
void snipe_counters_add(struct snipe_counters *c, int handle, int64_t delta);
void snipe_counters_set(struct snipe_counters *c, int handle, int64_t value);
int64_t snipe_counters_value(const struct snipe_counters *c, int handle);

/* Appends all counters in the Prometheus text exposition format 0.0.4. */
void snipe_counters_print(const struct snipe_counters *c, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
