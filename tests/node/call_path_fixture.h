/*
 * Two nodes without a control task in one event loop, each with callers, backend and peer
 * task; a backend server and a caller on loopback. The test plays the control task.
 */
#ifndef SNIPE_TEST_CALL_PATH_FIXTURE_H
#define SNIPE_TEST_CALL_PATH_FIXTURE_H

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/backend_task.h"
#include "node/caller_task.h"
#include "base/clock.h"
#include "node/snapshot.h"
#include "node/task_messages.h"

namespace call_path
{

struct Loop {
	event_base *base;
	/* The same kind of loop as that of a node. */
	Loop()
	{
		event_config *config = event_config_new();

		event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
		base = event_base_new_with_config(config);
		event_config_free(config);
	}
	~Loop()
	{
		event_base_free(base);
	}
	/* Runs the loop until done, for at most 10 s: a limit for hangs, not for speed. */
	bool Until(const std::function<bool()> &done)
	{
		int64_t end = snipe_now_us() + 10000000;

		while (!done()) {
			timeval tv = {0, 2000};

			if (snipe_now_us() > end)
				return false;
			event_base_loopexit(base, &tv);
			event_base_loop(base, EVLOOP_ONCE);
		}
		return true;
	}
};

/* One raw connection to an HTTP listener. */
class Caller
{
      public:
	Caller(Loop &loop, const snipe_address &to) : loop_(loop)
	{
		sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&to, &ss);

		bev_ = bufferevent_socket_new(loop.base, -1, BEV_OPT_CLOSE_ON_FREE);
		bufferevent_setcb(bev_, nullptr, nullptr, OnEvent, this);
		bufferevent_enable(bev_, EV_READ | EV_WRITE);
		bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr *>(&ss), len);
	}
	~Caller()
	{
		Leave();
	}
	void Send(const std::string &text)
	{
		bufferevent_write(bev_, text.data(), text.size());
	}
	void Leave()
	{
		if (bev_)
			bufferevent_free(bev_);
		bev_ = nullptr;
	}
	bool HasResponse()
	{
		std::string all = Bytes();
		size_t end = all.find("\r\n\r\n"), at = all.find("Content-Length: ");

		if (end == std::string::npos)
			return false;
		if (at == std::string::npos || at > end)
			return true;
		return all.size() >= end + 4 + std::stoul(all.substr(at + 16));
	}
	std::string Receive()
	{
		EXPECT_TRUE(loop_.Until([&] { return HasResponse() || closed_; }));
		return Take();
	}

      private:
	static void OnEvent(bufferevent *, short what, void *arg)
	{
		if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
			static_cast<Caller *>(arg)->closed_ = true;
	}
	std::string Bytes()
	{
		evbuffer *in = bufferevent_get_input(bev_);
		size_t len = evbuffer_get_length(in);

		return std::string(reinterpret_cast<char *>(evbuffer_pullup(in, -1)), len);
	}
	std::string Take()
	{
		std::string all = Bytes();

		evbuffer_drain(bufferevent_get_input(bev_), all.size());
		return all;
	}
	Loop &loop_;
	bufferevent *bev_;
	bool closed_ = false;
};

/* A backend server whose handler answers, or keeps the request unanswered. */
class Backend
{
      public:
	explicit Backend(Loop &loop) : http_(evhttp_new(loop.base))
	{
		evhttp_bound_socket *bound =
			evhttp_bind_socket_with_handle(http_, "127.0.0.1", 0);
		sockaddr_storage ss;
		socklen_t len = sizeof(ss);

		getsockname(evhttp_bound_socket_get_fd(bound),
			    reinterpret_cast<sockaddr *>(&ss), &len);
		snipe_address_from_sockaddr(reinterpret_cast<sockaddr *>(&ss), &address);
		evhttp_set_allowed_methods(http_, 0xffff);
		evhttp_set_gencb(http_, OnRequest, this);
	}
	~Backend()
	{
		Stop();
	}
	/* Closes the listener and every connection, as the death of the process does. */
	void Stop()
	{
		if (http_)
			evhttp_free(http_);
		http_ = nullptr;
	}
	static void Answer(evhttp_request *req, const std::string &body, int status = 200)
	{
		evbuffer_add(evhttp_request_get_output_buffer(req), body.data(), body.size());
		evhttp_send_reply(req, status, nullptr, nullptr);
	}
	static std::string Header(evhttp_request *req, const char *name)
	{
		const char *v = evhttp_find_header(evhttp_request_get_input_headers(req), name);

		return v ? v : "";
	}
	/* Everything that came in: request line and headers. */
	static std::string Text(evhttp_request *req)
	{
		std::string text = evhttp_request_get_uri(req);
		evkeyval *h;

		TAILQ_FOREACH(h, evhttp_request_get_input_headers(req), next)
		text += std::string("\n") + h->key + ": " + h->value;
		return text;
	}
	std::function<void(evhttp_request *)> handler = [](evhttp_request *req) {
		Answer(req, "ok");
	};
	std::vector<std::string> seen;
	std::vector<evhttp_request *> kept;
	snipe_address address;

      private:
	static void OnRequest(evhttp_request *req, void *arg)
	{
		auto *b = static_cast<Backend *>(arg);

		b->seen.push_back(Text(req));
		b->handler(req);
	}
	evhttp *http_;
};

/* A node; the mailbox of its control task belongs to the test. */
class Node
{
      public:
	Node(Loop &loop, const std::string &id, const char *policy = "adaptive")
	{
		snipe_error_text err = {""};

		memset(&settings, 0, sizeof(settings));
		snprintf(settings.node_id, sizeof(settings.node_id), "%s", id.c_str());
		snprintf(settings.failure_domain, sizeof(settings.failure_domain), "fd");
		snprintf(settings.fleet_secret, sizeof(settings.fleet_secret),
			 "0123456789abcdef");
		snprintf(settings.policy, sizeof(settings.policy), "%s", policy);
		snipe_address_parse("127.0.0.1:0", &settings.caller_listen);
		settings.local_listen = settings.peer_listen = settings.caller_listen;
		snipe_counters_init(&counters);
		snipe_peer_config pc = {};
		pc.base = loop.base;
		pc.listen = settings.peer_listen;
		pc.node_id = settings.node_id;
		pc.process = 1;
		pc.secret = settings.fleet_secret;
		EXPECT_EQ(snipe_peer_task_init(&peers, &pc, &err), 0) << err.text;
		snipe_backend_config bc = {loop.base, &settings, &peers, &counters};
		backend = snipe_backend_task_new(&bc);
		snipe_caller_config cc = {loop.base, &settings, &peers, backend, &counters};
		caller = snipe_caller_task_new(&cc, &err);
		EXPECT_NE(caller, nullptr) << err.text;
		snipe_mailbox_init(&control, loop.base, OnMessage, this);
		snipe_caller_task_set_control(caller, &control);
		snipe_backend_task_set_control(backend, &control);
	}
	~Node()
	{
		snipe_caller_task_free(caller);
		snipe_backend_task_free(backend);
		snipe_peer_task_finish(&peers);
		snipe_mailbox_finish(&control);
	}
	void Announce(const Backend &b, const char *pool, const char *state = "ready")
	{
		char address[SNIPE_ADDRESS_TEXT_SIZE];
		snipe_error_text err = {""};

		snipe_address_format(&b.address, address);
		std::string json = std::string("{\"pool\":\"") + pool + "\",\"address\":\"" +
				   address + "\",\"state\":\"" + state + "\"}";
		EXPECT_EQ(snipe_backend_task_announce(backend, json.data(), json.size(), &err),
			  0)
			<< err.text;
	}
	void PostCaller(const snipe_task_message &m)
	{
		snipe_mailbox_post(snipe_caller_task_mailbox(caller), &m);
	}
	void PostBackend(const snipe_task_message &m)
	{
		snipe_mailbox_post(snipe_backend_task_mailbox(backend), &m);
	}
	std::string Dump() const
	{
		snipe_buffer out;

		snipe_buffer_init(&out);
		snipe_caller_task_dump(caller, &out);
		std::string text(out.data, out.len);
		snipe_buffer_finish(&out);
		return text;
	}
	snipe_settings settings;
	snipe_counters counters;
	snipe_peer_task peers;
	snipe_backend_task *backend;
	snipe_caller_task *caller;
	snipe_mailbox control;
	/* what the control task was told, and how it answers */
	int grant_tokens = 100;
	snipe_claim_verdict verdict = SNIPE_CLAIM_GRANTED;
	bool answers_claims = true;
	std::string stored; /* response of a claim that is done */
	int asked = 0, done_known = 0, done_unknown = 0, released = 0, strikes = 0;

      private:
	static void OnMessage(void *owner, const snipe_task_message *m)
	{
		static_cast<Node *>(owner)->Handle(*m);
	}
	void Handle(const snipe_task_message &m)
	{
		switch (m.type) {
		case SNIPE_TASK_QUOTA_ASK:
			Grant(m);
			break;
		case SNIPE_TASK_CLAIM_ASK:
			asked++;
			if (answers_claims)
				AnswerClaim(m.u.claim_ask.call);
			break;
		case SNIPE_TASK_CLAIM_DONE:
			(m.u.claim_done.known ? done_known : done_unknown)++;
			stored.assign(m.u.claim_done.answer ? m.u.claim_done.answer : "",
				      m.u.claim_done.answer_len);
			break;
		case SNIPE_TASK_CLAIM_RELEASE:
			released++;
			break;
		case SNIPE_TASK_STRIKES:
			strikes += m.u.strikes.count;
			break;
		default:
			break;
		}
	}
	void Grant(const snipe_task_message &ask)
	{
		snipe_task_message m = {};

		m.type = SNIPE_TASK_QUOTA_GRANT;
		memcpy(m.u.quota_grant.workspace, ask.u.quota_ask.workspace, SNIPE_NAME_SIZE);
		m.u.quota_grant.sent_us = ask.u.quota_ask.sent_us;
		m.u.quota_grant.grant.id = ++grants_;
		m.u.quota_grant.grant.tokens = std::min(ask.u.quota_ask.want, grant_tokens);
		m.u.quota_grant.failed = grant_tokens < 0;
		grant_tokens -= m.u.quota_grant.grant.tokens;
		m.u.quota_grant.grant.retry_after_us = 2500000;
		PostCaller(m);
	}
	void AnswerClaim(uint64_t call)
	{
		snipe_task_message m = {};

		m.type = SNIPE_TASK_CLAIM_ANSWER;
		m.u.claim_answer.call = call;
		m.u.claim_answer.verdict = verdict;
		if (verdict == SNIPE_CLAIM_DONE) {
			m.u.claim_answer.answer =
				static_cast<char *>(g_memdup2(stored.data(), stored.size()));
			m.u.claim_answer.answer_len = stored.size();
		}
		PostCaller(m);
	}
	uint64_t grants_ = 0;
};

} // namespace call_path

#endif
