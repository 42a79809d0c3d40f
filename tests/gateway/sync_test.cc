// Guards against a node that stops reading the tables after an answer it did not expect, that
// confirms tables it could not read, that goes back to older ones, or that stays unknown to the
// other nodes.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "base/error.h"
#include "gateway/sync.h"
#include "support/loop.h"

namespace
{

// A store whose calls the test answers.
struct Store {
	struct snipe_object_store store; // first member: the vtable
	struct Call {
		std::string what, value;
		uint64_t version;
		snipe_object_cb cb;
		snipe_object_list_cb list_cb;
		void *arg;
	};
	std::vector<Call> tables, nodes;

	static Store *self(struct snipe_object_store *s)
	{
		return reinterpret_cast<Store *>(s);
	}
	static int get(struct snipe_object_store *s, const char *, const char *, int,
		       snipe_object_cb cb, void *arg)
	{
		self(s)->tables.push_back({"get", "", 0, cb, nullptr, arg});
		return 1;
	}
	static int watch(struct snipe_object_store *s, const char *, const char *,
			 uint64_t after, int, int, snipe_object_cb cb, void *arg)
	{
		self(s)->tables.push_back({"watch", "", after, cb, nullptr, arg});
		return 1;
	}
	static int put(struct snipe_object_store *s, const char *, const char *,
		       uint64_t if_version, const char *value, size_t len, int,
		       snipe_object_cb cb, void *arg)
	{
		self(s)->nodes.push_back(
			{"put", std::string(value, len), if_version, cb, nullptr, arg});
		return 2;
	}
	static int list(struct snipe_object_store *s, const char *, int allow_stale, int,
			snipe_object_list_cb cb, void *arg)
	{
		self(s)->nodes.push_back(
			{allow_stale ? "stale list" : "list", "", 0, nullptr, cb, arg});
		return 2;
	}
	static void cancel(struct snipe_object_store *, int)
	{
	}
};

// Tables are the text "vN"; anything else is malformed.
int decode_tables(const struct snipe_dialect *, const char *document, size_t len,
		  struct snipe_routing **routing, struct snipe_error_text *err)
{
	std::string text(document, len);

	if (text.empty() || text[0] != 'v')
		return snipe_error_set(err, SNIPE_ERR_SYNTAX, "no tables; write them again");
	*routing = snipe_routing_new(std::stoull(text.substr(1)));
	return 0;
}

struct Sync : testing::Test {
	Loop loop;
	Store store;
	struct snipe_object_store_ops ops = {};
	struct snipe_dialect_ops dialect_ops = {decode_tables, nullptr};
	struct snipe_dialect dialect = {};
	struct snipe_gateway_settings settings = {};
	struct snipe_counters counters;
	struct snipe_peer_task peers;
	struct snipe_directory directory;
	struct snipe_sync sync;
	std::vector<uint64_t> versions;
	int confirmed = 0;
	int64_t confirmed_us = 0;

	void SetUp() override
	{
		static const struct snipe_directory_ops directory_ops = {
			[](void *, const struct snipe_address *, uint64_t) {},
			[](void *, int64_t, struct snipe_node_report *) {},
			[](void *, int64_t, uint64_t *, int64_t *) {},
			[](void *, const struct snipe_address *, uint64_t, int64_t) {},
			[](void *, int64_t, const struct snipe_node_report *) {},
		};
		struct snipe_peer_config peer = {};
		struct snipe_sync_config c = {};
		struct snipe_error_text err;

		strcpy(settings.node_id, "n-1");
		settings.peer_listen = free_address();
		dialect.ops = &dialect_ops;
		dialect.tables_kind = "config";
		dialect.tables_name = "main";
		dialect.nodes_kind = "nodes";
		ops.get = Store::get;
		ops.watch = Store::watch;
		ops.put = Store::put;
		ops.list = Store::list;
		ops.cancel = Store::cancel;
		store.store.ops = &ops;
		snipe_counters_init(&counters);
		peer.base = loop.base;
		strcpy(peer.listen.ip, "127.0.0.1");
		peer.node_id = "n-1";
		peer.process = 1;
		peer.secret = "";
		ASSERT_EQ(snipe_peer_task_init(&peers, &peer, &err), 0) << err.text;
		ASSERT_EQ(snipe_directory_init(&directory, loop.base, &settings, 1,
					       &directory_ops, this, &err),
			  0)
			<< err.text;
		c.base = loop.base;
		c.settings = &settings;
		c.dialect = &dialect;
		c.store = &store.store;
		c.peers = &peers;
		c.directory = &directory;
		c.counters = &counters;
		c.tables = [](void *arg, struct snipe_routing *r) {
			static_cast<Sync *>(arg)->versions.push_back(r->version);
		};
		c.confirmed = [](void *arg, int64_t sent_us) {
			auto *t = static_cast<Sync *>(arg);

			t->confirmed++;
			t->confirmed_us = sent_us;
		};
		c.confirmed_us = [](void *arg) {
			return static_cast<Sync *>(arg)->confirmed_us;
		};
		c.arg = this;
		snipe_sync_init(&sync, &c);
	}
	void TearDown() override
	{
		snipe_sync_finish(&sync);
		snipe_directory_finish(&directory);
		snipe_peer_task_finish(&peers);
	}
	// Answers the last call for the tables.
	void answer(int err, uint64_t version = 0, const std::string &value = "")
	{
		struct snipe_object o = {version, value.data(), value.size()};
		Store::Call call = store.tables.back();

		call.cb(call.arg, err, &o);
	}
	// Answers the last call for the nodes.
	void answer_node(int err, const std::string &own_address = "")
	{
		struct snipe_object o = {9, own_address.data(), own_address.size()};
		struct snipe_object_entry entry = {"n-1", o};
		Store::Call call = store.nodes.back();

		if (call.list_cb)
			call.list_cb(call.arg, err, &entry, own_address.empty() ? 0 : 1);
		else
			call.cb(call.arg, err, &o);
	}
	void expect_read(size_t count, const std::string &what, uint64_t after = 0)
	{
		ASSERT_TRUE(loop.until([&] { return store.tables.size() == count; })) << what;
		EXPECT_EQ(store.tables.back().what, what);
		EXPECT_EQ(store.tables.back().version, after);
	}
	void expect_node_call(size_t count, const std::string &what)
	{
		ASSERT_TRUE(loop.until([&] { return store.nodes.size() == count; })) << what;
		EXPECT_EQ(store.nodes.back().what, what);
	}
};

} // namespace

TEST_F(Sync, AReaderWatchesFromTheVersionThatItHolds)
{
	expect_read(1, "get");
	answer(0, 7, "v3");
	EXPECT_EQ(versions, std::vector<uint64_t>{3});
	EXPECT_EQ(confirmed, 1);
	expect_read(2, "watch", 7);
	answer(SNIPE_ERR_STALE, 7);
	EXPECT_EQ(confirmed, 2);
	expect_read(3, "watch", 7);
	answer(0, 8, "v4");
	EXPECT_EQ(versions, (std::vector<uint64_t>{3, 4}));
}

// Operators may write the first tables long after the first node started.
TEST_F(Sync, TablesThatAreNotWrittenYetAreAwaited)
{
	expect_read(1, "get");
	for (size_t i = 2; i < 5; i++) {
		answer(SNIPE_ERR_NOT_FOUND);
		EXPECT_EQ(sync.is_reachable, 1) << "the store did answer";
		expect_read(i, "get");
	}
	EXPECT_EQ(confirmed, 0);
	answer(0, 7, "v1");
	EXPECT_EQ(versions, std::vector<uint64_t>{1});
}

TEST_F(Sync, AfterALostHistoryTheTablesAreReadAnew)
{
	answer(0, 7, "v3");
	answer(SNIPE_ERR_HISTORY_LOST);
	expect_read(3, "get");
	EXPECT_EQ(confirmed, 1);
	answer(0, 9, "v3");
	EXPECT_EQ(versions, std::vector<uint64_t>{3});
	EXPECT_EQ(confirmed, 2);
	expect_read(4, "watch", 9);
}

TEST_F(Sync, AnUnreachableStoreIsAskedAgainAndConfirmsNothing)
{
	answer(0, 7, "v3");
	for (size_t i = 3; i < 6; i++) {
		answer(SNIPE_ERR_UNAVAILABLE);
		EXPECT_EQ(sync.is_reachable, 0);
		expect_read(i, "watch", 7);
	}
	EXPECT_EQ(confirmed, 1);
	answer(SNIPE_ERR_STALE, 7);
	EXPECT_EQ(sync.is_reachable, 1);
	EXPECT_EQ(confirmed, 2);
}

// They may withdraw a key.
TEST_F(Sync, TablesThatCannotBeReadConfirmNothing)
{
	answer(0, 7, "v3");
	answer(0, 8, "broken");
	EXPECT_EQ(confirmed, 1);
	expect_read(3, "watch", 8);
	answer(0, 9, "v2");
	EXPECT_EQ(versions, std::vector<uint64_t>{3}) << "older tables are never taken";
}

TEST_F(Sync, ANodeRegistersAndListsTheOthers)
{
	char own[SNIPE_ADDRESS_TEXT];

	snipe_address_format(&settings.peer_listen, own);
	expect_node_call(1, "put");
	EXPECT_EQ(store.nodes.back().value, own);
	EXPECT_EQ(store.nodes.back().version, 0u);
	answer_node(SNIPE_ERR_UNAVAILABLE);
	expect_node_call(2, "put");
	answer_node(0);
	expect_node_call(3, "list");
	answer_node(0, own);
	EXPECT_EQ(sync.has_listed, 1);
}

// The node was replaced by one of the same name at another address.
TEST_F(Sync, AnEntryWithAnotherAddressIsReplaced)
{
	expect_node_call(1, "put");
	answer_node(SNIPE_ERR_CONFLICT);
	expect_node_call(2, "list");
	answer_node(0, "10.9.9.9:1");
	expect_node_call(3, "put");
	EXPECT_EQ(store.nodes.back().version, 9u);
}
