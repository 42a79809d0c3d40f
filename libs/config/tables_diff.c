#include <glib.h>
#include <string.h>

#include "config/tables.h"

/* Fields of one section as text, in a fixed order. */
struct field {
	const char *key;
	char value[SNIPE_NAME_SIZE * 9]; /* the longest is a path of 512 bytes */
};

#define MAX_FIELDS 10

static void put(struct field *f, const char *key, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void put(struct field *f, const char *key, const char *fmt, ...)
{
	va_list ap;

	f->key = key;
	va_start(ap, fmt);
	g_vsnprintf(f->value, sizeof(f->value), fmt, ap);
	va_end(ap);
}

static int route_fields(const struct snipe_tables *t, int i, struct field *f)
{
	const struct snipe_route *r = &t->routes[i];

	put(&f[0], "method", "%s", r->method);
	put(&f[1], "path", "%s%s", r->path, r->is_prefix ? "*" : "");
	put(&f[2], "pool", "%s", t->pools[r->pool].name);
	put(&f[3], "importance", "%s", snipe_importance_name(r->importance));
	put(&f[4], "open", "%s", r->open ? "true" : "false");
	put(&f[5], "idempotent", "%s", r->idempotent ? "true" : "false");
	put(&f[6], "timeout_ms", "%d", r->timeout_ms);
	put(&f[7], "max_retries", "%d", r->max_retries);
	put(&f[8], "retry_percent", "%d", r->retry_percent);
	return 9;
}

static int workspace_fields(const struct snipe_tables *t, int i, struct field *f)
{
	put(&f[0], "rate", "%.10g", t->workspaces[i].rate);
	put(&f[1], "burst", "%.10g", t->workspaces[i].burst);
	return 2;
}

static int pool_fields(const struct snipe_tables *t, int i, struct field *f)
{
	put(&f[0], "slots", "%d", t->pools[i].slots);
	put(&f[1], "connections", "%d", t->pools[i].connections);
	put(&f[2], "queue", "%d", t->pools[i].queue);
	return 3;
}

/* Access to one kind of section, so that one loop serves all three. */
struct kind {
	const char *noun;
	int (*count)(const struct snipe_tables *t);
	const char *(*name)(const struct snipe_tables *t, int i);
	int (*find)(const struct snipe_tables *t, const char *name);
	int (*fields)(const struct snipe_tables *t, int i, struct field *f);
};

static int route_count(const struct snipe_tables *t)
{
	return t->route_count;
}

static const char *route_name(const struct snipe_tables *t, int i)
{
	return t->routes[i].name;
}

static int workspace_count(const struct snipe_tables *t)
{
	return t->workspace_count;
}

static const char *workspace_name(const struct snipe_tables *t, int i)
{
	return t->workspaces[i].name;
}

static int pool_count(const struct snipe_tables *t)
{
	return t->pool_count;
}

static const char *pool_name(const struct snipe_tables *t, int i)
{
	return t->pools[i].name;
}

static const struct kind kinds[] = {
	{"route", route_count, route_name, snipe_tables_find_route, route_fields},
	{"workspace", workspace_count, workspace_name, snipe_tables_find_workspace,
	 workspace_fields},
	{"pool", pool_count, pool_name, snipe_tables_find_pool, pool_fields},
};

static void diff_fields(const struct kind *k, const struct snipe_tables *before, int i,
			const struct snipe_tables *after, int j, struct snipe_problems *lines)
{
	struct field a[MAX_FIELDS], b[MAX_FIELDS];
	int n = k->fields(before, i, a);

	k->fields(after, j, b);
	for (int f = 0; f < n; f++) {
		if (strcmp(a[f].value, b[f].value) != 0)
			snipe_problems_add(lines, "~ %s %s: %s %s -> %s", k->noun,
					   k->name(before, i), a[f].key, a[f].value,
					   b[f].value);
	}
}

int snipe_tables_diff(const struct snipe_tables *before, const struct snipe_tables *after,
		      struct snipe_problems *lines)
{
	int count_before = lines->count;

	for (size_t n = 0; n < G_N_ELEMENTS(kinds); n++) {
		const struct kind *k = &kinds[n];

		for (int i = 0; i < k->count(before); i++) {
			int j = k->find(after, k->name(before, i));

			if (j < 0)
				snipe_problems_add(lines, "- %s %s", k->noun,
						   k->name(before, i));
			else
				diff_fields(k, before, i, after, j, lines);
		}
		for (int j = 0; j < k->count(after); j++) {
			if (k->find(before, k->name(after, j)) < 0)
				snipe_problems_add(lines, "+ %s %s", k->noun,
						   k->name(after, j));
		}
	}
	return lines->count - count_before;
}
