/*
 * Log lines about requests that crash servers. Each event is limited to SNIPE_LOG_LINES_PER_S
 * lines per second.
 */
#ifndef SNIPE_CRASH_LOG_H
#define SNIPE_CRASH_LOG_H

#include "core/crash_guard.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A strike was counted for the crash with this number; node_id is the node that reported it. */
void snipe_crash_log_strike(const struct snipe_crash_guard *guard, uint64_t fingerprint,
			    uint64_t crash, const char *node_id);
/* A success cleared the strikes of a fingerprint; node_id is the node that reported it. */
void snipe_crash_log_cleared(uint64_t fingerprint, const char *node_id);
/* A suspect request was rejected, or admitted as a trial. */
void snipe_crash_log_suspect(const struct snipe_crash_guard *guard, int64_t now_us,
			     uint64_t fingerprint, const char *request_id, int is_trial);

#ifdef __cplusplus
}
#endif

#endif
