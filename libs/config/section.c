#include "config/section.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define NAME_REMEDY "use 1 to 63 letters, digits, '.', '_' and '-'"

int snipe_name_is_valid(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len >= SNIPE_NAME_SIZE)
		return 0;
	return strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
			    "._-") == len;
}

static struct snipe_toml_value *find(const struct snipe_section *s, const char *key)
{
	for (int i = 0; i < s->toml->count; i++) {
		if (!strcmp(s->toml->values[i].key, key))
			return &s->toml->values[i];
	}
	return NULL;
}

void snipe_section_problem(const struct snipe_section *s, const char *key, const char *fmt, ...)
{
	const struct snipe_toml_value *v = find(s, key);
	const struct snipe_toml_value *name = find(s, "name");
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	if (s->toml->kind == SNIPE_TOML_ENTRY && name && name->string)
		snipe_problems_add(s->problems, "%s:%d: %s \"%.63s\", key %s: %s", s->file,
				   v ? v->line : s->toml->line, s->toml->name, name->string,
				   key, text);
	else
		snipe_problems_add(s->problems, "%s:%d: %s, key %s: %s", s->file,
				   v ? v->line : s->toml->line, s->toml->name, key, text);
	g_free(text);
}

static struct snipe_toml_value *take(const struct snipe_section *s, const char *key,
				     enum snipe_presence presence)
{
	struct snipe_toml_value *v = find(s, key);

	if (v)
		v->used = 1;
	else if (presence == SNIPE_REQUIRED)
		snipe_section_problem(s, key, "is missing; add it");
	return v;
}

int snipe_section_integer(const struct snipe_section *s, const char *key,
			  enum snipe_presence presence, int min, int max, int *out)
{
	const struct snipe_toml_value *v = take(s, key, presence);

	if (!v)
		return 0;
	if (v->type != SNIPE_TOML_INTEGER || v->integer < min || v->integer > max) {
		snipe_section_problem(s, key, "is out of range; use a whole number of %d to %d",
				      min, max);
		return 0;
	}
	*out = (int)v->integer;
	return 1;
}

int snipe_section_number(const struct snipe_section *s, const char *key,
			 enum snipe_presence presence, double min, double max, double *out)
{
	const struct snipe_toml_value *v = take(s, key, presence);

	if (!v)
		return 0;
	if ((v->type != SNIPE_TOML_INTEGER && v->type != SNIPE_TOML_FLOAT) ||
	    !isfinite(v->number) || v->number < min || v->number > max) {
		snipe_section_problem(s, key, "is out of range; use a number of %g to %g", min,
				      max);
		return 0;
	}
	*out = v->number;
	return 1;
}

int snipe_section_boolean(const struct snipe_section *s, const char *key,
			  enum snipe_presence presence, int *out)
{
	const struct snipe_toml_value *v = take(s, key, presence);

	if (!v)
		return 0;
	if (v->type != SNIPE_TOML_BOOLEAN) {
		snipe_section_problem(s, key, "is no boolean; use true or false");
		return 0;
	}
	*out = v->boolean;
	return 1;
}

int snipe_section_string(const struct snipe_section *s, const char *key,
			 enum snipe_presence presence, const char **out)
{
	const struct snipe_toml_value *v = take(s, key, presence);

	if (!v)
		return 0;
	if (v->type != SNIPE_TOML_STRING) {
		snipe_section_problem(s, key, "is no string; put the value into quotes");
		return 0;
	}
	*out = v->string;
	return 1;
}

int snipe_section_strings(const struct snipe_section *s, const char *key,
			  enum snipe_presence presence, char ***out)
{
	const struct snipe_toml_value *v = take(s, key, presence);

	if (!v)
		return 0;
	if (v->type != SNIPE_TOML_STRINGS) {
		snipe_section_problem(s, key, "is no list of strings; use [\"...\", \"...\"]");
		return 0;
	}
	*out = v->strings;
	return 1;
}

int snipe_section_name(const struct snipe_section *s, const char *key,
		       enum snipe_presence presence, char out[SNIPE_NAME_SIZE])
{
	const char *text;

	if (!snipe_section_string(s, key, presence, &text))
		return 0;
	if (!snipe_name_is_valid(text)) {
		snipe_section_problem(s, key, "is no valid name; " NAME_REMEDY);
		return 0;
	}
	g_strlcpy(out, text, SNIPE_NAME_SIZE);
	return 1;
}

int snipe_section_word(const struct snipe_section *s, const char *key,
		       enum snipe_presence presence, const char *const *words, int count,
		       int *out)
{
	const char *text;
	GString *list;

	if (!snipe_section_string(s, key, presence, &text))
		return 0;
	for (int i = 0; i < count; i++) {
		if (!strcmp(text, words[i])) {
			*out = i;
			return 1;
		}
	}
	list = g_string_new(NULL);
	for (int i = 0; i < count; i++)
		g_string_append_printf(list, "%s%s", i ? ", " : "", words[i]);
	snipe_section_problem(s, key, "is not a known word; use one of: %s", list->str);
	g_string_free(list, TRUE);
	return 0;
}

void snipe_section_unknown(const struct snipe_section *s)
{
	for (int i = 0; i < s->toml->count; i++) {
		if (!s->toml->values[i].used)
			snipe_section_problem(s, s->toml->values[i].key,
					      "is unknown; remove it or correct its spelling");
	}
}
