#include "node/rejection.h"

#include <gtest/gtest.h>
#include <jansson.h>

#include <map>
#include <string>

/* Guards against a reason whose status or certainty differs from docs/design.md 3.1. */
TEST(Rejection, ReasonsMatchTheDesign)
{
	struct Row {
		int status;
		bool not_run;
	};
	const std::map<std::string, Row> rows = {
		{"no_route", {404, true}},
		{"bad_request", {400, true}},
		{"too_large", {413, true}},
		{"key_missing", {401, true}},
		{"key_invalid", {401, true}},
		{"key_repeated", {400, true}},
		{"key_in_path", {400, true}},
		{"wrong_workspace", {403, true}},
		{"context_missing", {403, true}},
		{"depth_exceeded", {508, true}},
		{"over_rate", {429, true}},
		{"quota_owner_unavailable", {503, true}},
		{"config_unconfirmed", {503, true}},
		{"no_config", {503, true}},
		{"overloaded", {503, true}},
		{"no_backend_server", {503, true}},
		{"draining", {503, true}},
		{"expired", {504, true}},
		{"cancelled", {499, true}},
		{"crash_suspect", {503, true}},
		{"identifier_invalid", {400, true}},
		{"identifier_store_full", {503, true}},
		{"identifier_owner_unavailable", {503, false}},
		{"duplicate_in_progress", {409, false}},
		{"duplicate_unknown", {409, false}},
		{"identifier_too_old", {409, false}},
		{"owner_changed", {409, false}},
		{"answer_lost", {502, false}},
		{"answer_truncated", {502, false}},
		{"timeout", {504, false}},
		{"backend_died", {502, false}},
	};

	ASSERT_EQ(rows.size(), SNIPE_REASON_COUNT - 1u);
	for (const auto &row : rows) {
		snipe_reason r = snipe_reason_parse(row.first.c_str());

		ASSERT_NE(r, SNIPE_REASON_NONE) << row.first;
		EXPECT_EQ(snipe_reason_name(r), row.first);
		EXPECT_EQ(snipe_reason_status(r), row.second.status) << row.first;
		EXPECT_EQ(snipe_reason_is_not_run(r) != 0, row.second.not_run) << row.first;
	}
	EXPECT_EQ(snipe_reason_parse("run"), SNIPE_REASON_NONE);
}

TEST(Rejection, LogKeepsTheNewestAndCounts)
{
	static snipe_counters counters;
	static snipe_rejection_log log;
	snipe_buffer out;

	snipe_counters_init(&counters);
	snipe_rejection_log_init(&log, &counters);
	for (int i = 0; i < SNIPE_REJECTION_LOG + 3; i++)
		snipe_rejection_log_add(&log, i, SNIPE_REASON_OVER_RATE, 1, "r", "w");
	snipe_rejection_log_add(&log, 999, SNIPE_REASON_TIMEOUT, 0, "", "");
	snipe_buffer_init(&out);
	snipe_rejection_log_dump(&log, &out);
	json_t *doc = json_loadb(out.data, out.len, 0, nullptr);
	ASSERT_EQ(json_array_size(doc), static_cast<size_t>(SNIPE_REJECTION_LOG));
	json_t *first = json_array_get(doc, 0);
	EXPECT_STREQ(json_string_value(json_object_get(first, "reason")), "timeout");
	EXPECT_STREQ(json_string_value(json_object_get(first, "outcome")), "unknown");
	json_decref(doc);
	snipe_buffer_finish(&out);
	EXPECT_EQ(snipe_counters_value(&counters,
				       snipe_counters_get(&counters, "rejections_total",
							  "reason=\"over_rate\"")),
		  SNIPE_REJECTION_LOG + 3);
}
