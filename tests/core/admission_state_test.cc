// Compares the queue with a model that sorts a list for each decision. Guards in particular
// against rejecting a call while a less important one waits.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include "base/error.h"
#include "core/admission.h"

namespace
{

struct Command {
	int op, workspace, importance, gap_us, ttl_us, selector;
};

struct Call {
	int handle, importance;
	uint64_t workspace;
	int64_t deadline, enqueued;
};

struct Usage {
	int running = 0;
	uint64_t served = 0; // 1024 for each call, halved at each full second
};

struct Model {
	std::vector<Call> waiting; // in order of arrival
	std::map<uint64_t, Usage> usage;
	std::vector<uint64_t> running;
	int64_t now = 0;
	int limit = 2, queue_limit = 5;

	void advance(int64_t gap_us)
	{
		for (int64_t s = now / 1000000; s < (now + gap_us) / 1000000; s++)
			for (auto &entry : usage)
				entry.second.served /= 2;
		now += gap_us;
	}
	void start(uint64_t workspace)
	{
		usage[workspace].running++;
		usage[workspace].served += 1024;
		running.push_back(workspace);
	}
	// Sort key of a call in the order in which the calls in list would run.
	auto run_key(const std::vector<Call> &list, size_t i)
	{
		auto same = [&](const Call &c) {
			return c.workspace == list[i].workspace &&
			       c.importance == list[i].importance;
		};
		const Usage &u = usage[list[i].workspace];
		auto oldest = std::find_if(list.begin(), list.end(), same);
		bool is_lifo = now - oldest->enqueued > 100000;

		return std::make_tuple(-list[i].importance, u.running, u.served,
				       oldest - list.begin(), is_lifo ? -(int)i : (int)i);
	}
	std::vector<Call> unexpired() const
	{
		std::vector<Call> list;
		for (const Call &c : waiting)
			if (c.deadline > now)
				list.push_back(c);
		return list;
	}
	int first_to_run()
	{
		std::vector<Call> list = unexpired();
		size_t best = 0;
		for (size_t i = 1; i < list.size(); i++)
			if (run_key(list, i) < run_key(list, best))
				best = i;
		return list.empty() ? -1 : list[best].handle;
	}
	// Handle of the call to evict from the waiting calls and the arriving one.
	int victim(const Call &arriving)
	{
		std::vector<Call> list = waiting;
		list.push_back(arriving);
		auto evict_key = [&](size_t i) {
			const Usage &u = usage[list[i].workspace];
			auto same = [&](const Call &c) {
				return c.workspace == list[i].workspace &&
				       c.importance == list[i].importance;
			};
			auto count = std::count_if(list.begin(), list.end(), same);
			auto oldest = std::find_if(list.begin(), list.end(), same);
			return std::make_tuple(-list[i].importance, count, u.running, u.served,
					       same(arriving), list.begin() - oldest,
					       std::get<4>(run_key(list, i)));
		};
		size_t worst = 0;
		for (size_t i = 1; i < list.size(); i++)
			if (evict_key(worst) < evict_key(i))
				worst = i;
		return list[worst].handle;
	}
	void erase(int handle)
	{
		waiting.erase(std::find_if(waiting.begin(), waiting.end(),
					   [&](const Call &c) { return c.handle == handle; }));
	}
};

void check_offer(struct snipe_admission *q, Model &m, const Command &c, int handle)
{
	Call call = {handle, c.importance, (uint64_t)c.workspace, m.now + c.ttl_us, m.now};
	struct snipe_admission_call offered = {handle, (enum snipe_importance)c.importance,
					       call.workspace, call.deadline, -1};
	std::vector<Call> unexpired = m.unexpired();
	bool is_most_important =
		std::all_of(unexpired.begin(), unexpired.end(),
			    [&](const Call &o) { return o.importance < call.importance; });
	int floor = snipe_admission_floor(q, m.limit), evicted;
	auto verdict = snipe_admission_offer(q, m.now, &offered, m.limit, &evicted);

	if (call.deadline <= m.now) {
		RC_ASSERT(verdict == SNIPE_ADMISSION_EXPIRED);
	} else if ((int)m.running.size() < m.limit && is_most_important) {
		RC_ASSERT(verdict == SNIPE_ADMISSION_RUN);
		m.start(call.workspace);
	} else if ((int)m.waiting.size() < m.queue_limit) {
		RC_ASSERT(verdict == SNIPE_ADMISSION_QUEUED);
		RC_ASSERT(evicted == -1);
		m.waiting.push_back(call);
	} else if (unexpired.size() < m.waiting.size()) {
		auto expired = std::find_if(m.waiting.begin(), m.waiting.end(),
					    [&](const Call &o) { return o.deadline <= m.now; });
		RC_ASSERT(evicted == expired->handle);
		m.erase(evicted);
		m.waiting.push_back(call);
	} else {
		int victim = m.victim(call);
		RC_ASSERT(verdict == (victim == handle ? SNIPE_ADMISSION_REJECTED
						       : SNIPE_ADMISSION_QUEUED));
		RC_ASSERT(evicted == (victim == handle ? -1 : victim));
		m.waiting.push_back(call);
		int rejected =
			std::find_if(m.waiting.begin(), m.waiting.end(), [&](const Call &o) {
				return o.handle == victim;
			})->importance;
		m.erase(victim);
		for (const Call &o : m.waiting)
			RC_ASSERT(o.importance >= rejected);
		if (c.importance < floor)
			RC_ASSERT(verdict == SNIPE_ADMISSION_REJECTED);
	}
}

void run_command(struct snipe_admission *q, Model &m, const Command &c, int handle)
{
	m.advance(c.gap_us);
	switch (c.op) {
	case 0: {
		int expected = (int)m.running.size() < m.limit ? m.first_to_run() : -1;
		RC_ASSERT(snipe_admission_next(q, m.now, m.limit) == expected);
		if (expected >= 0) {
			for (const Call &o : m.waiting)
				if (o.handle == expected)
					m.start(o.workspace);
			m.erase(expected);
		}
		break;
	}
	case 1:
	case 2:
		if (!m.running.empty()) {
			auto it = m.running.begin() + c.selector % (int)m.running.size();
			snipe_admission_done(q, m.now, *it);
			m.usage[*it].running--;
			m.running.erase(it);
		}
		break;
	case 3: {
		bool waits = !m.waiting.empty();
		int h = waits ? m.waiting[(size_t)c.selector % m.waiting.size()].handle : 99999;
		RC_ASSERT(snipe_admission_cancel(q, h) == (waits ? 0 : SNIPE_ERR_NOT_FOUND));
		if (waits)
			m.erase(h);
		break;
	}
	case 4: {
		int h = snipe_admission_expire(q, m.now);
		RC_ASSERT((h >= 0) == (m.unexpired().size() < m.waiting.size()));
		if (h >= 0)
			m.erase(h);
		break;
	}
	case 5:
		m.limit = 1 + c.selector % 4;
		m.queue_limit = c.selector % 7;
		snipe_admission_set_queue_limit(q, m.queue_limit);
		break;
	default:
		check_offer(q, m, c, handle);
	}
	RC_ASSERT(snipe_admission_running(q) == (int)m.running.size());
	RC_ASSERT(snipe_admission_waiting(q) == (int)m.waiting.size());
	int64_t deadline = INT64_MAX;
	for (const Call &o : m.waiting)
		deadline = std::min(deadline, o.deadline);
	RC_ASSERT(snipe_admission_next_deadline(q) == deadline);
}

TEST(AdmissionState, MatchesASortedList)
{
	static long commands;
	auto command = rc::gen::apply(
		[](int op, int workspace, int importance, int gap, int ttl, int selector) {
			return Command{op, workspace, importance, gap, ttl, selector};
		},
		rc::gen::inRange(0, 14), rc::gen::inRange(0, 4),
		rc::gen::inRange(0, (int)SNIPE_IMPORTANCE_COUNT), rc::gen::inRange(0, 50000),
		rc::gen::inRange(0, 900000), rc::gen::inRange(0, 1000));
	auto list = rc::gen::resize(1000, rc::gen::container<std::vector<Command>>(command));

	bool ok = rc::check("admission", [&] {
		auto chosen = *list;
		struct snipe_admission q;
		Model m;
		int handle = 0;

		snipe_admission_init(&q, m.queue_limit);
		std::unique_ptr<struct snipe_admission, void (*)(struct snipe_admission *)>
			guard(&q, snipe_admission_finish);
		for (const Command &c : chosen) {
			commands++;
			run_command(&q, m, c, handle++);
		}
	});
	printf("admission: %ld commands\n", commands);
	EXPECT_TRUE(ok);
}

} // namespace
