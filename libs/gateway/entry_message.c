#include "gateway/entry_state.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

/* Time that a request may wait at a gate: for a client request a part of its route's target
 * latency, for an inner call a part of the time left, which is longer. Its caller holds a slot
 * and loses its work if the call fails. */
#define PATIENCE_PART 0.3
#define INNER_PATIENCE_PART 0.5
/* Ranks of the gate's queue: the workspace's priority before the route's. A client request at a
 * service needs one slot to be served whole, an inner call is one of several of its chain, and
 * chains are held back at the entry: inner calls come after the first three priorities. */
#define RANK_WORKSPACE 16
#define RANK_INNER (2 * RANK_WORKSPACE + 2)
/* Higher priorities rank as this one, so that a route never outranks a workspace. */
#define PRIORITY_MAX 15

static int is_dropped_header(const struct snipe_entry *e, const struct snipe_h1_message *m,
			     int field)
{
	const struct snipe_header_names *n = &e->config.dialect->headers;
	const char *dropped[] = {"Authorization", n->time_left_ms, n->workspace,
				 n->expected_server, n->caller_service};
	const char *name = snipe_h1_name(m, field);

	for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++)
		if (strcasecmp(name, dropped[i]) == 0)
			return 1;
	return snipe_h1_is_hop_by_hop(m, field);
}

/* There is room: requests with more fields were refused. */
static void add_slice(struct snipe_msg_call *m, const char *name, size_t name_len,
		      const char *value, size_t value_len)
{
	struct snipe_header *h = &m->headers[m->header_count++];

	h->name.data = name;
	h->name.len = name_len;
	h->value.data = value;
	h->value.len = value_len;
}

static void fill_headers(const struct snipe_entry_call *call, struct snipe_msg_call *m)
{
	const struct snipe_entry *e = call->entry;
	const struct snipe_header_names *n = &e->config.dialect->headers;
	const struct snipe_h1_message *req = &call->req->message;

	for (int i = 0; i < req->field_count; i++)
		if (!is_dropped_header(e, req, i))
			add_slice(m, snipe_h1_name(req, i), req->fields[i].name_len,
				  snipe_h1_value(req, i), req->fields[i].value_len);
	add_slice(m, n->caller_service, strlen(n->caller_service), e->config.settings->service,
		  strlen(e->config.settings->service));
	if (call->workspace >= 0)
		add_slice(m, n->workspace, strlen(n->workspace),
			  call->routing->workspaces[call->workspace].name,
			  strlen(call->routing->workspaces[call->workspace].name));
}

static int call_rank(const struct snipe_entry_call *call)
{
	int workspace = 0;

	if (call->is_inner)
		return RANK_INNER;
	if (call->workspace >= 0)
		workspace = call->routing->workspaces[call->workspace].priority;
	return CLAMP(workspace, 0, PRIORITY_MAX) * RANK_WORKSPACE +
	       CLAMP(call->route->priority, 0, PRIORITY_MAX);
}

void snipe_entry_fill_message(const struct snipe_entry_call *call, struct snipe_msg_call *m,
			      int64_t now)
{
	const struct snipe_h1_message *req = &call->req->message;
	int64_t left = call->deadline_us - now;

	g_strlcpy(m->route, call->route->name, sizeof(m->route));
	g_strlcpy(m->pool, call->service, sizeof(m->pool));
	g_strlcpy(m->method, http_method_str((enum http_method)req->method), sizeof(m->method));
	m->path.data = req->url.data;
	m->path.len = req->url.len;
	m->idempotent = call->route->idempotent;
	m->timeout_us = left;
	m->depth = call->is_inner ? 2 : 1;
	m->attempt = call->arrivals;
	m->fingerprint = call->fingerprint;
	m->rank = call_rank(call);
	m->is_trial = call->is_trial;
	m->patience_us =
		call->is_inner
			? (int64_t)(INNER_PATIENCE_PART * (double)left)
			: (int64_t)(PATIENCE_PART * (double)call->route->target_latency_us);
	fill_headers(call, m);
}
