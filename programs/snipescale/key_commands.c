#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operator.h"

/* Changes of different keys do not disturb each other, so a conflict is resolved by reading
 * again; more rounds than this mean that something else is wrong. */
#define ROUNDS 10

static int load_keys(struct snipe_keys *keys, uint64_t *version)
{
	struct snipe_error_text text;
	char *value;
	gsize len;
	int err = platform_get("keys", version, &value, &len);

	snipe_keys_init(keys);
	if (err == SNIPE_ERR_NOT_FOUND)
		return 0;
	if (err < 0)
		return platform_failed(err, "keys");
	err = snipe_keys_parse(keys, value, len, &text);
	g_free(value);
	return err < 0 ? fail(EXIT_INVALID, err, "%s", text.text) : 0;
}

/* A key for a workspace without a rate could never be used. */
static int check_workspace(void)
{
	struct snipe_tables_document doc;
	struct snipe_problems problems;
	struct snipe_tables tables = {0};
	uint64_t version;
	char *value;
	gsize len;
	int err = platform_get("tables", &version, &value, &len);

	if (err < 0)
		return platform_failed(err, "tables");
	snipe_problems_init(&problems);
	err = snipe_tables_document_parse(&doc, value, len, NULL);
	if (err == 0)
		err = snipe_tables_load(&tables, doc.routes_toml, "routes", doc.pools_toml,
					"pools", &problems);
	if (err == 0)
		err = snipe_tables_find_workspace(&tables, options.workspace);
	snipe_tables_finish(&tables);
	snipe_tables_document_finish(&doc);
	snipe_problems_finish(&problems);
	g_free(value);
	if (err < 0)
		return fail(EXIT_NOT_FOUND, err,
			    "the tables have no workspace \"%s\"; add it with \"snipescale "
			    "apply\" first",
			    options.workspace);
	return 0;
}

static int unknown(const char *write_id)
{
	return fail(EXIT_UNKNOWN, SNIPE_ERR_UNKNOWN,
		    "the response to write %s was lost and the platform does not answer; run "
		    "\"snipescale key list\" to see whether it took effect",
		    write_id);
}

/* One round of change. Returns 0, a negative error of the write, or an exit status. */
static int change_once(int (*change)(struct snipe_keys *keys, void *arg), void *arg,
		       uint64_t *version, char **value, char write_id[40])
{
	struct snipe_write_record record;
	char base_write_id[40];
	struct snipe_keys keys;
	int rc = load_keys(&keys, version);

	if (rc == 0)
		rc = change(&keys, arg);
	if (rc == 0) {
		new_write_record(&record);
		g_strlcpy(write_id, record.write_id, 40);
		g_strlcpy(base_write_id, keys.write_id, sizeof(base_write_id));
		g_strlcpy(keys.write_id, record.write_id, sizeof(keys.write_id));
		snipe_history_push(keys.history, &keys.history_count, &record);
		*value = snipe_keys_print(&keys);
		rc = commit("keys", *version, base_write_id, record.write_id, *value, version);
	}
	snipe_keys_finish(&keys);
	return rc;
}

static int change_keys(int (*change)(struct snipe_keys *keys, void *arg), void *arg,
		       uint64_t *version, char **value)
{
	char write_id[40] = "";
	int rc = SNIPE_ERR_CONFLICT;

	*value = NULL;
	for (int i = 0; i < ROUNDS && rc == SNIPE_ERR_CONFLICT; i++) {
		g_free(*value);
		*value = NULL;
		rc = change_once(change, arg, version, value, write_id);
	}
	if (rc >= 0)
		return rc;
	if (rc == SNIPE_ERR_UNKNOWN)
		return unknown(write_id);
	if (rc == SNIPE_ERR_CONFLICT)
		return fail(EXIT_CONFLICT, rc,
			    "other operators changed the keys %d times in a row; nothing was "
			    "written, try again",
			    ROUNDS);
	if (rc == SNIPE_ERR_TOO_LARGE)
		return fail(EXIT_INVALID, rc,
			    "the keys exceed 1 MB; withdraw keys that are not used");
	return platform_failed(rc, "keys");
}

struct issued {
	char key[64], id[24];
};

static int issue(struct snipe_keys *keys, void *arg)
{
	struct issued *issued = arg;
	struct snipe_write_record now;

	new_write_record(&now);
	if (snipe_keys_issue(keys, options.workspace, now.time, issued->key, issued->id) < 0)
		return fail(EXIT_USAGE, SNIPE_ERR_IO, "no random numbers from the kernel");
	return 0;
}

int command_key_issue(void)
{
	struct issued issued;
	uint64_t version;
	char *value = NULL;
	int status;

	if (!options.workspace)
		return fail(EXIT_USAGE, SNIPE_ERR_INVALID,
			    "give the workspace with --workspace NAME");
	status = load_secret();
	if (!status)
		status = platform_open();
	if (!status)
		status = check_workspace();
	if (!status)
		status = change_keys(issue, &issued, &version, &value);
	if (status) {
		g_free(value);
		return status;
	}
	/* The only time that the key itself is shown. */
	printf(options.json
		       ? "{\"id\":\"%s\",\"workspace\":\"%s\",\"version\":%" G_GUINT64_FORMAT
			 ",\"key\":\"%s\"}\n"
		       : "id=%s workspace=%s version=%" G_GUINT64_FORMAT "\nkey=%s\n",
	       issued.id, options.workspace, version, issued.key);
	status = hand_over("keys", version, value);
	g_free(value);
	return status;
}

int command_key_list(void)
{
	struct snipe_keys keys;
	uint64_t version;
	json_t *list;
	int status = platform_open();

	snipe_keys_init(&keys);
	if (!status)
		status = load_keys(&keys, &version);
	if (status) {
		snipe_keys_finish(&keys);
		return status;
	}
	list = json_array();
	for (int i = 0; i < keys.count; i++) {
		const struct snipe_key *k = &keys.entries[i];

		if (!options.json)
			printf("id=%s workspace=%s issued=%s\n", k->id, k->workspace,
			       k->issued);
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s}", "id", k->id, "workspace",
						k->workspace, "issued", k->issued));
	}
	if (options.json) {
		char *text = json_dumps(list, JSON_COMPACT);

		printf("{\"version\":%" G_GUINT64_FORMAT ",\"keys\":%s}\n", version, text);
		free(text);
	}
	json_decref(list);
	snipe_keys_finish(&keys);
	return EXIT_OK;
}

static int withdraw(struct snipe_keys *keys, void *arg)
{
	(void)arg;
	if (snipe_keys_withdraw(keys, options.id) < 0)
		return fail(EXIT_NOT_FOUND, SNIPE_ERR_NOT_FOUND,
			    "no key %s is in force; see \"snipescale key list\"", options.id);
	return 0;
}

int command_key_withdraw(void)
{
	uint64_t version;
	char *value = NULL;
	int status;

	if (!options.id)
		return fail(EXIT_USAGE, SNIPE_ERR_INVALID, "give the key's id with --id ID");
	status = load_secret();
	if (!status)
		status = platform_open();
	if (!status)
		status = change_keys(withdraw, NULL, &version, &value);
	if (status) {
		g_free(value);
		return status;
	}
	printf(options.json ? "{\"id\":\"%s\",\"version\":%" G_GUINT64_FORMAT "}\n"
			    : "id=%s withdrawn version=%" G_GUINT64_FORMAT "\n",
	       options.id, version);
	status = hand_over("keys", version, value);
	g_free(value);
	return status;
}
