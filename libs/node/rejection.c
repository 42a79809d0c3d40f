#include "node/rejection.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <string.h>

struct reason_row {
	const char *name;
	int status;
	int not_run;
	int retry_after_s; /* 0: waiting does not help */
};

/* docs/design.md, section 3.1 */
static const struct reason_row reasons[SNIPE_REASON_COUNT] = {
	[SNIPE_REASON_NONE] = {"none", 500, 0, 0},
	[SNIPE_REASON_NO_ROUTE] = {"no_route", 404, 1, 0},
	[SNIPE_REASON_BAD_REQUEST] = {"bad_request", 400, 1, 0},
	[SNIPE_REASON_TOO_LARGE] = {"too_large", 413, 1, 0},
	[SNIPE_REASON_KEY_MISSING] = {"key_missing", 401, 1, 0},
	[SNIPE_REASON_KEY_INVALID] = {"key_invalid", 401, 1, 0},
	[SNIPE_REASON_KEY_REPEATED] = {"key_repeated", 400, 1, 0},
	[SNIPE_REASON_KEY_IN_PATH] = {"key_in_path", 400, 1, 0},
	[SNIPE_REASON_WRONG_WORKSPACE] = {"wrong_workspace", 403, 1, 0},
	[SNIPE_REASON_CONTEXT_MISSING] = {"context_missing", 403, 1, 0},
	[SNIPE_REASON_DEPTH_EXCEEDED] = {"depth_exceeded", 508, 1, 0},
	[SNIPE_REASON_OVER_RATE] = {"over_rate", 429, 1, 1},
	[SNIPE_REASON_QUOTA_OWNER_UNAVAILABLE] = {"quota_owner_unavailable", 503, 1, 5},
	[SNIPE_REASON_CONFIG_UNCONFIRMED] = {"config_unconfirmed", 503, 1, 3},
	[SNIPE_REASON_NO_CONFIG] = {"no_config", 503, 1, 3},
	[SNIPE_REASON_OVERLOADED] = {"overloaded", 503, 1, 1},
	[SNIPE_REASON_NO_BACKEND_SERVER] = {"no_backend_server", 503, 1, 1},
	[SNIPE_REASON_DRAINING] = {"draining", 503, 1, 1},
	[SNIPE_REASON_EXPIRED] = {"expired", 504, 1, 0},
	[SNIPE_REASON_CANCELLED] = {"cancelled", 499, 1, 0},
	[SNIPE_REASON_CRASH_SUSPECT] = {"crash_suspect", 503, 1, 0},
	[SNIPE_REASON_IDENTIFIER_INVALID] = {"identifier_invalid", 400, 1, 0},
	[SNIPE_REASON_IDENTIFIER_STORE_FULL] = {"identifier_store_full", 503, 1, 10},
	[SNIPE_REASON_IDENTIFIER_OWNER_UNAVAILABLE] = {"identifier_owner_unavailable", 503, 0,
						       5},
	[SNIPE_REASON_DUPLICATE_IN_PROGRESS] = {"duplicate_in_progress", 409, 0, 1},
	[SNIPE_REASON_DUPLICATE_UNKNOWN] = {"duplicate_unknown", 409, 0, 0},
	[SNIPE_REASON_IDENTIFIER_TOO_OLD] = {"identifier_too_old", 409, 0, 0},
	[SNIPE_REASON_OWNER_CHANGED] = {"owner_changed", 409, 0, 0},
	[SNIPE_REASON_ANSWER_LOST] = {"answer_lost", 502, 0, 0},
	[SNIPE_REASON_ANSWER_TRUNCATED] = {"answer_truncated", 502, 0, 0},
	[SNIPE_REASON_TIMEOUT] = {"timeout", 504, 0, 0},
	[SNIPE_REASON_BACKEND_DIED] = {"backend_died", 502, 0, 0},
};

const char *snipe_reason_name(enum snipe_reason reason)
{
	return reasons[reason].name;
}

enum snipe_reason snipe_reason_parse(const char *name)
{
	for (int i = 1; i < SNIPE_REASON_COUNT; i++) {
		if (strcmp(reasons[i].name, name) == 0)
			return (enum snipe_reason)i;
	}
	return SNIPE_REASON_NONE;
}

int snipe_reason_status(enum snipe_reason reason)
{
	return reasons[reason].status;
}

int snipe_reason_is_not_run(enum snipe_reason reason)
{
	return reasons[reason].not_run;
}

void snipe_rejection_send(struct evhttp_request *req, enum snipe_reason reason, int not_run,
			  int64_t retry_after_us)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	const struct reason_row *row = &reasons[reason];
	int64_t seconds = row->retry_after_s;
	char number[24];

	if (retry_after_us > 0)
		seconds = (retry_after_us + 999999) / 1000000;
	evhttp_add_header(headers, "Snipe-Outcome", not_run ? "not-run" : "unknown");
	evhttp_add_header(headers, "Snipe-Reason", row->name);
	if (seconds > 0) {
		snprintf(number, sizeof(number), "%lld", (long long)seconds);
		evhttp_add_header(headers, "Retry-After", number);
	}
	evhttp_send_reply(req, row->status, row->name, NULL);
}

void snipe_rejection_log_init(struct snipe_rejection_log *log, struct snipe_counters *counters)
{
	char label[64];

	memset(log, 0, sizeof(*log));
	log->counters = counters;
	for (int i = 1; i < SNIPE_REASON_COUNT; i++) {
		snprintf(label, sizeof(label), "reason=\"%s\"", reasons[i].name);
		log->handles[i] = snipe_counters_get(counters, "rejections_total", label);
	}
}

void snipe_rejection_log_add(struct snipe_rejection_log *log, int64_t wall_ms,
			     enum snipe_reason reason, int not_run, const char *route,
			     const char *workspace)
{
	size_t i = log->total++ % SNIPE_REJECTION_LOG;

	snipe_counters_add(log->counters, log->handles[reason], 1);
	log->entries[i].wall_ms = wall_ms;
	log->entries[i].reason = reason;
	log->entries[i].not_run = not_run;
	snprintf(log->entries[i].route, SNIPE_NAME_SIZE, "%s", route);
	snprintf(log->entries[i].workspace, SNIPE_NAME_SIZE, "%s", workspace);
}

void snipe_rejection_log_dump(const struct snipe_rejection_log *log, struct snipe_buffer *out)
{
	uint64_t n = log->total < SNIPE_REJECTION_LOG ? log->total : SNIPE_REJECTION_LOG;

	snipe_buffer_printf(out, "[");
	for (uint64_t k = 0; k < n; k++) {
		size_t i = (log->total - 1 - k) % SNIPE_REJECTION_LOG;

		snipe_buffer_printf(out,
				    "%s{\"wall_ms\":%lld,\"reason\":\"%s\",\"outcome\":\"%s\","
				    "\"route\":\"%s\",\"workspace\":\"%s\"}",
				    k ? "," : "", (long long)log->entries[i].wall_ms,
				    reasons[log->entries[i].reason].name,
				    log->entries[i].not_run ? "not-run" : "unknown",
				    log->entries[i].route, log->entries[i].workspace);
	}
	snipe_buffer_printf(out, "]");
}
