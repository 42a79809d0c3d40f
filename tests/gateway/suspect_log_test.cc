// Guards against suspects that are lost when all nodes are killed, because the store was
// unavailable, its answer was lost, or another node wrote in between.
#include <gtest/gtest.h>

#include <string>

#include "base/error.h"
#include "gateway/suspect_log.h"
#include "support/held_store.h"
#include "support/loop.h"

namespace
{

struct SuspectLog : testing::Test {
	Loop loop;
	HeldStore store;
	struct snipe_crash_guard guard;
	struct snipe_suspect_log log;

	void start(bool is_first_start)
	{
		struct snipe_kept_object_config c = {loop.base, &store.store, "suspects",
						     SNIPE_SUSPECT_LOG_NAME, is_first_start};

		snipe_crash_guard_init(&guard);
		snipe_suspect_log_init(&log, &guard, &c);
	}
	void TearDown() override
	{
		snipe_suspect_log_finish(&log);
	}
	void crash(uint64_t fingerprint, uint64_t crash_id)
	{
		snipe_crash_guard_record_local_strike(&guard, snipe_now_us(), fingerprint,
						      crash_id);
		snipe_suspect_log_update(&log);
	}
	bool is_suspect(uint64_t fingerprint)
	{
		return snipe_crash_guard_is_suspect(&guard, snipe_now_us(), fingerprint);
	}
	void expect_call(size_t count, const std::string &what, uint64_t version = 0)
	{
		ASSERT_TRUE(loop.until([&] { return store.calls.size() == count; })) << what;
		EXPECT_EQ(store.calls.back().what, what);
		EXPECT_EQ(store.calls.back().version, version);
	}
	// Completes the last call.
	void answer(int err, uint64_t version = 0, const std::string &value = "")
	{
		HeldStore::Call call = store.calls.back();

		call.answer(err, version, value);
	}
};

// The stored text of one suspect whose last strike was counted just now.
std::string suspect_text(const std::string &fingerprint, const std::string &crash_ids)
{
	return fingerprint + " " + std::to_string(snipe_wall_ms()) + crash_ids + "\n";
}

} // namespace

TEST_F(SuspectLog, ALaterProcessRestoresTheSuspects)
{
	start(true);
	crash(7, 1);
	EXPECT_EQ(store.calls.size(), 0u) << "one strike does not make a suspect";
	crash(7, 2);
	expect_call(1, "put");
	std::string written = store.calls.back().value;
	answer(0, 5);
	snipe_suspect_log_update(&log);
	loop.run_ms(300);
	EXPECT_EQ(store.calls.size(), 1u) << "written once";
	snipe_suspect_log_finish(&log);
	start(false);
	expect_call(2, "get");
	answer(0, 5, written);
	EXPECT_TRUE(is_suspect(7));
	EXPECT_FALSE(is_suspect(8));
	loop.run_ms(300);
	EXPECT_EQ(store.calls.size(), 2u) << "nothing new to write";
	crash(7, 3);
	expect_call(3, "put", 5);
}

TEST_F(SuspectLog, MergesTheSuspectsOfAnotherNode)
{
	start(true);
	crash(7, 1);
	crash(7, 2);
	expect_call(1, "put");
	answer(SNIPE_ERR_CONFLICT);
	expect_call(2, "get");
	answer(0, 9, suspect_text("8", " 1 2"));
	expect_call(3, "put", 9);
	EXPECT_NE(store.calls.back().value.find("0000000000000007 "), std::string::npos);
	EXPECT_NE(store.calls.back().value.find("0000000000000008 "), std::string::npos);
	EXPECT_TRUE(is_suspect(8));
}

TEST_F(SuspectLog, RemovesASuspectThatSucceeded)
{
	start(false);
	expect_call(1, "get");
	answer(0, 5, suspect_text("7", " 1 2"));
	EXPECT_TRUE(is_suspect(7));
	snipe_crash_guard_record_success(&guard, snipe_now_us(), 7);
	snipe_suspect_log_update(&log);
	expect_call(2, "put", 5);
	EXPECT_EQ(store.calls.back().value, "");
	answer(SNIPE_ERR_CONFLICT);
	expect_call(3, "get");
	answer(0, 6, suspect_text("7", " 1 2"));
	EXPECT_FALSE(is_suspect(7)) << "its crashes were counted before";
}

TEST_F(SuspectLog, RepeatsTheWriteUntilTheStoreConfirmsIt)
{
	start(true);
	crash(7, 1);
	crash(7, 2);
	expect_call(1, "put");
	answer(SNIPE_ERR_UNAVAILABLE);
	expect_call(2, "put");
	// The write may have taken effect.
	answer(SNIPE_ERR_UNKNOWN);
	expect_call(3, "get");
	answer(SNIPE_ERR_NOT_FOUND);
	expect_call(4, "put");
	answer(0, 3);
	loop.run_ms(300);
	EXPECT_EQ(store.calls.size(), 4u);
}

TEST_F(SuspectLog, ReplacesMalformedSuspects)
{
	start(false);
	expect_call(1, "get");
	answer(0, 5, suspect_text("8", " 1 2") + "seven\n" + suspect_text("9", " 1 2"));
	EXPECT_TRUE(is_suspect(8));
	EXPECT_FALSE(is_suspect(9));
	crash(7, 1);
	crash(7, 2);
	expect_call(2, "put", 5);
}
