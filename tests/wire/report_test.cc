// Guards against fields of a node's report that are lost or swapped and against accepting
// malformed datagrams.
#include <gtest/gtest.h>

#include <cstring>

#include "base/error.h"
#include "wire/confirm.h"
#include "wire/report.h"

static struct snipe_node_report make_report()
{
	struct snipe_node_report r = {};

	strcpy(r.node_id, "node-1");
	r.process = 1700000000123;
	r.sequence = 42;
	strcpy(r.failure_domain, "auckland");
	strcpy(r.service, "tips");
	r.routing_version = 12;
	r.is_stopping = 1;
	r.server = SNIPE_SERVER_DRAINING;
	strcpy(r.server_id, "i-1");
	r.limit = 140;
	r.running = 9;
	r.waiting = 3;
	r.service_us = 25000;
	r.cold_left_us = 1500000;
	r.strikes[0] = {11, 12, 13};
	r.strike_count = 1;
	r.cleared[0] = 13;
	r.cleared[1] = UINT64_MAX;
	r.cleared_count = 2;
	r.quotas[0] = {77, 1000, 12.5f};
	r.quota_count = 1;
	r.rejected_ratio = 0.25;
	r.demands[0] = {UINT64_MAX, 34, 1.5};
	r.demand_count = 1;
	r.store_era = 3;
	r.is_era_settled = 1;
	return r;
}

TEST(Report, RoundTrip)
{
	struct snipe_node_report in = make_report(), out;
	struct snipe_buffer buf;

	snipe_buffer_init(&buf);
	snipe_report_encode(&in, &buf);
	ASSERT_EQ(snipe_report_decode(buf.data, buf.len, &out), 0);
	EXPECT_STREQ(out.node_id, in.node_id);
	EXPECT_EQ(out.process, in.process);
	EXPECT_EQ(out.sequence, in.sequence);
	EXPECT_STREQ(out.failure_domain, in.failure_domain);
	EXPECT_STREQ(out.service, in.service);
	EXPECT_EQ(out.routing_version, in.routing_version);
	EXPECT_EQ(out.is_stopping, 1);
	EXPECT_EQ(out.server, SNIPE_SERVER_DRAINING);
	EXPECT_STREQ(out.server_id, "i-1");
	EXPECT_EQ(out.limit, 140);
	EXPECT_EQ(out.running, 9);
	EXPECT_EQ(out.waiting, 3);
	EXPECT_EQ(out.service_us, 25000);
	EXPECT_EQ(out.cold_left_us, 1500000);
	ASSERT_EQ(out.strike_count, 1);
	EXPECT_EQ(out.strikes[0].fingerprint, 11u);
	EXPECT_EQ(out.strikes[0].crash_id, 12u);
	EXPECT_EQ(out.strikes[0].age_us, 13);
	ASSERT_EQ(out.cleared_count, 2);
	EXPECT_EQ(out.cleared[0], 13u);
	EXPECT_EQ(out.cleared[1], UINT64_MAX);
	ASSERT_EQ(out.quota_count, 1);
	EXPECT_EQ(out.quotas[0].workspace, 77u);
	EXPECT_EQ(out.quotas[0].admitted, 1000u);
	EXPECT_FLOAT_EQ(out.quotas[0].demand, 12.5f);
	EXPECT_DOUBLE_EQ(out.rejected_ratio, 0.25);
	ASSERT_EQ(out.demand_count, 1);
	EXPECT_EQ(out.demands[0].service, UINT64_MAX);
	EXPECT_EQ(out.demands[0].rank, 34);
	EXPECT_DOUBLE_EQ(out.demands[0].slots, 1.5);
	EXPECT_EQ(out.store_era, 3u);
	EXPECT_EQ(out.is_era_settled, 1);
	snipe_buffer_finish(&buf);
}

TEST(Report, TruncatedAndUnknownDatagramsAreRejected)
{
	struct snipe_node_report in = make_report(), out;
	struct snipe_buffer buf;

	snipe_buffer_init(&buf);
	snipe_report_encode(&in, &buf);
	for (size_t len = 0; len < buf.len; len++)
		EXPECT_LT(snipe_report_decode(buf.data, len, &out), 0) << len;
	EXPECT_EQ(snipe_report_decode("hello", 5, &out), SNIPE_ERR_SYNTAX);
	snipe_buffer_append(&buf, "", 1);
	EXPECT_EQ(snipe_report_decode(buf.data, buf.len, &out), SNIPE_ERR_SYNTAX);
	buf.len--;
	/* The version follows the array header, which takes three bytes. */
	ASSERT_EQ(buf.data[3], SNIPE_REPORT_VERSION);
	buf.data[3] = SNIPE_REPORT_VERSION + 1;
	EXPECT_EQ(snipe_report_decode(buf.data, buf.len, &out), SNIPE_ERR_VERSION);
	snipe_buffer_finish(&buf);
}

// During an update of a fleet, reports of earlier builds have two or four fields less.
TEST(Report, ReportsOfEarlierBuildsAreAccepted)
{
	struct snipe_node_report in = make_report(), out;
	struct snipe_buffer buf;

	in.rejected_ratio = 0;
	in.demand_count = 0;
	snipe_buffer_init(&buf);
	snipe_report_encode(&in, &buf);
	/* An array of 16 or more entries begins with 0xdc and two bytes of length. The last
	 * four fields are a zero, an empty array and two small numbers, of one byte each. */
	ASSERT_EQ((uint8_t)buf.data[0], 0xdc);
	ASSERT_EQ(buf.data[2], 22);
	for (size_t missing : {2, 4}) {
		buf.data[2] = (char)(22 - missing);
		ASSERT_EQ(snipe_report_decode(buf.data, buf.len - missing, &out), 0);
		EXPECT_EQ(out.quota_count, 1);
		EXPECT_EQ(out.rejected_ratio, 0);
		EXPECT_EQ(out.demand_count, 0);
		EXPECT_EQ(out.store_era, 0u);
		EXPECT_EQ(out.is_era_settled, 0);
	}
	snipe_buffer_finish(&buf);
}

// A report with a full table of workspaces must fit into one datagram of the usual MTU.
TEST(Report, ReportWithAllQuotasDecodes)
{
	struct snipe_node_report in = make_report(), out;
	struct snipe_buffer buf;

	in.quota_count = SNIPE_REPORT_MAX_QUOTAS;
	for (int i = 0; i < in.quota_count; i++)
		in.quotas[i] = {(uint64_t)i + 1, 5, 1};
	snipe_buffer_init(&buf);
	snipe_report_encode(&in, &buf);
	EXPECT_EQ(snipe_report_decode(buf.data, buf.len, &out), 0);
	EXPECT_EQ(out.quota_count, SNIPE_REPORT_MAX_QUOTAS);
	snipe_buffer_finish(&buf);
}

TEST(Confirm, RoundTripAndDistinctFromReports)
{
	struct snipe_confirm in = {1, 99, 12, 1500000}, out;
	struct snipe_node_report report = make_report(), decoded;
	struct snipe_buffer buf;

	snipe_buffer_init(&buf);
	snipe_confirm_encode(&in, &buf);
	ASSERT_EQ(snipe_confirm_decode(buf.data, buf.len, &out), 0);
	EXPECT_EQ(out.is_answer, 1);
	EXPECT_EQ(out.nonce, 99u);
	EXPECT_EQ(out.routing_version, 12u);
	EXPECT_EQ(out.age_us, 1500000);
	EXPECT_LT(snipe_report_decode(buf.data, buf.len, &decoded), 0);
	for (size_t len = 0; len < buf.len; len++)
		EXPECT_EQ(snipe_confirm_decode(buf.data, len, &out), SNIPE_ERR_SYNTAX);
	snipe_buffer_append(&buf, "", 1);
	EXPECT_EQ(snipe_confirm_decode(buf.data, buf.len, &out), SNIPE_ERR_SYNTAX);
	snipe_buffer_clear(&buf);
	snipe_report_encode(&report, &buf);
	EXPECT_EQ(snipe_confirm_decode(buf.data, buf.len, &out), SNIPE_ERR_SYNTAX);
	snipe_buffer_finish(&buf);
}
