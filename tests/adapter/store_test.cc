// Guards against writes reported as done or not done when the outcome is unknown, lists that
// miss pages, watches that continue after their history was dropped, and malformed responses.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "h1/server.h"
#include "store.h"
#include "support/loop.h"

namespace
{

struct Store : testing::Test {
	Loop loop;
	struct snipe_h1_server server;
	struct snipe_address address = free_address();
	struct snipe_adapter_store client;
	std::vector<std::string> requests, bodies;
	std::vector<std::pair<int, std::string>> responses; /* in order; status 0: none sent */
	std::vector<std::string> eras; /* that they state, in order; empty: none */
	int count = 0, err = 1;
	uint64_t version = 0;
	std::string value;
	std::map<std::string, std::string> entries;

	void SetUp() override
	{
		static const struct snipe_h1_server_ops ops = {
			on_request, [](void *, struct snipe_h1_request *) {}};
		struct snipe_error_text text;

		ASSERT_EQ(snipe_h1_server_init(&server, loop.base, &address, "store", &ops,
					       this, &text),
			  0);
		server.limits = {65536, 4000000, 10000000, 10000000, 0, 0};
		snipe_adapter_store_init(&client, loop.base, &address);
	}
	void TearDown() override
	{
		client.http.store.ops->finish(&client.http.store);
		snipe_h1_server_finish(&server);
	}
	static void on_request(void *arg, struct snipe_h1_request *req)
	{
		auto *t = static_cast<Store *>(arg);
		struct snipe_h1_response r = {};
		size_t n = t->requests.size();

		t->requests.push_back(
			std::string(http_method_str((enum http_method)req->message.method)) +
			" " + snipe_buffer_str(&req->message.url));
		t->bodies.emplace_back(req->message.body.data ? req->message.body.data : "",
				       req->message.body.len);
		if (n >= t->responses.size() || t->responses[n].first == 0)
			return;
		r.status = t->responses[n].first;
		r.body = t->responses[n].second.data();
		r.body_len = t->responses[n].second.size();
		struct snipe_h1_header era = {{"Store-Era", 9}, {nullptr, 0}};
		if (n < t->eras.size() && !t->eras[n].empty()) {
			era.value = {t->eras[n].data(), t->eras[n].size()};
			r.headers = &era;
			r.header_count = 1;
		}
		snipe_h1_respond(req, &r);
	}
	static void on_object(void *arg, int err, const struct snipe_object *o)
	{
		auto *t = static_cast<Store *>(arg);

		t->count++;
		t->err = err;
		t->version = o->version;
		t->value.assign(o->value ? o->value : "", o->len);
	}
	static void on_list(void *arg, int err, const struct snipe_object_entry *e, int n)
	{
		auto *t = static_cast<Store *>(arg);

		t->count++;
		t->err = err;
		for (int i = 0; i < n; i++)
			t->entries[e[i].name] = std::string(e[i].object.value, e[i].object.len);
	}
	void get()
	{
		count = 0;
		client.http.store.ops->get(&client.http.store, "config", "main", 300, on_object,
					   this);
		ASSERT_TRUE(loop.until([&] { return count > 0; }));
	}
	void watch(uint64_t after)
	{
		count = 0;
		client.http.store.ops->watch(&client.http.store, "config", "main", after, 100,
					     300, on_object, this);
		ASSERT_TRUE(loop.until([&] { return count > 0; }));
	}
	void put(uint64_t if_version)
	{
		count = 0;
		client.http.store.ops->put(&client.http.store, "nodes", "n-1", if_version,
					   "1.2.3.4:5", 9, 300, on_object, this);
		ASSERT_TRUE(loop.until([&] { return count > 0; }));
	}
};

std::string object(const std::string &name, int revision, const std::string &spec)
{
	return R"({"metadata":{"name":")" + name + R"(","revision":)" +
	       std::to_string(revision) +
	       R"(,"created":1,"finalizers":[],"delete-requested":false},"spec":)" + spec +
	       R"(,"status":null})";
}

std::string page(const std::string &items, bool more, int as_of)
{
	return "{\"items\":[" + items + "],\"has-more\":" + (more ? "true" : "false") +
	       ",\"as-of\":" + std::to_string(as_of) + "}";
}

std::string change(const std::string &o, bool tombstone = false)
{
	return std::string("{\"tombstone\":") + (tombstone ? "true" : "false") +
	       ",\"object\":" + o + "}";
}

} // namespace

TEST_F(Store, GetReadsAllPagesAndWatchStartsAtTheStoreRevision)
{
	responses = {{200, page(object("aa", 3, "1"), true, 500)},
		     {200, page(object("main", 7, "{\"version\":\"1\"}"), false, 530)},
		     {200, "{\"events\":[],\"as-of\":540}"},
		     {200, "{\"events\":[" + change(object("other", 541, "2")) + "," +
				   change(object("main", 545, "{\"version\":\"2\"}")) +
				   "],\"as-of\":550}"},
		     {200, "{\"events\":[],\"as-of\":560}"}};
	get();
	EXPECT_EQ(err, 0);
	EXPECT_EQ(version, 7u);
	EXPECT_EQ(value, "{\"version\":\"1\"}");
	EXPECT_EQ(requests[0], "GET /snipescale/objects/config");
	EXPECT_EQ(requests[1], "GET /snipescale/objects/config?after=aa");
	watch(7);
	EXPECT_EQ(err, SNIPE_ERR_STALE);
	EXPECT_EQ(version, 7u);
	EXPECT_EQ(requests[2], "GET /snipescale/objects/config?watch=500&wait-ms=100")
		<< "the object may have changed between the pages";
	watch(7);
	EXPECT_EQ(err, 0);
	EXPECT_EQ(version, 545u);
	EXPECT_EQ(requests[3], "GET /snipescale/objects/config?watch=540&wait-ms=100");
	watch(545);
	EXPECT_EQ(requests[4], "GET /snipescale/objects/config?watch=550&wait-ms=100");
}

// get_once must neither list the whole kind nor move the cursor of a watch.
// Guards against a revision of an earlier era taken as a position in this one: the store has
// given it out again, and reports no change since.
TEST_F(Store, AWatchThatIsAnsweredInANewEraHasLostItsHistory)
{
	responses = {{200, page(object("main", 7, "1"), false, 500)},
		     {200, "{\"events\":[],\"as-of\":500}"},
		     {200, "{\"events\":[],\"as-of\":500}"},
		     {200, page(object("main", 499, "2"), false, 500)},
		     {200, "{\"events\":[],\"as-of\":500}"}};
	eras = {"4", "4", "5", "5", "5"};
	get();
	watch(7);
	EXPECT_EQ(err, SNIPE_ERR_STALE);
	watch(7);
	EXPECT_EQ(err, SNIPE_ERR_HISTORY_LOST);
	get();
	EXPECT_EQ(version, 499u);
	watch(499);
	EXPECT_EQ(err, SNIPE_ERR_STALE);
}

// Guards against a watch that continues in an era which another call has seen first.
TEST_F(Store, AWatchAfterAnotherCallSawTheNewEraHasLostItsHistory)
{
	responses = {{200, page(object("main", 7, "1"), false, 500)},
		     {404, "{}"},
		     {200, "{\"events\":[],\"as-of\":500}"}};
	eras = {"4", "5", "5"};
	get();
	count = 0;
	client.http.store.ops->get_once(&client.http.store, "nodes", "n-1", 300, on_object,
					this);
	ASSERT_TRUE(loop.until([&] { return count > 0; }));
	EXPECT_EQ(err, SNIPE_ERR_NOT_FOUND);
	watch(7);
	EXPECT_EQ(err, SNIPE_ERR_HISTORY_LOST);
}

// Guards against an answer of an earlier era that arrives late and is believed.
TEST_F(Store, AnAnswerOfAnEarlierEraIsLost)
{
	std::string all = page(object("main", 7, "1"), false, 500);

	responses = {{200, all}, {200, all}, {200, object("n-1", 9, "1")}, {200, all}};
	eras = {"5", "4", "4", ""};
	get();
	EXPECT_EQ(err, 0);
	get();
	EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE);
	put(0);
	EXPECT_EQ(err, SNIPE_ERR_UNKNOWN);
	get();
	EXPECT_EQ(err, 0) << "not every store states its era";
}

// Guards against a list that is put together from pages of two eras.
TEST_F(Store, PagesOfTwoErasAreNoList)
{
	responses = {{200, page(object("aa", 3, "1"), true, 500)},
		     {200, page(object("main", 7, "1"), false, 500)}};
	eras = {"4", "5"};
	get();
	EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE);
}

TEST_F(Store, ListenersAreToldOfEachNewEraOnce)
{
	static std::vector<uint64_t> seen;
	struct snipe_era_listener l = {};
	std::string all = page(object("main", 7, "1"), false, 500);

	seen.clear();
	l.era_changed = [](struct snipe_era_listener *, uint64_t era) { seen.push_back(era); };
	client.http.store.ops->listen(&client.http.store, &l);
	responses = {{200, all}, {200, all}, {503, "{}"}, {200, all}, {200, all}, {200, all}};
	eras = {"4", "4", "5", "5", "many", "7"};
	for (size_t i = 0; i < responses.size(); i++)
		get();
	EXPECT_EQ(seen, (std::vector<uint64_t>{5, 7})) << "the first era is no change";
}

TEST_F(Store, GetOnceReadsOneObjectAndKeepsTheWatchCursor)
{
	auto get_once = [&] {
		count = 0;
		client.http.store.ops->get_once(&client.http.store, "departures", "n-1", 300,
						on_object, this);
		ASSERT_TRUE(loop.until([&] { return count > 0; }));
	};

	responses = {{200, page(object("main", 7, "1"), false, 530)},
		     {200, object("n-1", 9, "\"gone\"")},
		     {200, "{\"events\":[],\"as-of\":540}"},
		     {404, "{}"},
		     {200, "{\"metadata\":{}}"},
		     {0, ""}};
	get();
	get_once();
	EXPECT_EQ(err, 0);
	EXPECT_EQ(version, 9u);
	EXPECT_EQ(value, "gone");
	EXPECT_EQ(requests[1], "GET /snipescale/objects/departures/n-1");
	watch(7);
	EXPECT_EQ(requests[2], "GET /snipescale/objects/config?watch=530&wait-ms=100");
	get_once();
	EXPECT_EQ(err, SNIPE_ERR_NOT_FOUND);
	get_once();
	EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE) << "malformed object";
	get_once();
	EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE) << "no response";
}

TEST_F(Store, HttpStatusMapsToError)
{
	const std::pair<int, int> reads[] = {{404, SNIPE_ERR_NOT_FOUND},
					     {410, SNIPE_ERR_HISTORY_LOST},
					     {429, SNIPE_ERR_RATE_LIMITED},
					     {503, SNIPE_ERR_UNAVAILABLE},
					     {500, SNIPE_ERR_UNAVAILABLE}};
	const std::pair<int, int> writes[] = {{409, SNIPE_ERR_CONFLICT},
					      {413, SNIPE_ERR_TOO_LARGE},
					      {429, SNIPE_ERR_RATE_LIMITED},
					      {503, SNIPE_ERR_UNAVAILABLE},
					      {500, SNIPE_ERR_UNKNOWN}};

	for (auto [status, want] : reads)
		responses.push_back({status, "{}"});
	for (auto [status, want] : writes)
		responses.push_back({status, "{}"});
	for (auto [status, want] : reads) {
		watch(5);
		EXPECT_EQ(err, want) << status;
	}
	for (auto [status, want] : writes) {
		put(0);
		EXPECT_EQ(err, want) << status;
	}
}

TEST_F(Store, MalformedResponsesFailReadsAndWatches)
{
	const std::string bad[] = {"",
				   "hello",
				   "[]",
				   "{}",
				   "{\"items\":[]}",
				   "{\"items\":{},\"as-of\":3}",
				   "{\"items\":[],\"as-of\":\"3\"}"};

	for (const auto &b : bad)
		responses.push_back({200, b});
	for (const auto &b : bad) {
		get();
		EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE) << b;
	}
	for (const auto &b : bad)
		responses.push_back({200, b});
	for (const auto &b : bad) {
		watch(3);
		EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE) << b;
	}
}

TEST_F(Store, MalformedListItemsAreSkipped)
{
	responses = {{200, page(object("n-1", 3, "\"1.2.3.4:5\"") + ",7,{\"metadata\":{}},{}," +
					object("n-2", 4, "{\"a\":1}"),
				false, 500)}};
	client.http.store.ops->list(&client.http.store, "nodes", 1, 300, on_list, this);
	ASSERT_TRUE(loop.until([&] { return count > 0; }));
	EXPECT_EQ(err, 0);
	EXPECT_EQ(requests[0], "GET /snipescale/objects/nodes?allow-stale=1");
	EXPECT_EQ(entries["n-1"], "1.2.3.4:5");
	EXPECT_EQ(entries["n-2"], "{\"a\":1}");
	EXPECT_EQ(entries.size(), 2u);
}

TEST_F(Store, TombstonesLeaveTheObjectUnchanged)
{
	responses = {{200, "{\"events\":[" + change(object("main", 9, "{}"), true) +
				   "],\"as-of\":10}"}};
	watch(5);
	EXPECT_EQ(err, SNIPE_ERR_STALE);
}

// Guards against a watch that continues past a change that it could not decode.
TEST_F(Store, MalformedEventRequiresANewRead)
{
	const std::string bad[] = {"7", "{}", "{\"tombstone\":1}",
				   "{\"tombstone\":false,\"object\":{\"metadata\":{}}}"};

	for (const auto &b : bad)
		responses.push_back({200, "{\"events\":[" + b + "," +
						  change(object("main", 9, "{}")) +
						  "],\"as-of\":10}"});
	for (const auto &b : bad) {
		watch(5);
		EXPECT_EQ(err, SNIPE_ERR_HISTORY_LOST) << b;
	}
}

TEST_F(Store, CreateAndConditionalReplace)
{
	responses = {{200, object("n-1", 8, "\"x\"")},
		     {200, object("n-1", 9, "\"x\"")},
		     {200, "{}"}};
	put(0);
	EXPECT_EQ(err, 0);
	EXPECT_EQ(version, 8u);
	EXPECT_EQ(requests[0], "POST /snipescale/objects/nodes");
	EXPECT_EQ(bodies[0], R"({"metadata":{"name":"n-1"},"spec":"1.2.3.4:5"})");
	put(8);
	EXPECT_EQ(requests[1], "PUT /snipescale/objects/nodes/n-1");
	EXPECT_EQ(bodies[1], R"({"metadata":{"name":"n-1","revision":8},"spec":"1.2.3.4:5"})");
	put(9);
	EXPECT_EQ(err, SNIPE_ERR_UNKNOWN) << "without a revision the outcome is unknown";
}

TEST_F(Store, TimeoutFailsReadsAndLeavesWritesUnknown)
{
	responses = {{0, ""}, {0, ""}};
	get();
	EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE);
	put(0);
	EXPECT_EQ(err, SNIPE_ERR_UNKNOWN);
}

TEST_F(Store, WriteOverRefusedConnectionIsNotExecuted)
{
	struct snipe_address unused_address = free_address();

	snipe_store_client_move(&client.http, &unused_address);
	put(0);
	EXPECT_EQ(err, SNIPE_ERR_UNAVAILABLE);
}

TEST_F(Store, CancelledCallsInvokeNoCallback)
{
	responses = {{0, ""}};
	int handle = client.http.store.ops->get(&client.http.store, "config", "main", 100,
						on_object, this);
	client.http.store.ops->cancel(&client.http.store, handle);
	loop.run_ms(200);
	EXPECT_EQ(count, 0);
}
