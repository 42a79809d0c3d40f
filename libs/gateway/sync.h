/*
 * Keeps the tables up to date with the store, and finds the other nodes there.
 *
 * A few nodes, the readers, watch the tables in the store with short waits: each answer also
 * confirms that the tables held are the newest. Without a recent confirmation, a node rejects
 * requests that need an API key. The other nodes ask the readers for that confirmation, and
 * fetch newer tables from any node that reports them. A node that gets no confirmation for a
 * while reads the store itself.
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
	/* Newer tables were loaded, from the store or from another node. */
	void (*tables_loaded)(void *arg, struct snipe_routing *routing);
	/* A read of the store that was sent at sent_us showed that the tables held are the
	 * newest. */
	void (*confirmed)(void *arg, int64_t sent_us);
	/* Returns when the tables held were last known to be the newest, whether from the store
	 * or from another node; 0: never. */
	int64_t (*confirmed_us)(void *arg);
	void *arg;
};

/* Fields are private. */
struct snipe_sync {
	struct snipe_sync_config config;
	struct snipe_era_listener era_listener;
	GRand *rng;
	struct snipe_routing *routing; /* NULL: no tables yet */
	uint64_t version; /* of the stored object; 0: unknown, so get before watching */
	int read_handle;  /* of the open read of the tables; 0: none */
	int64_t read_sent_us;
	int failures;		 /* consecutive failed calls to the store */
	int missing_reads;	 /* consecutive reads that found no tables */
	int has_decode_error;	 /* the newest tables could not be decoded */
	uint64_t stored_version; /* of the tables last read from the store; 0: none */
	int64_t unreachable_us;	 /* when calls to the store began to fail */
	int is_reachable;
	int is_fallback_reader; /* reads because other nodes confirmed nothing for too long */
	struct snipe_log_limit failure_log_limit;
	struct event read_timer;
	/* registration of this node, and the list of nodes */
	int node_handle;
	int64_t node_sent_us;
	int is_registered;
	int has_listed_self;	    /* a list had the current entry of this node */
	uint64_t own_entry_version; /* of this node's entry, as listed; 0: none */
	int is_own_entry_current;   /* it has the address of this node */
	struct event node_timer;
	/* fetch of tables from another node */
	uint64_t fetch_handle; /* 0: none is open */
	int64_t fetch_sent_us;
	uint64_t fetch_version;	       /* version expected from the last fetch */
	uint64_t failed_fetch_version; /* the same for the last fetch that failed */
	int count_reads, count_read_errors, count_writes, count_eras, gauge_reachable;
};

void snipe_sync_init(struct snipe_sync *s, const struct snipe_sync_config *config);
void snipe_sync_finish(struct snipe_sync *s);

/* Fetches the tables from the node at this address, which reported this version, if that is
 * newer than the tables held. At most one fetch is open, and fetches are limited in rate. */
void snipe_sync_fetch_if_newer(struct snipe_sync *s, const struct snipe_address *from,
			       uint64_t version);

#ifdef __cplusplus
}
#endif

#endif
