// Compares the guard with lists of the strikes of each request. Guards against strikes that are
// lost, counted twice or kept after a success.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <vector>

#include "core/crash_guard.h"

namespace
{

struct Command {
	int kind, request, gap_ms, crash_id;
};

struct Strikes {
	std::vector<int> active;  // crashes since the last success
	std::vector<int> counted; // crashes, also before it
	int64_t last = 0;	  // time of the last strike
};

TEST(CrashGuardState, AgreesWithListsOfStrikes)
{
	static long commands, suspects;
	auto command = rc::gen::apply(
		[](int kind, int request, int gap, int crash_id) {
			return Command{kind, request, gap, crash_id};
		},
		rc::gen::inRange(0, 10), rc::gen::inRange(1, 9), rc::gen::inRange(0, 60000),
		rc::gen::inRange(0, 1000));
	auto list = rc::gen::resize(1000, rc::gen::container<std::vector<Command>>(command));

	bool ok = rc::check("crash_guard", [&] {
		auto chosen = *list;
		struct snipe_crash_guard g;
		std::map<uint64_t, Strikes> model;
		int64_t now = 0;

		snipe_crash_guard_init(&g);
		for (const Command &c : chosen) {
			// The fingerprints share one set of entries, which has room for
			// all of them.
			uint64_t f = (uint64_t)c.request * SNIPE_CRASH_GUARD_ENTRIES;
			Strikes &s = model[f];

			commands++;
			now += (int64_t)c.gap_ms * (c.kind == 9 ? 20000 : 1000);
			if (now - s.last >= 600000000)
				s.active.clear(), s.counted.clear();
			if (c.kind < 5) {
				// About half of the strikes repeat a crash that was counted.
				bool repeats = c.crash_id % 2 && !s.counted.empty();
				size_t back = (size_t)c.crash_id / 2 %
					      std::min<size_t>(s.counted.size() + !repeats,
							       SNIPE_CRASH_IDS_PER_ENTRY);
				int crash_id = repeats ? s.counted[s.counted.size() - 1 - back]
						       : 10 * (int)commands;
				RC_ASSERT(snipe_crash_guard_record_strike(
						  &g, now, f, (uint64_t)crash_id) == !repeats);
				if (!repeats) {
					s.active.push_back(crash_id);
					s.counted.push_back(crash_id);
					s.last = now;
				}
			} else if (c.kind < 7) {
				snipe_crash_guard_record_success(&g, now, f);
				s.active.clear();
			}
			bool suspect = s.active.size() >= 2;
			suspects += suspect;
			RC_ASSERT((snipe_crash_guard_is_suspect(&g, now, f) != 0) == suspect);
		}
	});
	printf("crash_guard: %ld commands, %ld checks of a suspect\n", commands, suspects);
	EXPECT_TRUE(ok);
	EXPECT_GT(suspects, 1000) << "the commands must make requests suspect";
}

} // namespace
