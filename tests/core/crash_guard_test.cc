// Guards against a request that crashes one backend server after the other, and against
// rejections of requests that only ran beside it.
#include <gtest/gtest.h>

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
	EXPECT_FALSE(snipe_crash_guard_success(&g, 7));
	snipe_crash_guard_strike(&g, 0, 7, 1);
	EXPECT_TRUE(snipe_crash_guard_success(&g, 7));
	snipe_crash_guard_strike(&g, 0, 7, 2);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
	snipe_crash_guard_strike(&g, 0, 7, 3);
	EXPECT_TRUE(snipe_crash_guard_is_suspect(&g, 0, 7));
	snipe_crash_guard_success(&g, 7);
	EXPECT_FALSE(snipe_crash_guard_is_suspect(&g, 0, 7));
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

TEST_F(CrashGuard, FingerprintCoversEveryField)
{
	uint64_t f = snipe_crash_fingerprint("r", "GET", "/a", "x", 1);

	EXPECT_EQ(f, snipe_crash_fingerprint("r", "GET", "/a", "x", 1));
	EXPECT_NE(f, snipe_crash_fingerprint("s", "GET", "/a", "x", 1));
	EXPECT_NE(f, snipe_crash_fingerprint("r", "PUT", "/a", "x", 1));
	EXPECT_NE(f, snipe_crash_fingerprint("r", "GET", "/b", "x", 1));
	EXPECT_NE(f, snipe_crash_fingerprint("r", "GET", "/a", "y", 1));
	EXPECT_NE(f, snipe_crash_fingerprint("r", "GET", "/ax", "", 0)) << "joined fields";
	EXPECT_NE(f, snipe_crash_fingerprint("r", "GET", "/a", nullptr, 0));
	EXPECT_FALSE(snipe_crash_guard_strike(&g, 0, 0, 1)) << "0 marks a free entry";
}

} // namespace
