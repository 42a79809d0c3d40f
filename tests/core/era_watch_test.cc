// Guards against a process that takes an era for old because it has not seen it begin.
#include "core/era_watch.h"

#include <gtest/gtest.h>

#include "core/departure.h"

namespace
{

const int64_t START = 1000000000;

} // namespace

TEST(EraWatch, WithoutAnEraNothingCanBeLost)
{
	struct snipe_era_watch w = {};

	snipe_era_watch_see(&w, START, 0);
	EXPECT_TRUE(snipe_era_watch_is_settled(&w, START));
}

TEST(EraWatch, AnEraSettlesOnceItWasSeenForAsLongAsAnnouncementsAreDelayed)
{
	struct snipe_era_watch w = {};

	snipe_era_watch_see(&w, START, 4);
	EXPECT_FALSE(snipe_era_watch_is_settled(&w, START));
	snipe_era_watch_see(&w, START + 1000, 4);
	EXPECT_FALSE(snipe_era_watch_is_settled(&w, START + SNIPE_DEPARTURE_VALID_US - 1));
	EXPECT_TRUE(snipe_era_watch_is_settled(&w, START + SNIPE_DEPARTURE_VALID_US));
	snipe_era_watch_see(&w, START + SNIPE_DEPARTURE_VALID_US, 5);
	EXPECT_FALSE(snipe_era_watch_is_settled(&w, START + SNIPE_DEPARTURE_VALID_US));
}

TEST(EraWatch, OtherNodesSettleOnlyTheEraThatIsSeen)
{
	struct snipe_era_watch w = {};

	EXPECT_TRUE(snipe_era_watch_hear(&w, 5, 1)) << "newer than none";
	snipe_era_watch_see(&w, START, 5);
	EXPECT_FALSE(snipe_era_watch_is_settled(&w, START)) << "heard before it was seen";
	EXPECT_FALSE(snipe_era_watch_hear(&w, 4, 1)) << "of a node that is behind";
	EXPECT_FALSE(snipe_era_watch_hear(&w, 5, 0));
	EXPECT_TRUE(snipe_era_watch_hear(&w, 6, 1));
	EXPECT_FALSE(snipe_era_watch_is_settled(&w, START));
	EXPECT_FALSE(snipe_era_watch_hear(&w, 5, 1));
	EXPECT_TRUE(snipe_era_watch_is_settled(&w, START));
}
