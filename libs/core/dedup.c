#include "core/dedup.h"

#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/ownership.h"

#define IDENTIFIER_LEN 36
/* Hash table entries, tree node and list link of one record, rounded up. */
#define RECORD_OVERHEAD_BYTES 160

enum record_state {
	RECORD_CLAIMED,
	RECORD_DONE,
	RECORD_UNKNOWN,
	RECORD_RELEASED,
};

struct snipe_dedup_record {
	char *key; /* workspace, newline, identifier in lower case */
	uint64_t fingerprint;
	uint64_t claim;
	int64_t id_wall_ms;
	enum record_state state;
	int shard;
	char *response; /* NULL: none or evicted */
	size_t response_len;
	GSequenceIter *expiry;
	GList *response_link; /* in the queue of stored responses; NULL if none is stored */
};

int snipe_identifier_time(const char *identifier, int64_t *wall_ms)
{
	static const char pattern[] = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";
	int64_t ms = 0;

	if (strlen(identifier) != IDENTIFIER_LEN)
		return SNIPE_ERR_SYNTAX;
	for (int i = 0; i < IDENTIFIER_LEN; i++) {
		int digit = g_ascii_xdigit_value(identifier[i]);

		if (pattern[i] == '-' ? identifier[i] != '-' : digit < 0)
			return SNIPE_ERR_SYNTAX;
		if ((pattern[i] == '7' && digit != 7) ||
		    (pattern[i] == 'v' && (digit & 12) != 8))
			return SNIPE_ERR_SYNTAX;
		if (i < 13 && pattern[i] != '-')
			ms = ms << 4 | digit;
	}
	*wall_ms = ms;
	return 0;
}

void snipe_identifier_make(int64_t wall_ms, const uint8_t random[10], char out[40])
{
	uint8_t b[16];
	char hex[33];

	for (int i = 0; i < 6; i++)
		b[i] = (uint8_t)(wall_ms >> (40 - 8 * i));
	memcpy(b + 6, random, 10);
	b[6] = (uint8_t)((b[6] & 0x0f) | 0x70);
	b[8] = (uint8_t)((b[8] & 0x3f) | 0x80);
	snipe_hex(b, sizeof(b), hex);
	g_snprintf(out, 40, "%.8s-%.4s-%.4s-%.4s-%.12s", hex, hex + 8, hex + 12, hex + 16,
		   hex + 20);
}

static size_t record_bytes(const struct snipe_dedup_record *r)
{
	return sizeof(*r) + strlen(r->key) + 1 + RECORD_OVERHEAD_BYTES;
}

static gint compare_id_times(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct snipe_dedup_record *x = a, *y = b;

	(void)data;
	return (x->id_wall_ms > y->id_wall_ms) - (x->id_wall_ms < y->id_wall_ms);
}

static void drop_response(struct snipe_dedup *d, struct snipe_dedup_record *r)
{
	if (!r->response_link)
		return;
	g_queue_delete_link(&d->responses, r->response_link);
	r->response_link = NULL;
	d->bytes -= r->response_len;
	g_free(r->response);
	r->response = NULL;
	r->response_len = 0;
}

static void free_record(struct snipe_dedup *d, struct snipe_dedup_record *r)
{
	drop_response(d, r);
	d->bytes -= record_bytes(r);
	g_hash_table_remove(d->claims, &r->claim);
	g_sequence_remove(r->expiry);
	g_hash_table_remove(d->records, r->key);
	g_free(r->key);
	g_free(r);
}

void snipe_dedup_init(struct snipe_dedup *d, uint64_t first_claim)
{
	memset(d, 0, sizeof(*d));
	d->records = g_hash_table_new(g_str_hash, g_str_equal);
	d->claims = g_hash_table_new(g_int64_hash, g_int64_equal);
	d->expiry = g_sequence_new(NULL);
	g_queue_init(&d->responses);
	d->next_claim = first_claim;
	d->oldest_wall_ms = INT64_MIN;
}

void snipe_dedup_finish(struct snipe_dedup *d)
{
	while (!g_sequence_is_empty(d->expiry))
		free_record(d, g_sequence_get(g_sequence_get_begin_iter(d->expiry)));
	g_sequence_free(d->expiry);
	g_hash_table_destroy(d->claims);
	g_hash_table_destroy(d->records);
}

/* Evicts stored responses, oldest first, until len more bytes fit. Returns nonzero if they
 * fit. */
static int make_room(struct snipe_dedup *d, size_t len)
{
	while (d->bytes + len > SNIPE_DEDUP_MAX_BYTES && !g_queue_is_empty(&d->responses))
		drop_response(d, g_queue_peek_head(&d->responses));
	return d->bytes + len <= SNIPE_DEDUP_MAX_BYTES;
}

static void grant_claim(struct snipe_dedup *d, struct snipe_dedup_record *r,
			uint64_t fingerprint, struct snipe_claim_result *result)
{
	g_hash_table_remove(d->claims, &r->claim);
	r->claim = d->next_claim++;
	g_hash_table_insert(d->claims, &r->claim, r);
	r->fingerprint = fingerprint;
	r->state = RECORD_CLAIMED;
	result->verdict = SNIPE_CLAIM_GRANTED;
	result->claim = r->claim;
}

static enum snipe_claim_verdict check_id_time(struct snipe_dedup *d, int64_t wall_ms,
					      int64_t owner_since_wall_ms, int64_t id_wall_ms)
{
	if (id_wall_ms > wall_ms + SNIPE_DEDUP_MAX_SKEW_MS)
		return SNIPE_CLAIM_INVALID;
	if (id_wall_ms < d->oldest_wall_ms)
		return SNIPE_CLAIM_TOO_OLD;
	if (owner_since_wall_ms && id_wall_ms <= owner_since_wall_ms + SNIPE_DEDUP_TAKEOVER_MS)
		return SNIPE_CLAIM_OWNER_CHANGED;
	return SNIPE_CLAIM_GRANTED;
}

/* Fills the result from the record of an earlier claim that was not released. */
static void fill_from_record(const struct snipe_dedup_record *r, uint64_t fingerprint,
			     struct snipe_claim_result *result)
{
	if (r->fingerprint != fingerprint) {
		result->verdict = SNIPE_CLAIM_INVALID;
	} else if (r->state == RECORD_CLAIMED) {
		result->verdict = SNIPE_CLAIM_IN_PROGRESS;
	} else if (r->state == RECORD_UNKNOWN) {
		result->verdict = SNIPE_CLAIM_UNKNOWN;
	} else if (!r->response_link) {
		result->verdict = SNIPE_CLAIM_DONE_NO_RESPONSE;
	} else {
		result->verdict = SNIPE_CLAIM_DONE;
		result->response = r->response;
		result->response_len = r->response_len;
	}
}

static struct snipe_dedup_record *add_record(struct snipe_dedup *d, char *key, int shard,
					     int64_t id_wall_ms)
{
	struct snipe_dedup_record *r = g_new0(struct snipe_dedup_record, 1);

	r->key = key;
	r->shard = shard;
	r->id_wall_ms = id_wall_ms;
	r->expiry = g_sequence_insert_sorted(d->expiry, r, compare_id_times, NULL);
	g_hash_table_insert(d->records, r->key, r);
	d->bytes += record_bytes(r);
	return r;
}

void snipe_dedup_claim(struct snipe_dedup *d, int64_t wall_ms, int64_t owner_since_wall_ms,
		       const char *workspace, const char *identifier, uint64_t fingerprint,
		       struct snipe_claim_result *result)
{
	struct snipe_dedup_record *r;
	char *lower, *key;
	int64_t id_wall_ms;

	memset(result, 0, sizeof(*result));
	result->verdict = SNIPE_CLAIM_INVALID;
	if (snipe_identifier_time(identifier, &id_wall_ms) < 0)
		return;
	snipe_dedup_tick(d, wall_ms);
	lower = g_ascii_strdown(identifier, -1);
	key = g_strconcat(workspace, "\n", lower, NULL);
	r = g_hash_table_lookup(d->records, key);
	if (r && r->state != RECORD_RELEASED) {
		fill_from_record(r, fingerprint, result);
	} else {
		result->verdict = check_id_time(d, wall_ms, owner_since_wall_ms, id_wall_ms);
		if (result->verdict != SNIPE_CLAIM_GRANTED) {
			/* nothing is stored */
		} else if (r) {
			grant_claim(d, r, fingerprint, result);
		} else if (!make_room(d,
				      sizeof(*r) + strlen(key) + 1 + RECORD_OVERHEAD_BYTES)) {
			result->verdict = SNIPE_CLAIM_FULL;
		} else {
			r = add_record(d, g_strdup(key),
				       snipe_shard_of_identifier(workspace, lower), id_wall_ms);
			grant_claim(d, r, fingerprint, result);
		}
	}
	g_free(key);
	g_free(lower);
}

static struct snipe_dedup_record *find_claimed(struct snipe_dedup *d, uint64_t claim)
{
	struct snipe_dedup_record *r = g_hash_table_lookup(d->claims, &claim);

	return r && r->state == RECORD_CLAIMED ? r : NULL;
}

void snipe_dedup_done(struct snipe_dedup *d, uint64_t claim, int is_known, const void *response,
		      size_t len)
{
	struct snipe_dedup_record *r = find_claimed(d, claim);

	if (!r)
		return;
	r->state = is_known ? RECORD_DONE : RECORD_UNKNOWN;
	if (!is_known || !response || len > SNIPE_DEDUP_MAX_RESPONSE_BYTES ||
	    !make_room(d, len))
		return;
	r->response = g_memdup2(response, len);
	r->response_len = len;
	d->bytes += len;
	g_queue_push_tail(&d->responses, r);
	r->response_link = d->responses.tail;
}

void snipe_dedup_release(struct snipe_dedup *d, uint64_t claim)
{
	struct snipe_dedup_record *r = find_claimed(d, claim);

	if (r)
		r->state = RECORD_RELEASED;
}

void snipe_dedup_tick(struct snipe_dedup *d, int64_t wall_ms)
{
	/* The limit never falls: after a clock step back, dropped identifiers stay too old. */
	if (wall_ms - SNIPE_DEDUP_WINDOW_MS > d->oldest_wall_ms)
		d->oldest_wall_ms = wall_ms - SNIPE_DEDUP_WINDOW_MS;
	while (!g_sequence_is_empty(d->expiry)) {
		struct snipe_dedup_record *r =
			g_sequence_get(g_sequence_get_begin_iter(d->expiry));

		if (r->id_wall_ms >= d->oldest_wall_ms)
			break;
		free_record(d, r);
	}
}

void snipe_dedup_drop_shard(struct snipe_dedup *d, int shard)
{
	GSequenceIter *it = g_sequence_get_begin_iter(d->expiry);

	while (!g_sequence_iter_is_end(it)) {
		struct snipe_dedup_record *r = g_sequence_get(it);

		it = g_sequence_iter_next(it);
		if (r->shard == shard)
			free_record(d, r);
	}
}
