// Random commands and an event queue for the state tests.
#ifndef SNIPE_TESTS_SIMULATION_H
#define SNIPE_TESTS_SIMULATION_H

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <rapidcheck.h>

struct Command {
	int op;
	int node;
	int n;
	int64_t ms;
};

inline void showValue(const Command &c, std::ostream &os)
{
	os << "{op " << c.op << " node " << c.node << " n " << c.n << " ms " << c.ms << "}";
}

// Generates commands; operation i is drawn with weights[i]. An operation uses only some fields.
inline rc::Gen<std::vector<Command>> commands(const std::vector<int> &weights, int nodes,
					      int length)
{
	std::vector<int> ops;

	for (size_t op = 0; op < weights.size(); op++)
		ops.insert(ops.end(), (size_t)weights[op], (int)op);
	auto one = rc::gen::apply(
		[](int op, int node, int n, int64_t ms) {
			return Command{op, node, n, ms};
		},
		rc::gen::elementOf(ops), rc::gen::inRange(0, nodes), rc::gen::inRange(1, 60),
		rc::gen::oneOf(rc::gen::inRange<int64_t>(1, 50),
			       rc::gen::inRange<int64_t>(50, 7000)));
	return rc::gen::resize(
		length, rc::gen::container<std::vector<Command>>(rc::gen::resize(100, one)));
}

class EventQueue
{
      public:
	explicit EventQueue(unsigned seed) : random(seed)
	{
	}
	void at(int64_t when, std::function<void()> fn)
	{
		events.emplace(std::make_pair(when, next++), std::move(fn));
	}
	void after(int64_t delay, std::function<void()> fn)
	{
		at(now + delay, std::move(fn));
	}
	void run_until(int64_t end)
	{
		while (!events.empty() && events.begin()->first.first <= end) {
			auto fn = std::move(events.begin()->second);
			now = events.begin()->first.first;
			events.erase(events.begin());
			fn();
		}
		now = end;
	}
	int64_t uniform(int64_t lo, int64_t hi)
	{
		return std::uniform_int_distribution<int64_t>(lo, hi)(random);
	}
	bool chance(int percent)
	{
		return uniform(0, 99) < percent;
	}
	int64_t now = 0; // true simulated time in microseconds

      private:
	std::map<std::pair<int64_t, uint64_t>, std::function<void()>> events;
	uint64_t next = 0;
	std::mt19937 random;
};

#endif
