/*
 * Log lines of what a node knows of requests that crash servers. Each event is limited to
 * SNIPE_LOG_LINES_PER_S lines a second.
 */
#ifndef SNIPE_CRASH_LOG_H
#define SNIPE_CRASH_LOG_H

#include "core/crash_guard.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A strike was counted; node_id is the node that tells it. */
void snipe_crash_log_strike(const struct snipe_crash_guard *guard, uint64_t fingerprint,
			    uint64_t death, const char *node_id);
/* Strikes were cleared by a success; node_id is the node that tells it. */
void snipe_crash_log_cleared(uint64_t fingerprint, const char *node_id);
/* A suspect request is refused, or let through as a trial. */
void snipe_crash_log_suspect(const struct snipe_crash_guard *guard, int64_t now_us,
			     uint64_t fingerprint, const char *request_id, int is_trial);

#ifdef __cplusplus
}
#endif

#endif
