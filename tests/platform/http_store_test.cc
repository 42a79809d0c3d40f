// Guards against responses that are lost, cut short or malformed being reported as if the
// effect of the operation were known.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <gtest/gtest.h>

#include <netinet/in.h>
#include <signal.h>
#include <memory>
#include <string>
#include <vector>

#include "platform/http_store.h"

// Reads one request from each connection and then plays the scripted bytes.
class ScriptedServer
{
      public:
	explicit ScriptedServer(event_base *base) : base_(base)
	{
		struct snipe_address any = {"127.0.0.1", 0};
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&any, &ss);
		socklen_t size = sizeof(ss);

		listener_ = evconnlistener_new_bind(base, OnAccept, this, LEV_OPT_CLOSE_ON_FREE,
						    -1, (struct sockaddr *)&ss, len);
		getsockname(evconnlistener_get_fd(listener_), (struct sockaddr *)&ss, &size);
		snipe_address_from_sockaddr((struct sockaddr *)&ss, &address);
	}
	~ScriptedServer()
	{
		Stop();
		for (bufferevent *bev : open_)
			bufferevent_free(bev);
	}
	void Stop()
	{
		if (listener_)
			evconnlistener_free(listener_);
		listener_ = nullptr;
	}
	struct snipe_address address;
	std::string response;
	std::string request;
	bool close_after = true;
	int requests = 0;

      private:
	static void OnAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg)
	{
		auto *self = static_cast<ScriptedServer *>(arg);
		bufferevent *bev =
			bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE);

		bufferevent_setcb(bev, OnRead, nullptr, OnEvent, arg);
		bufferevent_enable(bev, EV_READ | EV_WRITE);
		self->open_.push_back(bev);
	}
	static void OnRead(bufferevent *bev, void *arg)
	{
		auto *self = static_cast<ScriptedServer *>(arg);
		evbuffer *in = bufferevent_get_input(bev);
		std::string text(evbuffer_get_length(in), '\0');
		size_t end, body = 0, at;

		evbuffer_copyout(in, &text[0], text.size());
		end = text.find("\r\n\r\n");
		at = text.find("Content-Length: ");
		if (at != std::string::npos)
			body = std::stoul(text.substr(at + 16));
		if (end == std::string::npos || text.size() < end + 4 + body)
			return;
		evbuffer_drain(in, text.size());
		self->request = text;
		self->requests++;
		bufferevent_write(bev, self->response.data(), self->response.size());
		if (!self->close_after)
			return;
		bufferevent_setcb(bev, nullptr, OnWritten, OnEvent, arg);
		if (self->response.empty())
			OnWritten(bev, arg);
	}
	static void OnWritten(bufferevent *bev, void *)
	{
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
	}
	static void OnEvent(bufferevent *, short, void *)
	{
	}
	event_base *base_;
	evconnlistener *listener_;
	std::vector<bufferevent *> open_;
};

class HttpStore : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		signal(SIGPIPE, SIG_IGN);
		base = event_base_new();
		server = std::make_unique<ScriptedServer>(base);
		snipe_http_store_init(&http, base, &server->address);
		store = &http.store;
	}
	void TearDown() override
	{
		store->ops->finish(store);
		server.reset();
		event_base_free(base);
	}
	static void OnDone(void *arg, int err, const struct snipe_object *object)
	{
		auto *self = static_cast<HttpStore *>(arg);

		self->calls++;
		self->err = err;
		self->version = object->version;
		self->value = object->value ? std::string(object->value, object->len) : "";
		event_base_loopbreak(self->base);
	}
	int Finish(int handle)
	{
		EXPECT_GT(handle, 0);
		EXPECT_EQ(calls, 0) << "callback from inside the call that started it";
		event_base_dispatch(base);
		EXPECT_EQ(calls, 1);
		calls = 0;
		return err;
	}
	int Get(int timeout_ms = 10000)
	{
		return Finish(
			store->ops->get(store, "config", "tables", timeout_ms, OnDone, this));
	}
	int Watch(uint64_t after)
	{
		return Finish(store->ops->watch(store, "config", "tables", after, 100, 10000,
						OnDone, this));
	}
	int Put(uint64_t if_version, const std::string &v = "{}", int timeout_ms = 10000)
	{
		return Finish(store->ops->put(store, "config", "tables", if_version, v.data(),
					      v.size(), timeout_ms, OnDone, this));
	}
	void Answer(const std::string &status, const std::string &headers,
		    const std::string &body = "")
	{
		server->response = "HTTP/1.1 " + status + "\r\n" + headers + "\r\n" + body;
	}
	event_base *base;
	std::unique_ptr<ScriptedServer> server;
	struct snipe_store_client http;
	struct snipe_object_store *store;
	int calls = 0, err = 0;
	uint64_t version = 0;
	std::string value;
};

static const std::string kLength2 = "Content-Length: 2\r\n";
static const std::string kLength0 = "Content-Length: 0\r\n";

TEST_F(HttpStore, ReadsValueAndVersion)
{
	Answer("200 OK", "ETag: \"7\"\r\n" + kLength2, "hi");
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(version, 7u);
	EXPECT_EQ(value, "hi");
	EXPECT_EQ(server->request.substr(0, 37), "GET /v1/objects/config/tables HTTP/1.");
	Answer("200 OK", "ETag: \"8\"\r\nTransfer-Encoding: chunked\r\n",
	       "2\r\nhi\r\n0\r\n\r\n");
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(value, "hi");
}

TEST_F(HttpStore, SendsConditions)
{
	Answer("200 OK", "ETag: \"9\"\r\n" + kLength0);
	EXPECT_EQ(Put(7, "body"), 0);
	EXPECT_EQ(version, 9u);
	EXPECT_NE(server->request.find("If-Match: \"7\"\r\n"), std::string::npos);
	EXPECT_EQ(server->request.substr(server->request.size() - 4), "body");
	EXPECT_EQ(Put(0), 0);
	EXPECT_NE(server->request.find("If-None-Match: *\r\n"), std::string::npos);
	Answer("304 Not Modified", "ETag: \"7\"\r\n");
	EXPECT_EQ(Watch(7), SNIPE_ERR_STALE);
	EXPECT_EQ(version, 7u);
	EXPECT_NE(server->request.find("?after=7&wait_ms=100 "), std::string::npos);
}

TEST_F(HttpStore, MapsStatusCodes)
{
	const struct {
		const char *status;
		int get, put;
	} cases[] = {
		{"404 Not Found", SNIPE_ERR_NOT_FOUND, SNIPE_ERR_NOT_FOUND},
		{"412 Precondition Failed", SNIPE_ERR_CONFLICT, SNIPE_ERR_CONFLICT},
		{"413 Too Large", SNIPE_ERR_TOO_LARGE, SNIPE_ERR_TOO_LARGE},
		{"429 Too Many", SNIPE_ERR_RATE_LIMITED, SNIPE_ERR_RATE_LIMITED},
		{"503 Unavailable", SNIPE_ERR_UNAVAILABLE, SNIPE_ERR_UNAVAILABLE},
		{"400 Bad Request", SNIPE_ERR_UNAVAILABLE, SNIPE_ERR_UNAVAILABLE},
		{"500 Error", SNIPE_ERR_UNAVAILABLE, SNIPE_ERR_UNKNOWN},
		{"504 Timeout", SNIPE_ERR_UNAVAILABLE, SNIPE_ERR_UNKNOWN},
		{"302 Found", SNIPE_ERR_UNAVAILABLE, SNIPE_ERR_UNKNOWN},
		{"204 No Content", SNIPE_ERR_UNAVAILABLE, SNIPE_ERR_UNKNOWN},
	};

	for (const auto &c : cases) {
		Answer(c.status, kLength0);
		EXPECT_EQ(Get(), c.get) << c.status;
		EXPECT_EQ(version, 0u);
		EXPECT_EQ(Put(1), c.put) << c.status;
	}
}

// Every form of a response that does not arrive whole leaves a write unknown.
TEST_F(HttpStore, LostOrMalformedResponsesLeaveWritesUnknown)
{
	const std::string responses[] = {
		"",
		"HTTP/1.1 200",
		"HTTP/1.1 200 OK\r\nETag: \"9\"\r\n",
		"HTTP/1.1 200 OK\r\nETag: \"9\"\r\nContent-Length: 5\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nETag: \"9\"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhi",
		"HTTP/1.1 200 OK\r\nETag: \"9\"\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nETag: \"9\"\r\nContent-Length: 2\r\nContent-Length: "
		"1\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nETag: 9\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nETag: \"-1\"\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nETag: \"9x\"\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nETag: \"0\"\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nETag: \"99999999999999999999\"\r\nContent-Length: "
		"0\r\n\r\n",
		"nonsense\r\n\r\n",
	};

	for (const auto &r : responses) {
		server->response = r;
		EXPECT_EQ(Get(), SNIPE_ERR_UNAVAILABLE) << r;
		EXPECT_EQ(Put(1), SNIPE_ERR_UNKNOWN) << r;
	}
	Answer("200 OK", "ETag: \"5\"\r\n" + kLength0);
	EXPECT_EQ(Put(5), SNIPE_ERR_UNKNOWN) << "the version did not rise";
}

TEST_F(HttpStore, WatchRefusesVersionsThatDoNotRise)
{
	Answer("200 OK", "ETag: \"6\"\r\n" + kLength2, "hi");
	EXPECT_EQ(Watch(5), 0);
	EXPECT_EQ(Watch(6), SNIPE_ERR_UNAVAILABLE);
	EXPECT_EQ(Watch(7), SNIPE_ERR_UNAVAILABLE);
	Answer("304 Not Modified", "ETag: \"6\"\r\n");
	EXPECT_EQ(Watch(5), SNIPE_ERR_UNAVAILABLE);
	EXPECT_EQ(Get(), SNIPE_ERR_UNAVAILABLE);
}

TEST_F(HttpStore, RefusedConnectionMeansNoEffect)
{
	server->Stop();
	EXPECT_EQ(Put(1), SNIPE_ERR_UNAVAILABLE);
	EXPECT_EQ(Get(), SNIPE_ERR_UNAVAILABLE);
}

TEST_F(HttpStore, DeadlineEndsOperationsWithoutAResponse)
{
	server->close_after = false;
	EXPECT_EQ(Put(1, "{}", 1000), SNIPE_ERR_UNKNOWN);
	EXPECT_EQ(server->requests, 1) << "a write must not be sent twice";
	EXPECT_EQ(Get(50), SNIPE_ERR_UNAVAILABLE);
}

TEST_F(HttpStore, LimitsSizes)
{
	std::string large(SNIPE_OBJECT_MAX_BYTES + 1, 'x');

	Answer("200 OK",
	       "ETag: \"6\"\r\nContent-Length: " + std::to_string(large.size()) + "\r\n",
	       large);
	EXPECT_EQ(Get(), SNIPE_ERR_TOO_LARGE);
	EXPECT_EQ(store->ops->put(store, "config", "tables", 1, large.data(), large.size(), 100,
				  OnDone, this),
		  SNIPE_ERR_TOO_LARGE);
	large.pop_back();
	Answer("200 OK",
	       "ETag: \"6\"\r\nContent-Length: " + std::to_string(large.size()) + "\r\n",
	       large);
	EXPECT_EQ(Get(), 0);
	EXPECT_EQ(value, large);
	EXPECT_EQ(Put(1, large), 0);
}

TEST_F(HttpStore, RefusesNamesThatChangeThePath)
{
	for (const char *bad : {"", "a/b", "a?b", "a b", "A", "a%2f"})
		EXPECT_EQ(store->ops->get(store, "config", bad, 100, OnDone, this),
			  SNIPE_ERR_INVALID);
}

TEST_F(HttpStore, HasNoLists)
{
	EXPECT_EQ(store->ops->list(store, "config", 0, 100, nullptr, this), SNIPE_ERR_INVALID);
	EXPECT_EQ(http.calls, nullptr);
}

// A cancelled operation must never call back, whatever state it is in.
TEST_F(HttpStore, CancelledOperationsDoNotCallBack)
{
	int first, second;

	server->close_after = false;
	first = store->ops->get(store, "config", "tables", 10000, OnDone, this);
	store->ops->cancel(store, first);
	second = store->ops->put(store, "config", "tables", 1, "x", 1, 10000, OnDone, this);
	while (server->requests == 0)
		event_base_loop(base, EVLOOP_ONCE);
	store->ops->cancel(store, second);
	store->ops->cancel(store, second);
	EXPECT_EQ(Get(50), SNIPE_ERR_UNAVAILABLE);
	EXPECT_EQ(calls, 0);
}

TEST_F(HttpStore, OperationsRunAtTheSameTime)
{
	Answer("200 OK", "ETag: \"6\"\r\n" + kLength2, "hi");
	for (int i = 0; i < 20; i++)
		store->ops->get(store, "config", "tables", 10000, OnDone, this);
	while (calls < 20)
		event_base_loop(base, EVLOOP_ONCE);
	EXPECT_EQ(http.calls, nullptr);
}
