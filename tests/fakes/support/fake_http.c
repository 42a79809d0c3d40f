#include "fake_http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

int64_t fake_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

void fake_die_with_parent(void)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void on_signal(evutil_socket_t fd, short events, void *arg)
{
	(void)fd;
	(void)events;
	event_base_loopbreak(arg);
}

void fake_handle_signals(struct event_base *base)
{
	signal(SIGPIPE, SIG_IGN);
	event_add(evsignal_new(base, SIGTERM, on_signal, base), NULL);
	event_add(evsignal_new(base, SIGINT, on_signal, base), NULL);
}

struct evhttp *fake_http_listen(struct event_base *base, int port,
				void (*handler)(struct evhttp_request *, void *), void *arg,
				int *port_out)
{
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound;
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);

	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
						 EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
						 EVHTTP_REQ_PATCH);
	evhttp_set_max_headers_size(http, 64 * 1024);
	evhttp_set_max_body_size(http, 16 * 1024 * 1024);
	evhttp_set_gencb(http, handler, arg);
	bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", (uint16_t)port);
	if (!bound) {
		fprintf(stderr, "port %d cannot be opened; choose another or 0\n", port);
		exit(1);
	}
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&addr, &len);
	*port_out = ntohs(addr.sin_port);
	return http;
}

void fake_reply_json(struct evhttp_request *req, int status, json_t *doc)
{
	struct evbuffer *body = evbuffer_new();
	char *text = json_dumps(doc, JSON_COMPACT);

	evbuffer_add_printf(body, "%s\n", text);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
			  "application/json");
	evhttp_send_reply(req, status, status < 300 ? "OK" : "Error", body);
	evbuffer_free(body);
	free(text);
	json_decref(doc);
}

json_t *fake_body_json(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_error_t err;
	json_t *doc = json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, &err);

	if (!json_is_object(doc)) {
		json_decref(doc);
		fake_reply_json(req, 400,
				json_pack("{s:s}", "error", "body is no JSON object"));
		return NULL;
	}
	return doc;
}

void fake_json_int(const json_t *doc, const char *name, int *value)
{
	const json_t *v = json_object_get(doc, name);

	if (json_is_number(v))
		*value = (int)json_number_value(v);
}

void fake_json_double(const json_t *doc, const char *name, double *value)
{
	const json_t *v = json_object_get(doc, name);

	if (json_is_number(v))
		*value = json_number_value(v);
}

void fake_json_bool(const json_t *doc, const char *name, int *value)
{
	const json_t *v = json_object_get(doc, name);

	if (json_is_boolean(v))
		*value = json_is_true(v);
}
