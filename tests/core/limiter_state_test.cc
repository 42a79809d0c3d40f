// Guards against sample sequences that drive the limit out of its bounds or leave it too low:
// after any sequence, a healthy server must be used at its capacity again.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdio>

#include "simulated_server.h"

namespace
{

struct Sample {
	int kind, gap_us, latency_us, in_flight; // kind: snipe_limiter_sample, or 4: new slots
};

auto arbitrary_samples()
{
	auto sample = rc::gen::apply(
		[](int kind, int gap, int latency, int in_flight) {
			return Sample{kind, gap, latency, in_flight};
		},
		rc::gen::inRange(0, 5), rc::gen::inRange(0, 200000),
		rc::gen::inRange(0, 3000000), rc::gen::inRange(1, 130));

	return rc::gen::resize(1000, rc::gen::container<std::vector<Sample>>(sample));
}

TEST(LimiterState, StaysInBoundsAndRecoversAfterAnySequence)
{
	static long commands;

	bool ok = rc::check("limiter", [] {
		int slots = *rc::gen::inRange(1, 200);
		auto samples = *arbitrary_samples();
		struct snipe_limiter l;
		int64_t now = 0;

		snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, slots, 0, now);
		for (const Sample &s : samples) {
			commands++;
			now += s.gap_us;
			if (s.kind == 4) {
				slots = s.in_flight;
				snipe_limiter_set_slots(&l, slots);
			} else {
				snipe_limiter_record(&l, now, s.latency_us, s.in_flight,
						     (enum snipe_limiter_sample)s.kind);
			}
			RC_ASSERT(snipe_limiter_limit(&l) >= 1);
			RC_ASSERT(snipe_limiter_limit(&l) <= slots);
		}

		SimulatedServer server(&l, 3, (double)now);
		double start = (double)now;
		server.knee = 1 + slots / 3;
		server.rate = server.capacity() * 3;
		server.run_until(start + 30e6); // enough for three regular probes
		long done = server.run_until(start + 40e6).ok;
		RC_ASSERT((double)done >= 0.8 * 10 * server.capacity());
	});
	printf("limiter: %ld commands\n", commands);
	EXPECT_TRUE(ok);
}

} // namespace
