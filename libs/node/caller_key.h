/*
 * The key of a caller: where it stands in a request, and what must be removed so that no
 * backend server sees it.
 */
#ifndef SNIPE_CALLER_KEY_H
#define SNIPE_CALLER_KEY_H

#include <stddef.h>

#include "node/rejection.h"
#include "wire/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct evkeyvalq;

/* Key forms that one request may hold before it is rejected. */
#define SNIPE_CALLER_KEYS_MAX 4

/* Keys found in a request; they point into its headers. */
struct snipe_caller_keys {
	struct snipe_slice keys[SNIPE_CALLER_KEYS_MAX];
	int count;
	int repeated; /* more than one key header */
};

/* Finds "Authorization: Bearer KEY" and "Snipe-Key: KEY"; other schemes of Authorization are
 * no key. */
void snipe_caller_keys_find(struct snipe_caller_keys *keys, const struct evkeyvalq *headers);

/*
 * Checks the form of the keys and the URI. Returns SNIPE_REASON_NONE,
 * SNIPE_REASON_KEY_REPEATED, or SNIPE_REASON_KEY_IN_PATH if the URI contains a key, plain or
 * percent encoded, or a query parameter that is meant for one.
 */
enum snipe_reason snipe_caller_keys_check(const struct snipe_caller_keys *keys,
					  const char *uri);

/*
 * Lists the headers of a request that may go to a backend server: without connection headers,
 * the node's own headers, Authorization and headers that contain a key. The list points into
 * headers. Returns the count, or SNIPE_ERR_FULL if more than max are left.
 */
int snipe_caller_keys_filter(const struct snipe_caller_keys *keys,
			     const struct evkeyvalq *headers, struct snipe_header *out,
			     int max);

#ifdef __cplusplus
}
#endif

#endif
