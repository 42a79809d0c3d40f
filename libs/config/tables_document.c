#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/history.h"
#include "config/tables.h"

void snipe_tables_document_init(struct snipe_tables_document *doc)
{
	memset(doc, 0, sizeof(*doc));
}

void snipe_tables_document_finish(struct snipe_tables_document *doc)
{
	g_free(doc->routes_toml);
	g_free(doc->pools_toml);
	memset(doc, 0, sizeof(*doc));
}

static int read_document(struct snipe_tables_document *doc, const json_t *root)
{
	const char *routes = json_string_value(json_object_get(root, "routes"));
	const char *pools = json_string_value(json_object_get(root, "pools"));

	if (!routes || !pools ||
	    snipe_json_copy(root, "write_id", doc->write_id, sizeof(doc->write_id)) < 0)
		return SNIPE_ERR_INVALID;
	doc->routes_toml = g_strdup(routes);
	doc->pools_toml = g_strdup(pools);
	return snipe_history_parse(json_object_get(root, "history"), doc->history,
				   &doc->history_count);
}

int snipe_tables_document_parse(struct snipe_tables_document *doc, const char *json, size_t len,
				struct snipe_error_text *err)
{
	json_error_t e;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &e);
	int rc;

	snipe_tables_document_init(doc);
	if (!root)
		return snipe_error_set(err, SNIPE_ERR_SYNTAX,
				       "config/tables:%d: %s; write the tables again with "
				       "snipescale apply",
				       e.line, e.text);
	rc = read_document(doc, root);
	json_decref(root);
	if (rc < 0) {
		snipe_tables_document_finish(doc);
		return snipe_error_set(err, rc,
				       "config/tables: routes, pools, write_id or history is "
				       "missing or too long; write the tables again with "
				       "snipescale apply");
	}
	return 0;
}

char *snipe_tables_document_print(const struct snipe_tables_document *doc)
{
	json_t *root = json_pack("{s:s, s:s, s:s, s:o}", "routes", doc->routes_toml, "pools",
				 doc->pools_toml, "write_id", doc->write_id, "history",
				 snipe_history_json(doc->history, doc->history_count));
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}
