#include "gateway/entry_state.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

/* Longest wait in a gate's queue: for a client request as a part of its route's target latency,
 * for an inner call as a part of the time left, which is longer, since the caller of an inner
 * call holds a slot and loses its work if the call fails. */
#define GATE_WAIT_TARGET_RATIO 0.3
#define INNER_GATE_WAIT_RATIO 0.5
/* Ranks in the gate's queue, 0 first: the workspace's priority goes before the route's. Inner
 * calls rank behind workspace priorities 0 and 1, and behind route priorities 0 and 1 of
 * workspace priority 2: a client request needs one slot of this service, an inner call is one
 * of several of its chain, and the entry already limits the chains. */
#define RANK_PER_WORKSPACE_PRIORITY 16
#define INNER_CALL_RANK (2 * RANK_PER_WORKSPACE_PRIORITY + 2)
/* Higher priority values rank as this one, so that a route's priority never outweighs its
 * workspace's. */
#define RANK_MAX_PRIORITY 15

static int is_dropped_header(const struct snipe_entry *e, const struct snipe_h1_message *m,
			     int field)
{
	const struct snipe_header_names *n = &e->config.dialect->headers;
	const char *dropped[] = {"Authorization", n->time_left_ms, n->workspace,
				 n->expected_server, n->caller_service};
	const char *name = snipe_h1_field_name(m, field);

	for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++)
		if (strcasecmp(name, dropped[i]) == 0)
			return 1;
	return snipe_h1_is_hop_by_hop(m, field);
}

/* m->headers has room: check_route rejects requests with more headers. */
static void add_message_header(struct snipe_msg_call *m, const char *name, size_t name_len,
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
			add_message_header(
				m, snipe_h1_field_name(req, i), req->fields[i].name_len,
				snipe_h1_field_value(req, i), req->fields[i].value_len);
	add_message_header(m, n->caller_service, strlen(n->caller_service),
			   e->config.settings->service, strlen(e->config.settings->service));
	if (call->workspace >= 0)
		add_message_header(m, n->workspace, strlen(n->workspace),
				   call->routing->workspaces[call->workspace].name,
				   strlen(call->routing->workspaces[call->workspace].name));
}

int snipe_entry_call_rank(const struct snipe_entry_call *call)
{
	int workspace = 0;

	if (call->is_inner)
		return INNER_CALL_RANK;
	if (call->workspace >= 0)
		workspace = call->routing->workspaces[call->workspace].priority;
	return CLAMP(workspace, 0, RANK_MAX_PRIORITY) * RANK_PER_WORKSPACE_PRIORITY +
	       CLAMP(call->route->priority, 0, RANK_MAX_PRIORITY);
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
	m->attempt = call->arrived_attempts;
	m->fingerprint = call->fingerprint;
	m->rank = snipe_entry_call_rank(call);
	m->is_trial = call->is_trial;
	m->max_queue_wait_us = call->is_inner
				       ? (int64_t)(INNER_GATE_WAIT_RATIO * (double)left)
				       : (int64_t)(GATE_WAIT_TARGET_RATIO *
						   (double)call->route->target_latency_us);
	fill_headers(call, m);
}
