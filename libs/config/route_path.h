/*
 * Paths of routes: their form in the table and their order for matching.
 */
#ifndef SNIPE_ROUTE_PATH_H
#define SNIPE_ROUTE_PATH_H

#include <stddef.h>

#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_ROUTE_PATH_MAX 512 /* bytes of a path in the table */

/* Returns NULL if text is a valid path, or what is wrong with it and the remedy. */
const char *snipe_route_path_check(const char *text);

/* Compares a path of len bytes and a method with a route, in the order of the sorted table. */
int snipe_route_path_compare(int is_prefix, const char *path, size_t len, const char *method,
			     const struct snipe_route *route);

/*
 * Decodes percent-encoding and joins repeated slashes. Returns the length written to out, which
 * has room for strlen(path) + 1 bytes, or SNIPE_ERR_SYNTAX for a path that no route may match.
 */
int snipe_route_path_decode(const char *path, char *out);

#ifdef __cplusplus
}
#endif

#endif
