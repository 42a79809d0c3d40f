/*
 * Selects the nodes that read the tables from the store: among the reachable nodes those whose
 * ids have the lowest hashes. The other nodes receive the tables from them. Nodes that reach
 * different members may select differently, which only means that more of them read.
 */
#ifndef SNIPE_READERS_H
#define SNIPE_READERS_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Reads go on while two of them fail at a time. */
#define SNIPE_READER_COUNT 3

/* The lowest distinct hashes of node ids that were added, in ascending order. */
struct snipe_readers {
	uint64_t ids[SNIPE_READER_COUNT];
	int count;
};

void snipe_readers_init(struct snipe_readers *r);
/* Adds a reachable node; id is the hash of its node id. */
void snipe_readers_add(struct snipe_readers *r, uint64_t id);
int snipe_readers_contains(const struct snipe_readers *r, uint64_t id);

#ifdef __cplusplus
}
#endif

#endif
