// Discrete-event simulation of a backend server behind a limiter.
//
// Calls arrive as a Poisson process, wait in a bounded queue, and run on a processor-sharing
// server: up to `knee` calls run at full speed; more calls share the capacity, which shrinks if
// `contention` is above 0.
#ifndef SNIPE_TESTS_SIMULATED_SERVER_H
#define SNIPE_TESTS_SIMULATED_SERVER_H

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "core/limiter.h"

struct SimulatedServer {
	double knee = 40;
	double base_us = 20000;	 // mean service time on an idle server
	double slowdown = 1;	 // factor on every service time
	double contention = 0;	 // loss of capacity for each knee calls beyond the knee
	bool exponential = true; // service times; else constant
	double rate = 1000;	 // arrivals per second
	int64_t timeout_us = 2000000;
	size_t queue_limit = 150;

	struct Totals {
		long ok = 0, late = 0, rejected = 0;
	};

	SimulatedServer(struct snipe_limiter *limiter, unsigned seed, double start_us = 0)
	    : l(limiter), rng(seed), now_us(start_us)
	{
		next_arrival = start_us + draw_gap();
	}

	// Advances to the given time; returns the calls that ended or were rejected in it.
	Totals run_until(double until_us)
	{
		Totals t;

		while (now_us < until_us) {
			double finish =
				running.empty()
					? std::numeric_limits<double>::infinity()
					: now_us + (running.top().first - progress) / speed();
			double next = std::min({finish, next_arrival, until_us});

			progress += running.empty() ? 0 : (next - now_us) * speed();
			now_us = next;
			if (next == finish)
				end_call(t);
			else if (next == next_arrival)
				arrive(t);
			start_calls(t);
		}
		return t;
	}

	double capacity() const // calls per second at the knee
	{
		return knee / (base_us * slowdown) * 1e6;
	}
	size_t in_flight() const
	{
		return running.size();
	}

      private:
	using Call = std::pair<double, double>; // progress at which it ends, start time

	double speed() const // progress of one call per microsecond
	{
		double load = (double)running.size() / knee;
		double share = load <= 1 ? 1 : 1 / load / (1 + contention * (load - 1));

		return share / slowdown;
	}
	double draw_gap()
	{
		return std::exponential_distribution<double>(rate / 1e6)(rng);
	}
	void arrive(Totals &t)
	{
		if (waiting.size() >= queue_limit)
			t.rejected++;
		else
			waiting.push_back(now_us);
		next_arrival = now_us + draw_gap();
	}
	void start_calls(Totals &t)
	{
		while (!waiting.empty() && (int)running.size() < snipe_limiter_limit(l)) {
			double work = exponential ? std::exponential_distribution<double>(
							    1 / base_us)(rng)
						  : base_us;
			waiting.pop_front();
			running.push({progress + work, now_us});
		}
	}
	// Records a call that took longer than timeout_us as a timeout; the server still
	// completes it.
	void end_call(Totals &t)
	{
		double latency = now_us - running.top().second;
		bool late = latency > (double)timeout_us;
		int count = (int)running.size();

		running.pop();
		(late ? t.late : t.ok)++;
		snipe_limiter_record(l, (int64_t)now_us, late ? timeout_us : (int64_t)latency,
				     count, late ? SNIPE_SAMPLE_TIMEOUT : SNIPE_SAMPLE_OK);
	}

	struct snipe_limiter *l;
	std::mt19937_64 rng;
	double now_us, next_arrival, progress = 0;
	std::deque<double> waiting;
	std::priority_queue<Call, std::vector<Call>, std::greater<Call>> running;
};

#endif
