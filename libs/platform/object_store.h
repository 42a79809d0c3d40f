/*
 * Client of the platform's object API, behind one vtable.
 *
 * Every operation is asynchronous and calls back exactly once, unless it is cancelled. All
 * callbacks run on the caller's event loop, never from inside the call that started them.
 */
#ifndef SNIPE_OBJECT_STORE_H
#define SNIPE_OBJECT_STORE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_OBJECT_MAX_BYTES (1024 * 1024)

struct snipe_object {
	uint64_t version; /* rises with each write; 0 means that there is no object */
	const char *value;
	size_t len;
};

/*
 * A store may return from an older copy of itself, without what was written since. Versions go
 * back with it and are given out again for other changes, so one of an earlier era says nothing
 * of a later one. A watch from such a version ends with SNIPE_ERR_HISTORY_LOST.
 */
struct snipe_era_listener {
	LIST_ENTRY(snipe_era_listener) link;
	/* An answer of a newer era than all before it has arrived; its call ends afterwards.
	 * Not called for the first era that the process sees. */
	void (*era_changed)(struct snipe_era_listener *l, uint64_t era);
};

/* One entry of a list; valid during the call. */
struct snipe_object_entry {
	const char *name;
	struct snipe_object object;
};

/* The objects of a kind; err as below. */
typedef void (*snipe_object_list_cb)(void *arg, int err,
				     const struct snipe_object_entry *entries, int count);

/*
 * err is 0, SNIPE_ERR_NOT_FOUND, SNIPE_ERR_CONFLICT, SNIPE_ERR_TOO_LARGE,
 * SNIPE_ERR_RATE_LIMITED, SNIPE_ERR_UNAVAILABLE (the request certainly had no effect) or
 * SNIPE_ERR_UNKNOWN (a write may have taken effect), or for a watch SNIPE_ERR_HISTORY_LOST
 * (what happened since is not known: get the object anew). object is valid during the call; for
 * a write it carries the new version only. A watch that saw no change calls back with
 * SNIPE_ERR_STALE and the unchanged version.
 */
typedef void (*snipe_object_cb)(void *arg, int err, const struct snipe_object *object);

struct snipe_object_store;

struct snipe_object_store_ops {
	int (*get)(struct snipe_object_store *store, const char *kind, const char *name,
		   int timeout_ms, snipe_object_cb cb, void *arg);
	/* Waits up to wait_ms for a version above after; the
	 * whole call may take wait_ms + timeout_ms. */
	int (*watch)(struct snipe_object_store *store, const char *kind, const char *name,
		     uint64_t after, int wait_ms, int timeout_ms, snipe_object_cb cb,
		     void *arg);
	/* Conditional write; if_version 0 means that the object must not exist. */
	int (*put)(struct snipe_object_store *store, const char *kind, const char *name,
		   uint64_t if_version, const char *value, size_t len, int timeout_ms,
		   snipe_object_cb cb, void *arg);
	/* Drops an operation; its callback is not called. */
	void (*cancel)(struct snipe_object_store *store, int handle);
	void (*finish)(struct snipe_object_store *store);
	/* All objects of a kind, in any order. With allow_stale the answer may be some seconds
	 * old and costs less. */
	int (*list)(struct snipe_object_store *store, const char *kind, int allow_stale,
		    int timeout_ms, snipe_object_list_cb cb, void *arg);
	/* One object that is not watched afterwards. It stays one call whatever else the kind
	 * holds, and leaves watches as they are. */
	int (*get_once)(struct snipe_object_store *store, const char *kind, const char *name,
			int timeout_ms, snipe_object_cb cb, void *arg);
	/* Adds a listener, which stays until it is removed with LIST_REMOVE or the store
	 * finishes. */
	void (*listen)(struct snipe_object_store *store, struct snipe_era_listener *l);
	/* Returns the newest era that an answer has stated, 0 if none has. */
	uint64_t (*era)(struct snipe_object_store *store);
};

/*
 * Operations return a handle above 0, or a negative error: SNIPE_ERR_INVALID for an operation,
 * kind or name that this form of the API does not have, SNIPE_ERR_TOO_LARGE for a value over
 * SNIPE_OBJECT_MAX_BYTES. The value of a put is copied.
 */
struct snipe_object_store {
	const struct snipe_object_store_ops *ops;
};

#ifdef __cplusplus
}
#endif

#endif
