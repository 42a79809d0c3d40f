#include "config/tables.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/route_path.h"
#include "config/section.h"

/* Upper bounds that no real deployment reaches; a larger value is taken for a slip. */
#define MAX_RATE 1e6  /* calls a second; the design scale of the whole fleet is 230,000 */
#define MAX_BURST 1e7 /* calls */
#define MAX_SLOTS 100000
#define MAX_TIMEOUT_MS 600000

/* One file while it is checked. seen maps "KIND NAME" and "METHOD PATH" to a line number. */
struct loader {
	const char *file;
	struct snipe_toml toml;
	struct snipe_problems *problems;
	GHashTable *seen;
};

static int loader_init(struct loader *l, const char *file, const char *text,
		       struct snipe_problems *problems)
{
	struct snipe_toml_error err;
	size_t len = strlen(text);

	memset(l, 0, sizeof(*l));
	l->file = file;
	l->problems = problems;
	l->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (len > SNIPE_TABLE_MAX_BYTES) {
		snipe_problems_add(problems,
				   "%s:1: file: has %zu bytes; the limit is %d, shorten it",
				   file, len, SNIPE_TABLE_MAX_BYTES);
		return SNIPE_ERR_TOO_LARGE;
	}
	if (snipe_toml_read(&l->toml, text, len, &err) < 0) {
		snipe_problems_add(problems,
				   "%s:%d: syntax, column %d: %s; correct the TOML syntax",
				   file, err.line, err.column, err.text);
		return SNIPE_ERR_SYNTAX;
	}
	return 0;
}

static void loader_finish(struct loader *l)
{
	snipe_toml_finish(&l->toml);
	g_hash_table_destroy(l->seen);
}

/* Reports a name, or a method and path, that an earlier section of the file has. */
static void check_unique(struct loader *l, const struct snipe_section *s, const char *key,
			 char *identity)
{
	int line = GPOINTER_TO_INT(g_hash_table_lookup(l->seen, identity));

	if (line) {
		snipe_section_problem(s, key, "repeats that of line %d; make it unique", line);
		g_free(identity);
		return;
	}
	g_hash_table_insert(l->seen, identity, GINT_TO_POINTER(s->toml->line));
}

static void read_name(struct loader *l, const struct snipe_section *s, char *out)
{
	if (snipe_section_name(s, "name", SNIPE_REQUIRED, out))
		check_unique(l, s, "name", g_strdup_printf("%s %s", s->toml->name, out));
}

static void read_path(struct loader *l, const struct snipe_section *s, struct snipe_route *r)
{
	const char *text, *problem;

	if (!snipe_section_string(s, "path", SNIPE_REQUIRED, &text))
		return;
	problem = snipe_route_path_check(text);
	if (problem) {
		snipe_section_problem(s, "path", "%s", problem);
		return;
	}
	r->path = g_strdup(text);
	r->is_prefix = g_str_has_suffix(text, "/*");
	if (r->is_prefix)
		r->path[strlen(text) - 1] = '\0';
	if (*r->method)
		check_unique(l, s, "path", g_strdup_printf("/%s %s", r->method, text));
}

static void read_importance(const struct snipe_section *s, struct snipe_route *r)
{
	const char *names[SNIPE_IMPORTANCE_COUNT];
	int index;

	for (int i = 0; i < SNIPE_IMPORTANCE_COUNT; i++)
		names[i] = snipe_importance_name((enum snipe_importance)i);
	if (snipe_section_word(s, "importance", SNIPE_REQUIRED, names, SNIPE_IMPORTANCE_COUNT,
			       &index))
		r->importance = (enum snipe_importance)index;
}

/* Looks the pool up only when the pools file could be read, because otherwise every route
 * would be reported. */
static void read_pool_of_route(const struct snipe_section *s, const struct snipe_tables *tables,
			       int pools_known, struct snipe_route *r)
{
	char name[SNIPE_NAME_SIZE];

	if (!snipe_section_name(s, "pool", SNIPE_REQUIRED, name) || !pools_known)
		return;
	r->pool = snipe_tables_find_pool(tables, name);
	if (r->pool < 0)
		snipe_section_problem(s, "pool",
				      "there is no pool \"%s\"; add it to the pools table or "
				      "name another one",
				      name);
}

static void read_route(struct loader *l, const struct snipe_section *s,
		       struct snipe_tables *tables, int pools_known)
{
	static const char *const methods[] = {"GET",	"HEAD",	 "POST",   "PUT",
					      "DELETE", "PATCH", "OPTIONS"};
	struct snipe_route *r = &tables->routes[tables->route_count++];
	int method;

	memset(r, 0, sizeof(*r));
	r->timeout_ms = 2000;
	r->max_retries = 2;
	r->retry_percent = 10;
	read_name(l, s, r->name);
	if (snipe_section_word(s, "method", SNIPE_REQUIRED, methods, G_N_ELEMENTS(methods),
			       &method))
		g_strlcpy(r->method, methods[method], sizeof(r->method));
	read_path(l, s, r);
	read_pool_of_route(s, tables, pools_known, r);
	read_importance(s, r);
	snipe_section_boolean(s, "open", SNIPE_OPTIONAL, &r->open);
	snipe_section_boolean(s, "idempotent", SNIPE_OPTIONAL, &r->idempotent);
	snipe_section_integer(s, "timeout_ms", SNIPE_OPTIONAL, 1, MAX_TIMEOUT_MS,
			      &r->timeout_ms);
	snipe_section_integer(s, "max_retries", SNIPE_OPTIONAL, 0, 10, &r->max_retries);
	snipe_section_integer(s, "retry_percent", SNIPE_OPTIONAL, 0, 100, &r->retry_percent);
	snipe_section_unknown(s);
}

static void read_workspace(struct loader *l, const struct snipe_section *s,
			   struct snipe_tables *tables)
{
	struct snipe_workspace *w = &tables->workspaces[tables->workspace_count++];

	memset(w, 0, sizeof(*w));
	read_name(l, s, w->name);
	/* The smallest rate is about four calls an hour. A burst under 1 admits no call. */
	snipe_section_number(s, "rate", SNIPE_REQUIRED, 0.001, MAX_RATE, &w->rate);
	snipe_section_number(s, "burst", SNIPE_REQUIRED, 1, MAX_BURST, &w->burst);
	snipe_section_unknown(s);
}

static void read_pool(struct loader *l, const struct snipe_section *s,
		      struct snipe_tables *tables)
{
	struct snipe_pool *p = &tables->pools[tables->pool_count++];

	memset(p, 0, sizeof(*p));
	read_name(l, s, p->name);
	snipe_section_integer(s, "slots", SNIPE_REQUIRED, 1, MAX_SLOTS, &p->slots);
	snipe_section_integer(s, "connections", SNIPE_REQUIRED, 1, MAX_SLOTS, &p->connections);
	p->queue = p->slots;
	snipe_section_integer(s, "queue", SNIPE_OPTIONAL, 0, MAX_SLOTS, &p->queue);
	snipe_section_unknown(s);
}

static int by_name(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* The name is the first member of workspaces and pools, so that one comparison serves both. */
G_STATIC_ASSERT(offsetof(struct snipe_workspace, name) == 0);
G_STATIC_ASSERT(offsetof(struct snipe_pool, name) == 0);

static int find_name(const void *base, int count, size_t size, const char *name)
{
	const char *found = count ? bsearch(name, base, (size_t)count, size, by_name) : NULL;

	return found ? (int)((size_t)(found - (const char *)base) / size) : SNIPE_ERR_NOT_FOUND;
}

static void read_pools(struct loader *l, struct snipe_tables *tables)
{
	tables->pools = g_new0(struct snipe_pool, l->toml.count);
	for (int i = 0; i < l->toml.count; i++) {
		struct snipe_section s = {l->file, &l->toml.sections[i], l->problems};

		if (s.toml->kind == SNIPE_TOML_ENTRY && !strcmp(s.toml->name, "pool"))
			read_pool(l, &s, tables);
		else
			snipe_problems_add(l->problems,
					   "%s:%d: %s: is unknown here; the pools table holds "
					   "[[pool]] sections only",
					   l->file, s.toml->line, s.toml->name);
	}
	if (tables->pool_count)
		qsort(tables->pools, (size_t)tables->pool_count, sizeof(*tables->pools),
		      by_name);
}

static void read_routes(struct loader *l, struct snipe_tables *tables, int pools_known)
{
	tables->routes = g_new0(struct snipe_route, l->toml.count);
	tables->workspaces = g_new0(struct snipe_workspace, l->toml.count);
	for (int i = 0; i < l->toml.count; i++) {
		struct snipe_section s = {l->file, &l->toml.sections[i], l->problems};
		int is_entry = s.toml->kind == SNIPE_TOML_ENTRY;

		if (is_entry && !strcmp(s.toml->name, "route"))
			read_route(l, &s, tables, pools_known);
		else if (is_entry && !strcmp(s.toml->name, "workspace"))
			read_workspace(l, &s, tables);
		else
			snipe_problems_add(l->problems,
					   "%s:%d: %s: is unknown here; the routes table holds "
					   "[[route]] and [[workspace]] sections only",
					   l->file, s.toml->line, s.toml->name);
	}
	if (tables->workspace_count)
		qsort(tables->workspaces, (size_t)tables->workspace_count,
		      sizeof(*tables->workspaces), by_name);
}

static int by_match_order(const void *a, const void *b)
{
	const struct snipe_route *x = a, *y = b;

	return snipe_route_path_compare(x->is_prefix, x->path, strlen(x->path), x->method, y);
}

static void sort_routes(struct snipe_tables *tables)
{
	if (tables->route_count)
		qsort(tables->routes, (size_t)tables->route_count, sizeof(*tables->routes),
		      by_match_order);
}

int snipe_tables_load(struct snipe_tables *tables, const char *routes_toml,
		      const char *routes_name, const char *pools_toml, const char *pools_name,
		      struct snipe_problems *problems)
{
	struct loader pools, routes;
	int problems_before = problems->count;
	int pools_err, routes_err, err = 0;

	memset(tables, 0, sizeof(*tables));
	pools_err = loader_init(&pools, pools_name, pools_toml, problems);
	if (pools_err == 0)
		read_pools(&pools, tables);
	routes_err = loader_init(&routes, routes_name, routes_toml, problems);
	if (routes_err == 0)
		read_routes(&routes, tables, pools_err == 0);
	loader_finish(&pools);
	loader_finish(&routes);
	if (routes_err < 0 || pools_err < 0)
		err = routes_err < 0 ? routes_err : pools_err;
	else if (problems->count > problems_before)
		err = SNIPE_ERR_INVALID;
	if (err < 0)
		snipe_tables_finish(tables);
	else
		sort_routes(tables);
	return err;
}

void snipe_tables_finish(struct snipe_tables *tables)
{
	for (int i = 0; i < tables->route_count; i++)
		g_free(tables->routes[i].path);
	g_free(tables->routes);
	g_free(tables->workspaces);
	g_free(tables->pools);
	memset(tables, 0, sizeof(*tables));
}

int snipe_tables_find_workspace(const struct snipe_tables *tables, const char *name)
{
	return find_name(tables->workspaces, tables->workspace_count,
			 sizeof(*tables->workspaces), name);
}

int snipe_tables_find_pool(const struct snipe_tables *tables, const char *name)
{
	return find_name(tables->pools, tables->pool_count, sizeof(*tables->pools), name);
}

int snipe_tables_find_route(const struct snipe_tables *tables, const char *name)
{
	for (int i = 0; i < tables->route_count; i++) {
		if (!strcmp(tables->routes[i].name, name))
			return i;
	}
	return SNIPE_ERR_NOT_FOUND;
}
