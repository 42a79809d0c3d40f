/*
 * HTTP listeners of a node, with the limits and methods that all of them share.
 */
#ifndef SNIPE_HTTP_LISTEN_H
#define SNIPE_HTTP_LISTEN_H

#include "base/address.h"
#include "base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event_base;
struct evhttp;
struct evhttp_request;

/* Listens at address; cb gets every request. name is the key in [listen] of the settings. got
 * receives the address with the port that the kernel chose. Returns NULL with the remedy in
 * err. */
struct evhttp *snipe_http_listen(struct event_base *base, const struct snipe_address *address,
				 const char *name, void (*cb)(struct evhttp_request *, void *),
				 void *arg, struct snipe_address *got,
				 struct snipe_error_text *err);

#ifdef __cplusplus
}
#endif

#endif
