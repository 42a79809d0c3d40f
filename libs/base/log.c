#include "base/log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"

static enum snipe_log_level max_level = SNIPE_LOG_INFO;
static char program_name[64] = "snipescale";

static const char *const level_names[] = {"error", "warning", "info", "debug"};
static const GLogLevelFlags glib_levels[] = {G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_WARNING,
					     G_LOG_LEVEL_INFO, G_LOG_LEVEL_DEBUG};

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields,
				   gsize n_fields, gpointer user_data)
{
	(void)level;
	(void)user_data;
	for (gsize i = 0; i < n_fields; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0) {
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
	if (limit->written == 0 || now_us - limit->window_us >= 1000000) {
		limit->window_us = now_us;
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
