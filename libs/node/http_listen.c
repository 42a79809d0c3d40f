#include "node/http_listen.h"

#include <errno.h>
#include <event2/http.h>
#include <string.h>

#include "node/http_text.h"

#define ALL_METHODS 0xffff
/* Idle connections of callers are closed after this time. */
#define IDLE_TIMEOUT_S 120

static void read_address(struct evhttp_bound_socket *bound, struct snipe_address *got)
{
	struct sockaddr_storage ss;
	socklen_t len = sizeof(ss);

	if (getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&ss, &len) == 0)
		snipe_address_from_sockaddr((struct sockaddr *)&ss, got);
}

struct evhttp *snipe_http_listen(struct event_base *base, const struct snipe_address *address,
				 const char *name, void (*cb)(struct evhttp_request *, void *),
				 void *arg, struct snipe_address *got,
				 struct snipe_error_text *err)
{
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound;
	char text[SNIPE_ADDRESS_TEXT_SIZE];

	bound = evhttp_bind_socket_with_handle(http, address->ip, address->port);
	if (!bound) {
		snipe_address_format(address, text);
		snipe_error_set(err, SNIPE_ERR_IO,
				"cannot listen at %s: %s; set another address in [listen] %s",
				text, strerror(errno), name);
		evhttp_free(http);
		return NULL;
	}
	read_address(bound, got);
	/* Others than those of routes are rejected by cb, with the node's own headers. */
	evhttp_set_allowed_methods(http, ALL_METHODS);
	evhttp_set_max_headers_size(http, SNIPE_HTTP_HEADER_LIMIT);
	evhttp_set_max_body_size(http, SNIPE_HTTP_BODY_LIMIT);
	evhttp_set_default_content_type(http, NULL);
	evhttp_set_timeout(http, IDLE_TIMEOUT_S);
	evhttp_set_gencb(http, cb, arg);
	return http;
}
