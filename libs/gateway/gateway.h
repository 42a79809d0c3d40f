/*
 * A gateway node: entry, gate, directory and sync on one event loop.
 *
 * Unlike libs/node, which serves the project's own interface, a gateway serves HTTP as the
 * outside world speaks it; a dialect tells it the names.
 */
#ifndef SNIPE_GATEWAY_H
#define SNIPE_GATEWAY_H

#include "base/error.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"
#include "platform/object_store.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event_base;

struct snipe_gateway_host {
	const struct snipe_dialect *dialect;
	/* Opens the store on the loop of the node. */
	struct snipe_object_store *(*open_store)(void *arg, struct event_base *base,
						 const struct snipe_address *address);
	/* The store has moved to another address. */
	void (*move_store)(void *arg, const struct snipe_address *address);
	/* Reads the settings again. Returns 0 or an error with the remedy. */
	int (*reload)(void *arg, struct snipe_gateway_settings *settings,
		      struct snipe_error_text *err);
	/* A number that changes when the settings file does. */
	int64_t (*settings_stamp)(void *arg);
	void *arg;
};

/* Runs a node until SIGTERM or SIGINT, and then until its requests have ended. Returns 0 or
 * SNIPE_ERR_IO if it could not start. */
int snipe_gateway_run(const struct snipe_gateway_settings *settings,
		      const struct snipe_gateway_host *host, struct snipe_error_text *err);

#ifdef __cplusplus
}
#endif

#endif
