// Guards against waiting calls that can no longer be served, priority inversion, and slots that
// are counted twice or leaked.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "base/error.h"
#include "core/work_queue.h"

namespace
{

struct Queue {
	struct snipe_work_queue q;
	Queue()
	{
		snipe_work_queue_init(&q);
	}
	~Queue()
	{
		snipe_work_queue_finish(&q);
	}
	enum snipe_work_verdict offer(int handle, int rank, int64_t give_up, int64_t now = 0,
				      int limit = 1, int64_t service = 100)
	{
		struct snipe_work w = {handle, rank, give_up};

		return snipe_work_queue_offer(&q, now, &w, limit, service);
	}
};

} // namespace

TEST(WorkQueue, RunsUpToTheLimit)
{
	Queue t;

	EXPECT_EQ(t.offer(1, 0, 1000, 0, 2), SNIPE_WORK_RUN);
	EXPECT_EQ(t.offer(2, 0, 1000, 0, 2), SNIPE_WORK_RUN);
	EXPECT_EQ(t.offer(3, 0, 1000, 0, 2), SNIPE_WORK_QUEUED);
	EXPECT_EQ(snipe_work_queue_next(&t.q, 0, 2), -1);
	snipe_work_queue_done(&t.q);
	EXPECT_EQ(snipe_work_queue_next(&t.q, 0, 2), 3);
	EXPECT_EQ(t.q.running, 2);
}

TEST(WorkQueue, LowerRankStartsFirstAndOldestWithinARank)
{
	Queue t;

	t.offer(1, 0, 10000);
	t.offer(2, 5, 10000);
	t.offer(3, 5, 10000);
	t.offer(4, 1, 10000);
	for (int want : {4, 2, 3}) {
		snipe_work_queue_done(&t.q);
		EXPECT_EQ(snipe_work_queue_next(&t.q, 0, 1), want);
	}
}

TEST(WorkQueue, RejectsCallsThatCannotStartInTime)
{
	Queue t;

	t.offer(1, 0, 1000);
	EXPECT_EQ(t.offer(2, 0, 150), SNIPE_WORK_QUEUED);   // starts at 100
	EXPECT_EQ(t.offer(3, 0, 150), SNIPE_WORK_REJECTED); // would start at 200
	EXPECT_EQ(t.offer(4, 0, -1), SNIPE_WORK_REJECTED);  // is already too late
}

TEST(WorkQueue, EstimatedWaitExcludesLessImportantCalls)
{
	Queue t;

	t.offer(1, 0, 10000);
	for (int i = 2; i < 12; i++)
		t.offer(i, 9, 10000);
	EXPECT_EQ(t.offer(20, 1, 150), SNIPE_WORK_QUEUED);
	EXPECT_EQ(t.offer(21, 9, 150), SNIPE_WORK_REJECTED);
}

TEST(WorkQueue, ExpiredCallsAreNeverStarted)
{
	Queue t;

	t.offer(1, 0, 10000);
	t.offer(2, 0, 150);
	t.offer(3, 0, 5000);
	snipe_work_queue_done(&t.q);
	EXPECT_EQ(snipe_work_queue_next(&t.q, 200, 1), 3);
	EXPECT_EQ(snipe_work_queue_expire(&t.q, 200), 2);
	EXPECT_EQ(snipe_work_queue_expire(&t.q, 200), -1);
}

TEST(WorkQueue, CancelledCallsAreRemoved)
{
	Queue t;

	t.offer(1, 0, 10000);
	t.offer(2, 0, 10000);
	EXPECT_EQ(snipe_work_queue_cancel(&t.q, 2), 0);
	EXPECT_EQ(snipe_work_queue_cancel(&t.q, 2), SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(snipe_work_queue_drop(&t.q), -1);
}

// Simulates five seconds of load at twice the capacity of the server, with callers that wait
// three service times. An unbounded FIFO queue would serve almost no call in time.
TEST(WorkQueue, OverloadIsServedAtCapacityWithinTheWaitLimit)
{
	const int64_t service = 100000, max_wait = 3 * service;
	const int limit = 20;
	Queue t;
	std::multimap<int64_t, int> end_times;
	std::map<int, int64_t> arrival_times;
	std::mt19937 rng(1);
	int served = 0, handle = 0;
	int64_t longest_wait = 0;

	for (int64_t now = 0; now < 5000000; now += 2500) {
		while (!end_times.empty() && end_times.begin()->first <= now) {
			end_times.erase(end_times.begin());
			snipe_work_queue_done(&t.q);
			served++;
		}
		while (snipe_work_queue_expire(&t.q, now) >= 0)
			;
		int next = handle++;
		arrival_times[next] = now;
		if (t.offer(next, rng() % 3, now + max_wait, now, limit, service) ==
		    SNIPE_WORK_RUN)
			end_times.emplace(now + service, next);
		int h;
		while ((h = snipe_work_queue_next(&t.q, now, limit)) >= 0) {
			longest_wait = std::max(longest_wait, now - arrival_times[h]);
			end_times.emplace(now + service, h);
		}
		ASSERT_LE(t.q.running, limit);
	}
	EXPECT_GE(served, 0.95 * (5000000 - service) / service * limit);
	EXPECT_LE(longest_wait, max_wait);
}
