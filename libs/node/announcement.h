/*
 * Announcement of a backend server: JSON with pool, address and state.
 */
#ifndef SNIPE_ANNOUNCEMENT_H
#define SNIPE_ANNOUNCEMENT_H

#include <stddef.h>

#include "base/address.h"
#include "base/error.h"
#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_backend_state {
	SNIPE_BACKEND_STARTING,
	SNIPE_BACKEND_READY,
	SNIPE_BACKEND_DRAINING,
};

struct snipe_announcement {
	char pool[SNIPE_NAME_SIZE];
	struct snipe_address address; /* where it serves HTTP */
	enum snipe_backend_state state;
};

/* Returns 0, SNIPE_ERR_SYNTAX or SNIPE_ERR_INVALID with the remedy in err. */
int snipe_announcement_parse(struct snipe_announcement *a, const char *json, size_t len,
			     struct snipe_error_text *err);

const char *snipe_backend_state_name(enum snipe_backend_state state);

#ifdef __cplusplus
}
#endif

#endif
