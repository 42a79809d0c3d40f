// Guards against a request that crashes one backend server after another, and against lasting
// rejections of harmless requests that ran beside it.
#include <gtest/gtest.h>

#include <cstring>
#include <set>

#include "base/error.h"
#include "core/crash_guard.h"

namespace
{

class CrashGuard : public testing::Test
{
      protected:
	struct snipe_crash_guard g;

	void SetUp() override
	{
		snipe_crash_guard_init(&g);
	}
};

TEST_F(CrashGuard, SuspectForTenMinutesAfterTwoCrashes)
{
	EXPECT_TRUE(snipe_crash_guard_record_strike(&g, 0, 7, 1));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
	EXPECT_TRUE(snipe_crash_guard_record_strike(&g, 1000, 7, 2));
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 1000, 7));
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 600000999, 7));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 600001000, 7));
	snipe_crash_guard_record_strike(&g, 600001000, 7, 3);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 600001000, 7))
		<< "expired strikes do not count";
}

// A harmless request of which several calls ran at a single crash must not become suspect.
TEST_F(CrashGuard, OneCrashIsOneStrike)
{
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(snipe_crash_guard_record_strike(&g, 0, 7, 1), i == 0);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
}

TEST_F(CrashGuard, SuccessClearsTheStrikes)
{
	EXPECT_FALSE(snipe_crash_guard_record_success(&g, 0, 7));
	snipe_crash_guard_record_strike(&g, 0, 7, 1);
	EXPECT_TRUE(snipe_crash_guard_record_success(&g, 0, 7));
	snipe_crash_guard_record_strike(&g, 0, 7, 2);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
	snipe_crash_guard_record_strike(&g, 0, 7, 3);
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 0, 7));
	snipe_crash_guard_record_success(&g, 0, 7);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
}

// Nodes repeat the reports of their servers' crashes for seconds, also after a success.
TEST_F(CrashGuard, RepeatedReportsOfSeveralCrashesCountOnce)
{
	snipe_crash_guard_record_strike(&g, 0, 7, 1);
	snipe_crash_guard_record_strike(&g, 0, 7, 2);
	EXPECT_TRUE(snipe_crash_guard_record_success(&g, 0, 7));
	for (int i = 0; i < 10; i++) {
		EXPECT_FALSE(snipe_crash_guard_record_strike(&g, 0, 7, 1));
		EXPECT_FALSE(snipe_crash_guard_record_strike(&g, 0, 7, 2));
	}
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
}

TEST_F(CrashGuard, OnlySuccessesAtThisNodeAreListed)
{
	uint64_t cleared[SNIPE_CRASH_MAX_CLEARED];

	EXPECT_FALSE(snipe_crash_guard_record_success(&g, 1000, 6)) << "it had no strikes";
	EXPECT_EQ(snipe_crash_guard_list_cleared(&g, 0, cleared, SNIPE_CRASH_MAX_CLEARED), 0);
	for (uint64_t f = 1; f <= 2; f++) {
		snipe_crash_guard_record_strike(&g, 0, f, 1);
		snipe_crash_guard_record_strike(&g, 0, f, 2);
	}
	EXPECT_TRUE(snipe_crash_guard_record_success(&g, 1000, 1));
	EXPECT_TRUE(snipe_crash_guard_clear(&g, 2));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 1000, 2));
	ASSERT_EQ(snipe_crash_guard_list_cleared(&g, 1000, cleared, SNIPE_CRASH_MAX_CLEARED),
		  1);
	EXPECT_EQ(cleared[0], 1u);
	EXPECT_EQ(snipe_crash_guard_list_cleared(&g, 1001, cleared, SNIPE_CRASH_MAX_CLEARED),
		  0);
}

// While all nodes reject a request, none can observe that it is harmless.
TEST_F(CrashGuard, OneSuspectRequestRunsAsTrialInTheTurnOfTheNode)
{
	snipe_crash_guard_record_strike(&g, 0, 7, 1);
	EXPECT_FALSE(snipe_crash_guard_start_trial(&g, 60000000, 7, 0)) << "it is not suspect";
	snipe_crash_guard_record_strike(&g, 0, 7, 2);
	EXPECT_FALSE(snipe_crash_guard_start_trial(&g, 4999999, 7, 0));
	EXPECT_FALSE(snipe_crash_guard_start_trial(&g, 9999999, 7, 1))
		<< "another node tries first";
	EXPECT_TRUE(snipe_crash_guard_start_trial(&g, 10000000, 7, 1));
	EXPECT_FALSE(snipe_crash_guard_start_trial(&g, 10000001, 7, 0))
		<< "the trial was started";
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 10000001, 7));
}

// Trials of a request that does crash servers must not crash one every few seconds.
TEST_F(CrashGuard, TrialsBecomeRareAfterFurtherCrashes)
{
	int64_t now = 0;
	int trials = 0;

	snipe_crash_guard_record_strike(&g, now, 7, 1);
	snipe_crash_guard_record_strike(&g, now, 7, 2);
	for (uint64_t crash_id = 3; now < 60000000; now += 100000)
		if (snipe_crash_guard_start_trial(&g, now, 7, 0)) {
			trials++;
			snipe_crash_guard_record_strike(&g, now, 7, crash_id++);
		}
	EXPECT_LE(trials, 3);
	EXPECT_GE(trials, 1);
}

// Single strikes of the many requests that ran beside must not evict the one that crashes.
TEST_F(CrashGuard, SuspectsAreEvictedAfterOtherEntries)
{
	snipe_crash_guard_record_strike(&g, 0, 7, 1);
	snipe_crash_guard_record_strike(&g, 0, 7, 2);
	for (uint64_t f = 100; f < 100 + 20 * SNIPE_CRASH_GUARD_ENTRIES; f++)
		snipe_crash_guard_record_strike(&g, 1000, f, 3);
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 1000, 7));
	snipe_crash_guard_record_strike(&g, 2000, 5, 4);
	snipe_crash_guard_record_strike(&g, 2000, 5, 5);
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 2000, 5))
		<< "a new suspect always finds an entry";
}

// Guards against a node that started after the crashes and sends the request to more servers.
TEST_F(CrashGuard, NodeThatStartedLaterReceivesSuspects)
{
	struct snipe_crash_guard later;
	struct snipe_strike reported[SNIPE_CRASH_MAX_REPORTED_STRIKES];
	int64_t now = 100000000;

	snipe_crash_guard_init(&later);
	snipe_crash_guard_record_strike(&g, 1000000, 5, 9);
	EXPECT_EQ(snipe_crash_guard_list_strikes(&g, now, reported,
						 SNIPE_CRASH_MAX_REPORTED_STRIKES),
		  0)
		<< "one strike is no suspect";
	for (uint64_t crash_id = 1; crash_id <= 3; crash_id++)
		snipe_crash_guard_record_strike(&g, 2000000, 7, crash_id);
	ASSERT_EQ(snipe_crash_guard_list_strikes(&g, now, reported,
						 SNIPE_CRASH_MAX_REPORTED_STRIKES),
		  3);
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(snipe_crash_guard_record_reported_strike(&later, now + 50,
								     &reported[i]));
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&later, now, 7));
	// Its trial and expiry come when those of the other nodes do.
	EXPECT_EQ(snipe_crash_guard_trial_due(&later, 7),
		  snipe_crash_guard_trial_due(&g, 7) + 50);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&later, 602000050, 7));
	// A repeated report changes nothing, also after a success.
	snipe_crash_guard_record_success(&later, now, 7);
	for (int i = 0; i < 3; i++)
		EXPECT_FALSE(snipe_crash_guard_record_reported_strike(&later, now + 60,
								      &reported[i]));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&later, now, 7));
}

TEST_F(CrashGuard, EverySuspectIsReportedInTurn)
{
	struct snipe_strike reported[SNIPE_CRASH_MAX_REPORTED_STRIKES];
	std::set<uint64_t> seen;

	for (uint64_t f = 1; f <= 20; f++)
		for (uint64_t crash_id = 1; crash_id <= 2 + f % 5; crash_id++)
			snipe_crash_guard_record_strike(&g, 0, f * 1000, crash_id);
	for (int i = 0; i < 20; i++) {
		int n = snipe_crash_guard_list_strikes(&g, 1000, reported,
						       SNIPE_CRASH_MAX_REPORTED_STRIKES);

		ASSERT_GE(n, 2);
		for (int k = 0; k < n; k++)
			seen.insert(reported[k].fingerprint);
	}
	EXPECT_EQ(seen.size(), 20u);
}

// Guards against a stored list that grows, or that restores expired strikes or, counted again,
// those of a request that was found harmless.
TEST_F(CrashGuard, LatestSuspectsAreStoredAsText)
{
	struct snipe_crash_guard other;
	struct snipe_buffer text;

	snipe_buffer_init(&text);
	snipe_crash_guard_init(&other);
	for (uint64_t f = 1; f <= 100; f++)
		for (uint64_t crash_id = 1; crash_id <= 2; crash_id++)
			snipe_crash_guard_record_strike(&g, (int64_t)(f * 1000000), f,
							1000 * f + crash_id);
	snipe_crash_guard_record_strike(&g, 101000000, 101, 1);
	snipe_crash_guard_print(&g, 110000000, 5000000, &text);
	EXPECT_EQ(snipe_crash_guard_load(&other, 7000000000, 5010000, text.data, text.len),
		  2 * 64);
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&other, 7000000000, 100));
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&other, 7000000000, 37));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&other, 7000000000, 36));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&other, 7000000000, 101));
	// 10 s before the text was written, 10 s until it was read.
	EXPECT_EQ(snipe_crash_guard_trial_due(&other, 100), 7000000000 - 20000000 + 5000000);
	EXPECT_EQ(snipe_crash_guard_load(&other, 7000000000, 5010000, text.data, text.len), 0)
		<< "known crashes";
	EXPECT_EQ(snipe_crash_guard_changes(&other), 0u) << "nothing to store";
	snipe_crash_guard_init(&other);
	EXPECT_EQ(snipe_crash_guard_load(&other, 7000000000, 5000000 + 640000, text.data,
					 text.len),
		  0)
		<< "expired";
	for (const char *bad : {"x 1 2", "5", "5 x", "5 -1 2", "0 1 2", "5 1 2 x"})
		EXPECT_EQ(snipe_crash_guard_load(&other, 0, 1, bad, strlen(bad)),
			  SNIPE_ERR_SYNTAX)
			<< bad;
	snipe_buffer_finish(&text);
}

TEST_F(CrashGuard, ChangesThatTheNodeHasToStoreAreCounted)
{
	snipe_crash_guard_record_strike(&g, 0, 7, 1);
	snipe_crash_guard_record_strike(&g, 0, 7, 2);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 0u)
		<< "the nodes beside the servers store them";
	snipe_crash_guard_record_local_strike(&g, 0, 8, 1);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 0u) << "one strike is no suspect";
	snipe_crash_guard_record_strike(&g, 0, 8, 2);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 1u)
		<< "one of the crashes was at another node";
	snipe_crash_guard_record_local_strike(&g, 0, 8, 3);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 2u);
	snipe_crash_guard_record_success(&g, 0, 7);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 3u);
	snipe_crash_guard_record_success(&g, 0, 7);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 3u);
}

TEST_F(CrashGuard, LateReportOfAnOldStrikeAllowsNoOtherTrial)
{
	struct snipe_strike old = {7, 3, 10000000};

	snipe_crash_guard_record_strike(&g, 100000000, 7, 1);
	snipe_crash_guard_record_strike(&g, 100000000, 7, 2);
	EXPECT_TRUE(snipe_crash_guard_start_trial(&g, 106000000, 7, 0));
	EXPECT_TRUE(snipe_crash_guard_record_reported_strike(&g, 106000000, &old));
	EXPECT_FALSE(snipe_crash_guard_start_trial(&g, 500000000, 7, 0));
	old = {7, 4, 600000000};
	EXPECT_FALSE(snipe_crash_guard_record_reported_strike(&g, 700000000, &old))
		<< "expired";
	old = {7, 4, -1};
	EXPECT_FALSE(snipe_crash_guard_record_reported_strike(&g, 700000000, &old))
		<< "negative age";
}

TEST_F(CrashGuard, FingerprintCoversEveryField)
{
	auto of = [](const char *host, const char *caller, const char *method, const char *path,
		     const char *body) {
		struct snipe_crash_request r = {host, caller, method,
						path, body,   body ? strlen(body) : 0};

		return snipe_crash_fingerprint(&r);
	};
	uint64_t f = of("h", "c", "GET", "/a", "x");

	EXPECT_EQ(f, of("h", "c", "GET", "/a", "x"));
	EXPECT_NE(f, of("i", "c", "GET", "/a", "x"));
	EXPECT_NE(f, of("h", "d", "GET", "/a", "x"));
	EXPECT_NE(f, of("h", "c", "PUT", "/a", "x"));
	EXPECT_NE(f, of("h", "c", "GET", "/b", "x"));
	EXPECT_NE(f, of("h", "c", "GET", "/a", "y"));
	EXPECT_NE(f, of("hc", "", "GET", "/a", "x")) << "same bytes, other fields";
	EXPECT_NE(f, of("h", "c", "GET", "/ax", "")) << "same bytes, other fields";
	EXPECT_NE(f, of("h", "c", "GET", "/a", nullptr));
	EXPECT_FALSE(snipe_crash_guard_record_strike(&g, 0, 0, 1)) << "0 marks a free entry";
}

} // namespace
