#include "platform/http_store.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

static int is_word(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && len < 64 &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-.") == len;
}

static int write_request(struct snipe_store_client *c,
			 const struct snipe_store_request *request, const char *value,
			 size_t len, struct evbuffer *out)
{
	char host[SNIPE_ADDRESS_TEXT_SIZE];

	if (request->op == SNIPE_STORE_LIST || !is_word(request->kind) ||
	    !is_word(request->name))
		return SNIPE_ERR_INVALID;
	snipe_address_format(&c->pool.address, host);
	evbuffer_add_printf(out, "%s /v1/objects/%s/%s",
			    request->op == SNIPE_STORE_PUT ? "PUT" : "GET", request->kind,
			    request->name);
	if (request->op == SNIPE_STORE_WATCH)
		evbuffer_add_printf(out, "?after=%" G_GUINT64_FORMAT "&wait_ms=%d",
				    request->version, request->wait_ms);
	evbuffer_add_printf(out, " HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", host);
	if (request->op == SNIPE_STORE_PUT) {
		evbuffer_add_printf(
			out, "Content-Type: application/json\r\nContent-Length: %zu\r\n", len);
		if (request->version)
			evbuffer_add_printf(out, "If-Match: \"%" G_GUINT64_FORMAT "\"\r\n",
					    request->version);
		else
			evbuffer_add_printf(out, "If-None-Match: *\r\n");
	}
	evbuffer_add_printf(out, "\r\n");
	evbuffer_add(out, value, len);
	return 0;
}

/* Parses a strong ETag that holds a version. Returns 0 for anything else. */
static uint64_t parse_etag(const char *etag)
{
	char digits[24];
	size_t len = etag ? strlen(etag) : 0;
	guint64 version;

	if (len < 3 || len - 2 >= sizeof(digits) || etag[0] != '"' || etag[len - 1] != '"')
		return 0;
	g_strlcpy(digits, etag + 1, len - 1);
	return g_ascii_string_to_unsigned(digits, 10, 1, G_MAXUINT64, &version, NULL) ? version
										      : 0;
}

/* 200: a value with its version, or the version of a write. */
static void take_success(struct snipe_store_call *call, const struct snipe_h1_message *response,
			 uint64_t version)
{
	const struct snipe_store_request *request = snipe_store_call_request(call);
	int is_put = request->op == SNIPE_STORE_PUT;
	struct snipe_object object = {version, NULL, 0};

	/* A response that ends with its connection may have been cut short. */
	if (response->is_close_delimited || !version ||
	    (is_put && version <= request->version)) {
		snipe_store_call_fail(call, snipe_store_call_lost_error(call));
		return;
	}
	/* A watch that returns an older version would turn the configuration back. */
	if (request->op == SNIPE_STORE_WATCH && version <= request->version) {
		snipe_store_call_fail(call, SNIPE_ERR_UNAVAILABLE);
		return;
	}
	if (!is_put) {
		object.value = response->body.len ? response->body.data : "";
		object.len = response->body.len;
	}
	snipe_store_call_give(call, &object);
}

/* 304: only for a watch, and only for the version that it knows. */
static void take_unchanged(struct snipe_store_call *call, uint64_t version)
{
	const struct snipe_store_request *request = snipe_store_call_request(call);

	if (request->op != SNIPE_STORE_WATCH || (version && version != request->version))
		snipe_store_call_fail(call, snipe_store_call_lost_error(call));
	else
		snipe_store_call_unchanged(call);
}

static int status_error(const struct snipe_store_call *call, int status)
{
	switch (status) {
	case 404:
		return SNIPE_ERR_NOT_FOUND;
	case 412:
		return SNIPE_ERR_CONFLICT;
	case 413:
		return SNIPE_ERR_TOO_LARGE;
	case 429:
		return SNIPE_ERR_RATE_LIMITED;
	case 503:
		return SNIPE_ERR_UNAVAILABLE;
	default:
		/* Other 4xx refuse the request. Other 5xx, such as 502 and 504 of a gateway,
		 * may hide a write that took effect. */
		return status >= 400 && status < 500 ? SNIPE_ERR_UNAVAILABLE
						     : snipe_store_call_lost_error(call);
	}
}

static void take_response(struct snipe_store_client *c, struct snipe_store_call *call,
			  const struct snipe_h1_message *response)
{
	uint64_t version = parse_etag(snipe_h1_find_value(response, "ETag"));

	(void)c;
	if (response->status == 200)
		take_success(call, response, version);
	else if (response->status == 304)
		take_unchanged(call, version);
	else
		snipe_store_call_fail(call, status_error(call, response->status));
}

static const struct snipe_store_dialect dialect = {write_request, take_response, NULL, NULL};

void snipe_http_store_init(struct snipe_store_client *c, struct event_base *base,
			   const struct snipe_address *address)
{
	snipe_store_client_init(c, &dialect, base, address);
	c->pool.idle_limit_us = 0;
	/* The deadline of the operation ends a connection that is not accepted. */
	c->pool.connect_timeout_us = 0;
	c->pool.max_body_bytes = SNIPE_OBJECT_MAX_BYTES;
}
