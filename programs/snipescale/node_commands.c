#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "operator.h"

/* Sends a request to the first --node. Returns 0 or an exit status. */
static int ask(const char *method, const char *path, GString *response)
{
	struct snipe_address address;
	int rc;

	if (!options.nodes || !*options.nodes)
		return fail(EXIT_USAGE, SNIPE_ERR_INVALID,
			    "give the node's admin listener with --node IP:PORT");
	if (snipe_address_parse(*options.nodes, &address) < 0 || address.port == 0)
		return fail(EXIT_USAGE, SNIPE_ERR_INVALID,
			    "--node %s is no IP number with a port; write 192.0.2.1:8082",
			    *options.nodes);
	rc = node_request(&address, method, path, 0, NULL, NULL, 0, response);
	if (rc < 200 || rc > 299)
		return fail(EXIT_UNAVAILABLE, SNIPE_ERR_UNAVAILABLE,
			    "node %s does not answer %s %s; check that it is its admin "
			    "listener",
			    *options.nodes, method, path);
	return 0;
}

int command_dump(void)
{
	GString *response = g_string_new(NULL);
	int status = ask("GET", "/state", response);

	if (!status)
		fputs(response->str, stdout);
	g_string_free(response, TRUE);
	return status;
}

static const char *text_of(const json_t *member, const char *key)
{
	const char *text = json_string_value(json_object_get(member, key));

	return text ? text : "";
}

static void print_members(const json_t *members)
{
	for (size_t i = 0; i < json_array_size(members); i++) {
		const json_t *m = json_array_get(members, i);

		printf("node=%s state=%s address=%s region=%s failure_domain=%s pool=%s\n",
		       text_of(m, "node"), text_of(m, "state"), text_of(m, "address"),
		       text_of(m, "region"), text_of(m, "failure_domain"), text_of(m, "pool"));
	}
}

int command_nodes(void)
{
	GString *response = g_string_new(NULL);
	int status = ask("GET", "/state", response);
	json_t *root = status ? NULL : json_loadb(response->str, response->len, 0, NULL);
	json_t *members = json_object_get(json_object_get(root, "control"), "members");

	if (!status && !json_is_array(members))
		status = fail(EXIT_UNAVAILABLE, SNIPE_ERR_SYNTAX,
			      "the state dump of node %s holds no member list; use the "
			      "version of snipescale that belongs to the node",
			      *options.nodes);
	else if (!status && options.json)
		json_dumpf(members, stdout, JSON_COMPACT);
	else if (!status)
		print_members(members);
	json_decref(root);
	g_string_free(response, TRUE);
	return status;
}

int command_drain(void)
{
	GString *response = g_string_new(NULL);
	int status = ask("POST", "/drain", response);

	if (!status)
		printf(options.json ? "{\"node\":\"%s\",\"draining\":true}\n"
				    : "node=%s draining\n",
		       *options.nodes);
	g_string_free(response, TRUE);
	return status;
}
