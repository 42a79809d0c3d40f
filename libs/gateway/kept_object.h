/*
 * An object of the store with state that later processes need. It is read once at the start and
 * written after each change, on condition that no other writer changed it meanwhile. If one
 * did, or the outcome of a write is unknown, the object is read again before the next write.
 * Failed calls are repeated with a backoff until the store has the latest change.
 *
 * In a new era of the store a version is no condition any more, and a write that had succeeded
 * may be gone: the object is read before the next write, and written again if it must survive.
 */
#ifndef SNIPE_KEPT_OBJECT_H
#define SNIPE_KEPT_OBJECT_H

#include <event2/event_struct.h>
#include <glib.h>
#include <stdint.h>

#include "base/buffer.h"
#include "platform/object_store.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_kept_object;

struct snipe_kept_object_ops {
	/* The object was read; it is NULL if the store has none. */
	void (*loaded)(struct snipe_kept_object *o, const struct snipe_object *object);
	/* Appends the value to be written. */
	void (*append_value)(struct snipe_kept_object *o, struct snipe_buffer *out);
	/* A write succeeded; the object now has the version o->version. */
	void (*stored)(struct snipe_kept_object *o);
	/* The first of consecutive failed calls; err is negative, call is "get" or "put", or
	 * "start" if the call could not be started. */
	void (*failed)(struct snipe_kept_object *o, const char *call, int err);
	/* Whether the value must be in the store again if it is lost with a new era. NULL: it
	 * is written with its next change. */
	int (*must_survive)(const struct snipe_kept_object *o);
};

struct snipe_kept_object_config {
	struct event_base *base;
	struct snipe_object_store *store;
	const char *kind, *name; /* must outlive the object */
	/* Nonzero if the fleet starts for the first time, so that there is nothing to read. */
	int is_first_start;
};

/* Fields are private, except for version and failures. */
struct snipe_kept_object {
	const struct snipe_kept_object_ops *ops; /* first member: the vtable */
	struct snipe_kept_object_config config;
	struct snipe_era_listener era_listener;
	GRand *rng;
	struct event retry_timer;
	int handle;	  /* of the open call; 0: none */
	uint64_t version; /* as last read or written; 0: the store has no object */
	int is_version_known;
	/* Number of changes made, in the last write, and in the store. */
	unsigned changes, changes_sent, changes_stored;
	int failures;	   /* consecutive */
	int may_be_stored; /* the only change is that a new era may have lost the value */
};

/* Starts to read the object, unless this is the first start of the fleet. */
void snipe_kept_object_init(struct snipe_kept_object *o,
			    const struct snipe_kept_object_ops *ops,
			    const struct snipe_kept_object_config *config);
void snipe_kept_object_finish(struct snipe_kept_object *o);

/* Starts to write the object: the value that append_value appends has changed. */
void snipe_kept_object_changed(struct snipe_kept_object *o);
/* Reads the object if it must survive, to learn whether the store is in a new era. */
void snipe_kept_object_check(struct snipe_kept_object *o);
/* Nonzero until the store has confirmed the write of every change. */
int snipe_kept_object_is_writing(const struct snipe_kept_object *o);

#ifdef __cplusplus
}
#endif

#endif
