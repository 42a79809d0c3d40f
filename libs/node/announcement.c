#include "node/announcement.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

static const char *const state_names[] = {"starting", "ready", "draining"};

const char *snipe_backend_state_name(enum snipe_backend_state state)
{
	return state_names[state];
}

static int parse_state(const char *name, enum snipe_backend_state *state)
{
	for (int i = 0; name && i <= SNIPE_BACKEND_DRAINING; i++) {
		if (strcmp(name, state_names[i]) == 0) {
			*state = (enum snipe_backend_state)i;
			return 0;
		}
	}
	return SNIPE_ERR_INVALID;
}

/* The pool's name goes into logs and dumps, so only plain characters are taken. */
static int is_name(const char *s)
{
	return s && *s && strlen(s) < SNIPE_NAME_SIZE &&
	       s[strspn(s,
			"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")] ==
		       '\0';
}

static int read_fields(struct snipe_announcement *a, json_t *root, struct snipe_error_text *err)
{
	const char *pool = json_string_value(json_object_get(root, "pool"));
	const char *address = json_string_value(json_object_get(root, "address"));
	const char *state = json_string_value(json_object_get(root, "state"));

	if (!is_name(pool))
		return snipe_error_set(err, SNIPE_ERR_INVALID,
				       "pool is missing or no name; send the name of a pool in "
				       "pools.toml");
	if (!address || snipe_address_parse(address, &a->address) || a->address.port == 0)
		return snipe_error_set(err, SNIPE_ERR_INVALID,
				       "address is missing or not IP:PORT; send the address at "
				       "which the backend server accepts HTTP");
	if (parse_state(state, &a->state))
		return snipe_error_set(err, SNIPE_ERR_INVALID,
				       "state must be starting, ready or draining");
	snprintf(a->pool, sizeof(a->pool), "%s", pool);
	return 0;
}

int snipe_announcement_parse(struct snipe_announcement *a, const char *json, size_t len,
			     struct snipe_error_text *err)
{
	json_error_t je;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &je);
	int ret;

	if (!root)
		return snipe_error_set(err, SNIPE_ERR_SYNTAX,
				       "announcement is no JSON object (line %d: %s)", je.line,
				       je.text);
	ret = read_fields(a, root, err);
	json_decref(root);
	return ret;
}
