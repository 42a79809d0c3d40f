/*
 * One HTTP/1.1 message with its whole body, and the parser that fills it.
 *
 * Header fields are kept as they came, in order. A message with more than
 * SNIPE_H1_MAX_FIELDS fields, a field name that is no token, two lengths, or a length beside
 * chunked encoding is malformed.
 */
#ifndef SNIPE_H1_MESSAGE_H
#define SNIPE_H1_MESSAGE_H

#include <http_parser.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_H1_MAX_FIELDS 64

struct snipe_h1_field {
	uint32_t name, name_len; /* offsets into the text of the message */
	uint32_t value, value_len;
};

struct snipe_h1_message {
	int method; /* enum http_method, of a request */
	int status; /* of a response */
	int keep_alive;
	int ends_with_connection; /* a response that announced neither length nor chunks */
	struct snipe_buffer url;
	struct snipe_buffer text; /* names and values, each with a terminating null */
	struct snipe_h1_field fields[SNIPE_H1_MAX_FIELDS];
	int field_count;
	struct snipe_buffer body;
};

void snipe_h1_message_init(struct snipe_h1_message *m);
void snipe_h1_message_finish(struct snipe_h1_message *m);
/* Empties the message and keeps its memory. */
void snipe_h1_message_clear(struct snipe_h1_message *m);

/* Strings are valid until the message changes. */
const char *snipe_h1_name(const struct snipe_h1_message *m, int field);
const char *snipe_h1_value(const struct snipe_h1_message *m, int field);
/* Value of the first field with this name in any case, or NULL. */
const char *snipe_h1_find(const struct snipe_h1_message *m, const char *name);
/* Number of fields with this name. */
int snipe_h1_count(const struct snipe_h1_message *m, const char *name);

/* Nonzero for fields that concern one connection only (RFC 9110, section 7.6.1), and for the
 * length, which is written anew. */
int snipe_h1_is_hop_by_hop(const struct snipe_h1_message *m, int field);

enum snipe_h1_parse_result {
	SNIPE_H1_MORE,	     /* needs more bytes */
	SNIPE_H1_DONE,	     /* the message is complete */
	SNIPE_H1_MALFORMED,  /* not HTTP/1.1, or ambiguous */
	SNIPE_H1_HEAD_LIMIT, /* header section over the limit */
	SNIPE_H1_BODY_LIMIT, /* body over the limit */
};

struct snipe_h1_parser {
	http_parser parser; /* first member: callbacks get its address */
	struct snipe_h1_message *message;
	size_t max_head_bytes;
	size_t max_body_bytes;
	size_t head_bytes;
	int has_head;  /* all header fields came in */
	int has_begun; /* at least one byte of this message came in */
	int no_body;   /* response to HEAD */
	int in_value;
	enum snipe_h1_parse_result result;
};

/* Starts a new message. is_request tells the kind; no_body marks the response to HEAD. */
void snipe_h1_parser_init(struct snipe_h1_parser *p, struct snipe_h1_message *message,
			  int is_request, int no_body, size_t max_head_bytes,
			  size_t max_body_bytes);

/* Feeds bytes; *consumed receives how many belong to this message. */
enum snipe_h1_parse_result snipe_h1_parser_feed(struct snipe_h1_parser *p, const char *data,
						size_t len, size_t *consumed);

/* The connection ended cleanly. Returns SNIPE_H1_DONE if that completes the message. */
enum snipe_h1_parse_result snipe_h1_parser_end(struct snipe_h1_parser *p);

#ifdef __cplusplus
}
#endif

#endif
