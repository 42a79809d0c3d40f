#include "base/buffer.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "base/memory_account.h"

/* Above this size, buffers grow by a quarter instead of being doubled. */
#define LARGE_BYTES ((size_t)256 * 1024)

static void resize(struct snipe_buffer *buf, size_t size)
{
	buf->data = g_realloc(buf->data, size);
	snipe_memory_update(buf->account, &buf->size, size);
}

static void reserve(struct snipe_buffer *buf, size_t extra)
{
	size_t want = buf->len + extra + 1;
	size_t size = buf->size ? buf->size : 64;

	if (want <= buf->size)
		return;
	while (size < want)
		size += size < LARGE_BYTES ? size : size / 4;
	resize(buf, size);
}

void snipe_buffer_init(struct snipe_buffer *buf)
{
	memset(buf, 0, sizeof(*buf));
}

void snipe_buffer_init_charged(struct snipe_buffer *buf, struct snipe_memory_account *account)
{
	snipe_buffer_init(buf);
	buf->account = account;
}

void snipe_buffer_finish(struct snipe_buffer *buf)
{
	struct snipe_memory_account *account = buf->account;

	g_free(buf->data);
	snipe_memory_release(account, buf->size);
	snipe_buffer_init_charged(buf, account);
}

void snipe_buffer_reserve(struct snipe_buffer *buf, size_t len)
{
	if (buf->len + len + 1 > buf->size)
		resize(buf, buf->len + len + 1);
}

void snipe_buffer_move(struct snipe_buffer *from, struct snipe_buffer *to)
{
	struct snipe_memory_account *account = to->account;

	snipe_buffer_finish(to);
	if (account != from->account) {
		snipe_memory_charge(account, from->size);
		snipe_memory_release(from->account, from->size);
	}
	*to = *from;
	to->account = account;
	snipe_buffer_init_charged(from, from->account);
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
