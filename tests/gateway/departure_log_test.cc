// Guards against departures that are lost when the node restarts: because the store is
// unavailable, loses answers or holds another version, or because a departure is recorded
// during the write of another one.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "gateway/departure_log.h"
#include "support/held_store.h"
#include "support/loop.h"

namespace
{

struct DepartureLog : testing::Test {
	Loop loop;
	HeldStore store;
	struct snipe_departure_log log;
	std::vector<struct snipe_departure> restored;
	int written = 0, known = 0;
	bool started = false;

	void start(bool is_first_start)
	{
		struct snipe_departure_log_config c = {};

		c.object = {loop.base, &store.store, "departures", "n-1", is_first_start};
		c.restored = [](void *arg, const struct snipe_departure *d) {
			static_cast<DepartureLog *>(arg)->restored.push_back(*d);
		};
		c.known = [](void *arg) { static_cast<DepartureLog *>(arg)->known++; };
		c.written = [](void *arg) { static_cast<DepartureLog *>(arg)->written++; };
		c.arg = this;
		snipe_departure_log_init(&log, &c);
		started = true;
	}
	void TearDown() override
	{
		if (started)
			snipe_departure_log_finish(&log);
	}
	void record(const char *id, uint64_t sequence)
	{
		struct snipe_departure d = {};

		strcpy(d.server_id, id);
		d.started_ms = 1000;
		d.sequence = sequence;
		snipe_departure_log_record(&log, &d);
	}
	bool has_calls(size_t count)
	{
		return loop.until([&] { return store.calls.size() >= count; });
	}
};

TEST_F(DepartureLog, TheFirstStartWritesDeparturesWithoutARead)
{
	start(true);
	EXPECT_TRUE(store.calls.empty());
	record("i-1", 4);
	ASSERT_EQ(store.calls.size(), 1u);
	EXPECT_EQ(store.calls[0].what, "put");
	EXPECT_EQ(store.calls[0].value, "1000 4 i-1");
	EXPECT_EQ(store.calls[0].version, 0u);
	EXPECT_TRUE(snipe_departure_log_is_writing(&log));
	store.calls.back().answer(0, 9);
	EXPECT_FALSE(snipe_departure_log_is_writing(&log));
	EXPECT_EQ(written, 1);
	record("i-2", 1);
	EXPECT_EQ(store.calls.back().version, 9u);
}

TEST_F(DepartureLog, ALaterProcessRestoresTheDeparture)
{
	start(false);
	ASSERT_EQ(store.calls.size(), 1u);
	store.calls.back().answer(0, 9, "1000 4 i-1");
	ASSERT_EQ(restored.size(), 1u);
	EXPECT_STREQ(restored[0].server_id, "i-1");
	EXPECT_EQ(restored[0].sequence, 4u);
	EXPECT_EQ(known, 1);
	EXPECT_EQ(store.calls.size(), 1u);
	record("i-1", 5);
	EXPECT_EQ(store.calls.back().version, 9u);
}

TEST_F(DepartureLog, RepeatsTheReadUntilTheStoreAnswers)
{
	start(false);
	store.calls.back().answer(SNIPE_ERR_UNAVAILABLE);
	ASSERT_TRUE(has_calls(2));
	store.calls.back().answer(SNIPE_ERR_RATE_LIMITED);
	ASSERT_TRUE(has_calls(3));
	store.calls.back().answer(SNIPE_ERR_NOT_FOUND);
	EXPECT_TRUE(restored.empty());
	EXPECT_EQ(known, 0) << "a departure may be acknowledged while the store is away";
	loop.run_ms(50);
	EXPECT_EQ(store.calls.size(), 3u);
}

TEST_F(DepartureLog, AStoreThatAnswersAtOnceHasAllDepartures)
{
	start(false);
	EXPECT_EQ(known, 0);
	store.calls.back().answer(SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(known, 1);
}

TEST_F(DepartureLog, ADepartureRecordedDuringTheReadIsWrittenAfterIt)
{
	start(false);
	record("i-2", 1);
	EXPECT_EQ(store.calls.size(), 1u);
	store.calls.back().answer(0, 9, "1000 4 i-1");
	ASSERT_EQ(store.calls.size(), 2u);
	EXPECT_EQ(store.calls[1].value, "1000 1 i-2");
	EXPECT_EQ(store.calls[1].version, 9u);
}

// Guards against a departure that was acknowledged on the strength of a write that is gone.
TEST_F(DepartureLog, WritesAgainWhatANewEraOfTheStoreHasLost)
{
	start(true);
	record("i-1", 4);
	store.calls.back().answer(0, 9);
	store.change_era(2);
	EXPECT_TRUE(snipe_departure_log_is_writing(&log))
		<< "it counts as kept once it is there";
	ASSERT_EQ(store.calls.size(), 2u);
	EXPECT_EQ(store.calls[1].what, "get") << "version 9 may be that of another change";
	store.calls.back().answer(SNIPE_ERR_NOT_FOUND);
	ASSERT_EQ(store.calls.size(), 3u);
	EXPECT_EQ(store.calls[2].what, "put");
	EXPECT_EQ(store.calls[2].value, "1000 4 i-1");
	EXPECT_EQ(store.calls[2].version, 0u);
	store.calls.back().answer(0, 8);
	EXPECT_FALSE(snipe_departure_log_is_writing(&log));
	EXPECT_EQ(written, 2);
}

TEST_F(DepartureLog, WritesNothingInANewEraThatHasTheDeparture)
{
	start(true);
	record("i-1", 4);
	store.calls.back().answer(0, 9);
	store.change_era(2);
	store.calls.back().answer(0, 9, "1000 4 i-1");
	EXPECT_FALSE(snipe_departure_log_is_writing(&log));
	EXPECT_EQ(store.calls.size(), 2u);
}

TEST_F(DepartureLog, WritesARestoredDepartureAgainToo)
{
	start(false);
	store.calls.back().answer(0, 9, "1000 4 i-1");
	store.change_era(2);
	ASSERT_EQ(store.calls.size(), 2u);
	store.calls.back().answer(0, 5, "900 7 i-0");
	EXPECT_EQ(restored.size(), 1u);
	ASSERT_EQ(store.calls.size(), 3u);
	EXPECT_EQ(store.calls[2].value, "1000 4 i-1");
	EXPECT_EQ(store.calls[2].version, 5u);
}

// Two eras in a row, and a departure during the first check.
TEST_F(DepartureLog, ADepartureDuringTheCheckIsWritten)
{
	start(true);
	record("i-1", 4);
	store.calls.back().answer(0, 9);
	store.change_era(2);
	store.change_era(3);
	record("i-1", 5);
	ASSERT_EQ(store.calls.size(), 2u);
	store.calls.back().answer(0, 9, "1000 4 i-1");
	ASSERT_EQ(store.calls.size(), 3u);
	EXPECT_EQ(store.calls[2].value, "1000 5 i-1");
	EXPECT_TRUE(snipe_departure_log_is_writing(&log));
}

TEST_F(DepartureLog, WithoutADepartureANewEraCostsNoCall)
{
	start(true);
	store.change_era(2);
	snipe_departure_log_check(&log);
	EXPECT_TRUE(store.calls.empty());
	record("i-1", 4);
	EXPECT_EQ(store.calls.back().what, "get") << "what was first there may be gone";
}

TEST_F(DepartureLog, RepeatsAFailedWrite)
{
	start(true);
	record("i-1", 4);
	store.calls.back().answer(SNIPE_ERR_UNAVAILABLE);
	EXPECT_TRUE(snipe_departure_log_is_writing(&log));
	ASSERT_TRUE(has_calls(2));
	EXPECT_EQ(store.calls[1].what, "put");
	store.calls.back().answer(0, 9);
	EXPECT_EQ(written, 1);
}

TEST_F(DepartureLog, ReadsAndWritesAgainAfterALostAnswerOrAConflict)
{
	start(true);
	record("i-1", 4);
	store.calls.back().answer(SNIPE_ERR_UNKNOWN); // the write may have taken effect
	ASSERT_TRUE(has_calls(2));
	EXPECT_EQ(store.calls[1].what, "get");
	store.calls.back().answer(0, 12, "1000 4 i-1");
	EXPECT_TRUE(restored.empty()) << "it is not a departure of an earlier process";
	ASSERT_EQ(store.calls.size(), 3u);
	EXPECT_EQ(store.calls[2].version, 12u);
	store.calls.back().answer(SNIPE_ERR_CONFLICT);
	ASSERT_EQ(store.calls.size(), 4u);
	EXPECT_EQ(store.calls[3].what, "get");
	store.calls.back().answer(0, 13, "x");
	store.calls.back().answer(0, 14);
	EXPECT_EQ(written, 1);
	EXPECT_FALSE(snipe_departure_log_is_writing(&log));
}

TEST_F(DepartureLog, ADepartureRecordedDuringAWriteIsWrittenAfterIt)
{
	start(true);
	record("i-1", 4);
	record("i-1", SNIPE_DEPARTURE_FINAL);
	ASSERT_EQ(store.calls.size(), 1u);
	store.calls.back().answer(0, 9);
	EXPECT_EQ(written, 0) << "the later one is not in the store yet";
	ASSERT_EQ(store.calls.size(), 2u);
	EXPECT_EQ(store.calls[1].value, "1000 18446744073709551615 i-1");
	store.calls.back().answer(0, 10);
	EXPECT_EQ(written, 1);
}

TEST_F(DepartureLog, IgnoresAMalformedDeparture)
{
	start(false);
	store.calls.back().answer(0, 9, "{\"left\":1}");
	EXPECT_TRUE(restored.empty());
	record("i-2", 1);
	EXPECT_EQ(store.calls.back().version, 9u);
}

TEST_F(DepartureLog, FinishCancelsTheOpenCall)
{
	start(false);
	snipe_departure_log_finish(&log);
	started = false;
	EXPECT_EQ(store.cancelled, 1);
}

} // namespace
