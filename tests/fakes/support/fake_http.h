/*
 * What the stand-ins share: an evhttp listener on loopback with a port that the kernel may
 * choose, JSON bodies, and time.
 */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* CLOCK_BOOTTIME in microseconds: comparable between the processes of one VM. */
int64_t fake_now_us(void);

/* Ends this process when its parent ends, so that no test leaves a process behind. */
void fake_die_with_parent(void);

/* Ends the loop on SIGTERM and SIGINT; ignores SIGPIPE. */
void fake_handle_signals(struct event_base *base);

/* Makes an HTTP server on 127.0.0.1 and stores the port that it got. Exits on an error. */
struct evhttp *fake_http_listen(struct event_base *base, int port,
				void (*handler)(struct evhttp_request *, void *), void *arg,
				int *port_out);

/* Replies with a JSON document and releases it. */
void fake_reply_json(struct evhttp_request *req, int status, json_t *doc);

/* Returns the JSON object in the request body, or NULL after replying 400. */
json_t *fake_body_json(struct evhttp_request *req);

/* Reads a member if it is there; otherwise leaves *value alone. */
void fake_json_int(const json_t *doc, const char *name, int *value);
void fake_json_double(const json_t *doc, const char *name, double *value);
void fake_json_bool(const json_t *doc, const char *name, int *value);

#ifdef __cplusplus
}
#endif

#endif
