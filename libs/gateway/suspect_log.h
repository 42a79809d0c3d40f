/*
 * Keeps the requests that are suspect of crashing servers in the store, one object for the
 * fleet, so that they are refused also after all nodes were killed. Beside that, nodes tell
 * each other.
 *
 * A node writes when a server beside it died by a suspect, or when a suspect ended well here.
 * What others wrote meanwhile is read and merged before.
 */
#ifndef SNIPE_SUSPECT_LOG_H
#define SNIPE_SUSPECT_LOG_H

#include "core/crash_guard.h"
#include "gateway/kept_object.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Name of the one object of its kind. */
#define SNIPE_SUSPECT_LOG_NAME "fleet"

/* Fields are private. */
struct snipe_suspect_log {
	struct snipe_kept_object object; /* first member */
	struct snipe_crash_guard *guard;
	unsigned known; /* changes of the guard that were seen */
};

/* Begins to read what the store has. */
void snipe_suspect_log_init(struct snipe_suspect_log *l, struct snipe_crash_guard *guard,
			    const struct snipe_kept_object_config *config);
void snipe_suspect_log_finish(struct snipe_suspect_log *l);

/* Writes the suspects of the guard if they changed since they were written. To be called a few
 * times a second. */
void snipe_suspect_log_update(struct snipe_suspect_log *l);

#ifdef __cplusplus
}
#endif

#endif
