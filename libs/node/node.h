/*
 * A node: makes the tasks from the settings, connects their mailboxes, runs the loop and stops
 * gracefully.
 */
#ifndef SNIPE_NODE_H
#define SNIPE_NODE_H

#include "config/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Runs until a graceful stop is complete (SIGTERM, SIGINT or POST /drain). Logs event=listening
 * with every port once all listeners are open. Returns 0, or a negative error with the remedy
 * in err when it could not start.
 */
int snipe_node_run(const struct snipe_settings *settings, struct snipe_error_text *err);

#ifdef __cplusplus
}
#endif

#endif
