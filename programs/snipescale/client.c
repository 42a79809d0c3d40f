#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#include "operator.h"
#include "platform/http_store.h"

#define CALL_TIMEOUT_MS 3000
#define NODE_TIMEOUT_S 5

static struct event_base *base;
static struct snipe_store_client http_store;

/* Result of one call that the event loop is run for. */
struct call {
	int done, err;
	uint64_t version;
	GString *value;
};

static struct event_base *event_loop(void)
{
	if (!base)
		base = event_base_new();
	return base;
}

int platform_open(void)
{
	struct snipe_address address;

	if (!options.platform)
		return fail(EXIT_USAGE, SNIPE_ERR_INVALID,
			    "give the platform with --platform IP:PORT");
	if (snipe_address_parse(options.platform, &address) < 0 || address.port == 0)
		return fail(EXIT_USAGE, SNIPE_ERR_INVALID,
			    "--platform %s is no IP number with a port; write 192.0.2.1:9000",
			    options.platform);
	snipe_http_store_init(&http_store, event_loop(), &address);
	return 0;
}

int platform_failed(int err, const char *name)
{
	if (err == SNIPE_ERR_NOT_FOUND)
		return fail(EXIT_NOT_FOUND, err,
			    "the platform has no config/%s yet; write it first", name);
	return fail(EXIT_UNAVAILABLE, err,
		    "the platform at %s does not answer (%s); check the address and try again",
		    options.platform, snipe_error_name(err));
}

static void on_object(void *arg, int err, const struct snipe_object *object)
{
	struct call *call = arg;

	call->done = 1;
	call->err = err;
	call->version = object->version;
	if (object->value)
		g_string_append_len(call->value, object->value, (gssize)object->len);
}

static void wait_for(struct call *call)
{
	while (!call->done)
		event_base_loop(event_loop(), EVLOOP_ONCE);
}

int platform_get(const char *name, uint64_t *version, char **value, gsize *len)
{
	struct call call = {0, 0, 0, g_string_new(NULL)};
	struct snipe_object_store *store = &http_store.store;
	int rc = store->ops->get(store, "config", name, CALL_TIMEOUT_MS, on_object, &call);

	if (rc > 0) {
		wait_for(&call);
		rc = call.err;
	}
	*version = call.version;
	*len = call.value->len;
	*value = g_string_free(call.value, rc < 0);
	return rc;
}

int platform_put(const char *name, uint64_t if_version, const char *value, gsize len,
		 uint64_t *version)
{
	struct call call = {0, 0, 0, g_string_new(NULL)};
	struct snipe_object_store *store = &http_store.store;
	int rc = store->ops->put(store, "config", name, if_version, value, len, CALL_TIMEOUT_MS,
				 on_object, &call);

	if (rc > 0) {
		wait_for(&call);
		rc = call.err;
	}
	*version = call.version;
	g_string_free(call.value, TRUE);
	return rc;
}

static void on_node_response(struct evhttp_request *req, void *arg)
{
	struct call *call = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	call->done = 1;
	call->err = status ? status : SNIPE_ERR_UNAVAILABLE;
	if (status) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);
		size_t len = evbuffer_get_length(in);

		g_string_append_len(call->value, (char *)evbuffer_pullup(in, -1), (gssize)len);
	}
}

int node_request(const struct snipe_address *node, const char *method, const char *path,
		 uint64_t version, const char *mac, const char *body, gsize len,
		 GString *response)
{
	struct call call = {0, 0, 0, response};
	struct evhttp_connection *connection =
		evhttp_connection_base_new(event_loop(), NULL, node->ip, node->port);
	struct evhttp_request *req = evhttp_request_new(on_node_response, &call);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	enum evhttp_cmd_type command = !strcmp(method, "GET")	 ? EVHTTP_REQ_GET
				       : !strcmp(method, "POST") ? EVHTTP_REQ_POST
								 : EVHTTP_REQ_PUT;
	char text[32];

	evhttp_connection_set_timeout(connection, NODE_TIMEOUT_S);
	evhttp_add_header(headers, "Host", node->ip);
	evhttp_add_header(headers, "Connection", "close");
	if (mac) {
		g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
		evhttp_add_header(headers, "Snipe-Version", text);
		evhttp_add_header(headers, "Snipe-Mac", mac);
	}
	if (len)
		evbuffer_add(evhttp_request_get_output_buffer(req), body, len);
	if (evhttp_make_request(connection, req, command, path) < 0)
		call.err = SNIPE_ERR_UNAVAILABLE;
	else
		wait_for(&call);
	evhttp_connection_free(connection);
	return call.err;
}
