#define _GNU_SOURCE

#include "node/caller_key.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/error.h"
#include "node/http_text.h"

static const char *const key_parameters[] = {"key", "api_key", "snipe-key", "access_token"};

static void add_key(struct snipe_caller_keys *keys, const char *value)
{
	while (*value == ' ' || *value == '\t')
		value++;
	if (keys->count == SNIPE_CALLER_KEYS_MAX) {
		keys->repeated = 1;
		return;
	}
	keys->keys[keys->count].data = value;
	keys->keys[keys->count].len = strcspn(value, " \t");
	keys->count++;
}

void snipe_caller_keys_find(struct snipe_caller_keys *keys, const struct evkeyvalq *headers)
{
	const struct evkeyval *h;
	int authorizations = 0;

	keys->count = 0;
	keys->repeated = 0;
	TAILQ_FOREACH(h, headers, next)
	{
		if (g_ascii_strcasecmp(h->key, "Snipe-Key") == 0) {
			add_key(keys, h->value);
		} else if (g_ascii_strcasecmp(h->key, "Authorization") == 0) {
			authorizations++;
			if (g_ascii_strncasecmp(h->value, "Bearer ", 7) == 0)
				add_key(keys, h->value + 7);
		}
	}
	if (keys->count > 1 || authorizations > 1)
		keys->repeated = 1;
}

/* Returns nonzero if text contains the key. text need not end with a null. */
static int contains(const char *text, size_t len, const struct snipe_slice *key)
{
	return key->len > 0 && memmem(text, len, key->data, key->len) != NULL;
}

/* Decodes percent encoding in place and returns the new length; leaves bad escapes. */
static size_t decode(char *text, size_t len)
{
	size_t n = 0;

	for (size_t i = 0; i < len; i++) {
		int hi = text[i] == '%' && i + 2 < len ? g_ascii_xdigit_value(text[i + 1]) : -1;
		int lo = hi >= 0 ? g_ascii_xdigit_value(text[i + 2]) : -1;

		if (lo >= 0) {
			text[n++] = (char)(hi << 4 | lo);
			i += 2;
		} else {
			text[n++] = text[i];
		}
	}
	return n;
}

static int contains_any(const char *text, size_t len, const struct snipe_caller_keys *keys)
{
	for (int i = 0; i < keys->count; i++) {
		if (contains(text, len, &keys->keys[i]))
			return 1;
	}
	return 0;
}

/* Checks text as it is and percent decoded once and twice: some servers decode twice. */
static int contains_encoded(const char *text, const struct snipe_caller_keys *keys)
{
	size_t len = strlen(text);
	int found = contains_any(text, len, keys);
	char *plain;

	if (found || keys->count == 0 || !memchr(text, '%', len))
		return found;
	plain = g_memdup2(text, len);
	for (int round = 0; round < 2 && !found; round++) {
		len = decode(plain, len);
		found = contains_any(plain, len, keys);
	}
	g_free(plain);
	return found;
}

static int is_key_parameter(const char *name, size_t len)
{
	char plain[32];
	size_t n;

	/* A percent encoded byte takes three characters. */
	if (len >= sizeof(plain))
		return 0;
	memcpy(plain, name, len);
	n = decode(plain, len);
	plain[n] = '\0';
	for (size_t i = 0; i < G_N_ELEMENTS(key_parameters); i++) {
		if (g_ascii_strcasecmp(plain, key_parameters[i]) == 0)
			return 1;
	}
	return 0;
}

static int has_key_parameter(const char *uri)
{
	const char *p = strchr(uri, '?');

	while (p) {
		size_t name = strcspn(++p, "=&;");

		if (p[name] == '=' && is_key_parameter(p, name))
			return 1;
		p = strpbrk(p, "&;");
	}
	return 0;
}

enum snipe_reason snipe_caller_keys_check(const struct snipe_caller_keys *keys, const char *uri)
{
	if (keys->repeated)
		return SNIPE_REASON_KEY_REPEATED;
	if (contains_encoded(uri, keys) || has_key_parameter(uri))
		return SNIPE_REASON_KEY_IN_PATH;
	return SNIPE_REASON_NONE;
}

static int is_removed(const struct snipe_caller_keys *keys, const struct evkeyval *h)
{
	return snipe_http_is_connection_header(h->key) || snipe_http_is_own_header(h->key) ||
	       g_ascii_strcasecmp(h->key, "Authorization") == 0 ||
	       contains_encoded(h->value, keys) || contains_encoded(h->key, keys);
}

int snipe_caller_keys_filter(const struct snipe_caller_keys *keys,
			     const struct evkeyvalq *headers, struct snipe_header *out, int max)
{
	const struct evkeyval *h;
	int n = 0;

	TAILQ_FOREACH(h, headers, next)
	{
		if (is_removed(keys, h))
			continue;
		if (n == max)
			return SNIPE_ERR_FULL;
		snipe_http_set_header(&out[n++], h->key, h->value);
	}
	return n;
}
