/*
 * JSON form of the write history that config/tables and config/keys share.
 */
#ifndef SNIPE_HISTORY_H
#define SNIPE_HISTORY_H

#include <jansson.h>

#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Copies a string of an object. Returns 0, or SNIPE_ERR_INVALID if it is absent or too long. */
int snipe_json_copy(const json_t *object, const char *key, char *out, size_t size);

/* Returns 0 or SNIPE_ERR_INVALID. */
int snipe_history_parse(const json_t *array, struct snipe_write_record *history, int *count);

/* Returns a new reference. */
json_t *snipe_history_json(const struct snipe_write_record *history, int count);

#ifdef __cplusplus
}
#endif

#endif
