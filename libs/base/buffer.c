#include "base/buffer.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

static void reserve(struct snipe_buffer *buf, size_t extra)
{
	size_t want = buf->len + extra + 1;
	size_t size = buf->size ? buf->size : 64;

	if (want <= buf->size)
		return;
	while (size < want)
		size *= 2;
	buf->data = g_realloc(buf->data, size);
	buf->size = size;
}

void snipe_buffer_init(struct snipe_buffer *buf)
{
	memset(buf, 0, sizeof(*buf));
}

void snipe_buffer_finish(struct snipe_buffer *buf)
{
	g_free(buf->data);
	memset(buf, 0, sizeof(*buf));
}

void snipe_buffer_clear(struct snipe_buffer *buf)
{
	buf->len = 0;
}

void snipe_buffer_append(struct snipe_buffer *buf, const void *data, size_t len)
{
	if (len == 0)
		return;
	reserve(buf, len);
	memcpy(buf->data + buf->len, data, len);
	buf->len += len;
}

void snipe_buffer_printf(struct snipe_buffer *buf, const char *fmt, ...)
{
	va_list ap;
	gchar *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	snipe_buffer_append(buf, text, strlen(text));
	g_free(text);
}

const char *snipe_buffer_str(struct snipe_buffer *buf)
{
	reserve(buf, 0);
	buf->data[buf->len] = '\0';
	return buf->data;
}
