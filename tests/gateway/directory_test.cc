// Guards against servers that stay in use after their node fell silent or reported otherwise,
// and against nodes whose reports are refused for good after a restart.
#include <gtest/gtest.h>

#include <cstring>

#include "gateway/directory.h"
#include "support/loop.h"

namespace
{

// A directory, and a socket of another node whose reports the test writes.
struct Directory : testing::Test {
	Loop loop;
	struct snipe_gateway_settings settings = {};
	struct snipe_directory directory;
	struct snipe_node_report report = {};
	int fd = -1, reports = 0;

	void SetUp() override
	{
		static const struct snipe_directory_ops ops = {
			[](void *, const struct snipe_address *, uint64_t) {},
			[](void *, int64_t, struct snipe_node_report *) {},
			[](void *, int64_t, uint64_t *, int64_t *) {},
			[](void *, const struct snipe_address *, uint64_t, int64_t) {},
			[](void *arg, int64_t, const struct snipe_node_report *) {
				static_cast<Directory *>(arg)->reports++;
			},
		};
		struct snipe_error_text err;

		strcpy(settings.node_id, "own");
		settings.peer_listen = free_address();
		fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		ASSERT_EQ(snipe_directory_init(&directory, loop.base, &settings, 1, &ops, this,
					       &err),
			  0)
			<< err.text;
		strcpy(report.node_id, "other");
		strcpy(report.service, "tips");
		strcpy(report.server_id, "i-1");
		report.process = 5000;
		report.server = SNIPE_SERVER_READY;
		report.limit = 10;
	}
	void TearDown() override
	{
		snipe_directory_finish(&directory);
		close(fd);
	}
	// Sends the report as it is now.
	void send()
	{
		struct snipe_buffer buf;
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&settings.peer_listen, &ss);

		snipe_buffer_init(&buf);
		snipe_report_encode(&report, &buf);
		ASSERT_GT(sendto(fd, buf.data, buf.len, 0, (struct sockaddr *)&ss,
				 (socklen_t)len),
			  0);
		snipe_buffer_finish(&buf);
	}
	// Sends the report with the next sequence; false: it was not taken.
	bool taken()
	{
		int before = reports;

		report.sequence++;
		send();
		loop.run_ms(40);
		return reports > before;
	}
	bool usable()
	{
		struct snipe_service_pool *pool = snipe_directory_pool(&directory, "tips");

		if (!pool)
			return false;
		for (int i = 0; i < pool->placement.size; i++)
			if (pool->placement.servers[i].is_usable)
				return true;
		return false;
	}
};

TEST_F(Directory, AServerIsInUseWhileItsNodeReportsItReady)
{
	EXPECT_FALSE(usable());
	ASSERT_TRUE(taken());
	EXPECT_TRUE(usable());
	report.server = SNIPE_SERVER_DRAINING;
	ASSERT_TRUE(taken());
	EXPECT_FALSE(usable());
	report.server = SNIPE_SERVER_READY;
	ASSERT_TRUE(taken());
	report.is_stopping = 1;
	ASSERT_TRUE(taken());
	EXPECT_FALSE(usable());
}

TEST_F(Directory, AnOvertakenReportChangesNothing)
{
	report.server = SNIPE_SERVER_DRAINING;
	report.sequence = 7;
	ASSERT_TRUE(taken());
	report.server = SNIPE_SERVER_READY;
	report.sequence = 3;
	EXPECT_FALSE(taken());
	report.process = 4000; // of an earlier process
	report.sequence = 90;
	EXPECT_FALSE(taken());
	EXPECT_FALSE(usable());
}

TEST_F(Directory, ASilentNodeIsOutOfUseUntilItReportsAgain)
{
	ASSERT_TRUE(taken());
	ASSERT_TRUE(loop.until([&] { return !usable(); }));
	ASSERT_TRUE(taken());
	EXPECT_TRUE(usable());
}

// The time of day was set back before the node's restart.
TEST_F(Directory, AProcessThatSeemsEarlierIsBelievedAfterSilence)
{
	ASSERT_TRUE(taken());
	report.process = 4000;
	report.sequence = 0;
	EXPECT_FALSE(taken()) << "the other process still reports";
	ASSERT_TRUE(loop.until([&] { return !usable(); }));
	ASSERT_TRUE(taken());
	EXPECT_TRUE(usable());
	ASSERT_TRUE(taken()) << "its next reports are taken too";
}

} // namespace
