#include "h1/message.h"

#include <ctype.h>
#include <glib.h>
#include <string.h>
#include <strings.h>

void snipe_h1_message_init(struct snipe_h1_message *m)
{
	snipe_h1_message_init_charged(m, NULL);
}

void snipe_h1_message_init_charged(struct snipe_h1_message *m,
				   struct snipe_memory_account *account)
{
	memset(m, 0, sizeof(*m));
	snipe_buffer_init_charged(&m->url, account);
	snipe_buffer_init_charged(&m->text, account);
	snipe_buffer_init_charged(&m->body, account);
}

void snipe_h1_message_finish(struct snipe_h1_message *m)
{
	snipe_buffer_finish(&m->url);
	snipe_buffer_finish(&m->text);
	snipe_buffer_finish(&m->body);
}

void snipe_h1_message_clear(struct snipe_h1_message *m)
{
	m->method = m->status = m->keep_alive = m->is_close_delimited = 0;
	m->field_count = 0;
	snipe_buffer_clear(&m->url);
	snipe_buffer_clear(&m->text);
	snipe_buffer_clear(&m->body);
}

const char *snipe_h1_field_name(const struct snipe_h1_message *m, int field)
{
	return m->text.data + m->fields[field].name;
}

const char *snipe_h1_field_value(const struct snipe_h1_message *m, int field)
{
	return m->text.data + m->fields[field].value;
}

static int find_field(const struct snipe_h1_message *m, const char *name, int from)
{
	for (int i = from; i < m->field_count; i++)
		if (strcasecmp(snipe_h1_field_name(m, i), name) == 0)
			return i;
	return -1;
}

const char *snipe_h1_find_value(const struct snipe_h1_message *m, const char *name)
{
	int i = find_field(m, name, 0);

	return i < 0 ? NULL : snipe_h1_field_value(m, i);
}

int snipe_h1_count_fields(const struct snipe_h1_message *m, const char *name)
{
	int n = 0;

	for (int i = find_field(m, name, 0); i >= 0; i = find_field(m, name, i + 1))
		n++;
	return n;
}

/* Returns nonzero if a comma-separated list contains the token, ignoring case. */
static int list_contains(const char *list, const char *token)
{
	size_t len = strlen(token);

	while (*list) {
		size_t n;

		list += strspn(list, " \t,");
		n = strcspn(list, ",");
		if (n >= len && strncasecmp(list, token, len) == 0 &&
		    strspn(list + len, " \t") == n - len)
			return 1;
		list += n;
	}
	return 0;
}

int snipe_h1_is_hop_by_hop(const struct snipe_h1_message *m, int field)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Proxy-Authenticate",
		"TE",
		"Transfer-Encoding",
		"Trailer",
		"Upgrade",
		"Expect",
		"Content-Length",
		"Proxy-Authorization",
	};
	const char *name = snipe_h1_field_name(m, field);

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strcasecmp(name, names[i]) == 0)
			return 1;
	for (int i = find_field(m, "Connection", 0); i >= 0;
	     i = find_field(m, "Connection", i + 1))
		if (list_contains(snipe_h1_field_value(m, i), name))
			return 1;
	return 0;
}

static int fail(struct snipe_h1_parser *p, enum snipe_h1_parse_result result)
{
	p->result = result;
	return -1;
}

static int count_head(struct snipe_h1_parser *p, size_t len)
{
	p->head_bytes += len;
	return p->head_bytes > p->max_head_bytes ? fail(p, SNIPE_H1_HEAD_LIMIT) : 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct snipe_h1_parser *p = (struct snipe_h1_parser *)parser;

	snipe_buffer_append(&p->message->url, at, len);
	return count_head(p, len);
}

/* Terminates the field value being parsed, if any. */
static void end_value(struct snipe_h1_parser *p)
{
	if (p->is_in_value)
		snipe_buffer_append(&p->message->text, "", 1);
	p->is_in_value = 0;
}

static int on_name(http_parser *parser, const char *at, size_t len)
{
	struct snipe_h1_parser *p = (struct snipe_h1_parser *)parser;
	struct snipe_h1_message *m = p->message;
	struct snipe_h1_field *f;

	/* Trailer fields are ignored. */
	if (p->has_head)
		return 0;
	if (memchr(at, ' ', len))
		return fail(p, SNIPE_H1_MALFORMED);
	if (p->is_in_value || m->field_count == 0) {
		end_value(p);
		if (m->field_count == SNIPE_H1_MAX_FIELDS)
			return fail(p, SNIPE_H1_HEAD_LIMIT);
		f = &m->fields[m->field_count++];
		memset(f, 0, sizeof(*f));
		f->name = (uint32_t)m->text.len;
	}
	f = &m->fields[m->field_count - 1];
	snipe_buffer_append(&m->text, at, len);
	f->name_len += (uint32_t)len;
	return count_head(p, len);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct snipe_h1_parser *p = (struct snipe_h1_parser *)parser;
	struct snipe_h1_message *m = p->message;
	struct snipe_h1_field *f = &m->fields[m->field_count - 1];

	if (p->has_head)
		return 0;
	if (memchr(at, '\0', len))
		return fail(p, SNIPE_H1_MALFORMED);
	if (!p->is_in_value) {
		snipe_buffer_append(&m->text, "", 1);
		f->value = (uint32_t)m->text.len;
		p->is_in_value = 1;
	}
	snipe_buffer_append(&m->text, at, len);
	f->value_len += (uint32_t)len;
	return count_head(p, len);
}

/* http_parser takes any number of digits for a status code, and any version. */
static int has_valid_status_line(const struct snipe_h1_parser *p)
{
	const char *at = p->start, *end = p->start + p->start_len;

	while (at < end && (*at == '\r' || *at == '\n'))
		at++;
	if (end - at < 8 || memcmp(at, "HTTP/1.", 7) != 0)
		return 0;
	at += 8;
	while (at < end && *at == ' ')
		at++;
	return end - at >= 4 && *at >= '1' && *at <= '5' && isdigit((unsigned char)at[1]) &&
	       isdigit((unsigned char)at[2]) && !isdigit((unsigned char)at[3]);
}

static int on_head(http_parser *parser)
{
	struct snipe_h1_parser *p = (struct snipe_h1_parser *)parser;
	struct snipe_h1_message *m = p->message;

	end_value(p);
	p->has_head = 1;
	m->method = (int)parser->method;
	m->status = parser->status_code;
	if (parser->type == HTTP_RESPONSE && !has_valid_status_line(p))
		return fail(p, SNIPE_H1_MALFORMED);
	m->is_close_delimited = parser->type == HTTP_RESPONSE && !p->is_head_response &&
				m->status >= 200 && m->status != 204 && m->status != 304 &&
				!(parser->flags & F_CHUNKED) &&
				parser->content_length == UINT64_MAX;
	if (snipe_h1_count_fields(m, "Content-Length") > 1 ||
	    (snipe_h1_count_fields(m, "Content-Length") &&
	     snipe_h1_count_fields(m, "Transfer-Encoding")) ||
	    snipe_h1_count_fields(m, "Transfer-Encoding") > 1) {
		fail(p, SNIPE_H1_MALFORMED);
		return -1;
	}
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > p->max_body_bytes) {
		fail(p, SNIPE_H1_BODY_LIMIT);
		return -1;
	}
	return p->is_head_response;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct snipe_h1_parser *p = (struct snipe_h1_parser *)parser;

	if (p->message->body.len + len > p->max_body_bytes)
		return fail(p, SNIPE_H1_BODY_LIMIT);
	snipe_buffer_append(&p->message->body, at, len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct snipe_h1_parser *p = (struct snipe_h1_parser *)parser;

	p->message->keep_alive = http_should_keep_alive(parser);
	p->result = SNIPE_H1_DONE;
	/* The bytes that follow belong to the next message. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void snipe_h1_parser_init(struct snipe_h1_parser *p, struct snipe_h1_message *message,
			  int is_request, int is_head_response, size_t max_head_bytes,
			  size_t max_body_bytes)
{
	memset(p, 0, sizeof(*p));
	http_parser_init(&p->parser, is_request ? HTTP_REQUEST : HTTP_RESPONSE);
	p->message = message;
	p->is_head_response = is_head_response;
	p->max_head_bytes = max_head_bytes;
	p->max_body_bytes = max_body_bytes;
	p->result = SNIPE_H1_NEED_MORE;
}

enum snipe_h1_parse_result snipe_h1_parser_feed(struct snipe_h1_parser *p, const char *data,
						size_t len, size_t *consumed)
{
	*consumed = 0;
	if (p->result != SNIPE_H1_NEED_MORE || len == 0)
		return p->result;
	p->has_begun = 1;
	if (p->start_len < sizeof(p->start)) {
		size_t n = MIN(len, sizeof(p->start) - p->start_len);

		memcpy(p->start + p->start_len, data, n);
		p->start_len += n;
	}
	*consumed = http_parser_execute(&p->parser, &callbacks, data, len);
	if (p->result == SNIPE_H1_NEED_MORE && HTTP_PARSER_ERRNO(&p->parser) != HPE_OK)
		p->result = SNIPE_H1_MALFORMED;
	/* Upgrades are not supported; the bytes that follow must not be parsed as a request. */
	if (p->result == SNIPE_H1_DONE && p->parser.upgrade)
		p->result = SNIPE_H1_MALFORMED;
	return p->result;
}

enum snipe_h1_parse_result snipe_h1_parser_end(struct snipe_h1_parser *p)
{
	if (p->result == SNIPE_H1_NEED_MORE && p->has_head)
		http_parser_execute(&p->parser, &callbacks, NULL, 0);
	return p->result == SNIPE_H1_NEED_MORE ? SNIPE_H1_MALFORMED : p->result;
}
