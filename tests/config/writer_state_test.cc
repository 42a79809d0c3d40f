// Guards against a write whose lost response is reported with the wrong outcome, or that takes
// effect twice, while other operators write to the same object.
//
// The model is a log of versions. Attempts may be lost before or after they take effect, or
// arrive late; reads may fail; racing operators append to the log at any step.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "config/writer.h"

namespace
{

// One object of the platform: every write that took effect, oldest first.
struct Log {
	std::vector<std::string> writes;

	uint64_t version() const
	{
		// Versions have gaps.
		return writes.size() * 3;
	}
	bool Put(uint64_t condition, const std::string &write_id)
	{
		if (condition != version())
			return false;
		writes.push_back(write_id);
		return true;
	}
	int History(struct snipe_write_record *history) const
	{
		int n = 0;

		for (size_t i = writes.size(); i > 0 && n < SNIPE_HISTORY_MAX; i--, n++)
			snprintf(history[n].write_id, sizeof(history[n].write_id), "%s",
				 writes[i - 1].c_str());
		return n;
	}
	int Count(const std::string &write_id) const
	{
		int n = 0;

		for (const auto &w : writes)
			n += w == write_id;
		return n;
	}
};

enum Event {
	ARRIVES,      // the attempt is handled and its response arrives
	ANSWER_LOST,  // handled, the response is lost
	REQUEST_LOST, // never handled
	LATE,	      // handled only at some later step
	REFUSED,      // the platform refuses without effect
	EVENT_COUNT,
};

} // namespace

TEST(WriterState, ReportedOutcomeMatchesTheLog)
{
	// 100 runs miss the rarest orders, such as an attempt that arrives between a read and
	// the next attempt.
	setenv("RC_PARAMS", "seed=20261204 max_success=5000", 1);
	EXPECT_TRUE(rc::check([] {
		Log log;
		struct snipe_writer w;
		enum snipe_writer_step step = SNIPE_WRITER_PUT;
		int steps = *rc::gen::inRange(1, 12);
		std::vector<uint64_t> late;
		uint64_t base;

		for (int i = *rc::gen::inRange(0, 20); i > 0; i--)
			log.writes.push_back("before" + std::to_string(i));
		base = log.version();
		snipe_writer_init(&w, base, log.writes.empty() ? "" : log.writes.back().c_str(),
				  "mine");
		for (int i = 0; i < steps && step != SNIPE_WRITER_DONE; i++) {
			for (int n = *rc::gen::weightedElement<int>({{8, 0}, {3, 1}, {1, 20}});
			     n > 0; n--)
				log.Put(log.version(), "other" + std::to_string(i));
			if (!late.empty() && *rc::gen::arbitrary<bool>()) {
				log.Put(late.back(), "mine");
				late.pop_back();
			}
			if (step == SNIPE_WRITER_PUT) {
				int event = *rc::gen::inRange(0, (int)EVENT_COUNT);
				int err = SNIPE_ERR_UNKNOWN;

				if (event == ARRIVES)
					err = log.Put(base, "mine") ? 0 : SNIPE_ERR_CONFLICT;
				else if (event == ANSWER_LOST)
					log.Put(base, "mine");
				else if (event == LATE)
					late.push_back(base);
				else if (event == REFUSED)
					err = SNIPE_ERR_UNAVAILABLE;
				step = snipe_writer_put_done(&w, err, log.version());
			} else {
				struct snipe_write_record history[SNIPE_HISTORY_MAX];
				int count = log.History(history);
				bool fails = *rc::gen::inRange(0, 3) == 0;

				step = log.writes.empty() && !fails
					       ? snipe_writer_read_done(&w, SNIPE_ERR_NOT_FOUND,
									0, nullptr, 0)
					       : snipe_writer_read_done(
							 &w, fails ? SNIPE_ERR_UNAVAILABLE : 0,
							 log.version(), history, count);
			}
		}
		if (step != SNIPE_WRITER_DONE)
			snipe_writer_give_up(&w);
		// Attempts that are still on their way arrive after the outcome was reported.
		for (uint64_t condition : late)
			log.Put(condition, "mine");
		RC_ASSERT(log.Count("mine") <= 1);
		if (w.result == 0)
			RC_ASSERT(log.Count("mine") == 1);
		else if (w.result != SNIPE_ERR_UNKNOWN)
			RC_ASSERT(log.Count("mine") == 0);
		RC_TAG(std::string(snipe_error_name(w.result)));
	}));
}

// An outcome that can be known must not be reported as unknown.
TEST(WriterState, LostAnswerIsResolvedByOneRead)
{
	struct snipe_write_record history[SNIPE_HISTORY_MAX] = {};
	struct snipe_writer w;

	snprintf(history[0].write_id, sizeof(history[0].write_id), "other");
	snprintf(history[1].write_id, sizeof(history[1].write_id), "mine");
	snprintf(history[2].write_id, sizeof(history[2].write_id), "base");
	snipe_writer_init(&w, 5, "base", "mine");
	EXPECT_EQ(snipe_writer_put_done(&w, SNIPE_ERR_UNKNOWN, 0), SNIPE_WRITER_READ);
	EXPECT_EQ(snipe_writer_read_done(&w, 0, 7, history, 3), SNIPE_WRITER_DONE);
	EXPECT_EQ(w.result, 0);
	snprintf(history[1].write_id, sizeof(history[1].write_id), "another");
	snipe_writer_init(&w, 5, "base", "mine");
	EXPECT_EQ(snipe_writer_put_done(&w, SNIPE_ERR_UNKNOWN, 0), SNIPE_WRITER_READ);
	EXPECT_EQ(snipe_writer_read_done(&w, 0, 7, history, 3), SNIPE_WRITER_DONE);
	EXPECT_EQ(w.result, SNIPE_ERR_CONFLICT);
	EXPECT_EQ(w.version, 7u);
}
