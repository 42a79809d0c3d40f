/*
 * An object of the store that holds what later processes have to know. It is read once at the
 * start and written after each change, under the condition that nobody else wrote meanwhile; if
 * somebody did, or the answer to a write was lost, it is read again before the next write.
 * Calls that fail are repeated with pauses until the store has what changed.
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
	/* The object was read; NULL if there is none. */
	void (*take)(struct snipe_kept_object *o, const struct snipe_object *object);
	/* Appends the value that is to be written. */
	void (*print)(struct snipe_kept_object *o, struct snipe_buffer *out);
	/* A write is done; the object has the version o->version. */
	void (*stored)(struct snipe_kept_object *o);
	/* A call failed, the first of those in a row; err is negative. */
	void (*failed)(struct snipe_kept_object *o, const char *call, int err);
};

struct snipe_kept_object_config {
	struct event_base *base;
	struct snipe_object_store *store;
	const char *kind, *name; /* valid as long as the object */
	/* Nonzero if there is nothing to read: the fleet starts for the first time. */
	int is_first_start;
};

/* Fields are private but for version. */
struct snipe_kept_object {
	const struct snipe_kept_object_ops *ops; /* first member: the vtable */
	struct snipe_kept_object_config config;
	GRand *rng;
	struct event retry;
	int handle;	  /* of the open call; 0: none */
	uint64_t version; /* as read or written last; 0: there is none */
	int is_version_known;
	unsigned changes, sent, stored; /* changes, and those in the last write and in the
					   store */
	int failures;			/* in a row */
};

/* Begins to read the object, unless this is the first start. */
void snipe_kept_object_init(struct snipe_kept_object *o,
			    const struct snipe_kept_object_ops *ops,
			    const struct snipe_kept_object_config *config);
void snipe_kept_object_finish(struct snipe_kept_object *o);

/* What print appends has changed. */
void snipe_kept_object_changed(struct snipe_kept_object *o);
/* Nonzero while a change may not be in the store. */
int snipe_kept_object_is_writing(const struct snipe_kept_object *o);

#ifdef __cplusplus
}
#endif

#endif
