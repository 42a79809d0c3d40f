/*
 * Admin task: HTTP for operators on the admin listener.
 *
 *   GET  /state    state dump of the process, JSON
 *   GET  /metrics  counters in the Prometheus text format
 *   POST /drain    starts a graceful stop
 *   PUT  /object/tables, /object/keys   hands over a newer object right after a write, with the
 *                  header Snipe-Version; name, version and body are authenticated by Snipe-Mac,
 *                  hexadecimal digits of snipe_admin_object_mac
 */
#ifndef SNIPE_ADMIN_TASK_H
#define SNIPE_ADMIN_TASK_H

#include "base/address.h"
#include "base/buffer.h"
#include "base/error.h"
#include "base/hash.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event_base;
struct evhttp;

/* Code of an object that is handed over; name is "tables" or "keys". It covers the version, so
 * that an older value cannot be sent again under a newer version. */
void snipe_admin_object_mac(const char *secret, const char *name, uint64_t version,
			    const char *value, size_t len, uint8_t mac[SNIPE_MAC_SIZE]);

/* What the node provides to the admin task. */
struct snipe_admin_ops {
	void (*dump)(void *arg, struct snipe_buffer *out);
	void (*metrics)(void *arg, struct snipe_buffer *out);
	void (*drain)(void *arg);
	/* Returns 0 if taken or already held, or a negative error. */
	int (*object)(void *arg, const char *name, uint64_t version, const char *value,
		      size_t len);
};

/* Fields are private. */
struct snipe_admin_task {
	struct evhttp *http;
	const struct snipe_admin_ops *ops;
	void *arg;
	const char *secret;
	struct snipe_address address;
};

int snipe_admin_task_init(struct snipe_admin_task *t, struct event_base *base,
			  const struct snipe_address *listen, const char *secret,
			  const struct snipe_admin_ops *ops, void *arg,
			  struct snipe_error_text *err);
void snipe_admin_task_finish(struct snipe_admin_task *t);
const struct snipe_address *snipe_admin_address(const struct snipe_admin_task *t);

#ifdef __cplusplus
}
#endif

#endif
