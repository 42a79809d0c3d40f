#include "node/http_text.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/error.h"

static const struct {
	enum evhttp_cmd_type command;
	const char *name;
} methods[] = {
	{EVHTTP_REQ_GET, "GET"},	 {EVHTTP_REQ_POST, "POST"},
	{EVHTTP_REQ_HEAD, "HEAD"},	 {EVHTTP_REQ_PUT, "PUT"},
	{EVHTTP_REQ_DELETE, "DELETE"},	 {EVHTTP_REQ_PATCH, "PATCH"},
	{EVHTTP_REQ_OPTIONS, "OPTIONS"},
};

static const char *const connection_headers[] = {
	"Connection",	    "Content-Length",	   "Keep-Alive",
	"Proxy-Connection", "Proxy-Authorization", "TE",
	"Trailer",	    "Transfer-Encoding",   "Upgrade",
	"Expect",
};

const char *snipe_http_method_name(unsigned command)
{
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (methods[i].command == command)
			return methods[i].name;
	}
	return NULL;
}

int snipe_http_method_command(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (strcmp(methods[i].name, name) == 0)
			return methods[i].command;
	}
	return SNIPE_ERR_NOT_FOUND;
}

int snipe_http_is_connection_header(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(connection_headers); i++) {
		if (g_ascii_strcasecmp(connection_headers[i], name) == 0)
			return 1;
	}
	return 0;
}

int snipe_http_is_own_header(const char *name)
{
	return g_ascii_strncasecmp(name, "Snipe-", 6) == 0;
}

int snipe_http_count(const struct evkeyvalq *headers, const char *name, const char **value)
{
	const struct evkeyval *h;
	int n = 0;

	*value = NULL;
	TAILQ_FOREACH(h, headers, next)
	{
		if (g_ascii_strcasecmp(h->key, name) == 0 && n++ == 0)
			*value = h->value;
	}
	return n;
}

size_t snipe_http_headers_size(const struct evkeyvalq *headers)
{
	const struct evkeyval *h;
	size_t size = 0;

	TAILQ_FOREACH(h, headers, next)
	size += strlen(h->key) + strlen(h->value) + 4;
	return size;
}

void snipe_http_set_header(struct snipe_header *header, const char *name, const char *value)
{
	header->name.data = name;
	header->name.len = strlen(name);
	header->value.data = value;
	header->value.len = strlen(value);
}

int snipe_http_response_headers(const struct evkeyvalq *in, int is_head,
				struct snipe_header *out)
{
	const struct evkeyval *h;
	int n = 0;

	TAILQ_FOREACH(h, in, next)
	{
		int keep = is_head && g_ascii_strcasecmp(h->key, "Content-Length") == 0;

		if (!keep && (snipe_http_is_connection_header(h->key) ||
			      snipe_http_is_own_header(h->key)))
			continue;
		if (n == SNIPE_MAX_HEADERS)
			return SNIPE_ERR_FULL;
		snipe_http_set_header(&out[n++], h->key, h->value);
	}
	return n;
}

void snipe_http_add_headers(struct evkeyvalq *out, const struct snipe_header *headers,
			    int count)
{
	char name[128];
	char small[512];

	for (int i = 0; i < count; i++) {
		const struct snipe_header *h = &headers[i];
		char *value = small;

		if (h->name.len == 0 || h->name.len >= sizeof(name))
			continue;
		memcpy(name, h->name.data, h->name.len);
		name[h->name.len] = '\0';
		if (h->value.len >= sizeof(small))
			value = g_malloc(h->value.len + 1);
		if (h->value.len)
			memcpy(value, h->value.data, h->value.len);
		value[h->value.len] = '\0';
		/* evhttp refuses line breaks, which would end the header. */
		evhttp_add_header(out, name, value);
		if (value != small)
			g_free(value);
	}
}

static int is_dot_segment(const char *s, size_t len)
{
	return (len == 1 && s[0] == '.') || (len == 2 && s[0] == '.' && s[1] == '.');
}

static int check_segments(const char *path)
{
	const char *s = path + 1;

	if (path[0] != '/')
		return SNIPE_ERR_INVALID;
	for (;;) {
		size_t len = strcspn(s, "/");

		if (is_dot_segment(s, len))
			return SNIPE_ERR_INVALID;
		if (s[len] == '\0')
			return 0;
		s += len + 1;
	}
}

/* Decodes percent encoding in place. */
static int decode_path(char *path)
{
	char *out = path;

	for (const char *p = path; *p; p++) {
		int c = (unsigned char)*p;

		if (c == '%') {
			int hi = g_ascii_xdigit_value(p[1]);
			int lo = hi < 0 ? -1 : g_ascii_xdigit_value(p[2]);

			if (lo < 0)
				return SNIPE_ERR_INVALID;
			c = hi << 4 | lo;
			p += 2;
		}
		if (c < 0x20 || c == 0x7f || c == '\\')
			return SNIPE_ERR_INVALID;
		*out++ = (char)c;
	}
	*out = '\0';
	return 0;
}

int snipe_http_path(const char *uri, char *out, size_t size)
{
	size_t len = strcspn(uri, "?");
	char *plain;
	int ret;

	if (len >= size || strchr(uri, '#'))
		return SNIPE_ERR_INVALID;
	memcpy(out, uri, len);
	out[len] = '\0';
	plain = g_strdup(out);
	ret = decode_path(plain);
	if (ret == 0)
		ret = check_segments(plain);
	g_free(plain);
	return ret;
}
