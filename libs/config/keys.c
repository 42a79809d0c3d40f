#include "config/keys.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/history.h"
#include "config/section.h"

#define KEY_PREFIX "snk_"
#define KEY_RANDOM_BYTES 32 /* 43 characters in base64url */

void snipe_keys_init(struct snipe_keys *keys)
{
	memset(keys, 0, sizeof(*keys));
}

void snipe_keys_finish(struct snipe_keys *keys)
{
	g_free(keys->entries);
	memset(keys, 0, sizeof(*keys));
}

static int by_hash(const void *a, const void *b)
{
	return memcmp(a, b, SNIPE_SHA256_SIZE);
}

/* The hash is the first member, so that a hash alone can be looked up. */
G_STATIC_ASSERT(offsetof(struct snipe_key, hash) == 0);

static int read_key(struct snipe_key *key, const json_t *entry)
{
	const char *hash = json_string_value(json_object_get(entry, "sha256"));

	if (!hash || snipe_unhex(hash, key->hash, sizeof(key->hash)) < 0 ||
	    snipe_json_copy(entry, "id", key->id, sizeof(key->id)) < 0 ||
	    snipe_json_copy(entry, "workspace", key->workspace, sizeof(key->workspace)) < 0 ||
	    snipe_json_copy(entry, "issued", key->issued, sizeof(key->issued)) < 0)
		return SNIPE_ERR_INVALID;
	return snipe_name_is_valid(key->id) && snipe_name_is_valid(key->workspace)
		       ? 0
		       : SNIPE_ERR_INVALID;
}

/* A repeated hash could give one key to two workspaces; a repeated id could leave a key in
 * force when the other one is withdrawn. */
static int has_duplicates(const struct snipe_keys *keys)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	int found = 0;

	for (int i = 0; i < keys->count && !found; i++) {
		found = !g_hash_table_add(ids, keys->entries[i].id) ||
			(i > 0 && by_hash(&keys->entries[i - 1], &keys->entries[i]) == 0);
	}
	g_hash_table_destroy(ids);
	return found;
}

static int read_document(struct snipe_keys *keys, const json_t *root)
{
	const json_t *list = json_object_get(root, "keys");

	if (!json_is_array(list) ||
	    snipe_json_copy(root, "write_id", keys->write_id, sizeof(keys->write_id)) < 0 ||
	    snipe_history_parse(json_object_get(root, "history"), keys->history,
				&keys->history_count) < 0)
		return SNIPE_ERR_INVALID;
	keys->count = (int)json_array_size(list);
	keys->entries = g_new0(struct snipe_key, keys->count);
	for (int i = 0; i < keys->count; i++) {
		if (read_key(&keys->entries[i], json_array_get(list, (size_t)i)) < 0)
			return SNIPE_ERR_INVALID;
	}
	if (keys->count)
		qsort(keys->entries, (size_t)keys->count, sizeof(*keys->entries), by_hash);
	return has_duplicates(keys) ? SNIPE_ERR_INVALID : 0;
}

int snipe_keys_parse(struct snipe_keys *keys, const char *json, size_t len,
		     struct snipe_error_text *err)
{
	json_error_t e;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &e);
	int rc;

	snipe_keys_init(keys);
	if (!root)
		return snipe_error_set(err, SNIPE_ERR_SYNTAX,
				       "config/keys:%d: %s; restore an earlier value of the "
				       "object",
				       e.line, e.text);
	rc = read_document(keys, root);
	json_decref(root);
	if (rc < 0) {
		snipe_keys_finish(keys);
		return snipe_error_set(err, rc,
				       "config/keys: a key, the write_id or the history is "
				       "missing, malformed or repeated; restore an earlier "
				       "value of the object");
	}
	return 0;
}

char *snipe_keys_print(const struct snipe_keys *keys)
{
	json_t *list = json_array();
	json_t *root;
	char *text, *copy;

	for (int i = 0; i < keys->count; i++) {
		const struct snipe_key *k = &keys->entries[i];
		char hash[2 * SNIPE_SHA256_SIZE + 1];

		snipe_hex(k->hash, sizeof(k->hash), hash);
		json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s}", "sha256", hash,
						      "id", k->id, "workspace", k->workspace,
						      "issued", k->issued));
	}
	root = json_pack("{s:o, s:s, s:o}", "keys", list, "write_id", keys->write_id, "history",
			 snipe_history_json(keys->history, keys->history_count));
	text = root ? json_dumps(root, JSON_COMPACT) : NULL;
	copy = g_strdup(text);
	free(text);
	json_decref(root);
	return copy;
}

const char *snipe_keys_lookup(const struct snipe_keys *keys, const char *key, size_t len)
{
	uint8_t hash[SNIPE_SHA256_SIZE];
	const struct snipe_key *found;

	if (keys->count == 0)
		return NULL;
	snipe_sha256(key, len, hash);
	found = bsearch(hash, keys->entries, (size_t)keys->count, sizeof(*keys->entries),
			by_hash);
	return found ? found->workspace : NULL;
}

static void base64url(const uint8_t *data, size_t len, char *out, size_t size)
{
	char *text = g_base64_encode(data, len);

	text[strcspn(text, "=")] = '\0';
	g_strdelimit(text, "+", '-');
	g_strdelimit(text, "/", '_');
	g_strlcpy(out, text, size);
	g_free(text);
}

int snipe_keys_issue(struct snipe_keys *keys, const char *workspace, const char *issued,
		     char key_out[64], char id_out[24])
{
	struct snipe_key entry;
	uint8_t secret[KEY_RANDOM_BYTES], id[8];

	memset(&entry, 0, sizeof(entry));
	if (!snipe_name_is_valid(workspace) || strlen(issued) >= sizeof(entry.issued))
		return SNIPE_ERR_INVALID;
	if (snipe_random_bytes(secret, sizeof(secret)) < 0 ||
	    snipe_random_bytes(id, sizeof(id)) < 0)
		return SNIPE_ERR_IO;
	g_strlcpy(key_out, KEY_PREFIX, 64);
	base64url(secret, sizeof(secret), key_out + strlen(KEY_PREFIX),
		  64 - strlen(KEY_PREFIX));
	g_strlcpy(id_out, "k-", 24);
	snipe_hex(id, sizeof(id), id_out + 2);
	snipe_sha256(key_out, strlen(key_out), entry.hash);
	g_strlcpy(entry.id, id_out, sizeof(entry.id));
	g_strlcpy(entry.workspace, workspace, sizeof(entry.workspace));
	g_strlcpy(entry.issued, issued, sizeof(entry.issued));
	keys->entries = g_renew(struct snipe_key, keys->entries, keys->count + 1);
	keys->entries[keys->count++] = entry;
	qsort(keys->entries, (size_t)keys->count, sizeof(*keys->entries), by_hash);
	return 0;
}

int snipe_keys_withdraw(struct snipe_keys *keys, const char *id)
{
	for (int i = 0; i < keys->count; i++) {
		if (strcmp(keys->entries[i].id, id) != 0)
			continue;
		memmove(&keys->entries[i], &keys->entries[i + 1],
			(size_t)(keys->count - i - 1) * sizeof(*keys->entries));
		keys->count--;
		return 0;
	}
	return SNIPE_ERR_NOT_FOUND;
}
