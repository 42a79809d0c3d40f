/*
 * snipescale: the operators' program. See docs/man/snipescale.1.
 */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operator.h"

struct options options = {.routes = "routes.toml", .pools = "pools.toml", .if_version = -1};

static gboolean show_version;

/* Notes and names are read as raw bytes, so that the C locale accepts UTF-8 too. */
static const GOptionEntry entries[] = {
	{"platform", 0, 0, G_OPTION_ARG_STRING, &options.platform, "Platform", "IP:PORT"},
	{"routes", 0, 0, G_OPTION_ARG_FILENAME, &options.routes,
	 "Routes table (default routes.toml)", "FILE"},
	{"pools", 0, 0, G_OPTION_ARG_FILENAME, &options.pools,
	 "Pools table (default pools.toml)", "FILE"},
	{"if-version", 0, 0, G_OPTION_ARG_INT64, &options.if_version,
	 "apply: the version that you saw; 0 if there was none", "V"},
	{"note", 0, 0, G_OPTION_ARG_FILENAME, &options.note, "Note for the history", "TEXT"},
	{"operator", 0, 0, G_OPTION_ARG_FILENAME, &options.operator_name,
	 "Name for the history (default: the user)", "NAME"},
	{"node", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.nodes,
	 "Admin listener of a node; may be repeated for apply and key", "IP:PORT"},
	{"secret-file", 0, 0, G_OPTION_ARG_FILENAME, &options.secret_file,
	 "File with the fleet_secret, needed to hand an object to --node", "FILE"},
	{"workspace", 0, 0, G_OPTION_ARG_STRING, &options.workspace, "key issue: workspace",
	 "NAME"},
	{"id", 0, 0, G_OPTION_ARG_STRING, &options.id, "key withdraw: id of the key", "ID"},
	{"force", 0, 0, G_OPTION_ARG_NONE, &options.force, "fetch: overwrite files", NULL},
	{"json", 0, 0, G_OPTION_ARG_NONE, &options.json, "Print JSON", NULL},
	{"version", 0, 0, G_OPTION_ARG_NONE, &show_version, "Print the version and exit", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const struct {
	const char *name;
	int (*run)(void);
	const char *help;
} commands[] = {
	{"check", command_check, "check both tables"},
	{"diff", command_diff, "compare the files with the tables in force"},
	{"apply", command_apply, "write both tables"},
	{"history", command_history, "list the last 16 writes"},
	{"fetch", command_fetch, "write the tables in force to the files"},
	{"key issue", command_key_issue, "make a key for --workspace and print it once"},
	{"key list", command_key_list, "list ids and workspaces of the keys in force"},
	{"key withdraw", command_key_withdraw, "withdraw the key --id"},
	{"nodes", command_nodes, "list the members that --node knows"},
	{"dump", command_dump, "print the state of --node"},
	{"drain", command_drain, "stop --node gracefully"},
};

static void print_json_error(const char *key, json_t *value, const char *message)
{
	json_t *root = json_pack("{s:o}", key, value);
	char *text;

	if (message)
		json_object_set_new(root, "message", json_string(message));
	text = json_dumps(root, JSON_COMPACT);
	fprintf(stderr, "%s\n", text);
	free(text);
	json_decref(root);
}

int fail(enum exit_status status, int err, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	if (options.json)
		print_json_error("error", json_string(snipe_error_name(err)), text);
	else
		fprintf(stderr, "snipescale: %s: %s\n", snipe_error_name(err), text);
	g_free(text);
	return status;
}

void print_problems(const struct snipe_problems *problems)
{
	json_t *list = json_array();

	for (int i = 0; i < problems->count; i++) {
		if (!options.json)
			fprintf(stderr, "%s\n", problems->lines[i]);
		json_array_append_new(list, json_string(problems->lines[i]));
	}
	if (options.json)
		print_json_error("problems", list, NULL);
	else
		json_decref(list);
}

static char *summary(void)
{
	GString *text = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(text, "  %-14s %s\n", commands[i].name,
				       commands[i].help);
	g_string_append(text,
			"\nExit status: 0 done, 1 differences, 2 usage, 3 invalid tables, "
			"4 conflict,\n5 unavailable, 6 outcome unknown, 7 not found, 8 "
			"not handed over. See snipescale(1).");
	return g_string_free(text, FALSE);
}

static int run(int argc, char **argv)
{
	char *name = argc == 3	 ? g_strdup_printf("%s %s", argv[1], argv[2])
		     : argc == 2 ? g_strdup(argv[1])
				 : g_strdup("");
	int status = -1;

	for (size_t i = 0; i < G_N_ELEMENTS(commands) && status < 0; i++) {
		if (!strcmp(name, commands[i].name))
			status = commands[i].run();
	}
	if (status < 0)
		status = fail(EXIT_USAGE, SNIPE_ERR_INVALID,
			      "unknown command \"%s\"; see snipescale --help", name);
	g_free(name);
	return status;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("COMMAND");
	GError *error = NULL;
	char *text = summary();
	int status = EXIT_OK;

	signal(SIGPIPE, SIG_IGN);
	g_option_context_set_summary(context, text);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error))
		status = fail(EXIT_USAGE, SNIPE_ERR_INVALID, "%s; see snipescale --help",
			      error->message);
	else if (show_version)
		printf("snipescale %s\n", SNIPE_VERSION);
	else
		status = run(argc, argv);
	g_clear_error(&error);
	g_option_context_free(context);
	g_free(text);
	return status;
}
