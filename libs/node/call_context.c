#include "node/call_context.h"

#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/clock.h"

static guint token_hash(gconstpointer key)
{
	guint h;

	/* Tokens are random, so any part of them is a hash. */
	memcpy(&h, key, sizeof(h));
	return h;
}

static gboolean token_equal(gconstpointer a, gconstpointer b)
{
	return snipe_equal_constant_time(a, b, SNIPE_CONTEXT_BYTES);
}

void snipe_context_table_init(struct snipe_context_table *t)
{
	t->entries = g_hash_table_new(token_hash, token_equal);
	t->random_left = 0;
	t->blocked = 0;
}

void snipe_context_table_finish(struct snipe_context_table *t)
{
	g_hash_table_destroy(t->entries);
}

/* Reads random bytes from the kernel for many tokens at once. */
static void make_token(struct snipe_context_table *t, uint8_t token[SNIPE_CONTEXT_BYTES])
{
	if (t->random_left < SNIPE_CONTEXT_BYTES) {
		if (snipe_random_bytes(t->random, sizeof(t->random)))
			g_error("getrandom failed; the kernel must provide it");
		t->random_left = sizeof(t->random);
	}
	t->random_left -= SNIPE_CONTEXT_BYTES;
	memcpy(token, t->random + t->random_left, SNIPE_CONTEXT_BYTES);
	memset(t->random + t->random_left, 0, SNIPE_CONTEXT_BYTES);
}

void snipe_context_table_add(struct snipe_context_table *t, struct snipe_context_entry *entry,
			     char text[SNIPE_CONTEXT_TEXT])
{
	make_token(t, entry->token);
	entry->inner = NULL;
	entry->inner_running = 0;
	entry->waited_us = 0;
	memcpy(entry->context.token, entry->token, SNIPE_CONTEXT_BYTES);
	g_hash_table_insert(t->entries, entry->token, entry);
	snipe_hex(entry->token, SNIPE_CONTEXT_BYTES, text);
}

void snipe_context_table_remove(struct snipe_context_table *t,
				struct snipe_context_entry *entry)
{
	g_hash_table_remove(t->entries, entry->token);
	t->blocked -= entry->inner_running > 0;
	if (entry->inner)
		g_hash_table_destroy(entry->inner);
	entry->inner = NULL;
}

static struct snipe_context_entry *only_entry(struct snipe_context_table *t)
{
	GHashTableIter it;
	gpointer value = NULL;

	if (g_hash_table_size(t->entries) != 1)
		return NULL;
	g_hash_table_iter_init(&it, t->entries);
	g_hash_table_iter_next(&it, NULL, &value);
	return value;
}

static int mark_inner(struct snipe_context_entry *e, uint64_t fingerprint)
{
	gint64 *key;

	if (!e->inner)
		e->inner = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (g_hash_table_contains(e->inner, &fingerprint))
		return 1;
	key = g_new(gint64, 1);
	*key = (gint64)fingerprint;
	g_hash_table_add(e->inner, key);
	return 0;
}

int snipe_context_table_find(struct snipe_context_table *t, const char *token,
			     uint64_t fingerprint, struct snipe_call_context *context,
			     int *repeated)
{
	uint8_t bytes[SNIPE_CONTEXT_BYTES];
	struct snipe_context_entry *e;

	if (!token)
		e = only_entry(t);
	else if (snipe_unhex(token, bytes, sizeof(bytes)) == 0)
		e = g_hash_table_lookup(t->entries, bytes);
	else
		e = NULL;
	if (!e)
		return SNIPE_ERR_NOT_FOUND;
	*context = e->context;
	*repeated = mark_inner(e, fingerprint);
	if (e->inner_running++ == 0) {
		t->blocked++;
		e->waiting_since_us = snipe_now_us();
	}
	return 0;
}

void snipe_context_table_inner_done(struct snipe_context_table *t,
				    const uint8_t token[SNIPE_CONTEXT_BYTES])
{
	struct snipe_context_entry *e = g_hash_table_lookup(t->entries, token);

	if (e && --e->inner_running == 0) {
		t->blocked--;
		e->waited_us += snipe_now_us() - e->waiting_since_us;
	}
}

int64_t snipe_context_entry_waited_us(const struct snipe_context_entry *entry, int64_t now_us)
{
	int64_t open_us = entry->inner_running > 0 ? now_us - entry->waiting_since_us : 0;

	return entry->waited_us + open_us;
}
