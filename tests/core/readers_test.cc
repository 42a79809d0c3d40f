// Guards against fleets in which no node or every node reads the store.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/readers.h"

TEST(Readers, ContainsTheLowestIdsInAnyOrder)
{
	std::vector<uint64_t> ids = {50, 10, 40, 30, 20, 10};

	std::sort(ids.begin(), ids.end());
	do {
		struct snipe_readers r;
		snipe_readers_init(&r);
		for (uint64_t id : ids)
			snipe_readers_add(&r, id);
		ASSERT_EQ(r.count, 3);
		for (uint64_t id : {10, 20, 30})
			EXPECT_TRUE(snipe_readers_contains(&r, id));
		EXPECT_FALSE(snipe_readers_contains(&r, 40));
	} while (std::next_permutation(ids.begin(), ids.end()));
}

TEST(Readers, SingleNodeReads)
{
	struct snipe_readers r;

	snipe_readers_init(&r);
	EXPECT_FALSE(snipe_readers_contains(&r, 7));
	snipe_readers_add(&r, 7);
	EXPECT_TRUE(snipe_readers_contains(&r, 7));
}
