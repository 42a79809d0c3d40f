/*
 * A gateway node: entry, gate, directory and sync on one event loop.
 *
 * libs/node serves the project's own interface; a gateway serves the HTTP interface of an
 * existing platform, whose header names and formats the dialect defines.
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

/* Callbacks into the program that runs the node. */
struct snipe_gateway_host {
	const struct snipe_dialect *dialect;
	/* Opens the store on the event loop of the node. */
	struct snipe_object_store *(*open_store)(void *arg, struct event_base *base,
						 const struct snipe_address *address);
	/* Called when the address of the store has changed in the settings. */
	void (*move_store)(void *arg, const struct snipe_address *address);
	/* Reads the settings file again. Returns 0 or an error; err then says how to fix it. */
	int (*reload)(void *arg, struct snipe_gateway_settings *settings,
		      struct snipe_error_text *err);
	/* Returns a number that changes whenever the settings file changes. */
	int64_t (*settings_revision)(void *arg);
	void *arg;
};

/* Runs a node until SIGTERM or SIGINT, and then until its requests have ended or its grace time
 * is over. Returns 0 or SNIPE_ERR_IO if it could not start. */
int snipe_gateway_run(const struct snipe_gateway_settings *settings,
		      const struct snipe_gateway_host *host, struct snipe_error_text *err);

#ifdef __cplusplus
}
#endif

#endif
