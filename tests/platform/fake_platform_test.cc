// Guards against a stand-in that is kinder than the platform: missing conflicts, limits that do
// not bite, lost answers that did not take effect.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>

#include "platform/http_store.h"
#include "stand_in.h"

class FakePlatform : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		signal(SIGPIPE, SIG_IGN);
		base = event_base_new();
		Start({});
	}
	void TearDown() override
	{
		store->ops->finish(store);
		event_base_free(base);
	}
	void Start(std::vector<std::string> options)
	{
		platform = std::make_unique<StandIn>(options);
		address = {"127.0.0.1", (uint16_t)platform->port};
		snipe_http_store_init(&http, base, &address);
		store = &http.store;
	}
	static void OnDone(void *arg, int err, const struct snipe_object *object)
	{
		auto *self = static_cast<FakePlatform *>(arg);

		self->errs.push_back(err);
		self->version = object->version;
		self->value = object->value ? std::string(object->value, object->len) : "";
	}
	int Wait(size_t n = 1)
	{
		int err;

		while (errs.size() < n)
			event_base_loop(base, EVLOOP_ONCE);
		err = errs.back();
		errs.clear();
		return err;
	}
	int Get(const char *name = "tables")
	{
		store->ops->get(store, "config", name, 10000, OnDone, this);
		return Wait();
	}
	void StartWatch(uint64_t after, int wait_ms)
	{
		store->ops->watch(store, "config", "tables", after, wait_ms, 10000, OnDone,
				  this);
	}
	void StartPut(uint64_t if_version, const std::string &v, const char *name = "tables")
	{
		store->ops->put(store, "config", name, if_version, v.data(), v.size(), 10000,
				OnDone, this);
	}
	int Put(uint64_t if_version, const std::string &v, const char *name = "tables")
	{
		StartPut(if_version, v, name);
		return Wait();
	}
	// Sends a request outside of the object API and returns the response body.
	std::string Request(evhttp_cmd_type method, const char *path, const std::string &body)
	{
		evhttp_connection *c =
			evhttp_connection_base_new(base, nullptr, address.ip, address.port);
		std::pair<bool, std::string> result;
		evhttp_request *req = evhttp_request_new(
			[](evhttp_request *r, void *arg) {
				auto *out = static_cast<std::pair<bool, std::string> *>(arg);
				evbuffer *in = evhttp_request_get_input_buffer(r);

				out->second.resize(evbuffer_get_length(in));
				evbuffer_remove(in, &out->second[0], out->second.size());
				out->first = true;
			},
			&result);

		evbuffer_add(evhttp_request_get_output_buffer(req), body.data(), body.size());
		evhttp_make_request(c, req, method, path);
		while (!result.first)
			event_base_loop(base, EVLOOP_ONCE);
		evhttp_connection_free(c);
		return result.second;
	}
	void Control(const std::string &json)
	{
		Request(EVHTTP_REQ_PUT, "/control", json);
	}
	bool StatsHave(const std::string &text)
	{
		return Request(EVHTTP_REQ_GET, "/stats", "").find(text) != std::string::npos;
	}
	event_base *base;
	std::unique_ptr<StandIn> platform;
	struct snipe_address address;
	struct snipe_store_client http;
	struct snipe_object_store *store;
	std::vector<int> errs;
	uint64_t version = 0;
	std::string value;
};

TEST_F(FakePlatform, ConditionalWritesHaveOneWinner)
{
	uint64_t first;

	EXPECT_EQ(Get(), SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(Put(1, "a"), SNIPE_ERR_CONFLICT);
	EXPECT_EQ(Put(0, "a"), 0);
	first = version;
	EXPECT_EQ(Put(0, "b"), SNIPE_ERR_CONFLICT);
	EXPECT_EQ(Put(0, "k", "keys"), 0);
	EXPECT_EQ(Put(first, "b"), 0);
	EXPECT_GT(version, first);
	EXPECT_EQ(Put(first, "c"), SNIPE_ERR_CONFLICT);
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(value, "b");
}

TEST_F(FakePlatform, WatchesWaitForTheNextVersion)
{
	ASSERT_EQ(Put(0, "a"), 0);
	StartWatch(0, 60000);
	EXPECT_EQ(Wait(), 0);
	StartWatch(version, 1);
	EXPECT_EQ(Wait(), SNIPE_ERR_STALE);
	StartWatch(version, 60000);
	while (!StatsHave("\"waiting_watches\": 1"))
		continue;
	StartPut(version, "b");
	while (errs.empty())
		event_base_loop(base, EVLOOP_ONCE);
	EXPECT_TRUE(StatsHave("\"waiting_watches\": 0"));
	EXPECT_EQ(Wait(2), 0);
	EXPECT_GT(version, 1u);
}

// A client that goes away must not be counted as a waiting watch any longer.
TEST_F(FakePlatform, ForgetsWatchesOfClosedConnections)
{
	StartWatch(0, 60000);
	while (!StatsHave("\"waiting_watches\": 1"))
		continue;
	store->ops->finish(store);
	while (!StatsHave("\"waiting_watches\": 0"))
		continue;
}

TEST_F(FakePlatform, OutageEndsCallsAndWatches)
{
	ASSERT_EQ(Put(0, "a"), 0);
	StartWatch(version, 60000);
	while (!StatsHave("\"waiting_watches\": 1"))
		continue;
	Control("{\"outage\": true}");
	EXPECT_EQ(Wait(), SNIPE_ERR_UNAVAILABLE);
	EXPECT_EQ(Put(1, "b"), SNIPE_ERR_UNAVAILABLE);
	Control("{\"outage\": false}");
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(value, "a");
}

TEST_F(FakePlatform, LostAnswersTakeEffect)
{
	Control("{\"lose_write_answers\": 1}");
	EXPECT_EQ(Put(0, "a"), SNIPE_ERR_UNKNOWN);
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(value, "a");
	EXPECT_EQ(Put(version, "b"), 0);
	Control("{\"lose_write_answers\": true}");
	EXPECT_EQ(Put(version, "c"), SNIPE_ERR_UNKNOWN);
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(Put(version, "d"), SNIPE_ERR_UNKNOWN);
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(value, "d");
}

TEST_F(FakePlatform, LimitsSizeAndRate)
{
	std::string large(SNIPE_OBJECT_MAX_BYTES, 'x');
	int limited = 0;

	EXPECT_EQ(Put(0, large), 0);
	Request(EVHTTP_REQ_PUT, "/v1/objects/config/tables", large + "x");
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(value.size(), large.size());

	// The waiting watch takes the only read of every second.
	Start({"--reads", "1"});
	StartWatch(0, 60000);
	while (!StatsHave("\"waiting_watches\": 1"))
		continue;
	for (time_t end = time(nullptr) + 2; time(nullptr) < end; limited++)
		ASSERT_EQ(Get(), SNIPE_ERR_RATE_LIMITED);
	EXPECT_TRUE(StatsHave("\"rate_limited\": " + std::to_string(limited)));
}
