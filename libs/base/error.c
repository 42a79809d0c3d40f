#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const error_names[] = {
	"ok",	     "invalid", "syntax", "not_found",	  "conflict",	  "too_large",
	"truncated", "version", "auth",	  "unavailable",  "rate_limited", "unknown",
	"io",	     "full",	"stale",  "history_lost",
};

const char *snipe_error_name(int err)
{
	int n = (int)(sizeof(error_names) / sizeof(error_names[0]));

	if (err > 0 || -err >= n)
		return "undefined";
	return error_names[-err];
}

int snipe_error_set(struct snipe_error_text *text, int err, const char *fmt, ...)
{
	va_list ap;

	if (!text)
		return err;
	va_start(ap, fmt);
	vsnprintf(text->text, sizeof(text->text), fmt, ap);
	va_end(ap);
	return err;
}
