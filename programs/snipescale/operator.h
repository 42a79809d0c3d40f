/*
 * Shared by the sub-commands of snipescale: options, exit status, calls to platform and nodes.
 */
#ifndef SNIPE_OPERATOR_H
#define SNIPE_OPERATOR_H

#include <glib.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"
#include "config/keys.h"
#include "config/tables.h"

/* Stable; documented in snipescale(1). */
enum exit_status {
	EXIT_OK = 0,
	EXIT_DIFFERENT = 1,	  /* diff found differences */
	EXIT_USAGE = 2,		  /* wrong arguments, unreadable or unwritable files */
	EXIT_INVALID = 3,	  /* tables or settings break a rule; nothing was written */
	EXIT_CONFLICT = 4,	  /* another operator was first; nothing was written */
	EXIT_UNAVAILABLE = 5,	  /* platform or node unreachable; nothing was written */
	EXIT_UNKNOWN = 6,	  /* a write may have taken effect */
	EXIT_NOT_FOUND = 7,	  /* no such key, workspace or object */
	EXIT_NOT_HANDED_OVER = 8, /* written, but not taken by every node of --node */
};

struct options {
	char *platform, *routes, *pools, *note, *operator_name, *secret_file, *workspace, *id;
	char **nodes;
	gint64 if_version; /* -1: not given */
	gboolean json, force;
};

extern struct options options;

/* Prints "snipescale: message" to stderr, or {"error","message"} with --json. */
int fail(enum exit_status status, int err, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* Prints a list, one problem a line, or {"problems":[...]} with --json. */
void print_problems(const struct snipe_problems *problems);

/* Reads a platform object. value is freed with g_free. Returns 0 or a negative error. */
int platform_get(const char *name, uint64_t *version, char **value, gsize *len);
int platform_put(const char *name, uint64_t if_version, const char *value, gsize len,
		 uint64_t *version);
/* Checks --platform. Returns 0 or an exit status after printing the problem. */
int platform_open(void);
/* Exit status for an error of the platform, after printing it. */
int platform_failed(int err, const char *name);

/*
 * Writes config/NAME on the condition that base_version is in force, resolving lost responses.
 * Returns 0 or a negative error; *version is the one written or, on a conflict, in force.
 */
int commit(const char *name, uint64_t base_version, const char *base_write_id,
	   const char *write_id, const char *value, uint64_t *version);
void new_write_record(struct snipe_write_record *record);
/* Sends a written object to all --node. Returns EXIT_OK or EXIT_NOT_HANDED_OVER. */
int hand_over(const char *name, uint64_t version, const char *value);
/* Reads --secret-file if --node is given. Returns 0 or an exit status. */
int load_secret(void);

/* Sends a request to a node's admin listener. Returns the status, or a negative error. */
int node_request(const struct snipe_address *node, const char *method, const char *path,
		 uint64_t version, const char *mac, const char *body, gsize len,
		 GString *response);

int command_check(void);
int command_diff(void);
int command_apply(void);
int command_history(void);
int command_fetch(void);
int command_key_issue(void);
int command_key_list(void);
int command_key_withdraw(void);
int command_nodes(void);
int command_dump(void);
int command_drain(void);

#endif
