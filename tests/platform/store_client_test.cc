// Guards against calls that outlive their cancellation or deadline, a deadline that pages of a
// list share, state that leaks, and handles of calls that were never started.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <csignal>
#include <vector>

#include "platform/store_client.h"
#include "support/loop.h"

namespace
{

int states; // that dialect_ops gave to calls and did not free yet

// A body "more" asks for another request, "same" is an unchanged watch, anything else the
// value.
const struct snipe_store_dialect dialect_ops = {
	[](struct snipe_store_client *, const struct snipe_store_request *request, const char *,
	   size_t len, struct evbuffer *out) -> int {
		if (request->name && strcmp(request->name, "bad") == 0)
			return SNIPE_ERR_INVALID;
		evbuffer_add_printf(out, "GET /%s?len=%zu HTTP/1.1\r\nHost: h\r\n\r\n",
				    request->kind, len);
		return 0;
	},
	[](struct snipe_store_client *c, struct snipe_store_call *call,
	   const struct snipe_h1_message *response) {
		std::string body(response->body.data ? response->body.data : "",
				 response->body.len);
		struct snipe_object object = {7, body.data(), body.size()};
		struct snipe_object_entry entry = {"n", object};

		(void)c;
		if (body == "more") {
			struct evbuffer *out = evbuffer_new();

			if (!snipe_store_call_state(call)) {
				states++;
				snipe_store_call_set_state(call, new int);
			}
			evbuffer_add_printf(out, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
			snipe_store_call_continue(call, out);
			evbuffer_free(out);
		} else if (body == "same") {
			snipe_store_call_unchanged(call);
		} else if (snipe_store_call_request(call)->op == SNIPE_STORE_LIST) {
			snipe_store_call_give_list(call, &entry, 1);
		} else {
			snipe_store_call_give(call, &object);
		}
	},
	[](void *state) {
		states--;
		delete static_cast<int *>(state);
	},
	nullptr,
};

struct StoreClient : testing::Test {
	Loop loop;
	Listener server;
	Socket peer;
	struct snipe_store_client client;
	struct snipe_object_store *store = &client.store;
	int done = 0, err = 1, entries = 0;
	uint64_t version = 0;
	std::string value;

	void SetUp() override
	{
		signal(SIGPIPE, SIG_IGN);
		states = 0;
		snipe_store_client_init(&client, &dialect_ops, loop.base, &server.address);
	}
	void TearDown() override
	{
		store->ops->finish(store);
		EXPECT_EQ(client.calls, nullptr);
		EXPECT_EQ(states, 0);
	}
	static void on_object(void *arg, int err, const struct snipe_object *o)
	{
		auto *t = static_cast<StoreClient *>(arg);

		t->done++;
		t->err = err;
		t->version = o->version;
		t->value.assign(o->value ? o->value : "", o->len);
	}
	static void on_list(void *arg, int err, const struct snipe_object_entry *, int n)
	{
		auto *t = static_cast<StoreClient *>(arg);

		t->done++;
		t->err = err;
		t->entries = n;
	}
	int list(int timeout_ms)
	{
		return store->ops->list(store, "k", 0, timeout_ms, on_list, this);
	}
	void expect_request(const std::string &line)
	{
		ASSERT_TRUE(loop.until([&] {
			if (peer.fd < 0)
				peer = server.take();
			return peer.fd >= 0 && peer.has(line);
		})) << line;
		peer.in.clear();
	}
	void answer(const std::string &body)
	{
		peer.send_text("HTTP/1.1 200 OK\r\nContent-Length: " +
			       std::to_string(body.size()) + "\r\n\r\n" + body);
	}
	void await()
	{
		ASSERT_TRUE(loop.until([&] { return done > 0; }));
	}
};

} // namespace

TEST_F(StoreClient, EachOperationEndsOnce)
{
	ASSERT_GT(store->ops->get(store, "k", "n", 1000, on_object, this), 0);
	EXPECT_EQ(done, 0) << "callback from inside the call that started it";
	expect_request("GET /k?len=0");
	answer("text");
	await();
	EXPECT_EQ(err, 0);
	EXPECT_EQ(value, "text");
	ASSERT_GT(store->ops->put(store, "k", "n", 0, "abc", 3, 1000, on_object, this), 0);
	expect_request("GET /k?len=3");
	answer("x");
	ASSERT_TRUE(loop.until([&] { return done == 2; }));
	ASSERT_GT(store->ops->watch(store, "k", "n", 5, 100, 1000, on_object, this), 0);
	expect_request("GET /k?len=0");
	answer("same");
	ASSERT_TRUE(loop.until([&] { return done == 3; }));
	EXPECT_EQ(err, SNIPE_ERR_STALE);
	EXPECT_EQ(version, 5u);
	loop.run_ms(50);
	EXPECT_EQ(done, 3);
}

// A list of many pages takes longer than one request may.
TEST_F(StoreClient, EachPageHasTheWholeTime)
{
	ASSERT_GT(list(600), 0);
	expect_request("GET /k");
	for (int i = 0; i < 3; i++) {
		loop.run_ms(300);
		answer("more");
		expect_request("GET /next");
	}
	answer("end");
	await();
	EXPECT_EQ(err, 0);
	EXPECT_EQ(entries, 1);
}

TEST_F(StoreClient, ADeadlineEndsReadsAndLeavesWritesUnknown)
{
	list(30);
	expect_request("GET /k");
	answer("more");
	await();
	EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE);
	EXPECT_EQ(entries, 0);
	done = 0;
	store->ops->put(store, "k", "n", 0, "abc", 3, 30, on_object, this);
	await();
	EXPECT_EQ(err, SNIPE_ERR_UNKNOWN);
	EXPECT_EQ(version, 0u);
}

TEST_F(StoreClient, CancelledBetweenPagesItIsSilent)
{
	int handle = list(1000);

	expect_request("GET /k");
	answer("more");
	expect_request("GET /next");
	store->ops->cancel(store, handle);
	EXPECT_EQ(states, 0);
	answer("end");
	loop.run_ms(50);
	EXPECT_EQ(done, 0);
	store->ops->cancel(store, handle);
}

TEST_F(StoreClient, WhatTheDialectCannotExpressIsNotStarted)
{
	EXPECT_EQ(store->ops->get(store, "k", "bad", 100, on_object, this), SNIPE_ERR_INVALID);
	EXPECT_EQ(client.calls, nullptr);
	EXPECT_EQ(store->ops->watch(store, "k", "n", 1, -1, 100, on_object, this),
		  SNIPE_ERR_INVALID);
	std::string large(SNIPE_OBJECT_MAX_BYTES + 1, 'x');
	EXPECT_EQ(store->ops->put(store, "k", "n", 0, large.data(), large.size(), 100,
				  on_object, this),
		  SNIPE_ERR_TOO_LARGE);
	loop.run_ms(20);
	EXPECT_EQ(done, 0);
}

// Guards against reads that hang, one after the other, on connections that all fell silent.
TEST_F(StoreClient, AReadThatIsOverdueIsSentAgainOnANewConnection)
{
	Socket silent, idle;

	// Two connections, of which one is idle.
	list(1500);
	expect_request("GET /k");
	silent = std::move(peer);
	peer = Socket();
	list(1500);
	expect_request("GET /k");
	idle = std::move(peer);
	peer = Socket();
	idle.send_text("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nend");
	ASSERT_TRUE(loop.until([&] { return done == 1; }));
	expect_request("GET /k");
	answer("end");
	ASSERT_TRUE(loop.until([&] { return done == 2; }));
	EXPECT_EQ(err, 0);
	// The next call uses the connection that answered.
	list(1500);
	expect_request("GET /k");
	answer("end");
	ASSERT_TRUE(loop.until([&] { return done == 3; }));
	EXPECT_EQ(client.pool.connection_count, 1);
}

TEST_F(StoreClient, TheFirstOfTwoAnswersToAnOverdueReadCounts)
{
	Socket late;

	list(1500);
	expect_request("GET /k");
	late = std::move(peer);
	peer = Socket();
	expect_request("GET /k");
	late.send_text("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nend");
	await();
	EXPECT_EQ(err, 0);
	answer("end");
	loop.run_ms(50);
	EXPECT_EQ(done, 1);
}

// It may have taken effect the first time.
TEST_F(StoreClient, AWriteThatIsOverdueIsNotSentAgain)
{
	store->ops->put(store, "k", "n", 0, "abc", 3, 1000, on_object, this);
	expect_request("GET /k?len=3");
	await();
	EXPECT_EQ(err, SNIPE_ERR_UNKNOWN);
	EXPECT_LT(server.take().fd, 0);
}
