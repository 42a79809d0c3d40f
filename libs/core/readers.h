/*
 * Which nodes read the tables from the store. A few do, chosen by the hash of their ids among
 * the nodes that are reachable; the others learn from them. Nodes that see different members
 * may choose differently, which only means that more of them read.
 */
#ifndef SNIPE_READERS_H
#define SNIPE_READERS_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Two may fail at a time without a gap. */
#define SNIPE_READERS 3

/* The lowest ids, as hashes, of the nodes that were added. */
struct snipe_readers {
	uint64_t ids[SNIPE_READERS];
	int count;
};

void snipe_readers_init(struct snipe_readers *r);
/* Takes one reachable node into account. */
void snipe_readers_add(struct snipe_readers *r, uint64_t id);
int snipe_readers_contains(const struct snipe_readers *r, uint64_t id);

#ifdef __cplusplus
}
#endif

#endif
