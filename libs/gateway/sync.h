/*
 * Keeps the tables up to date with the store, and finds the other nodes there.
 *
 * A few nodes watch the tables with short waits: each answer also proves that the tables held
 * are the newest, which requests with a key depend on. The others ask these nodes, and fetch
 * newer tables from whoever reports them. A node that learns nothing from others for a while
 * reads by itself.
 */
#ifndef SNIPE_SYNC_H
#define SNIPE_SYNC_H

#include <event2/event_struct.h>
#include <glib.h>

#include "base/counters.h"
#include "base/log.h"
#include "gateway/dialect.h"
#include "gateway/directory.h"
#include "node/peer_task.h"
#include "platform/object_store.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_sync_config {
	struct event_base *base;
	const struct snipe_gateway_settings *settings;
	const struct snipe_dialect *dialect;
	struct snipe_object_store *store;
	struct snipe_peer_task *peers;
	struct snipe_directory *directory;
	struct snipe_counters *counters;
	/* Newer tables were decoded. */
	void (*tables)(void *arg, struct snipe_routing *routing);
	/* A read of the store that was sent at sent_us found nothing newer. */
	void (*confirmed)(void *arg, int64_t sent_us);
	/* When the tables held were last known to be the newest, from whatever source. */
	int64_t (*confirmed_us)(void *arg);
	void *arg;
};

/* Fields are private. */
struct snipe_sync {
	struct snipe_sync_config config;
	GRand *rng;
	struct snipe_routing *routing; /* NULL: none yet */
	uint64_t version;	       /* of the object; 0: get the tables first */
	int handle;		       /* open read of the tables; 0: none */
	int64_t sent_us;
	int failures;	   /* in a row */
	int missing_reads; /* in a row that found no tables */
	int is_unread;	   /* the newest tables could not be decoded */
	int64_t lost_us;
	int is_reachable;
	int is_alone; /* the nodes that read for others were not heard for too long */
	struct snipe_log_limit failure_lines;
	struct event retry;
	/* registration */
	int node_handle;
	int64_t node_sent_us;
	int is_registered;
	int has_listed;	      /* the list was read after the own entry was there */
	uint64_t own_version; /* of the own entry, as listed; 0: none */
	int own_is_current;
	struct event node_timer;
	/* tables from another node */
	uint64_t fetch;
	int64_t fetched_us;
	uint64_t offered_version; /* that the last fetch was to bring */
	uint64_t missed_version;  /* the same of the last fetch that failed */
	int count_reads, count_read_errors, count_writes, gauge_reachable;
};

void snipe_sync_init(struct snipe_sync *s, const struct snipe_sync_config *config);
void snipe_sync_finish(struct snipe_sync *s);

/* The node at from holds this version. */
void snipe_sync_offer(struct snipe_sync *s, const struct snipe_address *from, uint64_t version);

#ifdef __cplusplus
}
#endif

#endif
