/*
 * Keeps the suspects, the requests that may crash servers, in one object of the store for the
 * fleet, so that they are still rejected after all nodes were killed. Running nodes also report
 * their strikes to each other.
 *
 * A node writes when a suspect has crashed the server beside it, or has succeeded there.
 * Changes that other nodes wrote meanwhile are read and merged first.
 */
#ifndef SNIPE_SUSPECT_LOG_H
#define SNIPE_SUSPECT_LOG_H

#include "core/crash_guard.h"
#include "gateway/kept_object.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Name of the object; the fleet has only one. */
#define SNIPE_SUSPECT_LOG_NAME "fleet"

/* Fields are private. */
struct snipe_suspect_log {
	struct snipe_kept_object object; /* must be first: callbacks cast it to the log */
	struct snipe_crash_guard *guard;
	unsigned changes_seen; /* snipe_crash_guard_changes at the last update */
};

/* Starts to read the suspects from the store. The guard must outlive the log. */
void snipe_suspect_log_init(struct snipe_suspect_log *l, struct snipe_crash_guard *guard,
			    const struct snipe_kept_object_config *config);
void snipe_suspect_log_finish(struct snipe_suspect_log *l);

/* Writes the suspects of the guard if they changed since the last update. To be called a few
 * times a second. */
void snipe_suspect_log_update(struct snipe_suspect_log *l);

#ifdef __cplusplus
}
#endif

#endif
