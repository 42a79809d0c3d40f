/*
 * Recognizes requests that crash backend servers.
 *
 * A fingerprint gets a strike for each death of a backend server while such a request ran. Two
 * strikes without a success since the first make it suspect for 10 minutes. A success clears
 * it, so that innocent requests that ran beside recover. docs/decisions/crashing-requests.md
 * states the reasons.
 */
#ifndef SNIPE_CRASH_GUARD_H
#define SNIPE_CRASH_GUARD_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_CRASH_GUARD_ENTRIES 1024

/* Fields are private. */
struct snipe_crash_guard {
	struct snipe_crash_entry {
		uint64_t fingerprint; /* 0: free */
		uint64_t last_death;
		int strikes;
		int64_t last_strike_us;
	} entries[SNIPE_CRASH_GUARD_ENTRIES];
};

void snipe_crash_guard_init(struct snipe_crash_guard *g);

/* Never returns 0. */
uint64_t snipe_crash_fingerprint(const char *route, const char *method, const char *path,
				 const void *body, size_t body_len);

/*
 * A server died while the request ran, here or at another node of the pool. death identifies
 * the death, so that several running requests with one fingerprint give it one strike; it
 * differs from the number of any other recent death. Returns 1 if the strike was counted: the
 * owner sends it to the pool's other nodes if the server died here.
 */
int snipe_crash_guard_strike(struct snipe_crash_guard *g, int64_t now_us, uint64_t fingerprint,
			     uint64_t death);

/* A request with this fingerprint ended without a crash. Returns 1 if strikes were cleared. */
int snipe_crash_guard_success(struct snipe_crash_guard *g, uint64_t fingerprint);

/* Returns nonzero if the request must be refused. */
int snipe_crash_guard_is_suspect(const struct snipe_crash_guard *g, int64_t now_us,
				 uint64_t fingerprint);

#ifdef __cplusplus
}
#endif

#endif
