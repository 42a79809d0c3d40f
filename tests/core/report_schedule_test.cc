// Guards against reports so far apart that one lost datagram makes a node seem silent, and
// against a large fleet that floods itself with reports.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "core/fleet_quota.h"
#include "core/report_schedule.h"

namespace
{

const int64_t TICK_US = 50000;

// Times of the reports of a node whose ticks are up to 2 ms late.
std::vector<int64_t> play(int nodes)
{
	std::mt19937 rng{3};
	std::vector<int64_t> times;
	struct snipe_report_schedule s;
	GRand *draw = g_rand_new_with_seed(5);

	snipe_report_schedule_init(&s, 0);
	for (int64_t tick = 0; tick < 60000000; tick += TICK_US) {
		int64_t now = tick + (int64_t)(rng() % 2000);

		if (snipe_report_schedule_is_due(&s, now, nodes, TICK_US, draw))
			times.push_back(now);
	}
	g_rand_free(draw);
	return times;
}

} // namespace

// The fault: with ticks of 50 ms a report that was due after 300 ms went out after 350 ms about
// every second time, so that a single loss left a gap of up to 700 ms; silence is 660 ms.
TEST(ReportSchedule, OneLostReportIsNoSilence)
{
	for (int nodes : {17, 58, 64, 306}) {
		std::vector<int64_t> times = play(nodes);
		double silence =
			SNIPE_SILENT_INTERVALS * (double)snipe_report_interval_us(nodes);

		for (size_t i = 2; i < times.size(); i++)
			ASSERT_LT((double)(times[i] - times[i - 2]), silence) << nodes;
	}
}

TEST(ReportSchedule, ReportsComeAtTheirInterval)
{
	for (int nodes : {17, 58, 306}) {
		std::vector<int64_t> times = play(nodes);
		double mean = (double)times.back() / (double)(times.size() - 1);

		EXPECT_NEAR(mean, snipe_report_interval_us(nodes), TICK_US / 2.0) << nodes;
	}
}

// The fault: nodes that start together, or that all report at once because the tables changed,
// reported at the same moments from then on.
TEST(ReportSchedule, NodesThatStartTogetherReportApart)
{
	const int nodes = 64, parts = 8, rounds = 40;
	GRand *draw = g_rand_new_with_seed(5);
	std::vector<int> reports(parts);
	std::vector<struct snipe_report_schedule> schedules(nodes);
	int64_t interval = snipe_report_interval_us(nodes);

	for (auto &s : schedules)
		snipe_report_schedule_init(&s, 0);
	// They find each other one by one.
	for (int64_t now = 0; now < rounds * interval; now += TICK_US / 5)
		for (auto &s : schedules)
			if (snipe_report_schedule_is_due(
				    &s, now, (int)std::min<int64_t>(nodes, 1 + now / 20000),
				    TICK_US, draw))
				reports[now % interval * parts / interval]++;
	for (int count : reports)
		EXPECT_LE(count, 2 * rounds * nodes / parts) << "in an eighth of the interval";
	g_rand_free(draw);
}

TEST(ReportSchedule, APausedNodeReportsOnceAndThenAtItsInterval)
{
	struct snipe_report_schedule s;
	GRand *draw = g_rand_new_with_seed(5);

	snipe_report_schedule_init(&s, 0);
	EXPECT_TRUE(snipe_report_schedule_is_due(&s, 0, 17, TICK_US, draw));
	EXPECT_TRUE(snipe_report_schedule_is_due(&s, 9000000, 17, TICK_US, draw));
	EXPECT_FALSE(snipe_report_schedule_is_due(&s, 9000000 + TICK_US, 17, TICK_US, draw));
	EXPECT_TRUE(snipe_report_schedule_is_due(&s, 9300000, 17, TICK_US, draw));
	g_rand_free(draw);
}

TEST(ReportSchedule, ALargeFleetIsNotFloodedWithReports)
{
	EXPECT_EQ(snipe_report_interval_us(1), 300000);
	EXPECT_EQ(snipe_report_interval_us(64), 640000);
	EXPECT_EQ(snipe_report_interval_us(200), 1000000);
	for (int nodes : {300, 1200})
		EXPECT_LE(nodes * 1e6 / (double)snipe_report_interval_us(nodes), 301)
			<< "datagrams a second";
}
