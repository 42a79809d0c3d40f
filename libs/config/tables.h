/*
 * The operators' tables: routes and workspaces (routes.toml), pools (pools.toml).
 *
 * A loaded table is immutable. Routes, workspaces and pools are named by their index, which is
 * valid for this loaded table only; names stay valid across versions.
 */
#ifndef SNIPE_TABLES_H
#define SNIPE_TABLES_H

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_NAME_SIZE 64		   /* a name with its terminating null */
#define SNIPE_TABLE_MAX_BYTES (400 * 1024) /* each file; both fit into one 1 MB value */

enum snipe_importance {
	SNIPE_IMPORTANCE_LOW,
	SNIPE_IMPORTANCE_NORMAL,
	SNIPE_IMPORTANCE_HIGH,
	SNIPE_IMPORTANCE_CRITICAL,
	SNIPE_IMPORTANCE_COUNT,
};

struct snipe_route {
	char name[SNIPE_NAME_SIZE];
	char method[16]; /* upper case */
	char *path;	 /* literal, or a prefix that ends in "/" if is_prefix */
	int is_prefix;
	int pool; /* index into pools */
	enum snipe_importance importance;
	int open;	/* nonzero: no key needed */
	int idempotent; /* zero: runs at most once */
	int timeout_ms;
	int max_retries;   /* over the whole chain of one client request */
	int retry_percent; /* retries as a part of this route's calls at one node */
};

struct snipe_workspace {
	char name[SNIPE_NAME_SIZE];
	double rate;  /* calls a second over the whole fleet */
	double burst; /* calls */
};

struct snipe_pool {
	char name[SNIPE_NAME_SIZE];
	int slots;	 /* running calls for each backend server */
	int connections; /* connections for each backend server */
	int queue;	 /* waiting calls for each backend server */
};

/* Routes are sorted for snipe_tables_match, workspaces and pools by name. */
struct snipe_tables {
	struct snipe_route *routes;
	int route_count;
	struct snipe_workspace *workspaces;
	int workspace_count;
	struct snipe_pool *pools;
	int pool_count;
};

/* A list of problems; each names file, line, key and remedy. */
struct snipe_problems {
	char **lines;
	int count;
};

void snipe_problems_init(struct snipe_problems *p);
void snipe_problems_finish(struct snipe_problems *p);
void snipe_problems_add(struct snipe_problems *p, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Parses and checks both tables as a whole. On an error nothing is loaded, tables is left
 * initialized and empty, and every problem found is in problems.
 * Returns 0, SNIPE_ERR_SYNTAX, SNIPE_ERR_INVALID or SNIPE_ERR_TOO_LARGE.
 */
int snipe_tables_load(struct snipe_tables *tables, const char *routes_toml,
		      const char *routes_name, const char *pools_toml, const char *pools_name,
		      struct snipe_problems *problems);
void snipe_tables_finish(struct snipe_tables *tables);

/*
 * Finds the route with the longest matching path for a method and a path without query.
 * The path is compared with percent-encoding decoded and repeated slashes joined. A path with
 * a "." or ".." segment, a backslash, a null byte or a malformed encoding matches no route,
 * because a backend server may read it as a path of another route, which may need a key.
 * Returns an index or SNIPE_ERR_NOT_FOUND.
 */
int snipe_tables_match(const struct snipe_tables *tables, const char *method, const char *path);

/* Return an index or SNIPE_ERR_NOT_FOUND. */
int snipe_tables_find_workspace(const struct snipe_tables *tables, const char *name);
int snipe_tables_find_pool(const struct snipe_tables *tables, const char *name);
int snipe_tables_find_route(const struct snipe_tables *tables, const char *name);

const char *snipe_importance_name(enum snipe_importance importance);

/*
 * Lists the differences between two tables, one line each: "+ route NAME", "- route NAME",
 * "~ route NAME: KEY OLD -> NEW", and the same for workspaces and pools. Returns the number of
 * lines added.
 */
int snipe_tables_diff(const struct snipe_tables *before, const struct snipe_tables *after,
		      struct snipe_problems *lines);

#define SNIPE_HISTORY_MAX 16

/* One write of a platform object. history[0] is the write that made the value. */
struct snipe_write_record {
	char write_id[40];
	char operator_name[SNIPE_NAME_SIZE];
	char time[32]; /* RFC 3339, UTC */
	char note[128];
};

/*
 * The value of the platform object config/tables: JSON with both files as text, the write_id of
 * the write that made it, and the history of the last 16 writes.
 */
struct snipe_tables_document {
	char *routes_toml;
	char *pools_toml;
	char write_id[40];
	struct snipe_write_record history[SNIPE_HISTORY_MAX]; /* newest first */
	int history_count;
};

void snipe_tables_document_init(struct snipe_tables_document *doc);
void snipe_tables_document_finish(struct snipe_tables_document *doc);
int snipe_tables_document_parse(struct snipe_tables_document *doc, const char *json, size_t len,
				struct snipe_error_text *err);
/* Returns a string to be freed with g_free. The caller checks its length against the size
 * limit of the platform, because quotes and line ends take two bytes in JSON. */
char *snipe_tables_document_print(const struct snipe_tables_document *doc);

/* Puts a record in front of a history and drops the oldest when it is full. */
void snipe_history_push(struct snipe_write_record *history, int *count,
			const struct snipe_write_record *record);

#ifdef __cplusplus
}
#endif

#endif
