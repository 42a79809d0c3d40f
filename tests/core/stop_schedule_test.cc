// Guards against a stop that accepts what it cannot finish, or ends before it has answered what
// it accepted.
#include "core/stop_schedule.h"

#include <gtest/gtest.h>

namespace
{

const int64_t BEGIN = 1000000000, GRACE = 6000000;

int64_t after(double s)
{
	return BEGIN + (int64_t)(s * 1e6);
}

struct StopSchedule : testing::Test {
	struct snipe_stop_schedule s = {};

	StopSchedule()
	{
		snipe_stop_schedule_begin(&s, BEGIN, GRACE);
	}
};

} // namespace

TEST(StopScheduleBefore, WithoutAStopEverythingIsAdmittedAndNothingEnds)
{
	struct snipe_stop_schedule s = {};

	EXPECT_FALSE(snipe_stop_schedule_has_begun(&s));
	EXPECT_TRUE(snipe_stop_schedule_admits(&s, BEGIN, INT64_MAX / 2));
	EXPECT_FALSE(snipe_stop_schedule_rejects_calls(&s, BEGIN));
	EXPECT_FALSE(snipe_stop_schedule_closes_idle(&s, BEGIN));
	EXPECT_FALSE(snipe_stop_schedule_is_ending(&s, BEGIN));
	EXPECT_FALSE(snipe_stop_schedule_is_over(&s, BEGIN, 1));
}

TEST_F(StopSchedule, ASecondSignalDoesNotBeginItAgain)
{
	EXPECT_FALSE(snipe_stop_schedule_begin(&s, after(3), GRACE));
	EXPECT_TRUE(snipe_stop_schedule_is_ending(&s, after(5.6)));
}

TEST_F(StopSchedule, AfterThreeSecondsOnlyWhatEndsInTimeIsAdmitted)
{
	EXPECT_TRUE(snipe_stop_schedule_admits(&s, after(2.9), 5000000));
	EXPECT_FALSE(snipe_stop_schedule_admits(&s, after(3), 2600000));
	EXPECT_TRUE(snipe_stop_schedule_admits(&s, after(3), 2500000));
	EXPECT_TRUE(snipe_stop_schedule_admits(&s, after(5.5), 50000));
	EXPECT_FALSE(snipe_stop_schedule_admits(&s, after(5.6), 0));
}

// Guards against a request that is broken off while its server may still answer it in time.
TEST_F(StopSchedule, TheLastAnswersAreGivenShortlyBeforeTheExit)
{
	EXPECT_FALSE(snipe_stop_schedule_is_ending(&s, after(5.5)));
	EXPECT_TRUE(snipe_stop_schedule_is_ending(&s, after(5.6)));
	EXPECT_FALSE(snipe_stop_schedule_is_last_answer(&s, after(5.7)));
	EXPECT_TRUE(snipe_stop_schedule_is_last_answer(&s, after(5.8)));
	EXPECT_FALSE(snipe_stop_schedule_is_over(&s, after(5.8), 0));
}

TEST_F(StopSchedule, ExitsEarlyOnlyAfterAnIdleTime)
{
	EXPECT_FALSE(snipe_stop_schedule_is_over(&s, after(2.5), 1));
	EXPECT_FALSE(snipe_stop_schedule_is_over(&s, after(2.6), 0));
	EXPECT_FALSE(snipe_stop_schedule_is_over(&s, after(2.7), 1));
	EXPECT_FALSE(snipe_stop_schedule_is_over(&s, after(2.8), 1));
	EXPECT_TRUE(snipe_stop_schedule_is_over(&s, after(2.9), 1));
}

TEST_F(StopSchedule, AnswersWhatIsOpenAndThenWaitsForItsClients)
{
	EXPECT_FALSE(snipe_stop_schedule_is_ending(&s, after(5.5)));
	EXPECT_TRUE(snipe_stop_schedule_is_ending(&s, after(5.6)));
	EXPECT_FALSE(snipe_stop_schedule_is_over(&s, after(5.6), 0));
	EXPECT_TRUE(snipe_stop_schedule_is_over(&s, after(5.7), 1));
	EXPECT_TRUE(snipe_stop_schedule_is_over(&s, after(5.9), 0));
}

TEST_F(StopSchedule, OnlyAShorterGraceTimeIsTakenOver)
{
	snipe_stop_schedule_set_grace(&s, 8000000);
	EXPECT_TRUE(snipe_stop_schedule_is_over(&s, after(5.9), 0));
	snipe_stop_schedule_set_grace(&s, 4000000);
	EXPECT_TRUE(snipe_stop_schedule_is_over(&s, after(3.9), 0));
	EXPECT_FALSE(snipe_stop_schedule_admits(&s, after(3.6), 0));
}
