#include "base/log.h"

#include <glib.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"

/* Output kept for a slow reader of standard output; lines beyond it are dropped. */
#define BUFFER_BYTES (256 * 1024)
/* A pipe that polls as writable accepts this much without blocking (PIPE_BUF on Linux). */
#define MAX_WRITE_BYTES 4096

static struct {
	int is_used;
	char data[BUFFER_BYTES];
	size_t len;
	unsigned dropped;
} output;

static enum snipe_log_level max_level = SNIPE_LOG_INFO;
static char program_name[64] = "snipescale";

static const char *const level_names[] = {"error", "warning", "info", "debug"};
static const GLogLevelFlags glib_levels[] = {G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_WARNING,
					     G_LOG_LEVEL_INFO, G_LOG_LEVEL_DEBUG};

static void append_line(const char *line)
{
	size_t len = strlen(line);

	if (output.len + len + 1 > sizeof(output.data)) {
		output.dropped++;
		return;
	}
	memcpy(output.data + output.len, line, len);
	output.data[output.len + len] = '\n';
	output.len += len + 1;
}

void snipe_log_use_stdout(void)
{
	output.is_used = 1;
}

static void write_buffered(void)
{
	struct pollfd p = {STDOUT_FILENO, POLLOUT, 0};
	size_t written = 0;
	ssize_t n;

	while (written < output.len && poll(&p, 1, 0) > 0) {
		n = write(STDOUT_FILENO, output.data + written,
			  MIN(output.len - written, MAX_WRITE_BYTES));
		/* The reader is gone: buffered lines cannot be delivered any more. */
		if (n <= 0) {
			output.len = 0;
			return;
		}
		written += (size_t)n;
	}
	output.len -= written;
	memmove(output.data, output.data + written, output.len);
}

void snipe_log_flush(void)
{
	unsigned dropped = output.dropped;

	if (!output.is_used)
		return;
	write_buffered();
	if (dropped && output.len < sizeof(output.data) / 2) {
		output.dropped = 0;
		snipe_log(SNIPE_LOG_WARNING, "log_lines_dropped", "count=%u", dropped);
	}
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields,
				   gsize n_fields, gpointer user_data)
{
	(void)level;
	(void)user_data;
	for (gsize i = 0; i < n_fields; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0) {
			if (output.is_used)
				append_line(fields[i].value);
			else
				fprintf(stderr, "%s\n", (const char *)fields[i].value);
			return G_LOG_WRITER_HANDLED;
		}
	}
	return G_LOG_WRITER_UNHANDLED;
}

void snipe_log_init(const char *program, enum snipe_log_level level)
{
	snprintf(program_name, sizeof(program_name), "%s", program);
	max_level = level;
	setvbuf(stderr, NULL, _IOLBF, 0);
	g_log_set_writer_func(write_line, NULL, NULL);
}

int snipe_log_parse_level(const char *name, enum snipe_log_level *level)
{
	for (int i = 0; i <= SNIPE_LOG_DEBUG; i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (enum snipe_log_level)i;
			return 0;
		}
	}
	return SNIPE_ERR_INVALID;
}

void snipe_log(enum snipe_log_level level, const char *event, const char *fmt, ...)
{
	char pairs[1024];
	GDateTime *now;
	gchar *stamp;
	va_list ap;

	if (level > max_level)
		return;
	va_start(ap, fmt);
	vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
	g_log_structured("snipescale", glib_levels[level], "MESSAGE",
			 "time=%.23sZ level=%s program=%s event=%s %s", stamp,
			 level_names[level], program_name, event, pairs);
	g_free(stamp);
	g_date_time_unref(now);
}

int snipe_log_allow(struct snipe_log_limit *limit, int64_t now_us, unsigned burst,
		    unsigned *suppressed)
{
	if (limit->written == 0 || now_us - limit->interval_start_us >= 1000000) {
		limit->interval_start_us = now_us;
		limit->written = 0;
	}
	if (limit->written >= burst) {
		limit->suppressed++;
		return 0;
	}
	limit->written++;
	if (suppressed)
		*suppressed = limit->suppressed;
	limit->suppressed = 0;
	return 1;
}
