// Compares several owners and caches with one exact token bucket on a common clock. Guards
// against more tokens than burst + rate * t when owners are paused, restarted, isolated or
// replaced, messages are lost, delayed, duplicated or reordered, or the platform is down; and
// against rejected calls within the burst of an idle workspace.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "core/ownership.h"
#include "core/quota.h"
#include "simulation.h"

static const int64_t S = 1000000;
static const int node_count = 3;
static const double burst = 60;
static double rate = 20; // of the running case
static long commands_run, tokens_used, calls_rejected, owner_changes, grants_in_outage;

class ExactBucket
{
      public:
	// The clock of an owner may run up to 0.1% fast.
	bool take(int64_t now, double n)
	{
		tokens = std::min(burst,
				  tokens + rate * 1.001 * (double)(now - refilled_us) / 1e6);
		refilled_us = now;
		tokens -= n;
		tokens_used += (long)n;
		return tokens > -1e-3;
	}

      private:
	double tokens = burst;
	int64_t refilled_us = 0;
};

struct Platform {
	bool up = true;
	int64_t up_since = -100 * S;
	uint64_t version = 1;
	snipe_shard shard = {};
	std::vector<snipe_shard> value() const
	{
		return std::vector<snipe_shard>(SNIPE_SHARD_COUNT, shard);
	}
};

struct Ask {
	int from;
	int want, prefetch;
	int64_t sent, delayed_until;
	uint64_t sender_process;
};

struct Node {
	int id;
	std::string name;
	int64_t offset;
	int ppm;
	uint64_t process = 1;
	bool paused = false, draining = false;
	std::vector<std::function<void()>> inbox;
	std::vector<Ask> delayed_asks;
	snipe_control_state control;
	snipe_ownership ownership;
	snipe_quota_owner quota;
	snipe_quota_cache cache;
	std::vector<snipe_shard> shard_map;
};

class Fleet
{
      public:
	Fleet(unsigned seed, const std::vector<int> &ppm)
	    : e(seed), rng(g_rand_new_with_seed(seed))
	{
		for (int i = 0; i < node_count; i++) {
			nodes.emplace_back(new Node());
			Node &n = *nodes.back();
			n.id = i;
			n.name = "n" + std::to_string(i);
			n.offset = e.uniform(0, 1000 * S);
			n.ppm = ppm[(size_t)i];
			start(n);
			every(i, 250000, e.uniform(0, 250000),
			      [this, &n] { read_control_state(n); });
			every(i, 50000, e.uniform(0, 50000), [this, &n] { tick(n); });
		}
		g_strlcpy(platform.shard.owner, "n0", sizeof(platform.shard.owner));
		platform.shard.process = platform.shard.epoch = 1;
	}
	~Fleet()
	{
		for (auto &n : nodes)
			stop(*n);
		g_rand_free(rng);
	}
	int64_t local(const Node &n) const
	{
		return n.offset + e.now + e.now * n.ppm / 1000000;
	}
	void start(Node &n)
	{
		snipe_member self = member(n);
		snipe_membership members;
		int changed = 0;

		snipe_control_state_init(&n.control, n.name.c_str(), self.failure_domain,
					 (uint64_t)e.uniform(1, INT64_MAX), local(n));
		snipe_membership_init(&members, &self, rng, local(n));
		for (int i = 0; i < node_count; i++) {
			snipe_member other = member(i == n.id		    ? n
						    : i < (int)nodes.size() ? *nodes[(size_t)i]
									    : n);
			if (i != n.id) {
				g_snprintf(other.node_id, sizeof(other.node_id), "n%d", i);
				g_snprintf(other.failure_domain, sizeof(other.failure_domain),
					   "d%d", i);
				snipe_membership_merge(&members, local(n), &other, &changed);
			}
		}
		snipe_control_state_update_members(&n.control, local(n), &members);
		snipe_membership_finish(&members);
		snipe_ownership_init(&n.ownership, n.name.c_str(), n.process);
		snipe_quota_owner_init(&n.quota, (uint64_t)e.uniform(1, INT64_MAX));
		snipe_quota_cache_init(&n.cache);
		n.shard_map.clear();
		n.delayed_asks.clear();
		n.draining = false;
	}
	void stop(Node &n)
	{
		snipe_control_state_finish(&n.control);
		snipe_quota_owner_finish(&n.quota);
		snipe_quota_cache_finish(&n.cache);
	}
	void restart(Node &n)
	{
		stop(n);
		n.process++;
		n.inbox.clear();
		n.paused = false;
		start(n);
	}
	void resume(Node &n)
	{
		if (!n.paused)
			return;
		n.paused = false;
		auto waiting = std::move(n.inbox);
		n.inbox.clear();
		for (auto &fn : waiting)
			fn();
	}
	// Datagrams that arrive during a pause stay in the socket buffer.
	void deliver(Node &n, std::function<void()> fn, bool may_duplicate)
	{
		int copies = e.chance(loss) ? 0 : may_duplicate && e.chance(loss) ? 2 : 1;
		uint64_t process = n.process;

		while (copies-- > 0) {
			e.after(delay(), [this, &n, fn, process] {
				auto run = [&n, fn, process] {
					if (n.process == process)
						fn();
				};
				if (n.paused)
					n.inbox.push_back(run);
				else
					run();
			});
		}
	}
	int64_t delay()
	{
		return e.chance(loss) ? e.uniform(0, 3 * S) : e.uniform(100, 4000);
	}
	void every(int id, int64_t period, int64_t first, std::function<void()> fn)
	{
		e.after(first, [this, id, period, fn] {
			if (!nodes[(size_t)id]->paused)
				fn();
			every(id, period, period, fn);
		});
	}
	void apply_shards(Node &n, uint64_t version, const std::vector<snipe_shard> &shard_map)
	{
		uint64_t epoch = snipe_ownership_shard(&n.ownership, 0)->epoch;

		if (version > n.ownership.version)
			RC_ASSERT(snipe_ownership_load(&n.ownership, version, local(n),
						       shard_map.data()) == 0);
		if (snipe_ownership_shard(&n.ownership, 0)->epoch != epoch)
			snipe_quota_owner_drop_shard(&n.quota, snipe_shard_of_workspace("w"));
		n.shard_map = shard_map;
	}
	// Reads the platform's state once and fetches a digest from each other node.
	void read_control_state(Node &n)
	{
		int64_t sent = local(n);
		uint64_t process = n.process;

		snipe_control_state_tick(&n.control, sent);
		e.after(delay(), [this, &n, sent, process] {
			if (!platform.up || n.process != process || (isolated >> n.id & 1))
				return;
			uint64_t version = platform.version;
			std::vector<snipe_shard> shard_map = platform.value();
			deliver(
				n,
				[this, &n, sent, version, shard_map] {
					snipe_control_state_record_read(
						&n.control, SNIPE_OBJECT_TABLES, 1, sent);
					snipe_control_state_record_read(
						&n.control, SNIPE_OBJECT_KEYS, 1, sent);
					apply_shards(n, std::max(version, n.ownership.version),
						     version >= n.ownership.version
							     ? shard_map
							     : n.shard_map);
					snipe_control_state_record_read(
						&n.control, SNIPE_OBJECT_SHARDS, version, sent);
				},
				false);
		});
		for (auto &other : nodes) {
			uint64_t echo = snipe_control_state_echo(&n.control, sent);
			Node &p = *other;
			if (p.id == n.id || !connected(n.id, p.id))
				continue;
			deliver(
				p, [this, &n, &p, echo] { reply_digest(n, p, echo); }, true);
		}
	}
	void reply_digest(Node &n, Node &p, uint64_t echo)
	{
		snipe_digest d;
		std::vector<snipe_shard> shard_map = p.shard_map;

		snipe_control_state_make_digest(&p.control, local(p), &d);
		d.echo = echo;
		d.reply_delay_us = 0;
		deliver(
			n,
			[this, &n, &p, d, shard_map] {
				std::string domain = "d" + std::to_string(p.id);
				unsigned fetch = snipe_control_state_receive_digest(
					&n.control, local(n), p.name.c_str(), domain.c_str(),
					&d);
				if (fetch & (1u << SNIPE_OBJECT_SHARDS) && !shard_map.empty()) {
					apply_shards(n, d.versions[SNIPE_OBJECT_SHARDS],
						     shard_map);
					snipe_control_state_accept_object(
						&n.control, SNIPE_OBJECT_SHARDS,
						d.versions[SNIPE_OBJECT_SHARDS]);
				}
				for (int i = 0; i < SNIPE_OBJECT_SHARDS; i++)
					snipe_control_state_accept_object(
						&n.control, (snipe_object_id)i, d.versions[i]);
			},
			true);
	}
	void write_map(int to, bool released, uint64_t if_version)
	{
		if (!platform.up || platform.version != if_version)
			return;
		g_strlcpy(platform.shard.owner, nodes[(size_t)to]->name.c_str(),
			  sizeof(platform.shard.owner));
		platform.shard.process = nodes[(size_t)to]->process;
		platform.shard.epoch++;
		platform.shard.released = released;
		platform.version++;
		owner_changes++;
	}
	// A reader assigns shards only after its control state was confirmed for 5 s without a
	// break.
	void reassign(int to)
	{
		if (e.now - platform.up_since >= 5 * S)
			write_map(to, false, platform.version);
	}
	void drain(Node &n, int to)
	{
		int shard = snipe_shard_of_workspace("w");

		if (n.paused || to == n.id ||
		    strcmp(n.ownership.shards[shard].owner, n.name.c_str()) ||
		    n.ownership.shards[shard].process != n.process)
			return;
		bool began = local(n) >= snipe_ownership_acts_from(&n.ownership, shard);
		uint64_t version = n.ownership.version;
		n.draining = true;
		e.after(delay(), [this, to, began, version] { write_map(to, began, version); });
	}
	bool may_act(Node &n)
	{
		return !n.draining &&
		       snipe_ownership_may_act(&n.ownership, snipe_shard_of_workspace("w"),
					       &n.control, local(n));
	}
	void call(Node &n)
	{
		int want, prefetch;
		int64_t retry, now = local(n);

		if (n.paused)
			return;
		switch (snipe_quota_cache_take(&n.cache, now, "w", &want, &prefetch, &retry)) {
		case SNIPE_QUOTA_TAKEN:
			RC_ASSERT(bucket.take(e.now, 1));
			served++;
			break;
		case SNIPE_QUOTA_EXHAUSTED:
			count_rejected(1);
			break;
		case SNIPE_QUOTA_WAIT:
			break;
		}
		ask(n, now, want, prefetch);
	}
	void count_rejected(int n)
	{
		calls_rejected += n;
		rejected += n;
	}
	void ask(Node &n, int64_t sent, int want, int prefetch)
	{
		int to = -1;

		if (!want && !prefetch)
			return;
		for (auto &p : nodes) {
			if (p->name == n.ownership.shards[snipe_shard_of_workspace("w")].owner)
				to = p->id;
		}
		uint64_t process = n.process;
		Ask a = {n.id, want, prefetch, sent, 0, process};
		if (to >= 0 && connected(n.id, to)) {
			Node &p = *nodes[(size_t)to];
			deliver(
				p,
				[this, &p, a] {
					Ask delayed = a;
					delayed.delayed_until = local(p) + 250000;
					if (!answer(p, delayed))
						p.delayed_asks.push_back(delayed);
				},
				true);
		}
		// An ask without a reply within 1 s has failed.
		e.after(S, [this, &n, sent, process] {
			auto fail = [this, &n, sent, process] {
				if (n.process == process)
					on_grant(n, sent, {}, 1);
			};
			if (n.paused)
				n.inbox.push_back(fail);
			else
				fail();
		});
	}
	// Returns false if the reply is delayed until other nodes return tokens.
	bool answer(Node &p, const Ask &a)
	{
		snipe_grant g = {};
		int64_t now = local(p);
		Node &n = *nodes[(size_t)a.from];
		bool act = may_act(p);

		if (act && now < a.delayed_until &&
		    snipe_quota_owner_should_delay(&p.quota, now, "w", a.want))
			return false;
		if (act) {
			int shard = snipe_shard_of_workspace("w");
			snipe_quota_owner_grant(
				&p.quota, now, "w", rate, burst,
				snipe_ownership_acts_from(&p.ownership, shard),
				snipe_ownership_shard(&p.ownership, shard)->epoch == 1, a.want,
				a.prefetch, &g);
			RC_ASSERT(bucket.take(e.now, g.tokens));
			if (snipe_control_state_mode(&p.control, now) == SNIPE_CONTROL_OUTAGE)
				grants_in_outage += g.tokens + g.prefetch_tokens;
		}
		if (n.process == a.sender_process) {
			int64_t sent = a.sent;
			deliver(
				n, [this, &n, sent, g, act] { on_grant(n, sent, g, !act); },
				true);
		}
		return true;
	}
	void on_grant(Node &n, int64_t sent, const snipe_grant &g, int failed)
	{
		int serve, rejected_now, want, prefetch;
		int64_t now = local(n);

		snipe_quota_cache_on_grant(&n.cache, now, "w", sent, &g, failed, &serve,
					   &rejected_now, &want, &prefetch);
		// Tokens for waiting calls count when granted, prefetched tokens when used.
		if (serve > g.tokens)
			RC_ASSERT(bucket.take(e.now, serve - g.tokens));
		served += serve;
		count_rejected(rejected_now);
		ask(n, now, want, prefetch);
	}
	void tick(Node &n)
	{
		const char *workspace;
		uint64_t id;
		int tokens;

		while (snipe_quota_cache_next_return(&n.cache, local(n), &workspace, &id,
						     &tokens)) {
			for (auto &p : nodes) {
				Node &to = *p;
				if (to.name != n.ownership.shards[0].owner ||
				    !connected(n.id, to.id))
					continue;
				deliver(
					to,
					[this, &to, id, tokens] {
						snipe_quota_owner_return(&to.quota, local(to),
									 id, tokens);
					},
					true);
			}
		}
		snipe_ownership_tick(&n.ownership, &n.control, local(n));
		for (int i = 0; i < calls_per_tick; i++)
			call(n);
		snipe_quota_owner_tick(&n.quota, local(n));
		auto delayed_asks = std::move(n.delayed_asks);
		n.delayed_asks.clear();
		for (Ask &a : delayed_asks) {
			if (!answer(n, a))
				n.delayed_asks.push_back(a);
		}
	}
	snipe_member member(const Node &n)
	{
		snipe_member m = {};

		g_strlcpy(m.node_id, n.name.c_str(), sizeof(m.node_id));
		g_snprintf(m.failure_domain, sizeof(m.failure_domain), "d%d", n.id);
		m.process = 1;
		m.state = SNIPE_MEMBER_READY;
		strcpy(m.address.ip, "127.0.0.1");
		m.address.port = (uint16_t)(n.id + 1);
		return m;
	}

	EventQueue e;
	GRand *rng;
	bool connected(int a, int b) const
	{
		return (isolated >> a & 1) == (isolated >> b & 1);
	}
	int loss = 0;
	int isolated = 0; // bit mask of nodes cut off from the platform and all other nodes
	int calls_per_tick = 0; // at each node, every 50 ms
	int served = 0, rejected = 0;
	Platform platform;
	ExactBucket bucket;
	std::vector<std::unique_ptr<Node>> nodes;
};

enum {
	CALLS,
	WAIT,
	PAUSE,
	RESUME,
	RESTART,
	REASSIGN,
	DRAIN,
	PLATFORM,
	LOSS,
	IDLE,
	ISOLATE,
	CALL_RATE
};

static void run_command(Fleet &f, const Command &c)
{
	Node &n = *f.nodes[(size_t)c.node];

	switch (c.op) {
	case CALLS:
		for (int i = 0; i < c.n; i++)
			f.call(n);
		break;
	case WAIT:
		f.e.run_until(f.e.now + c.ms * 1000);
		break;
	case PAUSE:
		n.paused = true;
		break;
	case RESUME:
		f.resume(n);
		break;
	case RESTART:
		f.restart(n);
		break;
	case REASSIGN:
		f.reassign(c.n % node_count);
		break;
	case DRAIN:
		f.drain(n, c.n % node_count);
		break;
	case PLATFORM:
		if (!f.platform.up)
			f.platform.up_since = f.e.now;
		f.platform.up = !f.platform.up;
		break;
	case LOSS:
		f.loss = c.n % 3 * 10;
		break;
	case IDLE:
		f.e.run_until(f.e.now + 6 * S);
		break;
	case ISOLATE:
		f.isolated = f.isolated ? 0 : 1 + c.n % 6;
		break;
	case CALL_RATE:
		f.calls_per_tick = (int[]){0, 2, 6}[c.n % 3];
		break;
	default:
		break;
	}
	f.e.run_until(f.e.now + 1);
	commands_run++;
}

TEST(QuotaState, NeverAboveRateAndBurst)
{
	bool ok = rc::check([] {
		auto list = *commands({30, 40, 4, 6, 1, 6, 3, 3, 2, 3, 4, 6}, node_count, 300);
		unsigned seed = *rc::gen::arbitrary<unsigned>();
		auto ppm = *rc::gen::container<std::vector<int>>(node_count,
								 rc::gen::inRange(-900, 900));
		rate = *rc::gen::element(20.0, 200.0);
		Fleet f(seed, ppm);

		for (const Command &c : list)
			run_command(f, c);
	});
	EXPECT_TRUE(ok);
	printf("commands=%ld tokens=%ld rejected=%ld owner_changes=%ld outage_grants=%ld\n",
	       commands_run, tokens_used, calls_rejected, owner_changes, grants_in_outage);
	EXPECT_GT(tokens_used, 1000);
	EXPECT_GT(grants_in_outage, 0);
}

TEST(QuotaState, IdleWorkspaceCanUseItsWholeBurstAtAnyNode)
{
	bool ok = rc::check([] {
		unsigned seed = *rc::gen::arbitrary<unsigned>();
		auto list = *rc::gen::container<std::vector<std::pair<int, int>>>(
			(size_t)burst, rc::gen::pair(rc::gen::inRange(0, node_count),
						     rc::gen::inRange(0, 5000)));
		rate = 20;
		Fleet f(seed, std::vector<int>(node_count, 0));

		f.e.run_until(3 * S);
		for (int round = 0; round < 2; round++) {
			int before = f.served;
			for (auto &call : list) {
				f.e.run_until(f.e.now + call.second);
				f.call(*f.nodes[(size_t)call.first]);
				commands_run++;
			}
			f.e.run_until(f.e.now + S / 2);
			RC_ASSERT(f.rejected == 0);
			RC_ASSERT(f.served - before == (int)list.size());
			f.e.run_until(f.e.now + 5 * S);
		}
	});
	EXPECT_TRUE(ok);
	printf("commands=%ld in both properties\n", commands_run);
}
