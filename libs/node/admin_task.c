#include "node/admin_task.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>

#include "node/http_listen.h"
#include "node/http_text.h"

#define OBJECT_PREFIX "/object/"

void snipe_admin_object_mac(const char *secret, const char *name, uint64_t version,
			    const char *value, size_t len, uint8_t mac[SNIPE_MAC_SIZE])
{
	struct snipe_buffer buf;

	snipe_buffer_init(&buf);
	snipe_buffer_printf(&buf, "%s\n%llu\n", name, (unsigned long long)version);
	snipe_buffer_append(&buf, value, len);
	snipe_mac(secret, buf.data, buf.len, mac);
	snipe_buffer_finish(&buf);
}

static void send_text(struct evhttp_request *req, int status, const char *type,
		      const void *text, size_t len)
{
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", type);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, len);
	evhttp_send_reply(req, status, NULL, NULL);
}

static void send_error(struct evhttp_request *req, int status, const char *text)
{
	send_text(req, status, "text/plain", text, strlen(text));
}

static void send_page(struct snipe_admin_task *t, struct evhttp_request *req, const char *type,
		      void (*print)(void *arg, struct snipe_buffer *out))
{
	struct snipe_buffer out;

	snipe_buffer_init(&out);
	print(t->arg, &out);
	send_text(req, HTTP_OK, type, out.data, out.len);
	snipe_buffer_finish(&out);
}

static int is_authentic(const struct snipe_admin_task *t, const char *name, uint64_t version,
			const char *value, size_t len, const char *hex)
{
	uint8_t expected[SNIPE_MAC_SIZE], given[SNIPE_MAC_SIZE];

	if (!hex || snipe_unhex(hex, given, sizeof(given)))
		return 0;
	snipe_admin_object_mac(t->secret, name, version, value, len, expected);
	return snipe_equal_constant_time(given, expected, sizeof(expected));
}

static void on_object(struct snipe_admin_task *t, struct evhttp_request *req, const char *name)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);
	const char *value = len ? (const char *)evbuffer_pullup(body, -1) : "";
	const char *mac, *text;
	guint64 version;

	snipe_http_count(headers, "Snipe-Mac", &mac);
	snipe_http_count(headers, "Snipe-Version", &text);
	if (!text || !g_ascii_string_to_unsigned(text, 10, 1, G_MAXINT64, &version, NULL)) {
		send_error(req, HTTP_BADREQUEST,
			   "Snipe-Version must be the object's version\n");
		return;
	}
	if (!is_authentic(t, name, version, value, len, mac)) {
		send_error(req, 403,
			   "Snipe-Mac does not match; use the fleet's fleet_secret\n");
		return;
	}
	switch (t->ops->object(t->arg, name, version, value, len)) {
	case 0:
	case SNIPE_ERR_STALE: /* held already, or a newer one is */
		evhttp_send_reply(req, HTTP_NOCONTENT, NULL, NULL);
		break;
	case SNIPE_ERR_NOT_FOUND:
		send_error(req, HTTP_NOTFOUND, "objects are tables and keys\n");
		break;
	default:
		send_error(req, HTTP_BADREQUEST,
			   "the object cannot be read; check it with "
			   "snipescale before it is handed over\n");
	}
}

static void on_request(struct evhttp_request *req, void *arg)
{
	struct snipe_admin_task *t = arg;
	const char *uri = evhttp_request_get_uri(req);
	enum evhttp_cmd_type command = evhttp_request_get_command(req);

	if (!uri) {
		send_error(req, HTTP_BADREQUEST, "malformed request\n");
	} else if (command == EVHTTP_REQ_GET && strcmp(uri, "/state") == 0) {
		send_page(t, req, "application/json", t->ops->dump);
	} else if (command == EVHTTP_REQ_GET && strcmp(uri, "/metrics") == 0) {
		send_page(t, req, "text/plain; version=0.0.4", t->ops->metrics);
	} else if (command == EVHTTP_REQ_POST && strcmp(uri, "/drain") == 0) {
		t->ops->drain(t->arg);
		evhttp_send_reply(req, 202, NULL, NULL);
	} else if (command == EVHTTP_REQ_PUT && g_str_has_prefix(uri, OBJECT_PREFIX)) {
		on_object(t, req, uri + strlen(OBJECT_PREFIX));
	} else {
		send_error(req, HTTP_NOTFOUND,
			   "use GET /state, GET /metrics, POST /drain or PUT /object/NAME\n");
	}
}

int snipe_admin_task_init(struct snipe_admin_task *t, struct event_base *base,
			  const struct snipe_address *listen, const char *secret,
			  const struct snipe_admin_ops *ops, void *arg,
			  struct snipe_error_text *err)
{
	memset(t, 0, sizeof(*t));
	t->ops = ops;
	t->arg = arg;
	t->secret = secret;
	t->http = snipe_http_listen(base, listen, "admin", on_request, t, &t->address, err);
	return t->http ? 0 : SNIPE_ERR_IO;
}

void snipe_admin_task_finish(struct snipe_admin_task *t)
{
	if (t->http)
		evhttp_free(t->http);
	t->http = NULL;
}

const struct snipe_address *snipe_admin_address(const struct snipe_admin_task *t)
{
	return &t->address;
}
