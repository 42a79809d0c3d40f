/*
 * One HTTP/1.1 message with its whole body, and the parser that fills it.
 *
 * Header fields are stored unchanged and in order. A message is malformed if a field name is
 * not a token, or if it has two lengths, or a length together with chunked encoding, or if the
 * status code is not three digits from 100 to 599 (RFC 9112, section 4; RFC 9110, section 15),
 * or the version not 1.x. More than SNIPE_H1_MAX_FIELDS fields exceed the limit of the header
 * section.
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
/* What is kept of a response to check its status line: the version, spaces and the code. */
#define SNIPE_H1_STATUS_LINE_BYTES 32

struct snipe_h1_field {
	uint32_t name, name_len; /* offsets into the text of the message */
	uint32_t value, value_len;
};

struct snipe_h1_message {
	int method; /* enum http_method; requests only */
	int status; /* responses only; from 100 to 599 */
	int keep_alive;
	int is_close_delimited; /* a response with neither length nor chunked encoding */
	struct snipe_buffer url;
	struct snipe_buffer text; /* field names and values, each null-terminated */
	struct snipe_h1_field fields[SNIPE_H1_MAX_FIELDS];
	int field_count;
	struct snipe_buffer body;
};

void snipe_h1_message_init(struct snipe_h1_message *m);
/* The account, which must stay valid, is charged with the memory of the message. */
void snipe_h1_message_init_charged(struct snipe_h1_message *m,
				   struct snipe_memory_account *account);
void snipe_h1_message_finish(struct snipe_h1_message *m);
/* Empties the message and keeps its memory. */
void snipe_h1_message_clear(struct snipe_h1_message *m);

/* Name and value of a field by its index; valid until the message changes. */
const char *snipe_h1_field_name(const struct snipe_h1_message *m, int field);
const char *snipe_h1_field_value(const struct snipe_h1_message *m, int field);
/* Value of the first field with this name, ignoring case, or NULL. */
const char *snipe_h1_find_value(const struct snipe_h1_message *m, const char *name);
/* Number of fields with this name, ignoring case. */
int snipe_h1_count_fields(const struct snipe_h1_message *m, const char *name);

/* Nonzero for fields of a single connection (RFC 9110, section 7.6.1), and for Content-Length,
 * which is generated when a message is forwarded. */
int snipe_h1_is_hop_by_hop(const struct snipe_h1_message *m, int field);

enum snipe_h1_parse_result {
	SNIPE_H1_NEED_MORE,  /* needs more bytes */
	SNIPE_H1_DONE,	     /* the message is complete */
	SNIPE_H1_MALFORMED,  /* not valid HTTP/1.1, or ambiguous */
	SNIPE_H1_HEAD_LIMIT, /* header section too long or too many fields */
	SNIPE_H1_BODY_LIMIT, /* body over the limit */
};

struct snipe_h1_parser {
	http_parser parser; /* first member: callbacks cast its address */
	struct snipe_h1_message *message;
	size_t max_head_bytes;
	size_t max_body_bytes;
	size_t head_bytes;
	int has_head;	      /* the header section is complete */
	int has_begun;	      /* at least one byte was received */
	int is_head_response; /* response to HEAD */
	int is_in_value;
	char start[SNIPE_H1_STATUS_LINE_BYTES]; /* first bytes of a response */
	size_t start_len;
	enum snipe_h1_parse_result result;
};

/* Starts a new message, a request or a response; the response to HEAD has no body. */
void snipe_h1_parser_init(struct snipe_h1_parser *p, struct snipe_h1_message *message,
			  int is_request, int is_head_response, size_t max_head_bytes,
			  size_t max_body_bytes);

/* Parses len bytes; *consumed receives how many of them belong to this message. */
enum snipe_h1_parse_result snipe_h1_parser_feed(struct snipe_h1_parser *p, const char *data,
						size_t len, size_t *consumed);

/* Reports a clean end of the connection. Returns SNIPE_H1_DONE if it completes the message. */
enum snipe_h1_parse_result snipe_h1_parser_end(struct snipe_h1_parser *p);

#ifdef __cplusplus
}
#endif

#endif
