// Guards against client connections that leave a node no descriptors for itself.
#include "core/connection_limit.h"

#include <gtest/gtest.h>

TEST(ConnectionLimit, LeavesDescriptorsForTheNode)
{
	for (int descriptors : {100, 200, 1024, 4100, 1000000}) {
		struct snipe_connection_limit l;

		snipe_connection_limit_init(&l, descriptors);
		EXPECT_GE(l.max, descriptors / 4) << descriptors;
		EXPECT_LE(l.max, descriptors * 3 / 4) << descriptors;
		if (descriptors >= 128) {
			EXPECT_GE(descriptors - l.max, 64) << descriptors;
		}
	}
}

TEST(ConnectionLimit, ConnectionsAreScarceBeforeTheLimitIsReached)
{
	struct snipe_connection_limit l;

	snipe_connection_limit_init(&l, 4100);
	EXPECT_GT(l.scarce, 1000);
	EXPECT_LE(l.scarce, l.max * 3 / 4);
}
