#include "gateway/entry_state.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"

/* Longest age of the tables' confirmation at which keys are accepted, as a part of the time
 * within which a withdrawn key must stop working; the rest is for requests in transit. */
#define KEY_TABLES_MAX_AGE_RATIO 0.84
/* An unknown key or route gets a final status (401, 404) only while the tables were confirmed
 * within this time; later it may exist in a version that this node has not received. */
#define TABLES_FRESH_US 2500000
/* Tables arrive within this time after a start, or once the store is reachable again. */
#define RETRY_AFTER_NO_TABLES_US 500000
/* A longer time left is cut to this: a day. */
#define MAX_TIME_LEFT_MS 86400000
/* Headers that the node adds to the caller's: its service and the workspace. */
#define ADDED_HEADER_COUNT 2

static const struct snipe_entry_error accepted;

static int64_t key_tables_max_age_us(const struct snipe_entry *e)
{
	return (int64_t)(KEY_TABLES_MAX_AGE_RATIO *
			 (double)e->config.settings->key_revocation_us);
}

int snipe_entry_has_confirmed_tables(const struct snipe_entry *e, int64_t now_us)
{
	return e->confirmed_us && now_us - e->confirmed_us < key_tables_max_age_us(e);
}

/* Finds the workspace of the request's key. Fails if the route needs a key and the request has
 * no valid one, or the tables are too old to tell. */
static struct snipe_entry_error check_key(struct snipe_entry_call *call)
{
	struct snipe_entry *e = call->entry;
	const struct snipe_h1_message *m = &call->req->message;
	const char *scheme = e->config.dialect->headers.key_scheme;
	const char *value = snipe_h1_find_value(m, "Authorization");
	size_t len = strlen(scheme);
	int is_key = value && snipe_h1_count_fields(m, "Authorization") == 1 &&
		     strncasecmp(value, scheme, len) == 0 && value[len] == ' ';
	int64_t now = call->received_us;

	call->workspace = -1;
	if (is_key) {
		value += len;
		value += strspn(value, " ");
		call->workspace = snipe_routing_find_key(call->routing, value);
	}
	if (!call->routing->needs_keys || call->route->open)
		return accepted;
	if (call->workspace < 0 && now - e->confirmed_us > TABLES_FRESH_US)
		return (struct snipe_entry_error){503, "tables_not_confirmed",
						  RETRY_AFTER_NO_TABLES_US};
	if (call->workspace < 0)
		return (struct snipe_entry_error){401, value ? "key_unknown" : "key_missing",
						  0};
	if (!snipe_entry_has_confirmed_tables(e, now))
		return (struct snipe_entry_error){503, "tables_not_confirmed",
						  RETRY_AFTER_NO_TABLES_US};
	return accepted;
}

static struct snipe_entry_error check_route(struct snipe_entry_call *call)
{
	struct snipe_entry *e = call->entry;
	const struct snipe_h1_message *m = &call->req->message;
	const char *host = snipe_h1_find_value(m, "Host");
	size_t path_len = strcspn(snipe_buffer_str(&call->req->message.url), "?#");

	/* A server must not get a request without the headers that the node sets itself. */
	if (m->field_count > SNIPE_MAX_HEADERS - ADDED_HEADER_COUNT)
		return (struct snipe_entry_error){431, "too_many_fields", 0};
	if (!host || snipe_h1_count_fields(m, "Host") != 1 || m->url.len == 0)
		return (struct snipe_entry_error){400, "bad_host", 0};
	if (!e->routing)
		return (struct snipe_entry_error){503, "no_tables", RETRY_AFTER_NO_TABLES_US};
	call->routing = snipe_routing_ref(e->routing);
	call->route = snipe_routing_match(call->routing, host, m->url.data, path_len);
	if (!call->route && call->received_us - e->confirmed_us > TABLES_FRESH_US)
		return (struct snipe_entry_error){503, "tables_not_confirmed",
						  RETRY_AFTER_NO_TABLES_US};
	if (!call->route)
		return (struct snipe_entry_error){404, "no_route", 0};
	return accepted;
}

/* Sets the deadline from the time left that the caller stated when it sent the request, at most
 * the route's timeout. */
static struct snipe_entry_error check_deadline(struct snipe_entry_call *call)
{
	const char *text = snipe_h1_find_value(
		&call->req->message, call->entry->config.dialect->headers.time_left_ms);
	int64_t left_us = call->route->timeout_us;
	char *end;
	long long ms;

	if (text) {
		ms = strtoll(text, &end, 10);
		if (end == text || *end || ms < 0)
			return (struct snipe_entry_error){400, "bad_deadline", 0};
		left_us = MIN(left_us, (int64_t)MIN(ms, MAX_TIME_LEFT_MS) * 1000);
	}
	call->deadline_us = call->received_us - call->waited_us + left_us;
	return accepted;
}

/* The request_failed line says that the rate was exceeded; this line adds the state of the
 * quota. */
static void log_rate_exceeded(const struct snipe_entry_call *call, uint64_t workspace)
{
	static struct snipe_log_limit limit;
	int64_t now = call->received_us;
	struct snipe_quota_view v;
	unsigned suppressed;

	if (!snipe_log_allow(&limit, now, SNIPE_LOG_LINES_PER_S, &suppressed) ||
	    snipe_fleet_quota_view(&call->entry->quota, now, workspace, &v) < 0)
		return;
	snipe_log(SNIPE_LOG_INFO, "rate_exceeded",
		  "request=%s workspace=%s rate=%.1f burst=%.1f tokens=%.1f share_tokens=%.2f "
		  "share=%.4f reachable=%.3f report_age_ms=%lld tables=%llx suppressed=%u",
		  call->request_id, call->routing->workspaces[call->workspace].name, v.rate,
		  v.burst, v.tokens, v.share_tokens, v.share, v.reachable,
		  (long long)(v.report_age_us / 1000),
		  (unsigned long long)call->routing->version, suppressed);
}

/* Spreads a Retry-After, so that clients rejected together do not return together. */
static int64_t spread_us(const struct snipe_entry *e, int64_t mean_us)
{
	return (int64_t)((double)mean_us * (0.5 + g_rand_double(e->rng)));
}

static struct snipe_entry_error check_rate(struct snipe_entry_call *call)
{
	struct snipe_entry *e = call->entry;
	int64_t retry_after;
	uint64_t hash;

	if (call->workspace < 0 || call->route->open)
		return accepted;
	hash = snipe_hash64_str(call->routing->workspaces[call->workspace].name);
	if (!snipe_fleet_quota_take(&e->quota, call->received_us, hash, &retry_after)) {
		log_rate_exceeded(call, hash);
		return (struct snipe_entry_error){429, "over_rate", spread_us(e, retry_after)};
	}
	call->workspace_hash = hash;
	return accepted;
}

struct snipe_entry_error snipe_entry_call_check(struct snipe_entry_call *call)
{
	struct snipe_entry_error error = check_route(call);

	if (!error.status)
		error = check_key(call);
	if (!error.status)
		error = check_deadline(call);
	if (!error.status)
		error = check_rate(call);
	return error;
}
