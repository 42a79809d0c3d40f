// Runs random commands against a model. Guards against a choice of an unusable server, a call
// rejected although a server would accept it, more than half of the pool ejected, and wrong
// counts of calls in flight.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <memory>
#include <vector>

#include "base/error.h"
#include "core/balancer.h"

namespace
{

struct Command {
	int kind, pick, value, gap_us;
};

struct Server {
	bool usable = true;
	std::vector<int64_t> started; // calls in flight
	int floor = 0;
	int64_t report_at = INT64_MIN / 2;
	int64_t ejected_at = 0;
};

struct Model {
	struct snipe_balancer b;
	std::map<int, Server> servers;
	std::vector<int> removed; // handles
	int64_t now = 1;
	int connections = 20;

	struct snipe_balancer_view view(int handle)
	{
		struct snipe_balancer_view v;
		RC_ASSERT(snipe_balancer_get_view(&b, handle, now, &v) == 0);
		return v;
	}
	std::map<int, Server>::iterator pick(int n)
	{
		auto it = servers.begin();
		std::advance(it, n % (int)servers.size());
		return it;
	}
	int usable_count(const std::vector<int> &exclude, int importance, bool must_accept)
	{
		int n = 0;
		int reserved = (SNIPE_IMPORTANCE_CRITICAL - importance) * connections / 20;
		for (auto &[handle, s] : servers) {
			bool tried = std::find(exclude.begin(), exclude.end(), handle) !=
				     exclude.end();
			bool accepts = now - s.report_at > 1000000 || s.floor <= importance;
			bool has_connection = (int)s.started.size() < connections - reserved;
			n += s.usable && !view(handle).is_ejected && !tried &&
			     (!must_accept || (accepts && has_connection));
		}
		return n;
	}
};

void check_choose(Model &m, GRand *rng, const Command &c)
{
	auto importance = (enum snipe_importance)(c.value % SNIPE_IMPORTANCE_COUNT);
	std::vector<int> exclude;
	std::map<int, bool> ejected;

	if (c.pick % 3 == 0 && !m.servers.empty())
		exclude.push_back(m.pick(c.pick)->first);
	for (auto &[handle, s] : m.servers)
		ejected[handle] = m.view(handle).is_ejected;
	int usable = m.usable_count(exclude, importance, false);
	int accepting = m.usable_count(exclude, importance, true);
	int chosen = snipe_balancer_choose(&m.b, m.now, rng, importance, exclude.data(),
					   (int)exclude.size());
	if (chosen < 0) {
		RC_ASSERT(accepting == 0);
		RC_ASSERT(chosen == (usable > 0 ? SNIPE_ERR_FULL : SNIPE_ERR_NOT_FOUND));
		return;
	}
	RC_ASSERT(m.servers.count(chosen) == 1u);
	Server &s = m.servers[chosen];
	RC_ASSERT(s.usable);
	RC_ASSERT(std::find(exclude.begin(), exclude.end(), chosen) == exclude.end());
	RC_ASSERT((int)s.started.size() < m.connections);
	if (ejected[chosen]) {
		RC_ASSERT(m.now - s.ejected_at >= 1000000);
		for (int64_t t : s.started)
			RC_ASSERT(t <= s.ejected_at); // no other probe
	}
	s.started.push_back(m.now);
}

void check_record(Model &m, const Command &c)
{
	auto it = m.pick(c.pick);
	Server &s = it->second;
	struct snipe_load_report r = {10, c.value % 12, 0, c.pick % 5};
	// Servers with odd handles mostly fail, so that ejections are frequent.
	int outcome = c.value % 4 == 0 ? c.value % 5
		      : it->first % 2  ? SNIPE_OUTCOME_FAILED
				       : SNIPE_OUTCOME_OK;
	bool has_report = c.value % 3 == 0;

	if (s.started.empty())
		return;
	size_t i = (size_t)c.value % s.started.size();
	bool was_ejected = m.view(it->first).is_ejected;
	snipe_balancer_record(&m.b, it->first, m.now, m.now - s.started[i],
			      (enum snipe_server_outcome)outcome, has_report ? &r : nullptr);
	bool is_probe = s.started[i] > s.ejected_at;
	s.started.erase(s.started.begin() + (long)i);
	if (has_report) {
		s.floor = r.floor;
		s.report_at = m.now;
	}
	// A probe that was cancelled or timed out early does not renew the ejection.
	bool renewed = is_probe && outcome == SNIPE_OUTCOME_FAILED;
	if (m.view(it->first).is_ejected && (!was_ejected || renewed))
		s.ejected_at = m.now;
}

void run_command(Model &m, GRand *rng, const Command &c)
{
	m.now += c.gap_us;
	if (c.kind == 0 && m.servers.size() < 8) {
		int h = snipe_balancer_add(&m.b, m.now, c.value % 3, c.value % 2);
		RC_ASSERT(h >= 0);
		RC_ASSERT(m.servers.count(h) == 0u);
		m.servers[h];
	} else if (c.kind == 1 && c.value % 4 == 0 && !m.servers.empty()) {
		m.removed.push_back(m.pick(c.pick)->first);
		m.servers.erase(m.removed.back());
		snipe_balancer_remove(&m.b, m.removed.back());
	} else if (c.kind == 2 && !m.servers.empty()) {
		auto it = m.pick(c.pick);
		it->second.usable = c.value % 3 != 0;
		snipe_balancer_set_usable(&m.b, it->first, it->second.usable);
	} else if (c.kind == 3) {
		m.connections = 1 + c.value % 30;
		snipe_balancer_set_connections(&m.b, m.connections);
	} else if (c.kind < 15) {
		check_choose(m, rng, c);
	} else if (!m.servers.empty()) {
		check_record(m, c);
	}
	// A call to a removed server that ends late changes nothing.
	if (!m.removed.empty()) {
		struct snipe_balancer_view v;
		int handle = m.removed[(size_t)c.value % m.removed.size()];
		snipe_balancer_record(&m.b, handle, m.now, 1, SNIPE_OUTCOME_FAILED, nullptr);
		RC_ASSERT(snipe_balancer_get_view(&m.b, handle, m.now, &v) ==
			  SNIPE_ERR_NOT_FOUND);
	}

	int usable = 0, ejected = 0;
	for (auto &[handle, s] : m.servers) {
		auto v = m.view(handle);
		RC_ASSERT(v.in_flight == (int)s.started.size());
		RC_ASSERT(v.latency_us >= 0);
		usable += s.usable;
		ejected += s.usable && v.is_ejected;
	}
	RC_ASSERT(ejected * 2 <= usable);
}

TEST(BalancerState, InvariantsHoldForRandomCommands)
{
	static long commands, ejections;
	auto command = rc::gen::apply(
		[](int kind, int pick, int value, int gap) {
			return Command{kind, pick, value, gap};
		},
		rc::gen::inRange(0, 26), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000),
		rc::gen::inRange(0, 400000));
	auto list = rc::gen::resize(1000, rc::gen::container<std::vector<Command>>(command));

	bool ok = rc::check("balancer", [&] {
		auto chosen = *list;
		Model m;
		std::unique_ptr<GRand, void (*)(GRand *)> rng(g_rand_new_with_seed(3),
							      g_rand_free);

		snipe_balancer_init(&m.b, 0, m.connections);
		std::unique_ptr<struct snipe_balancer, void (*)(struct snipe_balancer *)> guard(
			&m.b, snipe_balancer_finish);
		for (const Command &c : chosen) {
			commands++;
			run_command(m, rng.get(), c);
		}
		for (auto &[handle, s] : m.servers)
			ejections += s.ejected_at > 0;
	});
	printf("balancer: %ld commands, %ld servers ejected\n", commands, ejections);
	EXPECT_TRUE(ok);
	EXPECT_GT(ejections, 10) << "the commands must reach ejections";
}

} // namespace
