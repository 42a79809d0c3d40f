#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "core/crash_guard.h"
#include "core/dedup.h"
#include "node/caller_key.h"
#include "node/caller_state.h"
#include "base/clock.h"
#include "node/http_text.h"

#define MAX_PATH 4096

/* Rejects requests whose end servers may see at different places. */
static enum snipe_reason check_form(struct snipe_call *call)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(call->req);
	struct evbuffer *body = evhttp_request_get_input_buffer(call->req);
	const char *value;
	int lengths = snipe_http_count(headers, "Content-Length", &value);
	int codings = snipe_http_count(headers, "Transfer-Encoding", &value);

	call->uri = evhttp_request_get_uri(call->req);
	if (!call->uri || lengths + codings > 1)
		return SNIPE_REASON_BAD_REQUEST;
	call->body_len = evbuffer_get_length(body);
	if (call->body_len > SNIPE_MAX_BODY_BYTES ||
	    snipe_http_headers_size(headers) > SNIPE_HTTP_MAX_HEADER_BYTES ||
	    strlen(call->uri) >= MAX_PATH)
		return SNIPE_REASON_TOO_LARGE;
	call->body = call->body_len ? (const char *)evbuffer_pullup(body, -1) : NULL;
	call->has_identifier =
		snipe_http_count(headers, "Idempotency-Key", &call->identifier) > 0;
	return SNIPE_REASON_NONE;
}

static enum snipe_reason check_route(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;
	const char *method = snipe_http_method_name(evhttp_request_get_command(call->req));
	const struct snipe_tables *tables;
	char path[MAX_PATH];
	int i;

	if (!call->snapshot || !call->snapshot->tables)
		return SNIPE_REASON_NO_CONFIG;
	if (!method || snipe_http_path(call->uri, path, sizeof(path)))
		return SNIPE_REASON_BAD_REQUEST;
	tables = &call->snapshot->tables->tables;
	i = snipe_tables_match(tables, method, path);
	if (i < 0)
		return SNIPE_REASON_NO_ROUTE;
	call->route = &tables->routes[i];
	call->route_state = t->route_states[i];
	call->importance = call->route->importance;
	call->pool =
		snipe_server_table_pool(&t->servers, tables->pools[call->route->pool].name);
	return SNIPE_REASON_NONE;
}

/* Finds the workspace of the key. Open routes need none and ignore a key. */
static enum snipe_reason check_key(struct snipe_call *call,
				   const struct snipe_caller_keys *keys)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(call->req);
	const struct snipe_loaded_keys *loaded = call->snapshot->keys;
	const char *named, *workspace;

	if (call->route->open)
		return SNIPE_REASON_NONE;
	if (keys->count == 0)
		return SNIPE_REASON_KEY_MISSING;
	if (!loaded)
		return SNIPE_REASON_NO_CONFIG;
	workspace = snipe_keys_lookup(&loaded->keys, keys->keys[0].data, keys->keys[0].len);
	/* A workspace that was removed from the table has no rate any more. */
	if (!workspace ||
	    snipe_tables_find_workspace(&call->snapshot->tables->tables, workspace) < 0)
		return SNIPE_REASON_KEY_INVALID;
	snprintf(call->workspace, sizeof(call->workspace), "%s", workspace);
	switch (snipe_http_count(headers, "Snipe-Workspace", &named)) {
	case 0:
		return SNIPE_REASON_NONE;
	case 1:
		return strcmp(named, workspace) == 0 ? SNIPE_REASON_NONE
						     : SNIPE_REASON_WRONG_WORKSPACE;
	default:
		return SNIPE_REASON_WRONG_WORKSPACE;
	}
}

/* An inner call inherits all from the request that runs on the backend server beside. */
static enum snipe_reason check_context(struct snipe_call *call)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(call->req);
	struct snipe_call_context c;
	const char *token;
	int repeated = 0;

	if (snipe_http_count(headers, "Snipe-Context", &token) > 1 ||
	    snipe_backend_task_context(call->task->backend, token, call->fingerprint, &c,
				       &repeated))
		return SNIPE_REASON_CONTEXT_MISSING;
	call->is_inner = 1;
	memcpy(call->context_token, c.token, sizeof(call->context_token));
	if (c.depth >= SNIPE_MAX_DEPTH)
		return SNIPE_REASON_DEPTH_EXCEEDED;
	call->depth = c.depth + 1;
	call->importance = (enum snipe_importance)c.importance;
	call->root_address = c.root_address;
	call->root_request = c.root_request;
	call->is_repetition = repeated || c.is_repetition;
	if (c.deadline_us < call->deadline_us)
		call->deadline_us = c.deadline_us;
	memcpy(call->workspace, c.workspace, sizeof(call->workspace));
	/* A request without a key must not reach a route that needs one. */
	if (!call->route->open && !*call->workspace)
		return SNIPE_REASON_KEY_MISSING;
	return SNIPE_REASON_NONE;
}

static enum snipe_reason check_deadline(struct snipe_call *call)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(call->req);
	int64_t timeout_us = (int64_t)call->route->timeout_ms * 1000;
	const char *text;
	guint64 ms;

	if (snipe_http_count(headers, "Snipe-Timeout-Ms", &text) > 0) {
		if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT32, &ms, NULL))
			return SNIPE_REASON_BAD_REQUEST;
		if ((int64_t)ms * 1000 < timeout_us)
			timeout_us = (int64_t)ms * 1000;
	}
	call->deadline_us = call->started_us + timeout_us;
	return SNIPE_REASON_NONE;
}

static enum snipe_reason check_identifier(struct snipe_call *call)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(call->req);
	const char *text;
	int64_t wall_ms;

	if (!call->has_identifier || call->route->idempotent) {
		call->identifier = NULL;
		return SNIPE_REASON_NONE;
	}
	if (snipe_http_count(headers, "Idempotency-Key", &text) > 1 ||
	    snipe_identifier_time(text, &wall_ms))
		return SNIPE_REASON_IDENTIFIER_INVALID;
	return SNIPE_REASON_NONE;
}

/* The outside caller becomes the first node's client request. */
static void start_ledger(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;

	call->depth = 1;
	call->root_address = *snipe_peer_address(t->peers);
	call->root_request = call->id;
	snipe_retry_ledger_open(&t->ledger, call->id, call->route->max_retries);
}

static uint64_t request_fingerprint(const struct snipe_call *call)
{
	struct snipe_crash_request r = {
		.host = "",
		.caller = "",
		.method = call->route->method,
		.path = call->uri,
		.body = call->body,
		.body_len = call->body_len,
	};

	return snipe_crash_fingerprint(&r);
}

enum snipe_reason snipe_call_check(struct snipe_call *call, int is_local)
{
	struct snipe_caller_task *t = call->task;
	struct snipe_caller_keys keys;
	enum snipe_reason reason = check_form(call);

	if (reason == SNIPE_REASON_NONE && t->is_draining && !is_local)
		reason = SNIPE_REASON_DRAINING;
	if (reason == SNIPE_REASON_NONE)
		reason = check_route(call);
	if (reason != SNIPE_REASON_NONE)
		return reason;
	snipe_caller_keys_find(&keys, evhttp_request_get_input_headers(call->req));
	reason = snipe_caller_keys_check(&keys, call->uri);
	if (reason != SNIPE_REASON_NONE)
		return reason;
	/* The clock is read for each request: a paused node resumes here. No key is looked up
	 * for an inner call; it goes on with the workspace of the request that runs. */
	if (!call->route->open && !is_local && call->started_us >= t->valid_until_us)
		return SNIPE_REASON_CONFIG_UNCONFIRMED;
	reason = check_deadline(call);
	if (reason != SNIPE_REASON_NONE)
		return reason;
	call->fingerprint = request_fingerprint(call);
	reason = is_local ? check_context(call) : check_key(call, &keys);
	if (reason == SNIPE_REASON_NONE)
		reason = check_identifier(call);
	if (reason == SNIPE_REASON_NONE && call->deadline_us <= call->started_us)
		reason = SNIPE_REASON_EXPIRED;
	if (reason == SNIPE_REASON_NONE && !is_local)
		start_ledger(call);
	return reason;
}
