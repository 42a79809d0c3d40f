/*
 * snipescaled: the node that runs beside a backend server.
 *
 * Exit status: 0 after a graceful stop or a check without problems, 1 for a problem in the
 * settings, 2 for wrong arguments, 3 if the node could not start.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "base/error.h"
#include "base/log.h"
#include "config/settings.h"
#include "node/node.h"
#include "platform.h"

/* Larger blocks are given back to the kernel when they are freed. The allocator would raise the
 * bound by itself, up to 32 MB. */
#define MAPPED_BLOCK_BYTES (128 * 1024)

enum exit_status { EXIT_OK, EXIT_SETTINGS, EXIT_USAGE, EXIT_START };

static char *config_path;
static gboolean check_only, show_version, on_platform;

static const GOptionEntry options[] = {
	{"config", 'c', 0, G_OPTION_ARG_FILENAME, &config_path, "Settings of the node (TOML)",
	 "FILE"},
	{"platform", 'p', 0, G_OPTION_ARG_NONE, &on_platform,
	 "Run on the users' platform, with the settings file that its environment names", NULL},
	{"check", 0, 0, G_OPTION_ARG_NONE, &check_only, "Check the settings and exit", NULL},
	{"version", 0, 0, G_OPTION_ARG_NONE, &show_version, "Print the version and exit", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static int parse_arguments(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("- node of an overload control fleet");
	GError *error = NULL;
	int ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	if (ok && !show_version && (!config_path == !on_platform || argc > 1)) {
		fprintf(stderr, "snipescaled: give the settings with --config FILE, or "
				"--platform, and no "
				"other arguments; see --help\n");
		ok = 0;
	} else if (!ok) {
		fprintf(stderr, "snipescaled: %s; see --help\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return ok;
}

static int load_settings(struct snipe_settings *settings)
{
	struct snipe_problems problems;
	int rc;

	snipe_problems_init(&problems);
	rc = snipe_settings_load_file(settings, config_path, &problems);
	for (int i = 0; i < problems.count; i++)
		fprintf(stderr, "snipescaled: %s\n", problems.lines[i]);
	snipe_problems_finish(&problems);
	return rc;
}

static int run_on_platform(void)
{
	const char *path = snipe_adapter_settings_path();
	struct snipe_error_text err = {"the environment names no settings file; start the node "
				       "as the platform does"};

	snipe_log_init("snipescaled", SNIPE_LOG_INFO);
	snipe_log_use_stdout();
	if (!path || snipe_adapter_run(path, check_only, &err) < 0) {
		fprintf(stderr, "snipescaled: %s\n", err.text);
		return EXIT_START;
	}
	return EXIT_OK;
}

int main(int argc, char **argv)
{
	enum snipe_log_level level = SNIPE_LOG_INFO;
	static struct snipe_settings settings;
	struct snipe_error_text err;

	mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
	if (!parse_arguments(argc, argv))
		return EXIT_USAGE;
	if (show_version) {
		printf("snipescaled %s\n", SNIPE_VERSION);
		return EXIT_OK;
	}
	if (on_platform)
		return run_on_platform();
	if (load_settings(&settings) < 0)
		return EXIT_SETTINGS;
	if (check_only) {
		printf("%s: no problems\n", config_path);
		return EXIT_OK;
	}
	snipe_log_parse_level(settings.log_level, &level);
	snipe_log_init("snipescaled", level);
	if (snipe_node_run(&settings, &err) < 0) {
		fprintf(stderr, "snipescaled: %s\n", err.text);
		return EXIT_START;
	}
	return EXIT_OK;
}
