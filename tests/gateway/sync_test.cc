// Guards against a node that stops reading the tables after an unexpected answer, confirms
// tables it could not decode, replaces its tables by older ones, or is never listed for other
// nodes.
#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "gateway/sync.h"
#include "support/held_store.h"
#include "support/loop.h"

namespace
{

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
	HeldStore store;
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
	int64_t confirmed_age_us = 0; // age of the confirmations from other nodes
	uint64_t sequence = 0;

	void SetUp() override
	{
		static const struct snipe_directory_ops directory_ops = {
			[](void *, const struct snipe_address *, uint64_t) {},
			[](void *, int64_t, struct snipe_node_report *) {},
			[](void *, int64_t, uint64_t *, int64_t *) {},
			[](void *, const struct snipe_address *, uint64_t, int64_t) {},
			[](void *, int64_t, const struct snipe_node_report *) {},
			[](void *, const struct snipe_address *,
			   const struct snipe_departure_notice *) {},
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
		c.tables_loaded = [](void *arg, struct snipe_routing *r) {
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
	HeldStore::Call last(const char *kind)
	{
		return store.calls_of(kind).back();
	}
	// Completes the last call for the tables.
	void answer(int err, uint64_t version = 0, const std::string &value = "")
	{
		last("config").answer(err, version, value);
	}
	// Completes the last call for the nodes.
	void answer_node_call(int err, const std::string &own_address = "")
	{
		struct snipe_object o = {9, own_address.data(), own_address.size()};
		struct snipe_object_entry entry = {"n-1", o};
		HeldStore::Call call = last("nodes");

		if (call.list_cb)
			call.list_cb(call.arg, err, &entry, own_address.empty() ? 0 : 1);
		else
			call.answer(err, 9, own_address);
	}
	void expect_call(const char *kind, size_t count, const std::string &what)
	{
		ASSERT_TRUE(loop.until([&] { return store.calls_of(kind).size() == count; }))
			<< what;
		EXPECT_EQ(last(kind).what, what);
	}
	// Sends reports of this many other nodes, so that this node is no reader.
	void send_reports(int count)
	{
		struct snipe_buffer datagram;
		struct sockaddr_storage to;
		int len = snipe_address_to_sockaddr(&settings.peer_listen, &to);
		int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

		snipe_buffer_init(&datagram);
		for (int i = 0; i < count; i++) {
			struct snipe_node_report r = {};

			snprintf(r.node_id, sizeof(r.node_id), "other-%d", i);
			r.process = 1;
			r.sequence = ++sequence;
			snipe_buffer_clear(&datagram);
			snipe_report_encode(&r, &datagram);
			sendto(fd, datagram.data, datagram.len, 0, (struct sockaddr *)&to,
			       (socklen_t)len);
		}
		snipe_buffer_finish(&datagram);
		close(fd);
	}
	// Runs the loop while other nodes send reports and confirm the tables, until done() or
	// a timeout. Returns done().
	bool run_with_readers_until(const std::function<bool()> &done)
	{
		int64_t end = snipe_now_us() + 8000000, next = 0;

		while (!done() && snipe_now_us() < end) {
			if (snipe_now_us() >= next) {
				next = snipe_now_us() + 200000;
				send_reports(12);
			}
			confirmed_us = snipe_now_us() - confirmed_age_us;
			loop.run_ms(5);
		}
		return done();
	}
	void run_with_readers(int ms)
	{
		int64_t end = snipe_now_us() + ms * 1000;

		run_with_readers_until([&] { return snipe_now_us() >= end; });
	}
	// Waits until other nodes are the readers, then completes the open read.
	void become_non_reader()
	{
		ASSERT_TRUE(run_with_readers_until(
			[&] { return !snipe_directory_is_reader(&directory); }));
		answer(SNIPE_ERR_STALE, 7);
	}
	// Loads version 3 of the tables, then makes the other nodes the readers.
	void start_as_non_reader()
	{
		answer(0, 7, "v3");
		expect_read(2, "watch", 7);
		become_non_reader();
	}
	void expect_read(size_t count, const std::string &what, uint64_t after = 0)
	{
		expect_call("config", count, what);
		EXPECT_EQ(last("config").version, after);
	}
	void expect_node_call(size_t count, const std::string &what)
	{
		expect_call("nodes", count, what);
	}
};

} // namespace

TEST_F(Sync, AReaderWatchesFromTheStoredVersionItRead)
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
TEST_F(Sync, ReadsAgainUntilTheFirstTablesAreWritten)
{
	expect_read(1, "get");
	for (size_t i = 2; i < 5; i++) {
		answer(SNIPE_ERR_NOT_FOUND);
		EXPECT_EQ(sync.is_reachable, 1) << "the store answered";
		expect_read(i, "get");
	}
	EXPECT_EQ(confirmed, 0);
	answer(0, 7, "v1");
	EXPECT_EQ(versions, std::vector<uint64_t>{1});
}

TEST_F(Sync, GetsTheTablesAgainAfterTheStoreLostItsHistory)
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

TEST_F(Sync, RetriesAnUnreachableStoreWithoutConfirmingTheTables)
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

// Malformed tables may revoke a key, so the tables held are no longer known to be the newest.
TEST_F(Sync, MalformedTablesConfirmNothing)
{
	answer(0, 7, "v3");
	answer(0, 8, "broken");
	EXPECT_EQ(confirmed, 1);
	expect_read(3, "watch", 8);
	answer(0, 9, "v2");
	EXPECT_EQ(versions, std::vector<uint64_t>{3}) << "older tables are never loaded";
}

// Guards against a watch from the version of malformed tables that reports no change and so
// confirms the tables held before them.
TEST_F(Sync, GetsMalformedTablesAgainUntilTheyCanBeDecoded)
{
	answer(0, 7, "v3");
	answer(0, 8, "broken");
	expect_read(3, "watch", 8);
	answer(SNIPE_ERR_STALE, 8);
	EXPECT_EQ(confirmed, 1);
	expect_read(4, "get");
	answer(0, 8, "broken");
	EXPECT_EQ(confirmed, 1);
	expect_read(5, "watch", 8);
	answer(SNIPE_ERR_STALE, 8);
	expect_read(6, "get");
	answer(0, 8, "v4");
	EXPECT_EQ(versions, (std::vector<uint64_t>{3, 4}));
	EXPECT_EQ(confirmed, 2);
	expect_read(7, "watch", 8);
	answer(SNIPE_ERR_STALE, 8);
	EXPECT_EQ(confirmed, 3);
}

TEST_F(Sync, ANodeRegistersAndListsTheNodes)
{
	char own[SNIPE_ADDRESS_TEXT_SIZE];

	snipe_address_format(&settings.peer_listen, own);
	expect_node_call(1, "put");
	EXPECT_EQ(last("nodes").value, own);
	EXPECT_EQ(last("nodes").version, 0u);
	answer_node_call(SNIPE_ERR_UNAVAILABLE);
	expect_node_call(2, "put");
	answer_node_call(0);
	expect_node_call(3, "list");
	answer_node_call(0, own);
	EXPECT_EQ(sync.has_listed_self, 1);
}

// The node was started again under the same name at another address.
TEST_F(Sync, ReplacesItsEntryIfThatHasAnotherAddress)
{
	expect_node_call(1, "put");
	answer_node_call(SNIPE_ERR_CONFLICT);
	expect_node_call(2, "list");
	answer_node_call(0, "10.9.9.9:1");
	expect_node_call(3, "put");
	EXPECT_EQ(last("nodes").version, 9u);
}

// Such a call has no callback, so the node must not wait for one.
TEST_F(Sync, RetriesACallThatCouldNotBeStarted)
{
	answer(0, 7, "v3");
	answer_node_call(SNIPE_ERR_CONFLICT);
	store.start_error = SNIPE_ERR_INVALID;
	answer(SNIPE_ERR_STALE, 7);
	EXPECT_EQ(sync.is_reachable, 0);
	loop.run_ms(300);
	EXPECT_EQ(store.calls_of("nodes").size(), 1u);
	store.start_error = 0;
	expect_read(3, "watch", 7);
	expect_node_call(2, "list");
}

// Guards against a node that, after failing to fetch newer tables from the node that reported
// them, waits for the next report instead of reading the store.
TEST_F(Sync, ReadsTheStoreAfterAFetchFromANodeFailed)
{
	Listener silent;

	start_as_non_reader();
	size_t reads = store.calls_of("config").size();
	run_with_readers(500);
	ASSERT_EQ(store.calls_of("config").size(), reads) << "only readers read the store";
	snipe_sync_fetch_if_newer(&sync, &silent.address, 4);
	ASSERT_TRUE(run_with_readers_until(
		[&] { return store.calls_of("config").size() == reads + 1; }));
	answer(0, 8, "v4");
	EXPECT_EQ(versions, (std::vector<uint64_t>{3, 4}));
	run_with_readers(500);
	EXPECT_EQ(store.calls_of("config").size(), reads + 1)
		<< "it leaves reading to the readers again";
}

// Guards against a node that reads the store forever because it could not fetch tables that it
// has loaded from the store meanwhile.
TEST_F(Sync, IgnoresAFailedFetchOfTablesThatItLoadedMeanwhile)
{
	Listener silent;

	answer(0, 7, "v3");
	expect_read(2, "watch", 7);
	snipe_sync_fetch_if_newer(&sync, &silent.address, 4);
	answer(0, 8, "v4");
	expect_read(3, "watch", 8);
	become_non_reader();
	size_t reads = store.calls_of("config").size();
	run_with_readers(2000);
	EXPECT_EQ(sync.fetch_handle, 0u);
	EXPECT_EQ(store.calls_of("config").size(), reads);
}

// Guards against a node that, because one call failed, keeps old tables for longer than new
// tables may take to come into force.
TEST_F(Sync, RetriesAFallbackReadSoonAfterTheFirstFailure)
{
	start_as_non_reader();
	size_t reads = store.calls_of("config").size();
	confirmed_age_us = 1700000;
	ASSERT_TRUE(run_with_readers_until(
		[&] { return store.calls_of("config").size() == reads + 1; }));
	answer(SNIPE_ERR_UNAVAILABLE);
	int64_t failed_us = snipe_now_us();
	ASSERT_TRUE(run_with_readers_until(
		[&] { return store.calls_of("config").size() == reads + 2; }));
	EXPECT_LT(snipe_now_us() - failed_us, 1000000);
	// While the store keeps failing, it is read less often.
	answer(SNIPE_ERR_UNAVAILABLE);
	run_with_readers(1000);
	EXPECT_EQ(store.calls_of("config").size(), reads + 2);
}

// Guards against a node whose entry is gone with the store's return from an older copy and is
// never written again, since lists may be stale.
TEST_F(Sync, RegistersAgainIfItsEntryIsGoneInANewEra)
{
	char own[SNIPE_ADDRESS_TEXT_SIZE];

	snipe_address_format(&settings.peer_listen, own);
	answer_node_call(0);
	expect_node_call(2, "list");
	answer_node_call(0, own);
	ASSERT_EQ(sync.has_listed_self, 1);
	store.change_era(2);
	event_active(&sync.node_timer, EV_TIMEOUT, 0);
	expect_node_call(3, "list");
	answer_node_call(0);
	expect_node_call(4, "put");
	EXPECT_EQ(last("nodes").version, 0u);
}

// Guards against a read of all tables by every node at once when all lose their place.
TEST_F(Sync, ANonReaderLeavesTheReadAfterALostHistoryToTheReaders)
{
	start_as_non_reader();
	size_t reads = store.calls_of("config").size();
	confirmed_age_us = 1700000;
	ASSERT_TRUE(run_with_readers_until(
		[&] { return store.calls_of("config").size() == reads + 1; }));
	confirmed_age_us = 0;
	answer(SNIPE_ERR_HISTORY_LOST);
	run_with_readers(700);
	EXPECT_EQ(store.calls_of("config").size(), reads + 1);
	// If these confirm nothing, it reads the tables itself.
	confirmed_age_us = 1700000;
	ASSERT_TRUE(run_with_readers_until(
		[&] { return store.calls_of("config").size() == reads + 2; }));
	EXPECT_EQ(last("config").what, "get");
}

// Guards against a withdrawn key that works on because a node calls its tables the newest while
// the store, back from a copy, has older ones and may have lost newer ones as well.
TEST_F(Sync, OlderTablesInTheStoreConfirmNothingUntilItHasThoseHeld)
{
	answer(0, 7, "v5");
	ASSERT_EQ(confirmed, 1);
	answer(SNIPE_ERR_HISTORY_LOST);
	expect_read(3, "get");
	answer(0, 6, "v3");
	EXPECT_EQ(versions, std::vector<uint64_t>{5}) << "older tables are never loaded";
	EXPECT_EQ(confirmed, 1);
	expect_read(4, "watch", 6);
	answer(SNIPE_ERR_STALE, 6);
	EXPECT_EQ(confirmed, 1) << "no change since the older tables";
	expect_read(5, "watch", 6);
	answer(0, 7, "v5");
	EXPECT_EQ(confirmed, 2);
	expect_read(6, "watch", 7);
	answer(SNIPE_ERR_STALE, 7);
	EXPECT_EQ(confirmed, 3);
	EXPECT_EQ(versions, std::vector<uint64_t>{5});
}
