/*
 * Keys of callers, held only as SHA-256 hashes.
 *
 * The value of the platform object config/keys: JSON with a write_id, a history as in
 * config/tables, and one entry for each key that is in force.
 */
#ifndef SNIPE_KEYS_H
#define SNIPE_KEYS_H

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/hash.h"
#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_key {
	uint8_t hash[SNIPE_SHA256_SIZE];
	char id[24]; /* public name of the key, for operators */
	char workspace[SNIPE_NAME_SIZE];
	char issued[32]; /* RFC 3339, UTC */
};

struct snipe_keys {
	struct snipe_key *entries; /* sorted by hash */
	int count;
	char write_id[40];
	struct snipe_write_record history[SNIPE_HISTORY_MAX]; /* newest first */
	int history_count;
};

void snipe_keys_init(struct snipe_keys *keys);
void snipe_keys_finish(struct snipe_keys *keys);
int snipe_keys_parse(struct snipe_keys *keys, const char *json, size_t len,
		     struct snipe_error_text *err);
/* Returns a string to be freed with g_free. */
char *snipe_keys_print(const struct snipe_keys *keys);

/* Returns the workspace's name of a presented key, or NULL if the key is not in force.
 * The pointer is valid as long as keys. */
const char *snipe_keys_lookup(const struct snipe_keys *keys, const char *key, size_t len);

/* Makes a new random key ("snk_" and 43 characters) and adds its hash. Returns 0 or an error.
 */
int snipe_keys_issue(struct snipe_keys *keys, const char *workspace, const char *issued,
		     char key_out[64], char id_out[24]);

/* Returns 0 or SNIPE_ERR_NOT_FOUND. */
int snipe_keys_withdraw(struct snipe_keys *keys, const char *id);

#ifdef __cplusplus
}
#endif

#endif
