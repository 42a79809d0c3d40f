// Eight nodes against the truth about who lives. Guards against records that go back, live
// nodes that stay dead in somebody's list and dead nodes that stay alive, with loss, delay,
// duplication, reordering, pauses, restarts, state changes and partitions.
#include <gtest/gtest.h>

#include <memory>

#include "core/membership.h"
#include "simulation.h"

static const int64_t S = 1000000;
static const int node_count = 8;
static long commands_run, datagrams, deaths;

struct Node {
	int id;
	std::string name;
	bool alive = true, paused = false;
	uint64_t process = 1;
	snipe_member_state state = SNIPE_MEMBER_READY;
	std::vector<snipe_probe> inbox;
	snipe_membership m;
	std::map<std::string, std::pair<uint64_t, uint64_t>> highest;
};

class Fleet
{
      public:
	explicit Fleet(unsigned seed) : e(seed), rng(g_rand_new_with_seed(seed))
	{
		for (int i = 0; i < node_count; i++) {
			nodes.emplace_back(new Node());
			nodes.back()->id = i;
			nodes.back()->name = "n" + std::to_string(i);
			start(*nodes.back());
			repeat(*nodes.back());
		}
	}
	~Fleet()
	{
		for (auto &n : nodes)
			snipe_membership_finish(&n->m);
		g_rand_free(rng);
	}
	void start(Node &n)
	{
		snipe_member self = {};
		int changed = 0;

		g_strlcpy(self.node_id, n.name.c_str(), sizeof(self.node_id));
		strcpy(self.failure_domain, "d");
		strcpy(self.address.ip, "127.0.0.1");
		self.address.port = (uint16_t)(n.id + 1);
		self.process = n.process;
		self.state = n.state = SNIPE_MEMBER_READY;
		snipe_membership_init(&n.m, &self, rng, e.now);
		n.highest.clear();
		n.inbox.clear();
		n.alive = true;
		n.paused = false;
		// The member list of a seed.
		for (auto &seed : nodes) {
			if (seed->id == n.id || !seed->alive || !connected(n.id, seed->id))
				continue;
			for (int i = 0; i < snipe_membership_count(&seed->m); i++)
				snipe_membership_merge(&n.m, e.now,
						       snipe_membership_at(&seed->m, i),
						       &changed);
			break;
		}
	}
	void restart(Node &n)
	{
		snipe_membership_finish(&n.m);
		n.process++;
		start(n);
	}
	bool connected(int a, int b) const
	{
		return cut == 0 || (a < cut) == (b < cut);
	}
	void repeat(Node &n)
	{
		snipe_membership_actions act;

		if (n.alive && !n.paused) {
			snipe_membership_tick(&n.m, e.now, &act);
			send(n, act);
		}
		e.after(100000, [this, &n] { repeat(n); });
	}
	void send(Node &n, const snipe_membership_actions &act)
	{
		for (int i = 0; i < act.send_count; i++) {
			snipe_probe p = act.sends[i];
			int to = p.to.port - 1;

			datagrams++;
			RC_ASSERT(to >= 0 && to < node_count && to != n.id);
			g_strlcpy(p.to.ip, "127.0.0.1", sizeof(p.to.ip));
			p.to.port = (uint16_t)(n.id + 1);
			for (int copies = e.chance(loss)   ? 0
					  : e.chance(loss) ? 2
							   : 1;
			     copies > 0; copies--)
				e.after(e.chance(loss) ? e.uniform(0, 2 * S)
						       : e.uniform(100, 3000),
					[this, p, to, &n] {
						if (connected(n.id, to))
							receive(*nodes[(size_t)to], p);
					});
		}
	}
	void receive(Node &n, const snipe_probe &p)
	{
		snipe_membership_actions act;

		if (!n.alive)
			return;
		if (n.paused) {
			n.inbox.push_back(p);
			return;
		}
		snipe_membership_receive(&n.m, e.now, &p, &act);
		send(n, act);
		check(n);
	}
	void check(Node &n)
	{
		for (int i = 0; i < snipe_membership_count(&n.m); i++) {
			const snipe_member *r = snipe_membership_at(&n.m, i);
			auto now = std::make_pair(r->process, r->incarnation);
			auto &before = n.highest[r->node_id];

			RC_ASSERT(now >= before);
			RC_ASSERT(r->process <= nodes[(size_t)(r->node_id[1] - '0')]->process);
			before = now;
		}
	}
	void resume(Node &n)
	{
		snipe_membership_actions act;

		if (!n.paused)
			return;
		n.paused = false;
		if (e.chance(50)) {
			snipe_membership_tick(&n.m, e.now, &act);
			send(n, act);
		}
		auto waiting = std::move(n.inbox);
		n.inbox.clear();
		for (auto &p : waiting)
			receive(n, p);
	}
	void set_state(Node &n, snipe_member_state state)
	{
		snipe_membership_actions act;

		if (!n.alive || n.paused)
			return;
		n.state = state;
		snipe_membership_set_self(&n.m, e.now, state, "tips", &act);
		send(n, act);
	}
	// Returns whether every live node's list agrees with the truth.
	bool agrees()
	{
		for (auto &n : nodes) {
			for (auto &other : nodes) {
				const snipe_member *r =
					snipe_membership_find(&n->m, other->name.c_str());

				if (!n->alive)
					continue;
				if (!other->alive && r && snipe_member_is_live(r))
					return false;
				if (other->alive && (!r || r->state != other->state ||
						     r->process != other->process))
					return false;
			}
		}
		return true;
	}

	EventQueue e;
	GRand *rng;
	std::vector<std::unique_ptr<Node>> nodes;
	int loss = 0, cut = 0;
};

enum { WAIT, KILL, RESTART, PAUSE, RESUME, STATE, CUT, LOSS };

TEST(MembershipState, ConvergesToTheTruth)
{
	bool ok = rc::check([] {
		auto list = *commands({40, 2, 6, 5, 8, 6, 3, 3}, node_count, 100);
		Fleet f(*rc::gen::arbitrary<unsigned>());

		// All nodes join through node 0, which must live until it has passed them on:
		// nodes that know nobody else ask their seeds again, which is the control
		// task's part.
		f.e.run_until(3 * S);
		for (const Command &c : list) {
			Node &n = *f.nodes[(size_t)c.node];
			commands_run++;
			if (c.op == WAIT)
				f.e.run_until(f.e.now + c.ms * 1000);
			else if (c.op == KILL)
				n.alive = n.paused = false;
			else if (c.op == RESTART)
				f.restart(n);
			else if (c.op == PAUSE)
				n.paused = n.alive;
			else if (c.op == RESUME)
				f.resume(n);
			else if (c.op == STATE)
				f.set_state(n, c.n % 2 ? SNIPE_MEMBER_DRAINING
						       : SNIPE_MEMBER_STARTING);
			else if (c.op == CUT)
				f.cut = f.cut ? 0 : 1 + c.n % (node_count - 1);
			else
				f.loss = c.n % 4 * 10;
		}
		f.loss = f.cut = 0;
		for (auto &n : f.nodes) {
			f.resume(*n);
			deaths += !n->alive;
		}
		// Probes and suspicions from before need 3 s to end.
		f.e.run_until(f.e.now + 5 * S);
		// A partition ends by a probe of one dead member every 10 s from each node.
		for (int i = 0; i < 200 && !f.agrees(); i++)
			f.e.run_until(f.e.now + S);
		RC_ASSERT(f.agrees());
		// Without faults nobody is suspected.
		for (int i = 0; i < 100; i++) {
			f.e.run_until(f.e.now + S / 10);
			RC_ASSERT(f.agrees());
		}
	});
	EXPECT_TRUE(ok);
	printf("commands=%ld datagrams=%ld dead_nodes=%ld\n", commands_run, datagrams, deaths);
	EXPECT_GT(deaths, 10);
}
