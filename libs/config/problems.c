#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "config/tables.h"

void snipe_problems_init(struct snipe_problems *p)
{
	memset(p, 0, sizeof(*p));
}

void snipe_problems_finish(struct snipe_problems *p)
{
	for (int i = 0; i < p->count; i++)
		g_free(p->lines[i]);
	g_free(p->lines);
	memset(p, 0, sizeof(*p));
}

void snipe_problems_add(struct snipe_problems *p, const char *fmt, ...)
{
	va_list ap;
	char *line;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	/* Quoted keys of a file may hold control characters; they must not reach a terminal. */
	for (char *c = line; *c; c++) {
		if (g_ascii_iscntrl(*c))
			*c = '?';
	}
	p->lines = g_renew(char *, p->lines, p->count + 1);
	p->lines[p->count++] = line;
}
