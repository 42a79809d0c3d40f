// Guards against a limit that stays low after an overload, one that admits more requests than
// the called services can complete, and one that limits routes whose latency did not rise.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/entry_limit.h"

TEST(EntryLimit, AdmitsEveryRequestWithoutOverload)
{
	struct snipe_entry_limit l;

	snipe_entry_limit_init(&l, 0);
	for (int64_t now = 0; now < 5000000; now += 10000) {
		for (int i = 0; i < 20; i++)
			ASSERT_TRUE(snipe_entry_limit_admit(&l));
		for (int i = 0; i < 20; i++)
			snipe_entry_limit_record(&l, now, 200000 + now % 70000, 0, 1000000, 2);
	}
}

TEST(EntryLimit, LimitRisesAgainAfterAnOverload)
{
	struct snipe_entry_limit l;
	int admitted = 0;

	snipe_entry_limit_init(&l, 0);
	for (int64_t now = 0; now < 4000000; now += 10000)
		if (snipe_entry_limit_admit(&l))
			snipe_entry_limit_record(&l, now, now < 1000000 ? 200000 : 1500000,
						 now > 1000000, 1000000, 2);
	EXPECT_LT(l.limit, 2);
	for (int64_t now = 4000000; now < 8000000; now += 10000) {
		int n = 0;
		while (n < 20 && snipe_entry_limit_admit(&l))
			n++;
		while (n-- > 0)
			snipe_entry_limit_record(&l, now, 200000, 0, 1000000, 2);
	}
	while (admitted < 20 && snipe_entry_limit_admit(&l))
		admitted++;
	EXPECT_GE(admitted, 10);
}

TEST(EntryLimit, CancelledRequestIsNoLongerInFlight)
{
	struct snipe_entry_limit l;

	snipe_entry_limit_init(&l, 0);
	l.limit = 1;
	for (int i = 0; i < 100; i++) {
		ASSERT_TRUE(snipe_entry_limit_admit(&l));
		EXPECT_FALSE(snipe_entry_limit_admit(&l));
		snipe_entry_limit_cancel(&l);
	}
}

namespace
{

// A service with a fixed rate that the requests of two routes use. A call waits while it is
// busy; a request makes four calls to it one after another.
struct SharedService {
	double rate;	       // calls per second
	double backlog_us = 0; // queued work
	int64_t updated_us = 0;

	int64_t latency(int64_t now, int calls)
	{
		backlog_us = std::max(0.0, backlog_us - (double)(now - updated_us));
		updated_us = now;
		backlog_us += calls * 1e6 / rate;
		return 150000 + (int64_t)(calls * backlog_us);
	}
};

struct Result {
	int offered = 0, in_time = 0;
};

} // namespace

// Simulates client requests at 1.6 times the capacity of the shared service, half of them
// important. Without a limit the backlog delays all of them past the target.
static void simulate_overload(bool is_limited, Result &important, Result &other)
{
	struct snipe_entry_limit limits[2];
	struct Pending {
		int64_t at, latency;
		int route;
	};
	std::vector<Pending> pending;
	SharedService service{400};
	const int64_t target = 1200000;

	snipe_entry_limit_init(&limits[0], 0);
	snipe_entry_limit_init(&limits[1], 0);
	for (int64_t now = 0; now < 12000000; now += 6250) {
		for (size_t i = 0; i < pending.size();) {
			Pending p = pending[i];
			if (p.at > now) {
				i++;
				continue;
			}
			snipe_entry_limit_record(&limits[p.route], now, p.latency,
						 p.latency > target, target, p.route ? 2 : 0);
			pending.erase(pending.begin() + (long)i);
		}
		int route = (now / 6250) % 2;
		Result &r = route ? other : important;
		if (now > 4000000)
			r.offered++;
		if (is_limited && !snipe_entry_limit_admit(&limits[route]))
			continue;
		int64_t latency = service.latency(now, 4);
		pending.push_back(
			{now + std::min<int64_t>(latency, 2 * target), latency, route});
		if (now > 4000000 && latency <= target)
			r.in_time++;
	}
}

TEST(EntryLimit, SharedOverloadLimitsLessImportantRoutesFirst)
{
	Result important, other, unlimited_important, unlimited_other;

	simulate_overload(true, important, other);
	simulate_overload(false, unlimited_important, unlimited_other);
	int with = important.in_time + other.in_time;
	int without = unlimited_important.in_time + unlimited_other.in_time;

	// The service has capacity for 100 requests per second, for 8 s.
	EXPECT_GE(with, 0.8 * 100 * 8);
	EXPECT_LT(without, with / 4);
	EXPECT_GE(important.in_time, 0.8 * important.offered);
	EXPECT_GE(other.in_time, 0.1 * other.offered)
		<< "less important requests must not starve";
}
