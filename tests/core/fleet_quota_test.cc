// Guards against admissions above the rate and burst of a workspace over all nodes, also across
// a network partition or a restart, and against rejections within the rate.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "base/error.h"
#include "core/fleet_quota.h"
#include "core/report_schedule.h"

namespace
{

const uint64_t WORKSPACE = 77;
const int64_t REPORT_US = 300000;

// A fleet whose reports arrive at once, but not across a network partition.
struct Fleet {
	struct Node {
		struct snipe_fleet_quota q;
		uint64_t process = 1;
		int partition_id = 0;
		int64_t next_report_us;
	};
	std::vector<std::unique_ptr<Node>> nodes;
	std::deque<int64_t> admissions;
	double rate, burst;
	int64_t interval;
	int64_t now = 0;
	std::mt19937 rng{5};
	long rejected = 0, requests = 0;
	double max_excess = -1e9; // of admissions in a 5 s window above rate * 5 s + burst
	double batch_ratio = 0;	  // ratio of arrivals that are five requests at once

	Fleet(int count, double r, double b, int64_t interval_us = REPORT_US)
	    : rate(r), burst(b), interval(interval_us)
	{
		for (int i = 0; i < count; i++) {
			auto n = std::make_unique<Node>();
			snipe_fleet_quota_init(&n->q, interval, 1);
			snipe_fleet_quota_set_limit(&n->q, 0, WORKSPACE, rate, burst);
			n->next_report_us = i * interval / count;
			nodes.push_back(std::move(n));
		}
		run(std::max<int64_t>(2000000, 3 * interval), 0);
	}
	~Fleet()
	{
		for (auto &n : nodes)
			snipe_fleet_quota_finish(&n->q);
	}
	void report(size_t i)
	{
		struct snipe_quota_report r[4];
		int n = snipe_fleet_quota_make_report(&nodes[i]->q, now, r, 4);

		for (size_t j = 0; j < nodes.size(); j++)
			if (j != i && nodes[i]->partition_id == nodes[j]->partition_id)
				snipe_fleet_quota_on_report(&nodes[j]->q, now, 100 + i,
							    nodes[i]->process, r, n);
	}
	void restart(size_t i)
	{
		snipe_fleet_quota_finish(&nodes[i]->q);
		snipe_fleet_quota_init(&nodes[i]->q, interval, 0);
		snipe_fleet_quota_set_limit(&nodes[i]->q, now, WORKSPACE, rate, burst);
		nodes[i]->process++;
	}
	void request(size_t i)
	{
		int64_t retry_after_us;

		requests++;
		if (!snipe_fleet_quota_take(&nodes[i]->q, now, WORKSPACE, &retry_after_us)) {
			EXPECT_GT(retry_after_us, 0);
			rejected++;
			return;
		}
		admissions.push_back(now);
		while (admissions.front() <= now - 5000000)
			admissions.pop_front();
		max_excess = std::max(max_excess, admissions.size() - (rate * 5 + burst));
	}
	void send_requests(size_t node, bool is_batch)
	{
		for (int i = 0; i < (is_batch ? 5 : 1); i++)
			request(node);
	}
	// Simulates requests that arrive at random times and nodes, at per_s arrivals a second.
	void run(int64_t duration_us, double per_s)
	{
		std::uniform_real_distribution<double> chance(0, 1);

		for (int64_t end = now + duration_us; now < end; now += 1000) {
			for (size_t i = 0; i < nodes.size(); i++) {
				if (now < nodes[i]->next_report_us)
					continue;
				nodes[i]->next_report_us = now + interval;
				report(i);
			}
			for (double left = per_s / 1000; left > 0; left -= 1)
				if (chance(rng) < left)
					send_requests(rng() % nodes.size(),
						      batch_ratio > 0 &&
							      chance(rng) < batch_ratio);
		}
	}
	// Isolates the first count nodes from the others; 0 ends the partition.
	void partition(size_t count)
	{
		for (size_t i = 0; i < nodes.size(); i++)
			nodes[i]->partition_id = i < count;
	}
	size_t known_nodes(size_t node) const
	{
		return g_hash_table_size(nodes[node]->q.peers) + 1;
	}
	// Admissions that the platform tolerates above rate * 5 s + burst.
	double slack() const
	{
		return 0.1 * (rate * 5 + burst) + 20;
	}
};

} // namespace

TEST(FleetQuota, NoRejectionsWithinTheRate)
{
	Fleet f(17, 200, 200);

	f.run(20000000, 125);
	EXPECT_LE(f.rejected, 0.001 * f.requests);
}

// Regression: the tokens that others had probably spent since their reports were subtracted
// from a bucket that held at most the burst. With a small burst, or reports seconds apart, it
// never looked full: 22% of the requests were rejected in the first case, 38% in the second.
TEST(FleetQuota, NoRejectionsWithinTheRateInALargeFleet)
{
	Fleet small_burst(64, 200, 50, 640000), many_nodes(300, 200, 200, 3000000);

	for (Fleet *f : {&small_burst, &many_nodes}) {
		f->run(30000000, 124);
		EXPECT_LE(f->rejected, 0.01 * f->requests) << f->nodes.size();
	}
}

// Load pattern: a large workspace sends at 85% of its rate, a few requests per second to each
// node, and some clients send five requests at once. Regression: a node took such a batch, or a
// request after a while without any, for a rise in the whole fleet, and rejected requests while
// the bucket was nearly full: 1.4% with 64 nodes.
TEST(FleetQuota, BatchAtOneNodeDoesNotCountAsARiseAtAllNodes)
{
	for (int nodes : {17, 64}) {
		Fleet f(nodes, 250, 125, snipe_report_interval_us(nodes));

		f.batch_ratio = 0.01;
		f.run(20000000, 0.85 * 250 / 1.04);
		EXPECT_LE(f.rejected, 0.01 * f.requests) << nodes;
	}
}

// Guards against the opposite: a rise at all nodes is missed when all clients send in batches.
TEST(FleetQuota, LimitsAnOverloadedWorkspaceThatSendsInBatches)
{
	for (int nodes : {17, 64}) {
		Fleet f(nodes, 250, 125, snipe_report_interval_us(nodes));

		f.batch_ratio = 1;
		f.run(5000000, 0.62 * 250 / 5);
		f.run(8000000, 4.5 * 250 / 5);
		EXPECT_LE(f.max_excess, f.slack()) << nodes;
	}
}

// Load pattern: workspaces of different sizes send at 62% of their rates in a fleet of 306
// nodes. Regression: with reports 3 s apart, buckets with a small burst looked empty most of
// the time.
TEST(FleetQuota, NoRejectionsOfSmallBurstsAtTheIntervalOfALargeFleet)
{
	for (double rate : {60, 200, 600}) {
		Fleet f(306, rate, 0.5 * rate, snipe_report_interval_us(306));

		f.run(10000000, 0.62 * rate);
		EXPECT_LE(f.rejected, 0.01 * f.requests) << rate;
	}
}

// Guards against the opposite: nodes that all see a full bucket overspend together.
TEST(FleetQuota, LimitsAnOverloadedWorkspaceInALargeFleet)
{
	for (int nodes : {64, 120, 300})
		for (double burst : {50, 100, 200, 400}) {
			Fleet f(nodes, 200, burst, nodes * 10000);

			f.run(10000000, 124);
			f.run(15000000, 900);
			EXPECT_LE(f.max_excess, f.slack()) << nodes << " " << burst;
		}
}

// Regression: at the report interval of 100 to 300 nodes, accumulated shares were spent on top
// of the bucket: up to 193 requests above rate and burst, where the platform tolerates 140.
TEST(FleetQuota, LimitsAnOverloadedWorkspaceAtTheIntervalOfALargeFleet)
{
	for (unsigned seed : {1, 2, 3, 4}) {
		Fleet f(300, 200, 200, snipe_report_interval_us(300));

		f.rng.seed(seed);
		f.run(6000000, 124);
		f.run(8000000, 1500);
		EXPECT_LE(f.max_excess, f.slack()) << seed;
	}
}

// Regression: nodes with one request every few seconds reported no demand most of the time, so
// that their shares added up to only part of the rate: a workspace that sent at 1.05 times its
// rate got 0.39 of it.
TEST(FleetQuota, NoStarvationAboveTheRateInALargeFleet)
{
	Fleet f(300, 200, 200, 3000000);

	f.run(10000000, 124);
	f.rejected = f.requests = 0;
	f.run(20000000, 210);
	EXPECT_GE(f.requests - f.rejected, 0.5 * 200 * 20);
}

TEST(FleetQuota, LimitHoldsAcrossAPartitionOfALargeFleet)
{
	for (double burst : {50, 200}) {
		Fleet f(64, 200, burst, 640000);

		f.run(5000000, 124);
		f.partition(20);
		f.run(8000000, 900);
		f.partition(0);
		f.run(6000000, 900);
		EXPECT_LE(f.max_excess, f.slack()) << burst;
	}
}

TEST(FleetQuota, AdmitsShortBurstsOfASmallWorkspaceAtOneNode)
{
	Fleet f(17, 20, 20);

	f.run(5000000, 8);
	f.rejected = 0;
	for (int round = 0; round < 10; round++) {
		for (int i = 0; i < 5; i++)
			f.request(3);
		f.run(1000000, 6);
	}
	EXPECT_LE(f.rejected, 1);
}

TEST(FleetQuota, OverloadedWorkspaceGetsItsRateAndNoMore)
{
	Fleet f(17, 200, 200);

	f.run(5000000, 120);
	f.rejected = f.requests = 0;
	f.run(10000000, 900);
	EXPECT_LE(f.max_excess, f.slack());
	EXPECT_GE(f.requests - f.rejected, 0.85 * 200 * 10);
}

TEST(FleetQuota, LimitHoldsAcrossAPartition)
{
	Fleet f(16, 200, 200);

	f.run(5000000, 120);
	f.partition(5);
	f.run(8000000, 900);
	EXPECT_LE(f.max_excess, f.slack());
	f.partition(0);
	f.run(6000000, 900);
	EXPECT_LE(f.max_excess, f.slack());
}

TEST(FleetQuota, LimitHoldsWhenEveryNodeIsIsolated)
{
	Fleet f(16, 200, 200);

	f.run(5000000, 120);
	for (size_t i = 0; i < f.nodes.size(); i++)
		f.nodes[i]->partition_id = (int)i;
	f.run(8000000, 900);
	EXPECT_LE(f.max_excess, f.slack());
}

TEST(FleetQuota, NoRejectionsWithinTheRateAfterAPartition)
{
	Fleet f(16, 200, 200);

	f.run(5000000, 120);
	f.partition(5);
	f.run(8000000, 120);
	f.partition(0);
	f.run(1000000, 120);
	f.rejected = f.requests = 0;
	f.run(5000000, 120);
	EXPECT_LE(f.rejected, 0.01 * f.requests);
}

TEST(FleetQuota, RestartOfAllNodesDoesNotRefillTheBucket)
{
	Fleet f(16, 200, 200);

	f.run(5000000, 900);
	for (size_t i = 0; i < f.nodes.size(); i++)
		f.restart(i);
	f.run(8000000, 900);
	EXPECT_LE(f.max_excess, f.slack());
}

TEST(FleetQuota, RestartedNodeDoesNotChargeEarlierAdmissions)
{
	Fleet f(16, 200, 200);

	f.run(20000000, 120);
	f.restart(4);
	f.rejected = f.requests = 0;
	f.run(5000000, 120);
	EXPECT_LE(f.rejected, 0.01 * f.requests);
}

// Regression: reports left out idle workspaces, so that a restarted node received their counts
// only when they were used again, and charged all earlier admissions as new.
TEST(FleetQuota, RestartedNodeDoesNotChargeEarlierAdmissionsOfAnIdleWorkspace)
{
	Fleet f(16, 200, 200);

	f.run(5000000, 120);
	f.run(30000000, 0);
	f.restart(4);
	f.run(2000000, 0);
	f.rejected = f.requests = 0;
	f.run(3000000, 120);
	EXPECT_LE(f.rejected, 0.01 * f.requests);
}

TEST(FleetQuota, SharesOfRemovedNodesGoToOthers)
{
	Fleet f(16, 200, 200);

	f.run(5000000, 150);
	auto removed = std::move(f.nodes.back());
	f.nodes.pop_back();
	f.run(70000000, 100);
	EXPECT_EQ(f.known_nodes(0), f.nodes.size());
	f.rejected = f.requests = 0;
	f.run(10000000, 400);
	EXPECT_GE(f.requests - f.rejected, 0.95 * 200 * 10)
		<< "the remaining nodes get the whole rate";
	snipe_fleet_quota_finish(&removed->q);
}

TEST(FleetQuota, IsolatedNodeNeverTakesTheSharesOfOthers)
{
	Fleet f(16, 200, 200);

	f.run(5000000, 150);
	f.nodes[0]->partition_id = 1;
	f.run(70000000, 900);
	EXPECT_LE(f.max_excess, f.slack());
}

TEST(FleetQuota, LoweredLimitTakesEffect)
{
	Fleet f(16, 200, 200);

	f.run(5000000, 150);
	f.rate = 40;
	f.burst = 40;
	for (auto &n : f.nodes)
		snipe_fleet_quota_set_limit(&n->q, f.now, WORKSPACE, 40, 40);
	f.run(5000000, 150);
	f.max_excess = -1e9;
	f.admissions.clear();
	f.run(6000000, 150);
	EXPECT_LE(f.max_excess, f.slack());
}

// Regression: reports too small for all workspaces always left out the same ones, and each node
// spent their rates as if it were the only one.
TEST(FleetQuota, ReportsAllActiveWorkspacesInTurn)
{
	const int count = 10, max = 4;
	struct snipe_fleet_quota q;
	struct snipe_quota_report r[max];
	std::map<uint64_t, int> reported;
	int64_t retry_after_us, now = 0;

	snipe_fleet_quota_init(&q, REPORT_US, 1);
	for (uint64_t w = 1; w <= count + 1; w++)
		snipe_fleet_quota_set_limit(&q, 0, w, 100, 100);
	for (int round = 0; round < 10; round++, now += REPORT_US) {
		for (uint64_t w = 1; w <= count; w++)
			ASSERT_TRUE(snipe_fleet_quota_take(&q, now, w, &retry_after_us));
		ASSERT_EQ(snipe_fleet_quota_make_report(&q, now, r, max), max);
		// The datagram may have room for only half of them.
		for (int i = 0; i < max / 2; i++)
			reported[r[i].workspace]++;
	}
	EXPECT_EQ(reported.size(), (size_t)count);
	for (auto &w : reported)
		EXPECT_EQ(w.second, 10 * (max / 2) / count) << w.first;
	// The workspace that was never used is never reported; idle ones still are.
	now += 60000000;
	EXPECT_EQ(snipe_fleet_quota_make_report(&q, now, r, max), max);
	EXPECT_EQ(reported.count(count + 1), 0u);
	snipe_fleet_quota_finish(&q);
}

// A report does not change the usage of workspaces that it leaves out.
TEST(FleetQuota, WorkspaceLeftOutOfAReportKeepsItsShares)
{
	struct snipe_quota_report use = {WORKSPACE, 1000, 100};
	struct snipe_quota_view before, after;
	struct snipe_fleet_quota q;

	snipe_fleet_quota_init(&q, REPORT_US, 1);
	snipe_fleet_quota_set_limit(&q, 0, WORKSPACE, 100, 100);
	snipe_fleet_quota_on_report(&q, 0, 5, 1, &use, 1);
	snipe_fleet_quota_set_limit(&q, 0, WORKSPACE, 100, 100);
	ASSERT_EQ(snipe_fleet_quota_view(&q, 0, WORKSPACE, &before), 0);
	snipe_fleet_quota_on_report(&q, REPORT_US, 5, 1, nullptr, 0);
	snipe_fleet_quota_set_limit(&q, REPORT_US, WORKSPACE, 100, 100);
	ASSERT_EQ(snipe_fleet_quota_view(&q, REPORT_US, WORKSPACE, &after), 0);
	EXPECT_DOUBLE_EQ(before.share, after.share);
	snipe_fleet_quota_finish(&q);
}

TEST(FleetQuota, RefundedTokenCanBeTakenAgain)
{
	struct snipe_fleet_quota q;
	int64_t retry_after_us;

	snipe_fleet_quota_init(&q, REPORT_US, 1);
	snipe_fleet_quota_set_limit(&q, 0, WORKSPACE, 1, 4);
	for (int i = 0; i < 100; i++) {
		ASSERT_TRUE(snipe_fleet_quota_take(&q, 0, WORKSPACE, &retry_after_us));
		snipe_fleet_quota_refund(&q, WORKSPACE);
	}
	snipe_fleet_quota_finish(&q);
}

// The view must show operators the reason for a rejection: an empty bucket or silent nodes.
TEST(FleetQuota, ViewShowsTheReasonForARejection)
{
	struct snipe_quota_view v;
	Fleet f(16, 200, 200);

	f.run(5000000, 120);
	f.request(0);
	ASSERT_EQ(snipe_fleet_quota_view(&f.nodes[0]->q, f.now, WORKSPACE, &v), 0);
	EXPECT_GT(v.tokens, 0.15 * v.burst);
	EXPECT_DOUBLE_EQ(v.reachable, 1);
	// The age is updated four times in an interval.
	EXPECT_LE(v.report_age_us, REPORT_US * 5 / 4);
	f.run(3000000, 900);
	ASSERT_GT(f.rejected, 0);
	ASSERT_EQ(snipe_fleet_quota_view(&f.nodes[0]->q, f.now, WORKSPACE, &v), 0);
	EXPECT_LT(v.tokens, 0.15 * v.burst);
	f.partition(4);
	f.run(3000000, 900);
	ASSERT_EQ(snipe_fleet_quota_view(&f.nodes[0]->q, f.now, WORKSPACE, &v), 0);
	EXPECT_LT(v.reachable, 0.5);
	EXPECT_EQ(snipe_fleet_quota_view(&f.nodes[0]->q, f.now, WORKSPACE + 1, &v),
		  SNIPE_ERR_NOT_FOUND);
}

TEST(FleetQuota, NoRejectionsWithoutALimit)
{
	struct snipe_fleet_quota q;
	int64_t retry_after_us;

	snipe_fleet_quota_init(&q, REPORT_US, 0);
	snipe_fleet_quota_set_limit(&q, 0, WORKSPACE, 0, 0);
	for (int i = 0; i < 1000; i++)
		ASSERT_TRUE(snipe_fleet_quota_take(&q, 0, WORKSPACE, &retry_after_us));
	snipe_fleet_quota_finish(&q);
}
