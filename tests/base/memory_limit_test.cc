// Guards against a limit that gives up small requests or clients that make progress instead of
// those that hold most for longest, and against one that never ends when nothing is left.
#include <gtest/gtest.h>

#include <vector>

#include "base/memory_limit.h"

namespace
{

struct Thing {
	size_t bytes;
	int64_t since_us;
};

struct Holder {
	struct snipe_memory_holder holder;
	struct snipe_memory_limit *limit;
	std::vector<Thing> things;
	size_t worst = 0;

	explicit Holder(struct snipe_memory_limit *l) : limit(l)
	{
		static const struct snipe_memory_holder_ops ops = {FindWorst, GiveUp};

		snipe_memory_limit_add(l, &holder, &ops, this);
	}
	void Add(size_t bytes, int64_t since_us)
	{
		things.push_back({bytes, since_us});
		snipe_memory_charge(&limit->account, bytes);
	}
	static double FindWorst(void *arg, int64_t now_us)
	{
		auto *h = static_cast<Holder *>(arg);
		double most = 0;

		for (size_t i = 0; i < h->things.size(); i++) {
			double cost = snipe_memory_cost(h->things[i].bytes,
							h->things[i].since_us, now_us);
			if (cost > most) {
				most = cost;
				h->worst = i;
			}
		}
		return most;
	}
	static void GiveUp(void *arg)
	{
		auto *h = static_cast<Holder *>(arg);

		snipe_memory_release(&h->limit->account, h->things[h->worst].bytes);
		h->things.erase(h->things.begin() + (long)h->worst);
	}
};

const int64_t kSecond = 1000000;

} // namespace

TEST(MemoryLimit, TheLongestHeldOfTheLargestGoesFirst)
{
	struct snipe_memory_limit l;

	snipe_memory_limit_init(&l, 8000000, nullptr, nullptr);
	Holder clients(&l), servers(&l);
	clients.Add(3000000, 9 * kSecond);  // large, and in progress
	clients.Add(1000000, 1 * kSecond);  // stalled
	servers.Add(2500000, 2 * kSecond);  // stalled and larger
	servers.Add(2000000, 10 * kSecond); // just now
	snipe_memory_limit_enforce(&l, 10 * kSecond);
	ASSERT_EQ(servers.things.size(), 1u);
	EXPECT_EQ(servers.things[0].bytes, 2000000u);
	EXPECT_EQ(clients.things.size(), 2u);
	EXPECT_EQ(l.given_up, 1u);
	EXPECT_EQ(l.account.held, 6000000u);
}

TEST(MemoryLimit, SmallOnesAreKeptAndTheLimitEndsThere)
{
	struct snipe_memory_limit l;

	snipe_memory_limit_init(&l, 1000000, nullptr, nullptr);
	Holder clients(&l);
	for (int i = 0; i < 200; i++)
		clients.Add(SNIPE_MEMORY_SMALL_BYTES - 1, 0);
	clients.Add(SNIPE_MEMORY_SMALL_BYTES, kSecond);
	snipe_memory_limit_enforce(&l, kSecond);
	EXPECT_EQ(clients.things.size(), 200u);
	EXPECT_EQ(l.given_up, 1u);
}

TEST(MemoryLimit, WithinTheLimitOrWithoutOneNothingIsGivenUp)
{
	struct snipe_memory_limit bounded, unbounded;

	snipe_memory_limit_init(&bounded, 1000000, nullptr, nullptr);
	snipe_memory_limit_init(&unbounded, 0, nullptr, nullptr);
	Holder a(&bounded), b(&unbounded);
	a.Add(800000, 0);
	b.Add(800000000, 0);
	snipe_memory_limit_enforce(&bounded, kSecond);
	snipe_memory_limit_enforce(&unbounded, kSecond);
	EXPECT_EQ(a.things.size(), 1u);
	EXPECT_EQ(b.things.size(), 1u);
}
