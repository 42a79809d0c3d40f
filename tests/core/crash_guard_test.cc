// Guards against a request that crashes one backend server after the other, and against
// rejections of requests that only ran beside it.
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

TEST_F(CrashGuard, SuspectAfterTwoDeathsForTenMinutes)
{
	EXPECT_TRUE(snipe_crash_guard_strike(&g, 0, 7, 1));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
	EXPECT_TRUE(snipe_crash_guard_strike(&g, 1000, 7, 2));
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 1000, 7));
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 600000999, 7));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 600001000, 7));
	snipe_crash_guard_strike(&g, 600001000, 7, 3);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 600001000, 7)) << "counts anew";
}

// Several running calls of one harmless request must not make it suspect at a single death.
TEST_F(CrashGuard, OneDeathIsOneStrike)
{
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(snipe_crash_guard_strike(&g, 0, 7, 1), i == 0);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
}

TEST_F(CrashGuard, SuccessClearsTheStrikes)
{
	EXPECT_FALSE(snipe_crash_guard_success(&g, 0, 7));
	snipe_crash_guard_strike(&g, 0, 7, 1);
	EXPECT_TRUE(snipe_crash_guard_success(&g, 0, 7));
	snipe_crash_guard_strike(&g, 0, 7, 2);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
	snipe_crash_guard_strike(&g, 0, 7, 3);
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 0, 7));
	snipe_crash_guard_success(&g, 0, 7);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
}

// Two nodes repeat the reports of their servers' deaths for seconds, also after a success.
TEST_F(CrashGuard, RepeatedReportsOfSeveralDeathsCountOnce)
{
	snipe_crash_guard_strike(&g, 0, 7, 1);
	snipe_crash_guard_strike(&g, 0, 7, 2);
	EXPECT_TRUE(snipe_crash_guard_success(&g, 0, 7));
	for (int i = 0; i < 10; i++) {
		EXPECT_FALSE(snipe_crash_guard_strike(&g, 0, 7, 1));
		EXPECT_FALSE(snipe_crash_guard_strike(&g, 0, 7, 2));
	}
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
}

TEST_F(CrashGuard, TellsOfItsOwnSuccessesOnly)
{
	uint64_t cleared[SNIPE_CRASH_CLEARED];

	EXPECT_FALSE(snipe_crash_guard_success(&g, 1000, 6)) << "it had no strikes";
	EXPECT_EQ(snipe_crash_guard_cleared(&g, 0, cleared, SNIPE_CRASH_CLEARED), 0);
	for (uint64_t f = 1; f <= 2; f++) {
		snipe_crash_guard_strike(&g, 0, f, 1);
		snipe_crash_guard_strike(&g, 0, f, 2);
	}
	EXPECT_TRUE(snipe_crash_guard_success(&g, 1000, 1));
	EXPECT_TRUE(snipe_crash_guard_clear(&g, 2));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 1000, 2));
	ASSERT_EQ(snipe_crash_guard_cleared(&g, 1000, cleared, SNIPE_CRASH_CLEARED), 1);
	EXPECT_EQ(cleared[0], 1u);
	EXPECT_EQ(snipe_crash_guard_cleared(&g, 1001, cleared, SNIPE_CRASH_CLEARED), 0);
}

// While all nodes refuse a request, none of them can see that it is harmless.
TEST_F(CrashGuard, OneSuspectRequestRunsAsATrialInEachTurn)
{
	snipe_crash_guard_strike(&g, 0, 7, 1);
	EXPECT_FALSE(snipe_crash_guard_try(&g, 60000000, 7, 0)) << "it is not suspect";
	snipe_crash_guard_strike(&g, 0, 7, 2);
	EXPECT_FALSE(snipe_crash_guard_try(&g, 4999999, 7, 0));
	EXPECT_FALSE(snipe_crash_guard_try(&g, 9999999, 7, 1)) << "another node tries first";
	EXPECT_TRUE(snipe_crash_guard_try(&g, 10000000, 7, 1));
	EXPECT_FALSE(snipe_crash_guard_try(&g, 10000001, 7, 0)) << "the trial runs";
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 10000001, 7));
}

// A request that does crash servers must not crash one in every few seconds.
TEST_F(CrashGuard, TrialsBecomeRareAfterFurtherDeaths)
{
	int64_t now = 0;
	int trials = 0;

	snipe_crash_guard_strike(&g, now, 7, 1);
	snipe_crash_guard_strike(&g, now, 7, 2);
	for (uint64_t death = 3; now < 60000000; now += 100000)
		if (snipe_crash_guard_try(&g, now, 7, 0)) {
			trials++;
			snipe_crash_guard_strike(&g, now, 7, death++);
		}
	EXPECT_LE(trials, 3);
	EXPECT_GE(trials, 1);
}

// Single strikes of the many requests that ran beside must not push out the one that crashes.
TEST_F(CrashGuard, SuspectsOutlastOtherEntries)
{
	snipe_crash_guard_strike(&g, 0, 7, 1);
	snipe_crash_guard_strike(&g, 0, 7, 2);
	for (uint64_t f = 100; f < 100 + 20 * SNIPE_CRASH_GUARD_ENTRIES; f++)
		snipe_crash_guard_strike(&g, 1000, f, 3);
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 1000, 7));
	snipe_crash_guard_strike(&g, 2000, 5, 4);
	snipe_crash_guard_strike(&g, 2000, 5, 5);
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 2000, 5)) << "there is always room";
}

// Guards against a node that started after the servers died and sends the request on.
TEST_F(CrashGuard, ANodeThatWasAwayLearnsOfSuspects)
{
	struct snipe_crash_guard late;
	struct snipe_strike told[SNIPE_CRASH_STRIKES_TOLD];
	int64_t now = 100000000;

	snipe_crash_guard_init(&late);
	snipe_crash_guard_strike(&g, 1000000, 5, 9);
	EXPECT_EQ(snipe_crash_guard_tell(&g, now, told, SNIPE_CRASH_STRIKES_TOLD), 0)
		<< "one strike is no suspect";
	for (uint64_t death = 1; death <= 3; death++)
		snipe_crash_guard_strike(&g, 2000000, 7, death);
	ASSERT_EQ(snipe_crash_guard_tell(&g, now, told, SNIPE_CRASH_STRIKES_TOLD), 3);
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(snipe_crash_guard_told(&late, now + 50, &told[i]));
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&late, now, 7));
	// It tries and forgets the request when the others do.
	EXPECT_EQ(snipe_crash_guard_trial_due(&late, 7),
		  snipe_crash_guard_trial_due(&g, 7) + 50);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&late, 602000050, 7));
	// What is told again changes nothing, also after a success.
	snipe_crash_guard_success(&late, now, 7);
	for (int i = 0; i < 3; i++)
		EXPECT_FALSE(snipe_crash_guard_told(&late, now + 60, &told[i]));
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&late, now, 7));
}

TEST_F(CrashGuard, EverySuspectIsToldInTurn)
{
	struct snipe_strike told[SNIPE_CRASH_STRIKES_TOLD];
	std::set<uint64_t> seen;

	for (uint64_t f = 1; f <= 20; f++)
		for (uint64_t death = 1; death <= 2 + f % 5; death++)
			snipe_crash_guard_strike(&g, 0, f * 1000, death);
	for (int i = 0; i < 20; i++) {
		int n = snipe_crash_guard_tell(&g, 1000, told, SNIPE_CRASH_STRIKES_TOLD);

		ASSERT_GE(n, 2);
		for (int k = 0; k < n; k++)
			seen.insert(told[k].fingerprint);
	}
	EXPECT_EQ(seen.size(), 20u);
}

// Guards against a kept list that grows, or brings back what is outdated or was found harmless.
TEST_F(CrashGuard, TheLatestSuspectsAreKeptAsText)
{
	struct snipe_crash_guard other;
	struct snipe_buffer text;

	snipe_buffer_init(&text);
	snipe_crash_guard_init(&other);
	for (uint64_t f = 1; f <= 100; f++)
		for (uint64_t death = 1; death <= 2; death++)
			snipe_crash_guard_strike(&g, (int64_t)(f * 1000000), f,
						 1000 * f + death);
	snipe_crash_guard_strike(&g, 101000000, 101, 1);
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
		<< "known deaths";
	EXPECT_EQ(snipe_crash_guard_changes(&other), 0u) << "nothing to write";
	snipe_crash_guard_init(&other);
	EXPECT_EQ(snipe_crash_guard_load(&other, 7000000000, 5000000 + 640000, text.data,
					 text.len),
		  0)
		<< "outdated";
	for (const char *bad : {"x 1 2", "5", "5 x", "5 -1 2", "0 1 2", "5 1 2 x"})
		EXPECT_EQ(snipe_crash_guard_load(&other, 0, 1, bad, strlen(bad)),
			  SNIPE_ERR_SYNTAX)
			<< bad;
	snipe_buffer_finish(&text);
}

TEST_F(CrashGuard, WhatANodeHasToKeepIsCounted)
{
	snipe_crash_guard_strike(&g, 0, 7, 1);
	snipe_crash_guard_strike(&g, 0, 7, 2);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 0u) << "the nodes beside the servers write";
	snipe_crash_guard_witness(&g, 0, 8, 1);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 0u) << "one strike is no suspect";
	snipe_crash_guard_strike(&g, 0, 8, 2);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 1u) << "the other death was told";
	snipe_crash_guard_witness(&g, 0, 8, 3);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 2u);
	snipe_crash_guard_success(&g, 0, 7);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 3u);
	snipe_crash_guard_success(&g, 0, 7);
	EXPECT_EQ(snipe_crash_guard_changes(&g), 3u);
}

TEST_F(CrashGuard, ALateReportOfAnOldStrikeAllowsNoOtherTrial)
{
	struct snipe_strike old = {7, 3, 10000000};

	snipe_crash_guard_strike(&g, 100000000, 7, 1);
	snipe_crash_guard_strike(&g, 100000000, 7, 2);
	EXPECT_TRUE(snipe_crash_guard_try(&g, 106000000, 7, 0));
	EXPECT_TRUE(snipe_crash_guard_told(&g, 106000000, &old));
	EXPECT_FALSE(snipe_crash_guard_try(&g, 500000000, 7, 0));
	old = {7, 4, 600000000};
	EXPECT_FALSE(snipe_crash_guard_told(&g, 700000000, &old)) << "outdated";
	old = {7, 4, -1};
	EXPECT_FALSE(snipe_crash_guard_told(&g, 700000000, &old)) << "no age";
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
	EXPECT_NE(f, of("hc", "", "GET", "/a", "x")) << "joined fields";
	EXPECT_NE(f, of("h", "c", "GET", "/ax", "")) << "joined fields";
	EXPECT_NE(f, of("h", "c", "GET", "/a", nullptr));
	EXPECT_FALSE(snipe_crash_guard_strike(&g, 0, 0, 1)) << "0 marks a free entry";
}

} // namespace
