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

#include <event2/event_struct.h>
#include <glib.h>
#include <stdint.h>

#include "core/crash_guard.h"
#include "platform/object_store.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_suspect_log_config {
	struct event_base *base;
	struct snipe_object_store *store;
	struct snipe_crash_guard *guard;
	const char *kind;
	int is_first_start; /* nonzero: no earlier process can have written */
};

/* Fields are private. */
struct snipe_suspect_log {
	struct snipe_suspect_log_config config;
	GRand *rng;
	int handle;	  /* of the open call; 0: none */
	uint64_t version; /* of the object, as read or written last; 0: none */
	int is_version_known;
	unsigned known, sent,
		stored; /* changes of the guard: seen, in the open write, written */
	int failures;	/* in a row */
	struct event retry;
};

/* Begins to read what the store has. */
void snipe_suspect_log_init(struct snipe_suspect_log *l,
			    const struct snipe_suspect_log_config *config);
void snipe_suspect_log_finish(struct snipe_suspect_log *l);

/* Writes the suspects of the guard if they changed since they were written. To be called a few
 * times a second. */
void snipe_suspect_log_update(struct snipe_suspect_log *l);

#ifdef __cplusplus
}
#endif

#endif
