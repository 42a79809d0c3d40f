// Simulates eight nodes and compares their member lists with the true states. Guards against
// records replaced by older ones, live nodes that stay dead in a list and dead nodes that stay
// alive, under loss, delay, duplication, reordering, stalls, restarts, state changes
// and partitions.
#include <gtest/gtest.h>

#include <memory>

#include "core/membership.h"
#include "simulation.h"

static const int64_t S = 1000000;
static const int node_count = 8;
static long commands_run, datagrams, dead_nodes;

struct Node {
	int id;
	std::string name;
	bool is_alive = true, is_stalled = false;
	uint64_t process = 1;
	snipe_member_state state = SNIPE_MEMBER_READY;
	std::vector<snipe_probe> inbox;
	snipe_membership m;
	std::map<std::string, std::pair<uint64_t, uint64_t>> newest;
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
			tick_periodically(*nodes.back());
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
		n.newest.clear();
		n.inbox.clear();
		n.is_alive = true;
		n.is_stalled = false;
		// Joins with the member list of a seed node.
		for (auto &seed : nodes) {
			if (seed->id == n.id || !seed->is_alive ||
			    !is_connected(n.id, seed->id))
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
	bool is_connected(int a, int b) const
	{
		return partition == 0 || (a < partition) == (b < partition);
	}
	void tick_periodically(Node &n)
	{
		snipe_membership_actions act;

		if (n.is_alive && !n.is_stalled) {
			snipe_membership_tick(&n.m, e.now, &act);
			send(n, act);
		}
		e.after(100000, [this, &n] { tick_periodically(n); });
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
			for (int copies = e.chance(loss_percent)   ? 0
					  : e.chance(loss_percent) ? 2
								   : 1;
			     copies > 0; copies--)
				e.after(e.chance(loss_percent) ? e.uniform(0, 2 * S)
							       : e.uniform(100, 3000),
					[this, p, to, &n] {
						if (is_connected(n.id, to))
							receive(*nodes[(size_t)to], p);
					});
		}
	}
	void receive(Node &n, const snipe_probe &p)
	{
		snipe_membership_actions act;

		if (!n.is_alive)
			return;
		if (n.is_stalled) {
			n.inbox.push_back(p);
			return;
		}
		snipe_membership_receive(&n.m, e.now, &p, &act);
		send(n, act);
		check_records(n);
	}
	void check_records(Node &n)
	{
		for (int i = 0; i < snipe_membership_count(&n.m); i++) {
			const snipe_member *r = snipe_membership_at(&n.m, i);
			auto now = std::make_pair(r->process, r->incarnation);
			auto &before = n.newest[r->node_id];

			RC_ASSERT(now >= before);
			RC_ASSERT(r->process <= nodes[(size_t)(r->node_id[1] - '0')]->process);
			before = now;
		}
	}
	void resume(Node &n)
	{
		snipe_membership_actions act;

		if (!n.is_stalled)
			return;
		n.is_stalled = false;
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

		if (!n.is_alive || n.is_stalled)
			return;
		n.state = state;
		snipe_membership_set_self(&n.m, e.now, state, "tips", &act);
		send(n, act);
	}
	// Returns whether the list of every live node matches the true states.
	bool lists_match()
	{
		for (auto &n : nodes) {
			for (auto &other : nodes) {
				const snipe_member *r =
					snipe_membership_find(&n->m, other->name.c_str());

				if (!n->is_alive)
					continue;
				if (!other->is_alive && r && snipe_member_is_live(r))
					return false;
				if (other->is_alive && (!r || r->state != other->state ||
							r->process != other->process))
					return false;
			}
		}
		return true;
	}

	EventQueue e;
	GRand *rng;
	std::vector<std::unique_ptr<Node>> nodes;
	int loss_percent = 0, partition = 0;
};

enum { WAIT, KILL, RESTART, STALL, RESUME, STATE, PARTITION, LOSS };

TEST(MembershipState, ListsConvergeToTheTrueStates)
{
	bool ok = rc::check([] {
		auto list = *commands({40, 2, 6, 5, 8, 6, 3, 3}, node_count, 100);
		Fleet f(*rc::gen::arbitrary<unsigned>());

		// All nodes join through node 0, which must stay alive until it has
		// forwarded their records: the control task, which asks the seeds again for a
		// node without other members, is not simulated.
		f.e.run_until(3 * S);
		for (const Command &c : list) {
			Node &n = *f.nodes[(size_t)c.node];
			commands_run++;
			if (c.op == WAIT)
				f.e.run_until(f.e.now + c.ms * 1000);
			else if (c.op == KILL)
				n.is_alive = n.is_stalled = false;
			else if (c.op == RESTART)
				f.restart(n);
			else if (c.op == STALL)
				n.is_stalled = n.is_alive;
			else if (c.op == RESUME)
				f.resume(n);
			else if (c.op == STATE)
				f.set_state(n, c.n % 2 ? SNIPE_MEMBER_DRAINING
						       : SNIPE_MEMBER_STARTING);
			else if (c.op == PARTITION)
				f.partition = f.partition ? 0 : 1 + c.n % (node_count - 1);
			else
				f.loss_percent = c.n % 4 * 10;
		}
		f.loss_percent = f.partition = 0;
		for (auto &n : f.nodes) {
			f.resume(*n);
			dead_nodes += !n->is_alive;
		}
		// Earlier probes and suspicions need 3 s to end.
		f.e.run_until(f.e.now + 5 * S);
		// Each node probes one dead member every 10 s, which ends partitions.
		for (int i = 0; i < 200 && !f.lists_match(); i++)
			f.e.run_until(f.e.now + S);
		RC_ASSERT(f.lists_match());
		// Without faults no node is suspected.
		for (int i = 0; i < 100; i++) {
			f.e.run_until(f.e.now + S / 10);
			RC_ASSERT(f.lists_match());
		}
	});
	EXPECT_TRUE(ok);
	printf("commands=%ld datagrams=%ld dead_nodes=%ld\n", commands_run, datagrams,
	       dead_nodes);
	EXPECT_GT(dead_nodes, 10);
}
