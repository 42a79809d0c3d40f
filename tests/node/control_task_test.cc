// Several control tasks on one loop against an in-memory platform. Guards against nodes that do
// not find each other, shards without an owner or with two, identifiers granted twice across
// nodes, owners that stop in an outage, and control traffic above its budget.
#include <gtest/gtest.h>

#include <event2/event.h>
#include <jansson.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ownership.h"
#include "base/clock.h"
#include "node/control_task.h"
#include "node/task_messages.h"

static const char secret[] = "0123456789abcdef0123";
static const char routes[] = "[[route]]\nname=\"r\"\nmethod=\"POST\"\npath=\"/r\"\npool=\"p\"\n"
			     "importance=\"high\"\nopen=false\nidempotent=false\n"
			     "timeout_ms=2000\nmax_retries=1\nretry_percent=10\n"
			     "[[workspace]]\nname=\"w\"\nrate=0.001\nburst=40\n";
static const char pools[] = "[[pool]]\nname=\"p\"\nslots=10\nconnections=10\nqueue=10\n";

struct MemoryStore;
struct Operation {
	MemoryStore *store;
	struct event *timer;
	std::string name, value;
	uint64_t version;
	int64_t until_us;
	bool is_put, is_watch;
	snipe_object_cb cb;
	void *arg;
	int handle = 0;
};

// Operations are answered from timers; a watch looks again every 5 ms.
struct MemoryStore {
	struct snipe_object_store store;
	struct event_base *base;
	bool up = true;
	std::map<std::string, std::pair<uint64_t, std::string>> objects;
	std::map<int, Operation *> running;
	int next = 1;

	static void on_timer(evutil_socket_t, short, void *arg)
	{
		auto *op = (Operation *)arg;
		MemoryStore *s = op->store;
		auto &o = s->objects[op->name];
		int err = 0;

		if (!s->up) {
			err = SNIPE_ERR_UNAVAILABLE;
		} else if (op->is_put) {
			if (o.first == op->version)
				o = {o.first + 1, op->value};
			else
				err = SNIPE_ERR_CONFLICT;
		} else if (!o.first) {
			err = SNIPE_ERR_NOT_FOUND;
		} else if (op->is_watch && o.first <= op->version) {
			if (snipe_now_us() < op->until_us) {
				struct timeval tv = {0, 5000};
				event_add(op->timer, &tv);
				return;
			}
			err = SNIPE_ERR_STALE;
		}
		std::string value = o.second;
		struct snipe_object object = {o.first, value.data(), value.size()};
		snipe_object_cb cb = op->cb;
		void *cb_arg = op->arg;
		s->end(op->handle);
		cb(cb_arg, err, &object);
	}
	void end(int handle)
	{
		event_free(running[handle]->timer);
		delete running[handle];
		running.erase(handle);
	}
	int start(Operation *op)
	{
		struct timeval tv = {0, 1000};
		int handle = next++;

		op->store = this;
		op->handle = handle;
		op->timer = event_new(base, -1, 0, on_timer, op);
		event_add(op->timer, &tv);
		running[handle] = op;
		return handle;
	}
	static int get(struct snipe_object_store *s, const char *kind, const char *name, int,
		       snipe_object_cb cb, void *arg)
	{
		return ((MemoryStore *)s)
			->start(new Operation{nullptr, nullptr, std::string(kind) + "/" + name,
					      "", 0, 0, false, false, cb, arg});
	}
	static int watch(struct snipe_object_store *s, const char *kind, const char *name,
			 uint64_t after, int wait_ms, int, snipe_object_cb cb, void *arg)
	{
		return ((MemoryStore *)s)
			->start(new Operation{nullptr, nullptr, std::string(kind) + "/" + name,
					      "", after, snipe_now_us() + wait_ms * 1000, false,
					      true, cb, arg});
	}
	static int put(struct snipe_object_store *s, const char *kind, const char *name,
		       uint64_t if_version, const char *value, size_t len, int,
		       snipe_object_cb cb, void *arg)
	{
		return ((MemoryStore *)s)
			->start(new Operation{nullptr, nullptr, std::string(kind) + "/" + name,
					      std::string(value, len), if_version, 0, true,
					      false, cb, arg});
	}
	static void cancel(struct snipe_object_store *s, int handle)
	{
		((MemoryStore *)s)->end(handle);
	}
	static void finish(struct snipe_object_store *)
	{
	}
};

static const struct snipe_object_store_ops memory_ops = {MemoryStore::get,
							 MemoryStore::watch,
							 MemoryStore::put,
							 MemoryStore::cancel,
							 MemoryStore::finish,
							 nullptr,
							 nullptr,
							 nullptr,
							 nullptr};

struct TestNode {
	struct snipe_settings settings = {};
	struct snipe_counters counters;
	struct snipe_peer_task peers;
	struct snipe_mailbox caller, backend;
	struct snipe_control_task *control = nullptr;
	std::vector<snipe_task_message> grants, answers;

	static void on_message(void *owner, const struct snipe_task_message *m)
	{
		auto *n = (TestNode *)owner;

		if (m->type == SNIPE_TASK_QUOTA_GRANT)
			n->grants.push_back(*m);
		else if (m->type == SNIPE_TASK_CLAIM_ANSWER)
			n->answers.push_back(*m);
	}
	void post(const snipe_task_message &m)
	{
		snipe_mailbox_post(snipe_control_task_mailbox(control), &m);
	}
};

class ControlTask : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		base = event_base_new();
		store.store.ops = &memory_ops;
		store.base = base;
		char *doc = print_tables();
		store.objects["config/tables"] = {1, doc};
		g_free(doc);
		store.objects["config/keys"] = {
			1, "{\"write_id\":\"1\",\"history\":[],\"keys\":[]}"};
		ticker = event_new(
			base, -1, EV_PERSIST, [](evutil_socket_t, short, void *) {}, nullptr);
		struct timeval tv = {0, 5000};
		event_add(ticker, &tv);
	}
	void TearDown() override
	{
		for (size_t i = 0; i < nodes.size(); i++)
			stop(i);
		event_free(ticker);
		event_base_free(base);
	}
	char *print_tables()
	{
		struct snipe_tables_document doc;

		snipe_tables_document_init(&doc);
		doc.routes_toml = g_strdup(routes);
		doc.pools_toml = g_strdup(pools);
		g_strlcpy(doc.write_id, "1", sizeof(doc.write_id));
		char *text = snipe_tables_document_print(&doc);
		snipe_tables_document_finish(&doc);
		return text;
	}
	void add(const std::string &id, const std::string &domain)
	{
		auto n = std::make_unique<TestNode>();
		struct snipe_error_text err;

		g_strlcpy(n->settings.node_id, id.c_str(), SNIPE_NAME_SIZE);
		g_strlcpy(n->settings.region, "region", SNIPE_NAME_SIZE);
		g_strlcpy(n->settings.failure_domain, domain.c_str(), SNIPE_NAME_SIZE);
		strcpy(n->settings.fleet_secret, secret);
		ASSERT_EQ(snipe_address_parse("127.0.0.1:0", &n->settings.peer_listen), 0);
		if (!nodes.empty()) {
			n->settings.seeds[0] = *snipe_peer_address(&nodes[0]->peers);
			n->settings.seed_count = 1;
		}
		snipe_counters_init(&n->counters);
		struct snipe_peer_config peer = {
			base, n->settings.peer_listen, id.c_str(), ++process, secret, nullptr};
		ASSERT_EQ(snipe_peer_task_init(&n->peers, &peer, &err), 0) << err.text;
		snipe_mailbox_init(&n->caller, base, TestNode::on_message, n.get());
		snipe_mailbox_init(&n->backend, base, TestNode::on_message, n.get());
		struct snipe_control_config config = {base,	    &n->settings, &n->peers,
						      &store.store, &n->counters, process,
						      &n->caller,   &n->backend};
		n->control = snipe_control_task_new(&config, &err);
		ASSERT_NE(n->control, nullptr) << err.text;
		snipe_task_message m = {};
		m.type = SNIPE_TASK_SELF_STATE;
		m.u.self_state.state = SNIPE_MEMBER_READY;
		strcpy(m.u.self_state.pool, "p");
		n->post(m);
		nodes.push_back(std::move(n));
	}
	void stop(size_t i)
	{
		TestNode &n = *nodes[i];

		if (!n.control)
			return;
		snipe_control_task_free(n.control);
		n.control = nullptr;
		snipe_peer_task_finish(&n.peers);
		snipe_mailbox_finish(&n.caller);
		snipe_mailbox_finish(&n.backend);
	}
	bool wait(const std::function<bool()> &condition, int seconds = 40)
	{
		int64_t end = snipe_now_us() + seconds * (int64_t)1000000;

		while (!condition()) {
			if (snipe_now_us() > end)
				return false;
			event_base_loop(base, EVLOOP_ONCE);
		}
		return true;
	}
	void run_for(int ms)
	{
		int64_t end = snipe_now_us() + ms * (int64_t)1000;

		wait([&] { return snipe_now_us() >= end; });
	}
	json_t *dump(size_t i)
	{
		struct snipe_buffer out;

		snipe_buffer_init(&out);
		snipe_control_task_dump(nodes[i]->control, &out);
		json_t *doc = json_loads(snipe_buffer_str(&out), 0, nullptr);
		snipe_buffer_finish(&out);
		return doc;
	}
	std::string mode(size_t i)
	{
		json_t *doc = dump(i);
		const char *s = json_string_value(json_object_get(doc, "mode"));
		std::string text = s ? s : "";

		json_decref(doc);
		return text;
	}
	// Asks for tokens until an owner answered. Returns the tokens, -1 without an answer.
	int tokens(size_t i, int want)
	{
		TestNode &n = *nodes[i];
		int got = -1;

		wait([&] {
			for (auto &g : n.grants)
				if (!g.u.quota_grant.failed)
					got = g.u.quota_grant.grant.tokens;
			if (got >= 0)
				return true;
			if (n.grants.empty() && sent)
				return false;
			n.grants.clear();
			sent = true;
			snipe_task_message m = {};
			m.type = SNIPE_TASK_QUOTA_ASK;
			strcpy(m.u.quota_ask.workspace, "w");
			m.u.quota_ask.want = want;
			m.u.quota_ask.sent_us = snipe_now_us();
			n.post(m);
			return false;
		});
		sent = false;
		n.grants.clear();
		return got;
	}
	snipe_claim_verdict claim(size_t i, const std::string &id, bool *failed)
	{
		TestNode &n = *nodes[i];
		snipe_task_message m = {};

		n.answers.clear();
		m.type = SNIPE_TASK_CLAIM_ASK;
		m.u.claim_ask.call = 1;
		strcpy(m.u.claim_ask.workspace, "w");
		strcpy(m.u.claim_ask.identifier, id.c_str());
		n.post(m);
		EXPECT_TRUE(wait([&] { return !n.answers.empty(); }));
		*failed = n.answers[0].u.claim_answer.failed != 0;
		return n.answers[0].u.claim_answer.verdict;
	}
	std::string make_id()
	{
		uint8_t random[10] = {0, 0, 0, 0, 0, 0, 0, 0, 0, ++id_count};
		char out[40];

		snipe_identifier_make(snipe_wall_ms(), random, out);
		return out;
	}
	struct event_base *base;
	struct event *ticker;
	MemoryStore store;
	std::vector<std::unique_ptr<TestNode>> nodes;
	uint64_t process = 1000;
	uint8_t id_count = 0;
	bool sent = false;
};

TEST_F(ControlTask, OneBucketAndOneClaimForTheFleet)
{
	add("a", "d1");
	add("b", "d2");
	add("c", "d3");
	// The first epoch starts full: 40 tokens for all nodes together, and no refill.
	EXPECT_EQ(tokens(0, 15) + tokens(1, 15) + tokens(2, 15), 40);
	for (int round = 0; round < 8; round++) {
		std::string id = make_id();
		int granted = 0;
		for (size_t i = 0; i < 3; i++) {
			bool failed;
			snipe_claim_verdict v = claim(i, id, &failed);
			EXPECT_FALSE(failed);
			granted += !failed && v == SNIPE_CLAIM_GRANTED;
		}
		EXPECT_EQ(granted, 1);
	}
}

TEST_F(ControlTask, OwnersGoOnInAnOutageAndShardsMoveAfterADeath)
{
	add("a", "d1");
	add("b", "d2");
	add("c", "d3");
	EXPECT_EQ(tokens(0, 5), 5);
	store.up = false;
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(wait([&] { return mode(i) == "platform_outage"; })) << mode(i);
	EXPECT_EQ(tokens(1, 5), 5);
	store.up = true;
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(wait([&] { return mode(i) == "confirmed"; })) << mode(i);
	// The owner of the workspace's shard leaves without a release.
	int shard = snipe_shard_of_workspace("w");
	size_t owner = 3;
	for (size_t i = 0; i < 3; i++) {
		json_t *doc = dump(i), *entry;
		size_t k;
		json_array_foreach(json_object_get(doc, "owned_shards"), k, entry)
		{
			if (json_integer_value(json_is_integer(entry)
						       ? entry
						       : json_object_get(entry, "shard")) ==
			    shard)
				owner = i;
		}
		json_decref(doc);
	}
	ASSERT_LT(owner, 3u);
	stop(owner);
	// The new owner starts with an empty bucket.
	EXPECT_EQ(tokens((owner + 1) % 3, 5), 0);
}

TEST_F(ControlTask, DrainHandsShardsOverAtOnce)
{
	add("a", "d1");
	add("b", "d1");
	EXPECT_EQ(tokens(0, 5), 5);
	snipe_task_message m = {};
	m.type = SNIPE_TASK_DRAIN;
	nodes[1]->post(m);
	EXPECT_TRUE(wait([&] { return snipe_control_task_drained(nodes[1]->control) != 0; }));
	stop(1);
	nodes[0]->grants.clear();
	EXPECT_GE(tokens(0, 1), 0);
}

// 24 nodes of one failure domain fill the fan-out of both readers and of inner nodes; a larger
// fleet has more levels, but no node with more subscribers.
TEST_F(ControlTask, ControlTrafficPerNode)
{
	std::vector<int64_t> before;
	int64_t worst = 0, sum = 0;
	const int seconds = 10, count = 24;
	auto gauge = [&](size_t i, const char *name) {
		struct snipe_counters *c = &nodes[i]->counters;
		return snipe_counters_value(c, snipe_counters_get(c, name, ""));
	};
	auto bytes = [&](size_t i) {
		return gauge(i, "control_bytes_sent") + gauge(i, "control_bytes_received");
	};

	for (int i = 0; i < count; i++)
		add("tips-" + std::to_string(1000 + i), "christchurch");
	EXPECT_TRUE(wait([&] {
		for (size_t i = 0; i < nodes.size(); i++)
			if (mode(i) != "confirmed")
				return false;
		return true;
	}));
	// A record travels on 18 datagrams of each node; until then the joins are news. How
	// long that takes depends on who probes whom.
	EXPECT_TRUE(wait(
		[&] {
			for (size_t i = 0; i < nodes.size(); i++)
				if (gauge(i, "members") != count ||
				    gauge(i, "members_spreading") != 0)
					return false;
			return true;
		},
		120));
	for (size_t i = 0; i < nodes.size(); i++)
		before.push_back(bytes(i));
	run_for(seconds * 1000);
	for (size_t i = 0; i < nodes.size(); i++) {
		int64_t rate = (bytes(i) - before[i]) / seconds;
		worst = std::max(worst, rate);
		sum += rate;
	}
	printf("control bytes per second and node: mean %ld, worst %ld\n", (long)(sum / count),
	       (long)worst);
	EXPECT_LT(worst, 2048);
}
