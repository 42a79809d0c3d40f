/*
 * Immutable view of tables, keys and members, published by the control task.
 */
#ifndef SNIPE_SNAPSHOT_H
#define SNIPE_SNAPSHOT_H

#include "config/keys.h"
#include "config/tables.h"
#include "core/control_state.h"
#include "core/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Tables or keys as one loaded version, shared by snapshots. */
struct snipe_loaded_tables {
	int refs;
	struct snipe_tables tables;
};
struct snipe_loaded_keys {
	int refs;
	struct snipe_keys keys;
};

struct snipe_snapshot {
	int refs;
	uint64_t versions[SNIPE_OBJECT_COUNT];
	struct snipe_loaded_tables *tables; /* NULL: none loaded yet */
	struct snipe_loaded_keys *keys;	    /* NULL: none loaded yet */
	struct snipe_member *members;	    /* sorted by node id */
	int member_count;
};

/* Makes a snapshot with one reference; takes references of its own on tables and keys. */
struct snipe_snapshot *snipe_snapshot_new(const uint64_t versions[SNIPE_OBJECT_COUNT],
					  struct snipe_loaded_tables *tables,
					  struct snipe_loaded_keys *keys,
					  const struct snipe_membership *members);
struct snipe_snapshot *snipe_snapshot_ref(struct snipe_snapshot *s);
void snipe_snapshot_unref(struct snipe_snapshot *s);

struct snipe_loaded_tables *snipe_loaded_tables_new(void);
void snipe_loaded_tables_unref(struct snipe_loaded_tables *t);
struct snipe_loaded_keys *snipe_loaded_keys_new(void);
void snipe_loaded_keys_unref(struct snipe_loaded_keys *k);

#ifdef __cplusplus
}
#endif

#endif
