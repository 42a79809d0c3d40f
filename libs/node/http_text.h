/*
 * HTTP details shared by both sides of a call: methods, header lists and paths.
 */
#ifndef SNIPE_HTTP_TEXT_H
#define SNIPE_HTTP_TEXT_H

#include <stddef.h>

#include "wire/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct evkeyvalq;
struct evhttp_request;

/* Size limits of a request; evhttp's own limits are wider, so that the node itself rejects
 * with its headers what lies between. */
#define SNIPE_HTTP_MAX_HEADER_BYTES (16 * 1024)
#define SNIPE_HTTP_HEADER_LIMIT (64 * 1024)
#define SNIPE_HTTP_BODY_LIMIT (SNIPE_MAX_BODY_BYTES + 1024 * 1024)

/* Methods that routes may name, as enum evhttp_cmd_type. Return NULL or SNIPE_ERR_NOT_FOUND for
 * others. */
const char *snipe_http_method_name(unsigned command);
int snipe_http_method_command(const char *name);

/* Returns nonzero if the header concerns one connection only (RFC 9110 section 7.6.1), or is
 * set by the node for each connection. */
int snipe_http_is_connection_header(const char *name);

/* Returns nonzero for names that start with "Snipe-", which only nodes set. */
int snipe_http_is_own_header(const char *name);

/* Counts the headers of this name; *value receives the first one's value. */
int snipe_http_count(const struct evkeyvalq *headers, const char *name, const char **value);

/* Returns the number of bytes of all names and values. */
size_t snipe_http_headers_size(const struct evkeyvalq *headers);

/* Points header at a name and a value, which must stay valid. */
void snipe_http_set_header(struct snipe_header *header, const char *name, const char *value);

/*
 * Lists the headers of a backend server's response that are passed on. is_head keeps
 * Content-Length. Returns the count, or SNIPE_ERR_FULL if there are over SNIPE_MAX_HEADERS.
 */
int snipe_http_response_headers(const struct evkeyvalq *in, int is_head,
				struct snipe_header *out);

/* Adds headers of a message to an evhttp header list. Names or values with line breaks are
 * left out. */
void snipe_http_add_headers(struct evkeyvalq *out, const struct snipe_header *headers,
			    int count);

/*
 * Copies the path of a URI, without query, for snipe_tables_match. Returns 0, or
 * SNIPE_ERR_INVALID for a path that servers may read in several ways and that could so reach
 * another route's resource: not starting with "/", with dot segments, backslashes or control
 * characters (plain or percent encoded), with a broken escape or a fragment, or not shorter
 * than size.
 */
int snipe_http_path(const char *uri, char *out, size_t size);

#ifdef __cplusplus
}
#endif

#endif
