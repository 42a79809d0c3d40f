// Guards against calls sent to failing, draining, slow or cold servers while better ones exist,
// and against ejection of healthy servers because of their callers.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "base/error.h"
#include "core/balancer.h"

namespace
{

class Balancer : public testing::Test
{
      protected:
	struct snipe_balancer b;
	GRand *rng = g_rand_new_with_seed(5);
	int64_t now = 100000000;

	void SetUp() override
	{
		snipe_balancer_init(&b, 0, 100);
	}
	void TearDown() override
	{
		snipe_balancer_finish(&b);
		g_rand_free(rng);
	}
	std::vector<int> add(int count, int failure_domain = 1)
	{
		std::vector<int> handles;
		for (int i = 0; i < count; i++)
			handles.push_back(snipe_balancer_add(&b, now, failure_domain, 0));
		return handles;
	}
	int choose(enum snipe_importance importance = SNIPE_IMPORTANCE_NORMAL,
		   const std::vector<int> &exclude = {})
	{
		return snipe_balancer_choose(&b, now, rng, importance, exclude.data(),
					     (int)exclude.size());
	}
	void record(int server, enum snipe_server_outcome outcome, int64_t latency_us = 10000,
		    const struct snipe_load_report *report = nullptr)
	{
		snipe_balancer_record(&b, server, now, latency_us, outcome, report);
	}
	struct snipe_balancer_view view(int server)
	{
		struct snipe_balancer_view v = {};
		EXPECT_EQ(snipe_balancer_get_view(&b, server, now, &v), 0);
		return v;
	}
	void fail(int server, int times = 5)
	{
		for (int i = 0; i < times; i++)
			record(server, SNIPE_OUTCOME_FAILED, 100);
	}
	// Chooses servers for calls that each succeed before the next one is chosen.
	std::map<int, int> count_choices(int calls)
	{
		std::map<int, int> counts;
		for (int i = 0; i < calls; i++) {
			int s = choose();
			counts[s]++;
			if (s >= 0)
				record(s, SNIPE_OUTCOME_OK);
			now += 1000;
		}
		return counts;
	}
};

TEST_F(Balancer, OnlyUsableServersAreChosen)
{
	EXPECT_EQ(choose(), SNIPE_ERR_NOT_FOUND);
	auto s = add(3);
	snipe_balancer_set_usable(&b, s[0], 0);
	snipe_balancer_remove(&b, s[1]);
	auto counts = count_choices(100);
	EXPECT_EQ(counts[s[2]], 100);
	EXPECT_EQ(choose(SNIPE_IMPORTANCE_CRITICAL, {s[2]}), SNIPE_ERR_NOT_FOUND)
		<< "a server that was tried before";
}

// The end of a call to a removed server must not be counted for its replacement.
TEST_F(Balancer, HandleIsNotReused)
{
	auto s = add(1);
	ASSERT_EQ(choose(), s[0]);
	snipe_balancer_remove(&b, s[0]);
	auto t = add(1);
	ASSERT_NE(t[0], s[0]);
	ASSERT_EQ(choose(), t[0]);
	record(s[0], SNIPE_OUTCOME_OK);
	EXPECT_EQ(view(t[0]).in_flight, 1);
}

TEST_F(Balancer, SlowServerGetsFewCallsAndIsTriedAgain)
{
	auto s = add(4);
	std::map<int, int> counts;
	for (int i = 0; i < 8000; i++, now += 2000) {
		int c = choose();
		counts[c]++;
		record(c, SNIPE_OUTCOME_OK, c == s[0] && i < 2000 ? 200000 : 10000);
		if (i == 1999) {
			EXPECT_LT(counts[s[0]], 20);
			counts.clear();
		}
		if (i == 6999) // 10 s after it became fast again
			counts.clear();
	}
	EXPECT_GT(counts[s[0]], 150) << "a quarter of the calls would be 250";
}

// With equal shares, the calls in flight to a server at a fifth of the speed of the others
// would grow until its connections are used up.
TEST_F(Balancer, SlowerServerGetsASmallerShare)
{
	auto s = add(4);
	std::map<int, int64_t> last_end;
	std::multimap<int64_t, std::pair<int, int64_t>> running; // end -> server, start
	int worst = 0;

	for (int i = 0; i < 28000; i++, now += 357) { // 2800 calls a second
		while (!running.empty() && running.begin()->first <= now) {
			auto [server, start] = running.begin()->second;
			record(server, SNIPE_OUTCOME_OK, now - start);
			running.erase(running.begin());
		}
		int c = choose();
		ASSERT_GE(c, 0);
		bool slow = c == s[0];
		int64_t end = std::max(now + (slow ? 50000 : 10000),
				       last_end[c] + (slow ? 5000 : 1000));
		last_end[c] = end;
		running.insert({end, {c, now}});
		worst = std::max(worst, view(s[0]).in_flight);
	}
	printf("slow server: at most %d calls in flight\n", worst);
	EXPECT_LE(worst, 40);
}

// Rejections and failures are quick; they must not attract calls.
TEST_F(Balancer, QuickRejectionsDoNotMakeAServerLookFast)
{
	auto s = add(2);
	for (int i = 0; i < 1000; i++, now += 1000) {
		int c = choose();
		if (c == s[0])
			record(c, SNIPE_OUTCOME_REJECTED, 50);
		else
			record(c, SNIPE_OUTCOME_OK, 10000);
	}
	EXPECT_EQ(view(s[0]).latency_us, 0);
	EXPECT_EQ(view(s[1]).latency_us, 10000);
}

TEST_F(Balancer, FailingServerIsEjectedAndProbedByASingleCall)
{
	auto s = add(3);
	fail(s[0], 4);
	record(s[0], SNIPE_OUTCOME_OK);
	fail(s[0], 4);
	EXPECT_FALSE(view(s[0]).is_ejected) << "the failures are not consecutive";
	fail(s[0], 1);
	EXPECT_TRUE(view(s[0]).is_ejected);
	EXPECT_EQ(count_choices(900)[s[0]], 0);
	now += 101000;
	EXPECT_NE(choose(SNIPE_IMPORTANCE_CRITICAL), s[0]) << "critical calls do not probe";
	EXPECT_EQ(choose(), s[0]);
	EXPECT_EQ(count_choices(100)[s[0]], 0) << "one probe at a time";
	record(s[0], SNIPE_OUTCOME_FAILED, 100);
	now += 1900000;
	EXPECT_EQ(count_choices(50)[s[0]], 0) << "the second ejection lasts 2 s";
	now += 60000;
	EXPECT_EQ(choose(), s[0]);
	record(s[0], SNIPE_OUTCOME_OK);
	EXPECT_FALSE(view(s[0]).is_ejected);
	EXPECT_GT(count_choices(300)[s[0]], 50);
}

// Calls that started before the ejection may end after it, for example by timeout.
TEST_F(Balancer, FailuresOfEarlierCallsDoNotProlongAnEjection)
{
	auto s = add(2);
	fail(s[0]);
	now += 1500000;
	record(s[0], SNIPE_OUTCOME_TIMEOUT, 2000000);
	EXPECT_EQ(choose(), s[0]);
	record(s[0], SNIPE_OUTCOME_TIMEOUT, 2000000);
	record(s[0], SNIPE_OUTCOME_OK, 0);
	EXPECT_FALSE(view(s[0]).is_ejected);
}

TEST_F(Balancer, AtMostHalfOfThePoolIsEjected)
{
	auto s = add(4);
	for (int h : s)
		fail(h);
	auto ejected = [&] {
		int n = 0;
		for (int h : s)
			n += view(h).is_usable && view(h).is_ejected;
		return n;
	};
	EXPECT_EQ(ejected(), 2);
	for (int h : s)
		if (!view(h).is_ejected) {
			snipe_balancer_set_usable(&b, h, 0);
			break;
		}
	EXPECT_EQ(ejected(), 1) << "of three usable servers";
}

// A caller with very short timeouts must not get healthy servers ejected for all callers.
TEST_F(Balancer, TimeoutsBelowTheUsualLatencyDoNotEjectAServer)
{
	auto s = add(2);
	record(s[0], SNIPE_OUTCOME_OK, 10000);
	for (int i = 0; i < 20; i++)
		record(s[0], SNIPE_OUTCOME_TIMEOUT, 1000);
	EXPECT_FALSE(view(s[0]).is_ejected);
	for (int i = 0; i < 5; i++)
		record(s[0], SNIPE_OUTCOME_TIMEOUT, 2000000);
	EXPECT_TRUE(view(s[0]).is_ejected);
}

TEST_F(Balancer, OwnFailureDomainIsPreferredUnlessLoadedOrSlow)
{
	auto other = add(2, 1), own = add(1, 0);
	struct snipe_load_report light = {10, 6, 0, 0}, heavy = {10, 7, 0, 0};

	for (int h : other)
		record(h, SNIPE_OUTCOME_OK, 10000, &light);
	record(own[0], SNIPE_OUTCOME_OK, 20000, &light);
	EXPECT_EQ(count_choices(100)[own[0]], 100);
	record(own[0], SNIPE_OUTCOME_OK, 20000, &heavy);
	EXPECT_LT(count_choices(100)[own[0]], 80) << "at 70 % of its limit";
	record(own[0], SNIPE_OUTCOME_OK, 10000, &light);
	for (int i = 0; i < 50; i++)
		record(own[0], SNIPE_OUTCOME_OK, 200000, &light);
	EXPECT_LT(count_choices(100)[own[0]], 20) << "much slower than the others";
}

TEST_F(Balancer, ColdServerRampsUp)
{
	auto s = add(4);
	count_choices(100);
	int cold = snipe_balancer_add(&b, now, 1, 1);
	int early = count_choices(500)[cold];
	EXPECT_GT(early, 0);
	EXPECT_LT(early, 40) << "a fifth of the calls would be 100";
	now += 10000000;
	EXPECT_GT(count_choices(500)[cold], 60);
}

TEST_F(Balancer, EarlyRejectionLetsOneCallInTwentyThrough)
{
	auto s = add(2);
	struct snipe_load_report r = {10, 10, 10, SNIPE_IMPORTANCE_HIGH};
	int probes = 0;

	for (int h : s)
		record(h, SNIPE_OUTCOME_OK, 10000, &r);
	EXPECT_GE(choose(SNIPE_IMPORTANCE_HIGH), 0);
	for (int i = 0; i < 2000; i++) {
		int c = choose(SNIPE_IMPORTANCE_NORMAL);
		probes += c >= 0;
		if (c >= 0)
			record(c, SNIPE_OUTCOME_CANCELLED);
		else
			EXPECT_EQ(c, SNIPE_ERR_FULL);
	}
	EXPECT_NEAR(probes, 100, 40);
	r.floor = SNIPE_IMPORTANCE_LOW;
	record(s[1], SNIPE_OUTCOME_OK, 10000, &r);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(choose(SNIPE_IMPORTANCE_NORMAL), s[1])
			<< "the only one that accepts it";
}

// After a peak of load, old reports must not keep calls away.
TEST_F(Balancer, OldLoadReportsAreNotUsed)
{
	auto s = add(1);
	struct snipe_load_report r = {10, 10, 10, SNIPE_IMPORTANCE_COUNT};

	record(s[0], SNIPE_OUTCOME_REJECTED, 100, &r);
	now += 1000001;
	EXPECT_EQ(choose(SNIPE_IMPORTANCE_LOW), s[0]);
}

TEST_F(Balancer, LastConnectionsAreReservedForImportantCalls)
{
	auto s = add(1);
	int counts[SNIPE_IMPORTANCE_COUNT] = {};

	for (int i = 0; i < SNIPE_IMPORTANCE_COUNT; i++)
		while (choose((enum snipe_importance)i) >= 0)
			counts[i]++;
	EXPECT_EQ(counts[SNIPE_IMPORTANCE_LOW], 85);
	EXPECT_EQ(counts[SNIPE_IMPORTANCE_CRITICAL], 5);
	EXPECT_EQ(view(s[0]).in_flight, 100);
	snipe_balancer_set_connections(&b, 1);
	for (int i = 0; i < 100; i++)
		record(s[0], SNIPE_OUTCOME_OK);
	EXPECT_EQ(choose(SNIPE_IMPORTANCE_LOW), s[0]);
}

} // namespace
