#include "config/settings.h"

#include <glib.h>
#include <string.h>

#include "base/log.h"
#include "config/section.h"

#define SETTINGS_MAX_BYTES (64 * 1024)

/* Sections of the file; an absent one reads as empty, so that its required keys are named. */
enum part { PART_NODE, PART_LISTEN, PART_PLATFORM, PART_JOIN, PART_OVERLOAD, PART_COUNT };

static const char *const part_names[PART_COUNT] = {"node", "listen", "platform", "join",
						   "overload"};

static void find_parts(struct snipe_toml *toml, const char *file,
		       struct snipe_problems *problems, struct snipe_toml_section *absent,
		       struct snipe_section *parts)
{
	for (int p = 0; p < PART_COUNT; p++) {
		absent[p].name = (char *)part_names[p];
		absent[p].line = 1;
		parts[p] = (struct snipe_section){file, &absent[p], problems};
	}
	for (int i = 0; i < toml->count; i++) {
		struct snipe_toml_section *section = &toml->sections[i];
		int p = 0;

		while (p < PART_COUNT && strcmp(section->name, part_names[p]) != 0)
			p++;
		if (p < PART_COUNT && section->kind == SNIPE_TOML_TABLE)
			parts[p].toml = section;
		else
			snipe_problems_add(problems,
					   "%s:%d: %s: is unknown; use the sections [node], "
					   "[listen], [platform], [join] and [overload]",
					   file, section->line, section->name);
	}
}

static int is_wildcard(const struct snipe_address *a)
{
	return !strcmp(a->ip, "0.0.0.0") || !strcmp(a->ip, "::");
}

static void read_address(const struct snipe_section *s, const char *key, int is_remote,
			 struct snipe_address *out)
{
	const char *text;

	if (!snipe_section_string(s, key, SNIPE_REQUIRED, &text))
		return;
	if (snipe_address_parse(text, out) < 0)
		snipe_section_problem(s, key,
				      "\"%.60s\" is no IP number with a port; write "
				      "\"192.0.2.1:7000\" or \"[2001:db8::1]:7000\"",
				      text);
	else if (is_remote && (out->port == 0 || is_wildcard(out)))
		snipe_section_problem(s, key,
				      "\"%.60s\" is no address to connect to; give the IP "
				      "number and the port of the listener",
				      text);
}

/* Other nodes connect to the peer listener by the address in these settings. */
static void check_peer_address(const struct snipe_section *s, const struct snipe_settings *out)
{
	if (is_wildcard(&out->peer_listen))
		snipe_section_problem(s, "peers",
				      "is a wildcard, which other nodes cannot connect to; "
				      "give the IP number of this VM");
}

static void read_secret(const struct snipe_section *s, struct snipe_settings *out)
{
	const char *text;
	size_t len;

	if (!snipe_section_string(s, "fleet_secret", SNIPE_REQUIRED, &text))
		return;
	len = strlen(text);
	if (len < 16 || len >= sizeof(out->fleet_secret)) {
		snipe_section_problem(s, "fleet_secret",
				      "has %zu bytes; use 16 to 127, the same on all nodes",
				      len);
		return;
	}
	g_strlcpy(out->fleet_secret, text, sizeof(out->fleet_secret));
}

static void read_node(const struct snipe_section *s, struct snipe_settings *out)
{
	static const char *const levels[] = {"error", "warning", "info", "debug"};
	int level = SNIPE_LOG_INFO;

	snipe_section_name(s, "id", SNIPE_REQUIRED, out->node_id);
	snipe_section_name(s, "region", SNIPE_REQUIRED, out->region);
	snipe_section_name(s, "failure_domain", SNIPE_REQUIRED, out->failure_domain);
	read_secret(s, out);
	snipe_section_word(s, "log_level", SNIPE_OPTIONAL, levels, G_N_ELEMENTS(levels),
			   &level);
	g_strlcpy(out->log_level, levels[level], sizeof(out->log_level));
}

static void read_join(const struct snipe_section *s, struct snipe_settings *out)
{
	char **seeds = NULL;

	if (!snipe_section_strings(s, "seeds", SNIPE_OPTIONAL, &seeds))
		return;
	if (g_strv_length(seeds) > SNIPE_MAX_SEEDS) {
		snipe_section_problem(s, "seeds", "holds %u addresses; give at most %d",
				      g_strv_length(seeds), SNIPE_MAX_SEEDS);
		return;
	}
	for (; *seeds; seeds++) {
		struct snipe_address *a = &out->seeds[out->seed_count++];

		if (snipe_address_parse(*seeds, a) < 0 || a->port == 0 || is_wildcard(a))
			snipe_section_problem(s, "seeds",
					      "\"%.60s\" is no IP number with a port; write "
					      "the peer listener of a node as "
					      "\"192.0.2.1:7000\"",
					      *seeds);
	}
}

static void read_overload(const struct snipe_section *s, struct snipe_settings *out)
{
	static const char *const policies[] = {"adaptive", "fixed", "none"};
	int policy = 0;

	snipe_section_word(s, "policy", SNIPE_OPTIONAL, policies, G_N_ELEMENTS(policies),
			   &policy);
	g_strlcpy(out->policy, policies[policy], sizeof(out->policy));
	snipe_section_integer(s, "fixed_limit", policy == 1 ? SNIPE_REQUIRED : SNIPE_OPTIONAL,
			      1, 100000, &out->fixed_limit);
}

static void read_settings(struct snipe_toml *toml, const char *name, struct snipe_settings *out,
			  struct snipe_problems *problems)
{
	struct snipe_toml_section absent[PART_COUNT] = {{0}};
	struct snipe_section parts[PART_COUNT];
	const struct snipe_section *listen = &parts[PART_LISTEN];

	find_parts(toml, name, problems, absent, parts);
	read_node(&parts[PART_NODE], out);
	read_address(listen, "callers", 0, &out->caller_listen);
	read_address(listen, "local", 0, &out->local_listen);
	read_address(listen, "peers", 0, &out->peer_listen);
	read_address(listen, "admin", 0, &out->admin_listen);
	check_peer_address(listen, out);
	read_address(&parts[PART_PLATFORM], "address", 1, &out->platform);
	read_join(&parts[PART_JOIN], out);
	read_overload(&parts[PART_OVERLOAD], out);
	for (int p = 0; p < PART_COUNT; p++)
		snipe_section_unknown(&parts[p]);
}

static int load(struct snipe_settings *s, const char *text, size_t len, const char *name,
		struct snipe_problems *problems)
{
	int problems_before = problems->count;
	struct snipe_toml_error err;
	struct snipe_toml toml;

	memset(s, 0, sizeof(*s));
	if (len > SETTINGS_MAX_BYTES) {
		snipe_problems_add(problems,
				   "%s:1: file: has %zu bytes; the limit is %d, shorten it",
				   name, len, SETTINGS_MAX_BYTES);
		return SNIPE_ERR_TOO_LARGE;
	}
	if (snipe_toml_read(&toml, text, len, &err) < 0) {
		snipe_problems_add(problems,
				   "%s:%d: syntax, column %d: %s; correct the TOML syntax",
				   name, err.line, err.column, err.text);
		return SNIPE_ERR_SYNTAX;
	}
	read_settings(&toml, name, s, problems);
	snipe_toml_finish(&toml);
	if (problems->count == problems_before)
		return 0;
	memset(s, 0, sizeof(*s));
	return SNIPE_ERR_INVALID;
}

int snipe_settings_load(struct snipe_settings *s, const char *toml, const char *name,
			struct snipe_problems *problems)
{
	return load(s, toml, strlen(toml), name, problems);
}

int snipe_settings_load_file(struct snipe_settings *s, const char *path,
			     struct snipe_problems *problems)
{
	GError *error = NULL;
	char *text;
	gsize len;
	int err;

	memset(s, 0, sizeof(*s));
	if (!g_file_get_contents(path, &text, &len, &error)) {
		snipe_problems_add(problems, "%s:1: file: %s; check the path and its rights",
				   path, error->message);
		g_error_free(error);
		return SNIPE_ERR_IO;
	}
	err = load(s, text, len, path, problems);
	g_free(text);
	return err;
}
