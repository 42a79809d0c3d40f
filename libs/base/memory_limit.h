/*
 * Bounds the bytes that a process holds for clients, servers and other nodes.
 *
 * All that is held is charged to one account. When it passes the limit, what is held is given
 * up until there is room again, that first which costs most: its bytes times the time for which
 * they have been held. A client that sends or takes large bodies at a good pace costs less than
 * one that holds as much and makes no progress, and small requests are never given up.
 *
 * Load pattern: many clients that send bodies and stop before the end, or read long answers
 * slowly or not at all.
 */
#ifndef SNIPE_MEMORY_LIMIT_H
#define SNIPE_MEMORY_LIMIT_H

#include <stdint.h>
#include <sys/queue.h>

#include "base/memory_account.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Less than this is never given up, in bytes: a request with a small body. */
#define SNIPE_MEMORY_SMALL_BYTES ((size_t)(8 * 1024))
/* Bodies from this size on, in bytes, are copied only while there is room for the copies. */
#define SNIPE_MEMORY_LARGE_BYTES ((size_t)(64 * 1024))

struct snipe_memory_holder_ops {
	/* Finds what costs most of all that the holder has. Returns its cost, see
	 * snipe_memory_cost; 0: it has nothing to give up. */
	double (*find_worst)(void *arg, int64_t now_us);
	/* Gives up what find_worst found, right after that. */
	void (*give_up)(void *arg);
};

/* One that holds bytes; embedded in its owner. */
struct snipe_memory_holder {
	const struct snipe_memory_holder_ops *ops;
	void *arg;
	SLIST_ENTRY(snipe_memory_holder) entry;
};

/* Fields are private except for the account. */
struct snipe_memory_limit {
	struct snipe_memory_account account; /* of all that is held */
	SLIST_HEAD(snipe_memory_holders, snipe_memory_holder) holders;
	uint64_t given_up; /* readable; how often something was given up */
};

/* max_bytes 0: no limit. exceeded is called when the limit is passed: then
 * snipe_memory_limit_enforce is to be called soon, from the event loop. */
void snipe_memory_limit_init(struct snipe_memory_limit *l, size_t max_bytes,
			     void (*exceeded)(void *arg), void *arg);
/* The holder must stay valid as long as the limit is enforced. */
void snipe_memory_limit_add(struct snipe_memory_limit *l, struct snipe_memory_holder *h,
			    const struct snipe_memory_holder_ops *ops, void *arg);
/* Gives up what costs most until enough is free or nothing is left to give up. */
void snipe_memory_limit_enforce(struct snipe_memory_limit *l, int64_t now_us);

/* The cost of bytes that have been held since a time, in byte microseconds; 0 for few bytes. */
double snipe_memory_cost(size_t bytes, int64_t since_us, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
