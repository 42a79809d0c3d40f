/*
 * For how long the store has been in its present era. A new era begins when the store comes
 * back from an older copy of itself: what was written in the seconds before may be gone. Once
 * an era is settled, that no longer matters: a departure that was lost is too old for
 * announcements from before it to arrive.
 *
 * A process that starts cannot know how old the era is; it hears it from other nodes.
 */
#ifndef SNIPE_ERA_WATCH_H
#define SNIPE_ERA_WATCH_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Zeroed: no era is known. Times are those of the monotonic clock, in microseconds. */
struct snipe_era_watch {
	uint64_t era; /* newest one that the store has stated; 0: none */
	int64_t since_us;
	int is_heard_settled; /* another node has seen that it is */
};

/* Updates the era with the one that the store has stated last; 0: none. */
void snipe_era_watch_see(struct snipe_era_watch *w, int64_t now_us, uint64_t era);
/* Another node reports its era, and whether that is settled. Returns whether it is newer than
 * this node's. */
int snipe_era_watch_hear(struct snipe_era_watch *w, uint64_t era, int is_settled);
/* Whether the era began so long ago that nothing lost with it matters; so if the store states
 * none. */
int snipe_era_watch_is_settled(const struct snipe_era_watch *w, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
