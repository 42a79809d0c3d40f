/*
 * Contexts of the calls that run on the backend server, by their random tokens.
 */
#ifndef SNIPE_CALL_CONTEXT_H
#define SNIPE_CALL_CONTEXT_H

#include <glib.h>
#include <stdint.h>

#include "node/backend_task.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_CONTEXT_BYTES 16
#define SNIPE_CONTEXT_TEXT (2 * SNIPE_CONTEXT_BYTES + 1)

/* A context in the table; embedded in the running call. Fields are private. */
struct snipe_context_entry {
	uint8_t token[SNIPE_CONTEXT_BYTES];
	struct snipe_call_context context;
	int inner_running;	  /* inner calls that have not ended */
	int64_t waiting_since_us; /* while inner_running is above 0 */
	int64_t waited_us;	  /* in earlier waits for inner calls */
	GHashTable *inner;	  /* fingerprints of inner calls; NULL while there are none */
};

/* Fields are private. */
struct snipe_context_table {
	GHashTable *entries; /* token -> struct snipe_context_entry, not owned */
	int blocked;	     /* contexts with inner calls that have not ended */
	uint8_t random[64 * SNIPE_CONTEXT_BYTES];
	size_t random_left;
};

void snipe_context_table_init(struct snipe_context_table *t);
void snipe_context_table_finish(struct snipe_context_table *t);

/* Adds an entry with entry->context filled in; writes its token as hexadecimal digits. */
void snipe_context_table_add(struct snipe_context_table *t, struct snipe_context_entry *entry,
			     char text[SNIPE_CONTEXT_TEXT]);
void snipe_context_table_remove(struct snipe_context_table *t,
				struct snipe_context_entry *entry);

/*
 * Finds a context by its token, or with token NULL the only one. repeated is set if the
 * fingerprint was seen under it before. Returns 0 or SNIPE_ERR_NOT_FOUND.
 */
int snipe_context_table_find(struct snipe_context_table *t, const char *token,
			     uint64_t fingerprint, struct snipe_call_context *context,
			     int *repeated);

/* An inner call that was found ended; the context may be gone by now. */
void snipe_context_table_inner_done(struct snipe_context_table *t,
				    const uint8_t token[SNIPE_CONTEXT_BYTES]);

/* Time that the call has spent waiting for inner calls so far. */
int64_t snipe_context_entry_waited_us(const struct snipe_context_entry *entry, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
