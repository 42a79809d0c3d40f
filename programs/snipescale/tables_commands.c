#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operator.h"
#include "platform/object_store.h"

/* Both files of the operator, checked. */
struct files {
	char *routes, *pools;
	struct snipe_tables tables;
};

/* A platform object config/tables with its version; version 0 if there is none. */
struct current {
	uint64_t version;
	struct snipe_tables_document doc;
};

static void finish_files(struct files *f)
{
	g_free(f->routes);
	g_free(f->pools);
	snipe_tables_finish(&f->tables);
}

static void finish_current(struct current *c)
{
	snipe_tables_document_finish(&c->doc);
}

static int file_failed(GError *error)
{
	int status = fail(EXIT_USAGE, SNIPE_ERR_IO, "%s; check the path", error->message);

	g_error_free(error);
	return status;
}

static int read_file(const char *path, char **text)
{
	GError *error = NULL;
	gsize len;

	if (!g_file_get_contents(path, text, &len, &error))
		return file_failed(error);
	if (strlen(*text) != len || !g_utf8_validate(*text, (gssize)len, NULL))
		return fail(EXIT_INVALID, SNIPE_ERR_SYNTAX,
			    "%s:1: file: is no UTF-8 text; save it as UTF-8", path);
	return 0;
}

static int load_files(struct files *f)
{
	struct snipe_problems problems;
	int status, rc;

	memset(f, 0, sizeof(*f));
	status = read_file(options.routes, &f->routes);
	if (!status)
		status = read_file(options.pools, &f->pools);
	if (status)
		return status;
	snipe_problems_init(&problems);
	rc = snipe_tables_load(&f->tables, f->routes, options.routes, f->pools, options.pools,
			       &problems);
	if (rc < 0)
		print_problems(&problems);
	snipe_problems_finish(&problems);
	return rc < 0 ? EXIT_INVALID : 0;
}

static int load_current(struct current *c, int must_exist)
{
	struct snipe_error_text text;
	char *value;
	gsize len;
	int err;

	memset(c, 0, sizeof(*c));
	err = platform_open();
	if (err)
		return err;
	err = platform_get("tables", &c->version, &value, &len);
	if (err == SNIPE_ERR_NOT_FOUND && !must_exist)
		return 0;
	if (err < 0)
		return platform_failed(err, "tables");
	err = snipe_tables_document_parse(&c->doc, value, len, &text);
	g_free(value);
	return err < 0 ? fail(EXIT_INVALID, err, "%s", text.text) : 0;
}

int command_check(void)
{
	struct files f;
	int status = load_files(&f);

	if (!status && options.json)
		printf("{\"routes\":%d,\"workspaces\":%d,\"pools\":%d}\n", f.tables.route_count,
		       f.tables.workspace_count, f.tables.pool_count);
	else if (!status)
		printf("routes=%d workspaces=%d pools=%d\n", f.tables.route_count,
		       f.tables.workspace_count, f.tables.pool_count);
	finish_files(&f);
	return status;
}

static void print_diff(uint64_t version, const struct snipe_problems *lines)
{
	json_t *root, *list = json_array();

	for (int i = 0; i < lines->count; i++) {
		if (!options.json)
			printf("%s\n", lines->lines[i]);
		json_array_append_new(list, json_string(lines->lines[i]));
	}
	root = json_pack("{s:I, s:o}", "version", (json_int_t)version, "differences", list);
	if (options.json) {
		char *text = json_dumps(root, JSON_COMPACT);

		printf("%s\n", text);
		free(text);
	} else {
		printf("version=%" G_GUINT64_FORMAT " differences=%d\n", version, lines->count);
	}
	json_decref(root);
}

static int diff(const struct current *c, const struct files *f)
{
	struct snipe_tables before = {0};
	struct snipe_problems lines;
	int status;

	snipe_problems_init(&lines);
	if (c->version &&
	    snipe_tables_load(&before, c->doc.routes_toml, "config/tables routes",
			      c->doc.pools_toml, "config/tables pools", &lines) < 0) {
		print_problems(&lines);
		status = EXIT_INVALID;
	} else {
		snipe_tables_diff(&before, &f->tables, &lines);
		print_diff(c->version, &lines);
		status = lines.count ? EXIT_DIFFERENT : EXIT_OK;
	}
	snipe_tables_finish(&before);
	snipe_problems_finish(&lines);
	return status;
}

int command_diff(void)
{
	struct current c = {0};
	struct files f;
	int status = load_files(&f);

	if (!status)
		status = load_current(&c, 0);
	if (!status)
		status = diff(&c, &f);
	finish_files(&f);
	finish_current(&c);
	return status;
}

static int conflict(const struct current *now, uint64_t seen)
{
	const struct snipe_write_record *last = now->doc.history;

	return fail(EXIT_CONFLICT, SNIPE_ERR_CONFLICT,
		    "the tables are at version %" G_GUINT64_FORMAT
		    " (written by %s at %s), not at version %" G_GUINT64_FORMAT
		    "; nothing was written. Run \"snipescale fetch\", merge your change, and "
		    "apply with --if-version %" G_GUINT64_FORMAT,
		    now->version, now->doc.history_count ? last->operator_name : "nobody",
		    now->doc.history_count ? last->time : "no time", seen, now->version);
}

static int report_apply(int err, uint64_t base, uint64_t version, const char *write_id,
			const char *value)
{
	struct current now;
	int status;

	switch (err) {
	case 0:
		printf(options.json ? "{\"version\":%" G_GUINT64_FORMAT "}\n"
				    : "version=%" G_GUINT64_FORMAT "\n",
		       version);
		return hand_over("tables", version, value);
	case SNIPE_ERR_CONFLICT:
		status = load_current(&now, 0);
		if (!status)
			status = conflict(&now, base);
		finish_current(&now);
		return status;
	case SNIPE_ERR_UNKNOWN:
		return fail(EXIT_UNKNOWN, err,
			    "the response to the write was lost and the platform does not "
			    "answer; look for write %s in \"snipescale history\" before you "
			    "apply again",
			    write_id);
	case SNIPE_ERR_TOO_LARGE:
		return fail(EXIT_INVALID, err,
			    "both tables together exceed 1 MB as JSON; shorten them");
	default:
		return platform_failed(err, "tables");
	}
}

/* Writes the files over the tables in force. */
static int write_tables(struct current *c, struct files *f)
{
	struct snipe_write_record record;
	char base_write_id[40], *value;
	uint64_t version;
	int status;

	new_write_record(&record);
	g_free(c->doc.routes_toml);
	g_free(c->doc.pools_toml);
	c->doc.routes_toml = g_steal_pointer(&f->routes);
	c->doc.pools_toml = g_steal_pointer(&f->pools);
	snipe_history_push(c->doc.history, &c->doc.history_count, &record);
	g_strlcpy(base_write_id, c->doc.write_id, sizeof(base_write_id));
	g_strlcpy(c->doc.write_id, record.write_id, sizeof(c->doc.write_id));
	value = snipe_tables_document_print(&c->doc);
	status = commit("tables", c->version, base_write_id, record.write_id, value, &version);
	status = report_apply(status, c->version, version, record.write_id, value);
	g_free(value);
	return status;
}

int command_apply(void)
{
	struct current c = {0};
	struct files f = {0};
	int status = load_secret();

	if (!status)
		status = load_files(&f);
	if (!status)
		status = load_current(&c, 0);
	if (!status && options.if_version >= 0 && (uint64_t)options.if_version != c.version)
		status = conflict(&c, (uint64_t)options.if_version);
	else if (!status)
		status = write_tables(&c, &f);
	finish_files(&f);
	finish_current(&c);
	return status;
}

static void print_history_json(const struct current *c)
{
	json_t *list = json_array();
	char *text;

	for (int i = 0; i < c->doc.history_count; i++) {
		const struct snipe_write_record *w = &c->doc.history[i];

		json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s}", "write_id",
						      w->write_id, "operator", w->operator_name,
						      "time", w->time, "note", w->note));
	}
	text = json_dumps(list, JSON_COMPACT);
	printf("{\"version\":%" G_GUINT64_FORMAT ",\"history\":%s}\n", c->version, text);
	free(text);
	json_decref(list);
}

static void print_history(const struct current *c)
{
	printf("version=%" G_GUINT64_FORMAT "\n", c->version);
	for (int i = 0; i < c->doc.history_count; i++) {
		const struct snipe_write_record *w = &c->doc.history[i];

		printf("time=%s operator=%s write=%s note=\"%s\"\n", w->time, w->operator_name,
		       w->write_id, w->note);
	}
}

int command_history(void)
{
	struct current c;
	int status = load_current(&c, 1);

	if (!status && options.json)
		print_history_json(&c);
	else if (!status)
		print_history(&c);
	finish_current(&c);
	return status;
}

static int write_file(const char *path, const char *text)
{
	GError *error = NULL;

	if (!g_file_set_contents(path, text, -1, &error))
		return file_failed(error);
	return 0;
}

static int fetch(const struct current *c)
{
	int status;

	if (!options.force && (g_file_test(options.routes, G_FILE_TEST_EXISTS) ||
			       g_file_test(options.pools, G_FILE_TEST_EXISTS)))
		return fail(EXIT_USAGE, SNIPE_ERR_INVALID,
			    "%s or %s exists; name other files, or overwrite with --force",
			    options.routes, options.pools);
	status = write_file(options.routes, c->doc.routes_toml);
	if (!status)
		status = write_file(options.pools, c->doc.pools_toml);
	if (!status)
		printf(options.json ? "{\"version\":%" G_GUINT64_FORMAT "}\n"
				    : "version=%" G_GUINT64_FORMAT "\n",
		       c->version);
	return status;
}

int command_fetch(void)
{
	struct current c;
	int status = load_current(&c, 1);

	if (!status)
		status = fetch(&c);
	finish_current(&c);
	return status;
}
