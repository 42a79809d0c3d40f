// Simulates six nodes in three failure domains and compares their versions with the log of the
// writes that the platform accepted. Guards against versions that decrease, and against nodes
// that act on versions older than the limit, under partitions, stalls, restarts, lost, late,
// duplicated and reordered messages and platform outages.
#include <gtest/gtest.h>

#include <memory>

#include "core/control_state.h"
#include "simulation.h"

static const int64_t S = 1000000;
static const int node_count = 6, domain_count = 3;
static long commands_run, checks_confirmed, checks_outage, checks_unconfirmed;

struct Node {
	int id;
	std::string name, domain;
	int64_t clock_offset;
	uint64_t process = 1;
	bool is_stalled = false;
	std::vector<std::function<void()>> inbox;
	snipe_control_state c;
	uint64_t highest_sum = 0;
	uint64_t held_versions[SNIPE_OBJECT_COUNT] = {};
	int64_t held_since[SNIPE_OBJECT_COUNT] = {}, running_since = 0;
};

struct Write {
	int64_t at;
	int id;
	uint64_t version;
};

class Fleet
{
      public:
	explicit Fleet(unsigned seed) : e(seed), rng(g_rand_new_with_seed(seed))
	{
		for (int i = 0; i < node_count; i++) {
			nodes.emplace_back(new Node());
			Node &n = *nodes.back();
			n.id = i;
			n.name = "n" + std::to_string(i);
			n.domain = "d" + std::to_string(i % domain_count);
			n.clock_offset = e.uniform(0, 1000 * S);
			snipe_control_state_init(&n.c, "", "", 1, 0);
		}
		for (auto &n : nodes) {
			start(*n);
			refresh_periodically(*n);
		}
	}
	~Fleet()
	{
		for (auto &n : nodes)
			snipe_control_state_finish(&n->c);
		g_rand_free(rng);
	}
	int64_t local(const Node &n) const
	{
		return n.clock_offset + e.now;
	}
	void start(Node &n)
	{
		snipe_membership members;
		int changed = 0;

		snipe_control_state_finish(&n.c);
		snipe_control_state_init(&n.c, n.name.c_str(), n.domain.c_str(),
					 (uint64_t)e.uniform(1, INT64_MAX), local(n));
		n.highest_sum = 0;
		n.running_since = e.now;
		for (int i = 0; i < node_count; i++) {
			snipe_member m = {};
			g_strlcpy(m.node_id, nodes[(size_t)i]->name.c_str(), sizeof(m.node_id));
			g_strlcpy(m.failure_domain, nodes[(size_t)i]->domain.c_str(),
				  sizeof(m.failure_domain));
			m.process = 1;
			m.address.port = (uint16_t)(i + 1);
			m.state = SNIPE_MEMBER_READY;
			if (i == 0)
				snipe_membership_init(&members, &m, rng, 0);
			else
				snipe_membership_merge(&members, 0, &m, &changed);
		}
		snipe_control_state_update_members(&n.c, local(n), &members);
		snipe_membership_finish(&members);
	}
	bool is_connected(int a, int b) const
	{
		return a % domain_count == b % domain_count ||
		       (partitioned_domain != a % domain_count &&
			partitioned_domain != b % domain_count);
	}
	int64_t delay()
	{
		return e.chance(loss_percent) ? e.uniform(0, 3 * S) : e.uniform(100, 4000);
	}
	void deliver(Node &n, std::function<void()> fn)
	{
		uint64_t process = n.process;

		for (int copies = e.chance(loss_percent)   ? 0
				  : e.chance(loss_percent) ? 2
							   : 1;
		     copies > 0; copies--)
			e.after(delay(), [this, &n, fn, process] {
				auto run = [&n, fn, process] {
					if (n.process == process)
						fn();
				};
				if (n.is_stalled)
					n.inbox.push_back(run);
				else
					run();
			});
	}
	void refresh_periodically(Node &n)
	{
		if (!n.is_stalled)
			refresh(n);
		e.after(200000, [this, &n] { refresh_periodically(n); });
	}
	void refresh(Node &n)
	{
		int64_t sent = local(n);
		snipe_control_state_tick(&n.c, sent);
		int id = (int)e.uniform(0, SNIPE_OBJECT_COUNT - 1);

		for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
			if (i != id && loss_percent)
				continue;
			e.after(delay(), [this, &n, sent, i] {
				// A partitioned failure domain does not reach the platform,
				// which is outside it.
				if (!is_platform_up ||
				    partitioned_domain == n.id % domain_count)
					return;
				uint64_t v = versions[i];
				deliver(n, [&n, sent, v, i] {
					snipe_control_state_record_read(
						&n.c, (snipe_object_id)i, v, sent);
				});
			});
		}
		for (auto &other : nodes) {
			Node &p = *other;
			uint64_t echo = snipe_control_state_echo(&n.c, sent);
			if (p.id == n.id || !is_connected(n.id, p.id))
				continue;
			deliver(p, [this, &n, &p, echo] {
				snipe_digest d;
				snipe_control_state_make_digest(&p.c, local(p), &d);
				d.echo = echo;
				if (!is_connected(n.id, p.id))
					return;
				deliver(n, [this, &n, &p, d] { receive_digest(n, p, d); });
			});
		}
	}
	void receive_digest(Node &n, Node &p, const snipe_digest &d)
	{
		unsigned fetch = snipe_control_state_receive_digest(
			&n.c, local(n), p.name.c_str(), p.domain.c_str(), &d);

		for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
			if (fetch & (1u << i))
				snipe_control_state_accept_object(&n.c, (snipe_object_id)i,
								  d.versions[i]);
		}
	}
	void write(int id)
	{
		if (!is_platform_up)
			return;
		versions[id]++;
		log.push_back({e.now, id, versions[id]});
	}
	// A version that a node held for 3 s without a stall has reached its failure
	// domain. A version that no node read before an outage takes effect only after it.
	void record_replicated()
	{
		for (auto &n : nodes) {
			if (n->is_stalled) {
				n->running_since = e.now;
				continue;
			}
			for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
				if (n->c.versions[i] != n->held_versions[i]) {
					n->held_versions[i] = n->c.versions[i];
					n->held_since[i] = e.now;
				}
				if (e.now - std::max(n->running_since, n->held_since[i]) >=
					    3 * S &&
				    n->held_versions[i] > replicated[i]) {
					replicated[i] = n->held_versions[i];
					replicated_log.push_back({e.now, i, replicated[i]});
				}
			}
		}
	}
	static uint64_t version_at(const std::vector<Write> &list, int id, int64_t when)
	{
		uint64_t v = 1;

		for (const Write &w : list) {
			if (w.id == id && w.at <= when)
				v = w.version;
		}
		return v;
	}
	void check()
	{
		record_replicated();
		for (auto &ptr : nodes) {
			Node &n = *ptr;
			snipe_control_mode mode = snipe_control_state_mode(&n.c, local(n));
			bool confirmed = mode == SNIPE_CONTROL_CONFIRMED;
			uint64_t sum = 0;

			for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
				sum += n.c.versions[i];
				if (mode != SNIPE_CONTROL_UNCONFIRMED)
					RC_ASSERT(n.c.versions[i] >=
						  (confirmed ? version_at(log, i, e.now - 3 * S)
							     : version_at(replicated_log, i,
									  e.now - 3 * S)));
			}
			RC_ASSERT(sum >= n.highest_sum);
			n.highest_sum = sum;
			RC_ASSERT((snipe_control_state_valid_until(&n.c, local(n)) >
				   local(n)) == (mode != SNIPE_CONTROL_UNCONFIRMED));
			checks_confirmed += mode == SNIPE_CONTROL_CONFIRMED;
			checks_outage += mode == SNIPE_CONTROL_OUTAGE;
			checks_unconfirmed += mode == SNIPE_CONTROL_UNCONFIRMED;
		}
	}
	void resume(Node &n)
	{
		n.is_stalled = false;
		check();
		auto waiting = std::move(n.inbox);
		n.inbox.clear();
		for (auto &fn : waiting) {
			fn();
			check();
		}
	}

	EventQueue e;
	GRand *rng;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<Write> log, replicated_log;
	uint64_t replicated[SNIPE_OBJECT_COUNT] = {1, 1, 1};
	uint64_t versions[SNIPE_OBJECT_COUNT] = {1, 1, 1};
	bool is_platform_up = true;
	int partitioned_domain = -1, loss_percent = 0;
};

enum { WRITE, WAIT, STALL, RESUME, RESTART, PLATFORM, PARTITION, LOSS };

TEST(ControlStateState, NeverActsOnVersionsOlderThanTheLimit)
{
	bool ok = rc::check([] {
		auto list = *commands({20, 40, 4, 6, 2, 5, 4, 3}, node_count, 200);
		Fleet f(*rc::gen::arbitrary<unsigned>());

		for (const Command &c : list) {
			Node &n = *f.nodes[(size_t)c.node];
			commands_run++;
			if (c.op == WRITE)
				f.write(c.n % SNIPE_OBJECT_COUNT);
			else if (c.op == STALL)
				n.is_stalled = true;
			else if (c.op == RESUME)
				f.resume(n);
			else if (c.op == PLATFORM)
				f.is_platform_up = !f.is_platform_up;
			else if (c.op == PARTITION)
				f.partitioned_domain =
					f.partitioned_domain < 0 ? c.node % domain_count : -1;
			else if (c.op == LOSS)
				f.loss_percent = c.n % 3 * 10;
			for (int64_t ms = c.op == WAIT ? c.ms : 0; ms > 0; ms -= 100) {
				f.e.run_until(f.e.now + std::min<int64_t>(ms, 100) * 1000);
				f.check();
			}
			if (c.op == RESTART) {
				n.process++;
				n.is_stalled = false;
				n.inbox.clear();
				f.start(n);
			}
			f.check();
		}
		// Without faults every node is confirmed, and in a platform outage every node
		// may act.
		f.loss_percent = 0;
		f.partitioned_domain = -1;
		f.is_platform_up = true;
		for (auto &n : f.nodes)
			f.resume(*n);
		f.e.run_until(f.e.now + 4 * S);
		for (auto &n : f.nodes) {
			RC_ASSERT(snipe_control_state_mode(&n->c, f.local(*n)) ==
				  SNIPE_CONTROL_CONFIRMED);
			for (int i = 0; i < SNIPE_OBJECT_COUNT; i++)
				RC_ASSERT(n->c.versions[i] == f.versions[i]);
		}
		f.is_platform_up = false;
		f.e.run_until(f.e.now + 4 * S);
		for (auto &n : f.nodes)
			RC_ASSERT(snipe_control_state_mode(&n->c, f.local(*n)) ==
				  SNIPE_CONTROL_OUTAGE);
	});
	EXPECT_TRUE(ok);
	printf("commands=%ld checks: confirmed=%ld outage=%ld unconfirmed=%ld\n", commands_run,
	       checks_confirmed, checks_outage, checks_unconfirmed);
	EXPECT_GT(checks_outage, 100);
	EXPECT_GT(checks_unconfirmed, 100);
}
