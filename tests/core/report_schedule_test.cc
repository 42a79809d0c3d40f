// Guards against gaps between reports so long that one lost datagram makes a node count as
// silent, and against a volume of reports that overloads a large fleet.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "core/fleet_quota.h"
#include "core/report_schedule.h"

namespace
{

const int64_t TICK_US = 50000;

// Returns the times of the reports of a node whose ticks are up to 2 ms late.
std::vector<int64_t> simulate_reports(int nodes)
{
	std::mt19937 rng{3};
	std::vector<int64_t> times;
	struct snipe_report_schedule s;
	GRand *jitter_rng = g_rand_new_with_seed(5);

	snipe_report_schedule_init(&s, 0);
	for (int64_t tick = 0; tick < 60000000; tick += TICK_US) {
		int64_t now = tick + (int64_t)(rng() % 2000);

		if (snipe_report_schedule_is_due(&s, now, nodes, TICK_US, jitter_rng))
			times.push_back(now);
	}
	g_rand_free(jitter_rng);
	return times;
}

} // namespace

// Regression: with ticks of 50 ms, about every second report that was due after 300 ms was sent
// after 350 ms. One lost report then left a gap of up to 700 ms, and a node counts as silent
// after 660 ms.
TEST(ReportSchedule, OneLostReportDoesNotMakeANodeSilent)
{
	for (int nodes : {17, 58, 64, 306}) {
		std::vector<int64_t> times = simulate_reports(nodes);
		double silence =
			SNIPE_SILENT_INTERVALS * (double)snipe_report_interval_us(nodes);

		for (size_t i = 2; i < times.size(); i++)
			ASSERT_LT((double)(times[i] - times[i - 2]), silence) << nodes;
	}
}

TEST(ReportSchedule, KeepsTheMeanInterval)
{
	for (int nodes : {17, 58, 306}) {
		std::vector<int64_t> times = simulate_reports(nodes);
		double mean = (double)times.back() / (double)(times.size() - 1);

		EXPECT_NEAR(mean, snipe_report_interval_us(nodes), TICK_US / 2.0) << nodes;
	}
}

// Regression: nodes that started together, or that all reported at once because the tables had
// changed, stayed synchronized.
TEST(ReportSchedule, SpreadsReportsOfNodesStartedTogether)
{
	const int nodes = 64, parts = 8, rounds = 40;
	GRand *jitter_rng = g_rand_new_with_seed(5);
	std::vector<int> reports(parts);
	std::vector<struct snipe_report_schedule> schedules(nodes);
	int64_t interval = snipe_report_interval_us(nodes);

	for (auto &s : schedules)
		snipe_report_schedule_init(&s, 0);
	// Each node discovers the others one by one.
	for (int64_t now = 0; now < rounds * interval; now += TICK_US / 5)
		for (auto &s : schedules)
			if (snipe_report_schedule_is_due(
				    &s, now, (int)std::min<int64_t>(nodes, 1 + now / 20000),
				    TICK_US, jitter_rng))
				reports[now % interval * parts / interval]++;
	for (int count : reports)
		EXPECT_LE(count, 2 * rounds * nodes / parts) << "in an eighth of the interval";
	g_rand_free(jitter_rng);
}

TEST(ReportSchedule, ReportsOnceAfterAStallThenAtItsInterval)
{
	struct snipe_report_schedule s;
	GRand *jitter_rng = g_rand_new_with_seed(5);

	snipe_report_schedule_init(&s, 0);
	EXPECT_TRUE(snipe_report_schedule_is_due(&s, 0, 17, TICK_US, jitter_rng));
	EXPECT_TRUE(snipe_report_schedule_is_due(&s, 9000000, 17, TICK_US, jitter_rng));
	EXPECT_FALSE(
		snipe_report_schedule_is_due(&s, 9000000 + TICK_US, 17, TICK_US, jitter_rng));
	EXPECT_TRUE(snipe_report_schedule_is_due(&s, 9300000, 17, TICK_US, jitter_rng));
	g_rand_free(jitter_rng);
}

TEST(ReportSchedule, LimitsDatagramsPerSecondInALargeFleet)
{
	EXPECT_EQ(snipe_report_interval_us(1), 300000);
	EXPECT_EQ(snipe_report_interval_us(64), 640000);
	EXPECT_EQ(snipe_report_interval_us(200), 1000000);
	for (int nodes : {300, 1200})
		EXPECT_LE(nodes * 1e6 / (double)snipe_report_interval_us(nodes), 301)
			<< "datagrams a second";
}
