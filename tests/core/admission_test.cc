// Guards against priority inversion, a workspace that starves the others, calls started after
// their deadline, and a reported floor that disagrees with the rejections.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <vector>

#include "base/error.h"
#include "core/admission.h"

namespace
{

class Admission : public testing::Test
{
      protected:
	struct snipe_admission q;
	int evicted = -1;

	void SetUp() override
	{
		snipe_admission_init(&q, 4);
	}
	void TearDown() override
	{
		snipe_admission_finish(&q);
	}
	enum snipe_admission_verdict offer(int handle, enum snipe_importance importance,
					   uint64_t workspace, int64_t now_us = 0,
					   int64_t deadline_us = INT64_MAX, int limit = 1)
	{
		struct snipe_admission_call c = {handle, importance, workspace, deadline_us, 0};
		return snipe_admission_offer(&q, now_us, &c, limit, &evicted);
	}
	// Ends a running call and starts the next one.
	int finish_and_start_next(uint64_t workspace, int64_t now_us = 0)
	{
		snipe_admission_done(&q, now_us, workspace);
		return snipe_admission_next(&q, now_us, 1);
	}
};

TEST_F(Admission, MoreImportantCallsRunFirst)
{
	EXPECT_EQ(offer(0, SNIPE_IMPORTANCE_LOW, 1), SNIPE_ADMISSION_RUN);
	EXPECT_EQ(offer(1, SNIPE_IMPORTANCE_LOW, 2), SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(offer(2, SNIPE_IMPORTANCE_CRITICAL, 1), SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(offer(3, SNIPE_IMPORTANCE_HIGH, 2), SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(snipe_admission_next(&q, 0, 1), -1) << "the limit is reached";
	EXPECT_EQ(finish_and_start_next(1), 2);
	EXPECT_EQ(finish_and_start_next(1), 3);
	EXPECT_EQ(finish_and_start_next(2), 1);
	EXPECT_EQ(snipe_admission_running(&q), 1);
	EXPECT_EQ(snipe_admission_waiting(&q), 0);
}

// After the limit was raised, an arriving call must not overtake waiting calls of its
// importance.
TEST_F(Admission, ArrivingCallOvertakesOnlyLessImportantOnes)
{
	offer(0, SNIPE_IMPORTANCE_LOW, 1);
	offer(1, SNIPE_IMPORTANCE_NORMAL, 1);
	EXPECT_EQ(offer(2, SNIPE_IMPORTANCE_NORMAL, 1, 0, INT64_MAX, 3),
		  SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(offer(3, SNIPE_IMPORTANCE_HIGH, 1, 0, INT64_MAX, 3), SNIPE_ADMISSION_RUN);
	EXPECT_EQ(snipe_admission_next(&q, 0, 3), 1);
}

TEST_F(Admission, FullQueueRejectsTheLeastImportantCall)
{
	offer(0, SNIPE_IMPORTANCE_LOW, 1);
	for (int i = 1; i <= 4; i++)
		offer(i, i == 2 ? SNIPE_IMPORTANCE_LOW : SNIPE_IMPORTANCE_HIGH, 1);
	EXPECT_EQ(snipe_admission_floor(&q, 1), SNIPE_IMPORTANCE_LOW);
	EXPECT_EQ(offer(5, SNIPE_IMPORTANCE_CRITICAL, 1), SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(evicted, 2);
	EXPECT_EQ(snipe_admission_floor(&q, 1), SNIPE_IMPORTANCE_HIGH);
	EXPECT_EQ(offer(6, SNIPE_IMPORTANCE_NORMAL, 2), SNIPE_ADMISSION_REJECTED);
	EXPECT_EQ(evicted, -1);
	EXPECT_EQ(offer(7, SNIPE_IMPORTANCE_CRITICAL, 1), SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(evicted, 4) << "the newest of the least important calls";
}

// A workspace whose calls fill the queue must not block the others.
TEST_F(Admission, FullQueueEvictsFromTheWorkspaceWithMostCalls)
{
	offer(0, SNIPE_IMPORTANCE_HIGH, 1);
	for (int i = 1; i <= 4; i++)
		offer(i, SNIPE_IMPORTANCE_HIGH, 1);
	EXPECT_EQ(offer(5, SNIPE_IMPORTANCE_HIGH, 1), SNIPE_ADMISSION_REJECTED);
	EXPECT_EQ(offer(6, SNIPE_IMPORTANCE_HIGH, 2), SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(evicted, 4);
	EXPECT_EQ(finish_and_start_next(1), 6) << "the less served workspace runs first";
}

TEST_F(Admission, LifoOnceTheOldestHasWaitedLong)
{
	offer(0, SNIPE_IMPORTANCE_LOW, 1);
	for (int i = 1; i <= 4; i++)
		offer(i, SNIPE_IMPORTANCE_LOW, 1, i * 1000);
	EXPECT_EQ(offer(5, SNIPE_IMPORTANCE_LOW, 1, 110000), SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(evicted, 1) << "the oldest call would run last";
	EXPECT_EQ(finish_and_start_next(1, 110000), 5);
	EXPECT_EQ(finish_and_start_next(1, 90000), 2);
}

TEST_F(Admission, ExpiredCallsNeverRunAndAreEvictedFirst)
{
	EXPECT_EQ(offer(0, SNIPE_IMPORTANCE_LOW, 1, 10, 10), SNIPE_ADMISSION_EXPIRED);
	offer(1, SNIPE_IMPORTANCE_LOW, 1);
	for (int i = 2; i <= 5; i++)
		offer(i, SNIPE_IMPORTANCE_CRITICAL, 1, 0, 100 + i);
	EXPECT_EQ(snipe_admission_next_deadline(&q), 102);
	EXPECT_EQ(snipe_admission_expire(&q, 101), -1);
	EXPECT_EQ(offer(6, SNIPE_IMPORTANCE_LOW, 1, 103), SNIPE_ADMISSION_QUEUED);
	EXPECT_EQ(evicted, 2);
	EXPECT_EQ(finish_and_start_next(1, 104), 5) << "calls 3 and 4 have expired";
	EXPECT_EQ(snipe_admission_expire(&q, 104), 3);
	EXPECT_EQ(snipe_admission_cancel(&q, 4), 0);
	EXPECT_EQ(snipe_admission_cancel(&q, 4), SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(finish_and_start_next(1, 104), 6);
	EXPECT_EQ(snipe_admission_next_deadline(&q), INT64_MAX);
}

TEST_F(Admission, FloorWithQueueLimitZero)
{
	snipe_admission_set_queue_limit(&q, 0);
	EXPECT_EQ(snipe_admission_floor(&q, 1), SNIPE_IMPORTANCE_LOW);
	offer(0, SNIPE_IMPORTANCE_LOW, 1);
	EXPECT_EQ(snipe_admission_floor(&q, 1), SNIPE_IMPORTANCE_COUNT);
	EXPECT_EQ(offer(1, SNIPE_IMPORTANCE_CRITICAL, 1), SNIPE_ADMISSION_REJECTED);
}

// A surge of workspace 0 must not starve the seven other workspaces, whose total load is below
// the capacity.
TEST(AdmissionFairness, SurgeOfOneWorkspaceDoesNotStarveTheOthers)
{
	const int limit = 20, workspaces = 8;
	const int64_t run_us = 20000, end_us = 20000000; // 1000 calls a second
	struct snipe_admission q;
	std::mt19937 rng(11);
	std::map<int, uint64_t> workspace_of;
	std::deque<std::pair<int64_t, uint64_t>> running;
	std::vector<int> offered(workspaces), served(workspaces);
	int next_handle = 0;

	snipe_admission_init(&q, 100);
	for (int64_t now = 0; now < end_us; now += 100) {
		while (!running.empty() && running.front().first <= now) {
			snipe_admission_done(&q, now, running.front().second);
			served[running.front().second]++;
			running.pop_front();
		}
		for (int w = 0; w < workspaces; w++) {
			double rate = w == 0 ? 5000 : 100; // calls a second
			struct snipe_admission_call c = {next_handle, SNIPE_IMPORTANCE_NORMAL,
							 (uint64_t)w, now + 1000000, 0};
			int evicted;
			if (!std::bernoulli_distribution(rate * 100e-6)(rng))
				continue;
			offered[w]++;
			workspace_of[next_handle++] = (uint64_t)w;
			if (snipe_admission_offer(&q, now, &c, limit, &evicted) ==
			    SNIPE_ADMISSION_RUN)
				running.push_back({now + run_us, (uint64_t)w});
		}
		for (int h; (h = snipe_admission_next(&q, now, limit)) >= 0;)
			running.push_back({now + run_us, workspace_of[h]});
	}
	snipe_admission_finish(&q);

	double worst = 1;
	for (int w = 1; w < workspaces; w++)
		worst = std::min(worst, (double)served[w] / offered[w]);
	printf("worst-served workspace gets %.3f of its calls, the surge %.3f\n", worst,
	       (double)served[0] / offered[0]);
	EXPECT_GE(worst, 0.97);
}

} // namespace
