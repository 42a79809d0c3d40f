// Guards against requests that run twice or for the wrong workspace, rejections of requests
// that may have run, keys and forged headers that reach a backend server, callers that get no
// answer after their request has failed, and rate tokens that are lost to requests which never
// ran.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <memory>
#include <string>
#include <vector>

#include "base/hash.h"
#include "gateway/entry.h"
#include "gateway/gate.h"
#include "support/gateway.h"
#include "support/loop.h"

namespace
{

// A call that a node beside a backend server received; the test answers it.
struct ReceivedCall {
	struct snipe_peer_origin from;
	struct snipe_peer_task *node;
	std::string pool, path, body;
	std::multimap<std::string, std::string> fields;
	int attempt, rank;
	int64_t timeout_us;
};

// The node under test, where requests enter, and two nodes beside backend servers, which the
// test simulates.
struct Entry : testing::Test {
	struct snipe_memory_limit memory;
	Loop loop;
	struct snipe_peer_task own;
	struct snipe_peer_task servers[2];
	int report_sockets[2];
	uint64_t sequence = 0;
	struct snipe_gateway_settings settings = {};
	struct snipe_directory directory;
	struct snipe_counters counters;
	struct snipe_crash_guard guard;
	struct snipe_call_profile profile;
	struct snipe_route_costs costs;
	struct snipe_entry entry;
	struct snipe_routing *routing = nullptr;
	std::vector<ReceivedCall> calls;
	int cancel_count = 0;
	struct snipe_chain_cost cost = {}; // stated by the answers of the servers
	int64_t cold_left_us[2] = {0, 0};  // stated by the reports

	static void on_call(void *arg, const struct snipe_peer_origin *from,
			    const struct snipe_message *m, const char *body, size_t len)
	{
		auto *call = static_cast<std::pair<Entry *, int> *>(arg);
		const struct snipe_msg_call *c = &m->u.call;
		ReceivedCall received{*from,
				      &call->first->servers[call->second],
				      c->pool,
				      std::string(c->path.data, c->path.len),
				      std::string(body ? body : "", len),
				      {},
				      c->attempt,
				      c->rank,
				      c->timeout_us};

		for (int i = 0; i < c->header_count; i++)
			received.fields.emplace(
				std::string(c->headers[i].name.data, c->headers[i].name.len),
				std::string(c->headers[i].value.data, c->headers[i].value.len));
		call->first->calls.push_back(received);
	}
	static void on_cancel(void *arg, const struct snipe_peer_origin *,
			      const struct snipe_message *, const char *, size_t)
	{
		static_cast<std::pair<Entry *, int> *>(arg)->first->cancel_count++;
	}
	std::pair<Entry *, int> handles[2] = {{this, 0}, {this, 1}};
	struct snipe_loop_lag lag;
	struct snipe_stop_schedule stop = {};
	// The loop reads requests of clients this long after they arrive.
	void set_lag(int64_t us)
	{
		snipe_loop_lag_schedule(&lag, snipe_now_us());
		snipe_loop_lag_probe(&lag, snipe_now_us() + us);
		snipe_loop_lag_schedule(&lag, 0);
	}

	void SetUp() override
	{
		static const struct snipe_directory_ops ops = {
			[](void *, const struct snipe_address *, uint64_t) {},
			[](void *, int64_t, struct snipe_node_report *) {},
			[](void *, int64_t, uint64_t *, int64_t *) {},
			[](void *, const struct snipe_address *, uint64_t, int64_t) {},
			[](void *, int64_t, const struct snipe_node_report *) {},
			[](void *, const struct snipe_address *,
			   const struct snipe_departure_notice *) {},
		};
		struct snipe_entry_config config = {};
		struct snipe_error_text err;

		snipe_counters_init(&counters);
		snipe_crash_guard_init(&guard);
		snipe_call_profile_init(&profile, snipe_now_us());
		snipe_route_costs_init(&costs);
		init_peer(&own, loop.base, "own");
		strcpy(settings.node_id, "own");
		strcpy(settings.service, "home");
		settings.peer_listen = *snipe_peer_address(&own);
		settings.caller_listen = free_address();
		settings.key_revocation_us = 5000000;
		settings.retry_ratio = 0.2;
		settings.retry_slack = 50;
		settings.is_first_start = 1;
		ASSERT_EQ(snipe_directory_init(&directory, loop.base, &settings, 1, &ops, this,
					       &err),
			  0)
			<< err.text;
		for (int i = 0; i < 2; i++) {
			init_peer(&servers[i], loop.base, i ? "s2" : "s1");
			snipe_peer_on(&servers[i], SNIPE_MSG_CALL, on_call, &handles[i]);
			snipe_peer_on(&servers[i], SNIPE_MSG_CANCEL, on_cancel, &handles[i]);
			report_sockets[i] = bind_udp(*snipe_peer_address(&servers[i]));
		}
		config.base = loop.base;
		config.settings = &settings;
		config.dialect = &DIALECT;
		config.peers = &own;
		config.directory = &directory;
		config.guard = &guard;
		config.profile = &profile;
		config.costs = &costs;
		config.counters = &counters;
		snipe_loop_lag_init(&lag);
		config.lag = &lag;
		config.stop = &stop;
		snipe_memory_limit_init(&memory, 0, nullptr, nullptr);
		config.memory = &memory;
		ASSERT_EQ(snipe_entry_init(&entry, &config, &err), 0) << err.text;
	}
	void TearDown() override
	{
		snipe_entry_finish(&entry);
		snipe_route_costs_finish(&costs);
		for (int i = 0; i < 2; i++) {
			snipe_peer_task_finish(&servers[i]);
			close(report_sockets[i]);
		}
		snipe_peer_task_finish(&own);
		snipe_directory_finish(&directory);
		snipe_routing_unref(routing);
	}
	static int bind_udp(const struct snipe_address &a)
	{
		int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&a, &ss);

		if (bind(fd, (struct sockaddr *)&ss, (socklen_t)len) < 0)
			give_up("bind a socket for reports");
		return fd;
	}
	struct snipe_gateway_route *add_route(const char *prefix, int idempotent,
					      const char *service = "tips")
	{
		struct snipe_gateway_route *r = snipe_routing_add_route(routing);

		strcpy(r->name, prefix);
		r->host = g_strdup("a.example");
		r->prefix = g_strdup(prefix);
		r->idempotent = idempotent;
		r->attempts = 2;
		r->timeout_us = 2000000;
		r->target_latency_us = 1000000;
		r->targets = g_new0(struct snipe_route_target, 2);
		r->target_count = 1;
		strcpy(r->targets[0].service, service);
		r->targets[0].weight = 1;
		return r;
	}
	// Tables with a workspace that has one key, an idempotent route, one that is not
	// idempotent, and an open route, which needs no key.
	void build_default_tables()
	{
		struct snipe_gateway_workspace *w;

		routing = snipe_routing_new(7);
		strcpy(snipe_routing_add_service(routing)->name, "tips");
		strcpy(snipe_routing_add_service(routing)->name, "other");
		add_route("/read/", 1);
		add_route("/book/", 0);
		add_route("/open/", 1)->open = 1;
		w = snipe_routing_add_workspace(routing);
		strcpy(w->name, "salon");
		w->priority = 1;
		snipe_routing_add_key(routing, "key1", 0);
		routing->needs_keys = 1;
	}
	void apply_tables()
	{
		struct snipe_error_text err;

		ASSERT_EQ(snipe_routing_seal(routing, &err), 0) << err.text;
		snipe_entry_set_routing(&entry, routing);
		snipe_entry_confirm_tables(&entry, snipe_now_us());
		send_reports();
	}
	void apply_default_tables()
	{
		build_default_tables();
		apply_tables();
	}
	// Sends reports of both nodes that their servers are ready, and waits until they are
	// usable; a node that stops reporting gets no calls.
	void send_reports(const struct snipe_chain_demand *demand = nullptr, int busy = 0)
	{
		struct snipe_buffer buf;
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&settings.peer_listen, &ss);

		sequence++;
		for (int i = 0; i < 2; i++) {
			struct snipe_node_report r = {};

			strcpy(r.node_id, i ? "s2" : "s1");
			strcpy(r.service, "tips");
			strcpy(r.server_id, i ? "i-2" : "i-1");
			r.process = 1;
			r.sequence = sequence;
			r.server = SNIPE_SERVER_READY;
			r.limit = 10;
			r.running = busy;
			r.cold_left_us = cold_left_us[i];
			if (demand) {
				r.demands[0] = *demand;
				r.demand_count = 1;
			}
			snipe_buffer_init(&buf);
			snipe_report_encode(&r, &buf);
			sendto(report_sockets[i], buf.data, buf.len, 0, (struct sockaddr *)&ss,
			       (socklen_t)len);
			snipe_buffer_finish(&buf);
		}
		loop.until([&] {
			struct snipe_service_pool *p = snipe_directory_pool(&directory, "tips");
			return p && p->placement.size == 2 &&
			       p->placement.servers[0].is_usable &&
			       p->placement.servers[1].is_usable &&
			       p->placement.servers[0].load.running == busy &&
			       p->placement.servers[1].load.running == busy;
		});
	}
	Socket connect_and_send(const std::string &path, const std::string &fields = "",
				const std::string &key = "key1",
				const std::string &method = "GET")
	{
		Socket s = Socket::connect_to(settings.caller_listen);

		if (routing)
			send_reports();
		send(s, path, fields, key, method);
		return s;
	}
	static void send(Socket &s, const std::string &path, const std::string &fields = "",
			 const std::string &key = "key1", const std::string &method = "GET")
	{
		std::string text = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
				   "Id: r1\r\n" + fields;

		if (!key.empty())
			text += "Authorization: Token " + key + "\r\n";
		fcntl(s.fd, F_SETFL, 0);
		s.send_text(text + "\r\n");
		fcntl(s.fd, F_SETFL, O_NONBLOCK);
	}
	bool wait_for_calls(size_t count)
	{
		return loop.until([&] { return calls.size() >= count; });
	}
	// Returns the response's status, 0 if none was received.
	int status(Socket &s)
	{
		if (!loop.until([&] { return s.has("\r\n\r\n"); }))
			return 0;
		return atoi(s.in.c_str() + strlen("HTTP/1.1 "));
	}
	void reply(const ReceivedCall &c, enum snipe_answer_outcome outcome,
		   int http_status = 200, const std::string &body = "ok", int has_arrived = 1,
		   const char *reason = "overloaded")
	{
		struct snipe_message m = {};
		struct snipe_msg_answer *a = &m.u.answer;

		m.type = SNIPE_MSG_ANSWER;
		a->outcome = outcome;
		a->has_arrived = has_arrived;
		a->load.limit = 10;
		a->cost = cost;
		if (outcome == SNIPE_ANSWER_COMPLETE) {
			a->status = http_status;
			a->headers[0] = {{"Signature", 9}, {"s", 1}};
			a->header_count = 1;
		} else {
			strcpy(a->reason, reason);
		}
		snipe_peer_reply(c.node, &c.from, &m, body.data(), body.size());
	}
	// Sends requests one after the other, which the servers answer at once.
	void serve(const std::string &path, int count)
	{
		for (int i = 0; i < count; i++) {
			size_t before = calls.size();
			Socket c = connect_and_send(path);

			ASSERT_TRUE(wait_for_calls(before + 1));
			reply(calls[before], SNIPE_ANSWER_COMPLETE);
			ASSERT_EQ(status(c), 200);
		}
	}
	// Reports a server of a service that has just started, from a third node.
	void send_cold_report(const char *service)
	{
		struct snipe_node_report r = {};
		struct snipe_buffer buf;
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&settings.peer_listen, &ss);

		strcpy(r.node_id, "s3");
		strcpy(r.service, service);
		strcpy(r.server_id, "i-3");
		r.process = 1;
		r.sequence = 1;
		r.server = SNIPE_SERVER_READY;
		r.limit = 10;
		r.cold_left_us = 3000000;
		snipe_buffer_init(&buf);
		snipe_report_encode(&r, &buf);
		sendto(report_sockets[0], buf.data, buf.len, 0, (struct sockaddr *)&ss,
		       (socklen_t)len);
		snipe_buffer_finish(&buf);
		ASSERT_TRUE(loop.until([&] {
			return snipe_directory_may_be_cold(
				&directory, snipe_hash64_str(service), snipe_now_us());
		}));
	}
	double available_tokens()
	{
		struct snipe_quota_view v = {};

		snipe_fleet_quota_view(&entry.quota, snipe_now_us(), snipe_hash64_str("salon"),
				       &v);
		return v.tokens;
	}
};

std::string header_value(const ReceivedCall &c, const std::string &name)
{
	auto it = c.fields.find(name);

	return it == c.fields.end() ? "" : it->second;
}

} // namespace

TEST_F(Entry, ReplacesForgedHeadersAndDropsTheKey)
{
	apply_default_tables();
	Socket s = connect_and_send("/read/x?a=b",
				    "Workspace: forged\r\nCaller: forged\r\n"
				    "Expect-Server: i-9\r\nLeft: 700\r\nX-Own: 1\r\n");

	ASSERT_TRUE(wait_for_calls(1));
	EXPECT_EQ(calls[0].pool, "tips");
	EXPECT_EQ(calls[0].path, "/read/x?a=b");
	EXPECT_EQ(header_value(calls[0], "Id"), "r1");
	EXPECT_EQ(header_value(calls[0], "X-Own"), "1");
	EXPECT_EQ(calls[0].fields.count("Workspace"), 1u);
	EXPECT_EQ(header_value(calls[0], "Workspace"), "salon");
	EXPECT_EQ(calls[0].fields.count("Caller"), 1u);
	EXPECT_EQ(header_value(calls[0], "Caller"), "home");
	EXPECT_EQ(header_value(calls[0], "Expect-Server"), "");
	EXPECT_EQ(header_value(calls[0], "Authorization"), "");
	EXPECT_LE(calls[0].timeout_us, 700000)
		<< "the server gets no more time than the caller has left";
	reply(calls[0], SNIPE_ANSWER_COMPLETE);
	EXPECT_EQ(status(s), 200);
	EXPECT_TRUE(s.has("Signature: s\r\n"));
	EXPECT_TRUE(s.has("\r\n\r\nok"));
}

TEST_F(Entry, RejectsWithRetryAfterWhileThereAreNoTables)
{
	Socket s = connect_and_send("/read/x");

	EXPECT_EQ(status(s), 503);
	EXPECT_TRUE(s.has("Retry-After: "));
}

TEST_F(Entry, UnknownKeysAndRoutesGetAFinalStatusOnlyWithFreshTables)
{
	apply_default_tables();
	Socket no_key = connect_and_send("/read/x", "", ""),
	       wrong = connect_and_send("/read/x", "", "key2"),
	       no_route = connect_and_send("/none/x");

	EXPECT_EQ(status(no_key), 401);
	EXPECT_EQ(status(wrong), 401);
	EXPECT_EQ(status(no_route), 404);
	// A newer version may have the key or the route.
	entry.confirmed_us = snipe_now_us() - 3000000;
	Socket late_key = connect_and_send("/read/x", "", "key2"),
	       late_route = connect_and_send("/none/x");
	EXPECT_EQ(status(late_key), 503);
	EXPECT_EQ(status(late_route), 503);
	EXPECT_TRUE(calls.empty());
}

// A node that receives no newer tables must not accept a withdrawn key for longer than allowed;
// open routes are still served.
TEST_F(Entry, RejectsRequestsWithAKeyWhenTheTablesAreNotConfirmedInTime)
{
	apply_default_tables();
	entry.confirmed_us = snipe_now_us() - settings.key_revocation_us * 85 / 100;
	Socket keyed = connect_and_send("/read/x"), open = connect_and_send("/open/x", "", "");

	EXPECT_EQ(status(keyed), 503);
	ASSERT_TRUE(wait_for_calls(1));
	EXPECT_EQ(calls[0].path, "/open/x");
	reply(calls[0], SNIPE_ANSWER_COMPLETE);
	EXPECT_EQ(status(open), 200);
}

TEST_F(Entry, MalformedRequestsReachNoServer)
{
	std::string many;

	apply_default_tables();
	for (int i = 0; i < SNIPE_MAX_HEADERS; i++)
		many += "X-" + std::to_string(i) + ": 1\r\n";
	Socket time = connect_and_send("/read/x", "Left: soon\r\n"),
	       host = connect_and_send("/read/x", "Host: b\r\n"),
	       fields = connect_and_send("/read/x", many);

	EXPECT_EQ(status(time), 400);
	EXPECT_EQ(status(host), 400);
	EXPECT_EQ(status(fields), 431);
	EXPECT_TRUE(calls.empty());
}

// The call reached no backend server, so the second attempt takes no token of the retry budget.
TEST_F(Entry, ACallThatAGateRejectedIsSentToAnotherServer)
{
	settings.retry_ratio = settings.retry_slack = 0;
	apply_default_tables();
	Socket s = connect_and_send("/book/x", "", "key1", "POST");

	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_NOT_RUN, 0, "", 0);
	ASSERT_TRUE(wait_for_calls(2));
	EXPECT_NE(calls[0].node, calls[1].node);
	EXPECT_EQ(calls[1].attempt, 0);
	reply(calls[1], SNIPE_ANSWER_COMPLETE);
	EXPECT_EQ(status(s), 200);
}

TEST_F(Entry, ARequestThatAllGatesRejectIsRejectedAtOnceAndItsTokenIsRefunded)
{
	build_default_tables();
	routing->workspaces[0].rate = 1;
	routing->workspaces[0].burst = 10;
	apply_tables();
	double before = available_tokens();
	Socket s = connect_and_send("/book/x", "", "key1", "POST");

	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_NOT_RUN, 0, "", 0);
	ASSERT_TRUE(wait_for_calls(2));
	reply(calls[1], SNIPE_ANSWER_NOT_RUN, 0, "", 0);
	EXPECT_EQ(status(s), 503);
	EXPECT_TRUE(s.has("Retry-After: "));
	EXPECT_GE(available_tokens(), before);
}

TEST_F(Entry, ANonIdempotentRequestIsNotRetriedAfterALostAnswer)
{
	apply_default_tables();
	Socket s = connect_and_send("/book/x", "", "key1", "POST");

	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_UNKNOWN, 0, "", 1, "response_lost");
	EXPECT_EQ(status(s), 502) << "it may have run";
	loop.run_ms(50);
	EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Entry, ANonIdempotentRequestIsNotRetriedAfterALostNode)
{
	apply_default_tables();
	Socket s = connect_and_send("/book/x", "", "key1", "POST");

	ASSERT_TRUE(wait_for_calls(1));
	// The connection closes when the node's process ends.
	int lost = calls[0].node == &servers[1];
	snipe_peer_task_finish(&servers[lost]);
	init_peer(&servers[lost], loop.base, "gone");
	EXPECT_EQ(status(s), 502);
	EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Entry, AnIdempotentRequestIsRetriedWithinTheBudget)
{
	apply_default_tables();
	Socket s = connect_and_send("/read/x");

	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_UNKNOWN, 0, "", 1, "response_lost");
	ASSERT_TRUE(wait_for_calls(2));
	EXPECT_NE(calls[0].node, calls[1].node);
	EXPECT_EQ(calls[1].attempt, 1) << "its inner calls count as retries";
	reply(calls[1], SNIPE_ANSWER_UNKNOWN, 0, "", 1, "response_lost");
	EXPECT_EQ(status(s), 502) << "the route allows two attempts";
	loop.run_ms(50);
	EXPECT_EQ(calls.size(), 2u);
}

TEST_F(Entry, WithoutABudgetARequestThatReachedAServerIsNotRetried)
{
	settings.retry_ratio = settings.retry_slack = 0;
	apply_default_tables();
	Socket s = connect_and_send("/read/x");

	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_UNKNOWN, 0, "", 1, "response_lost");
	EXPECT_EQ(status(s), 502);
	EXPECT_EQ(calls.size(), 1u);
}

// Both kinds of retry count: after a lost answer, and after a rejection by the server itself.
TEST_F(Entry, MakesNoMoreAttemptsThanTheRouteAllows)
{
	build_default_tables();
	routing->routes[0].attempts = 1;
	apply_tables();
	for (auto outcome : {SNIPE_ANSWER_UNKNOWN, SNIPE_ANSWER_NOT_RUN}) {
		Socket s = connect_and_send("/read/x");
		size_t before = calls.size();

		ASSERT_TRUE(wait_for_calls(before + 1));
		reply(calls.back(), outcome, 0, "", 1, "response_lost");
		EXPECT_EQ(status(s), outcome == SNIPE_ANSWER_NOT_RUN ? 503 : 502);
		EXPECT_EQ(calls.size(), before + 1);
	}
}

// The route's timeout is shorter than the time that the caller states, so it applies.
TEST_F(Entry, ARequestIsAnsweredSoonAfterTheTimeoutOfItsRoute)
{
	build_default_tables();
	routing->routes[0].timeout_us = 200000;
	apply_tables();
	int64_t begin = snipe_now_us();
	Socket s = connect_and_send("/read/x", "Left: 5000\r\n");

	ASSERT_TRUE(wait_for_calls(1));
	EXPECT_EQ(status(s), 504);
	EXPECT_GE(snipe_now_us() - begin, 200000);
	EXPECT_LE(snipe_now_us() - begin, 200000 + 500000);
}

TEST_F(Entry, AServersOwnFailureIsForwardedUnchanged)
{
	apply_default_tables();
	Socket s = connect_and_send("/book/x", "", "key1", "POST");

	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_COMPLETE, 500, "broken");
	EXPECT_EQ(status(s), 500);
	EXPECT_TRUE(s.has("Signature: s\r\n"));
	EXPECT_TRUE(s.has("broken"));
}

TEST_F(Entry, ACallerThatDisconnectsCancelsItsCall)
{
	apply_default_tables();
	Socket s = connect_and_send("/read/x");

	ASSERT_TRUE(wait_for_calls(1));
	s.close_now();
	ASSERT_TRUE(loop.until([&] { return cancel_count == 1; }));
	EXPECT_EQ(snipe_entry_in_flight(&entry), 0);
}

TEST_F(Entry, PipelinedRequestsAreAnsweredInOrder)
{
	apply_default_tables();
	Socket s = Socket::connect_to(settings.caller_listen);

	send(s, "/read/1");
	send(s, "/read/2");
	ASSERT_TRUE(wait_for_calls(2));
	int first = calls[0].path == "/read/1" ? 0 : 1;
	reply(calls[1 - first], SNIPE_ANSWER_COMPLETE, 200, "two");
	loop.run_ms(30);
	EXPECT_FALSE(s.has("two"));
	reply(calls[first], SNIPE_ANSWER_COMPLETE, 200, "one");
	ASSERT_TRUE(loop.until([&] { return s.has("two"); }));
	EXPECT_LT(s.in.find("one"), s.in.find("two"));
}

TEST_F(Entry, RequestsAreSplitOverServicesInProportionToTheWeights)
{
	std::map<std::string, int> pools;

	build_default_tables();
	struct snipe_gateway_route *r = &routing->routes[0];
	r->target_count = 2;
	r->targets[0].weight = 7;
	strcpy(r->targets[1].service, "tips");
	strcpy(r->targets[0].service, "other");
	r->targets[1].weight = 3;
	apply_tables();
	for (int i = 0; i < 20; i++) {
		size_t before = calls.size();
		Socket s = connect_and_send("/read/x");
		// No server of service "other" is known: its share is rejected, not sent to
		// "tips".
		ASSERT_TRUE(
			loop.until([&] { return calls.size() > before || s.has("\r\n\r\n"); }));
		pools[calls.size() > before ? "tips" : "other"]++;
		if (calls.size() > before)
			reply(calls.back(), SNIPE_ANSWER_COMPLETE);
		EXPECT_EQ(status(s), calls.size() > before ? 200 : 503);
	}
	EXPECT_EQ(pools["other"], 14);
	EXPECT_EQ(pools["tips"], 6);
}

// The workspace's priority goes before the route's, and inner calls rank behind client requests
// of the first priorities.
TEST_F(Entry, CallsCarryTheirRankInTheGatesQueue)
{
	build_default_tables();
	routing->routes[0].priority = 2;
	apply_tables();
	Socket keyed = connect_and_send("/read/x"), inner = connect_and_send("/open/x", "", "");

	ASSERT_TRUE(wait_for_calls(2));
	for (const ReceivedCall &c : calls)
		EXPECT_EQ(c.rank, c.path == "/read/x" ? 16 + 2 : 2 * 16 + 2);
}

// Guards against requests that a stopping node passes on and cannot answer, and against
// rejected ones for which there was time.
TEST_F(Entry, AStoppingNodeRejectsWhatMayNotEndInTime)
{
	apply_default_tables();
	snipe_stop_schedule_begin(&stop, snipe_now_us() - 4600000, 6000000);
	Socket keyed = connect_and_send("/read/x"), inner = connect_and_send("/open/x", "", "");
	EXPECT_EQ(status(keyed), 503) << "its route allows it two seconds";
	EXPECT_TRUE(keyed.has("Retry-After: "));
	EXPECT_EQ(status(inner), 503);
	Socket brief = connect_and_send("/read/x", "Left: 500\r\n");
	ASSERT_TRUE(wait_for_calls(1)) << "its client waits no longer than the node runs";
	EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Entry, AStoppingNodeServesRequestsOfARouteThatWasQuickLately)
{
	apply_default_tables();
	for (size_t i = 1; i <= 20; i++) {
		Socket c = connect_and_send("/read/x");
		ASSERT_TRUE(wait_for_calls(i));
		reply(calls[i - 1], SNIPE_ANSWER_COMPLETE);
		ASSERT_EQ(status(c), 200);
	}
	snipe_stop_schedule_begin(&stop, snipe_now_us() - 4600000, 6000000);
	Socket quick = connect_and_send("/read/x"), other = connect_and_send("/book/x");
	ASSERT_TRUE(wait_for_calls(21));
	EXPECT_EQ(calls[20].path, "/read/x");
	EXPECT_EQ(status(other), 503) << "nothing is known of its route";
}

TEST_F(Entry, AStoppingNodeRejectsRequestsOfARouteThatWasSlowLately)
{
	apply_default_tables();
	for (size_t i = 1; i <= 20; i++) {
		Socket c = connect_and_send("/book/x");
		ASSERT_TRUE(wait_for_calls(i));
		if (i == 10)
			loop.run_ms(700);
		reply(calls[i - 1], SNIPE_ANSWER_COMPLETE);
		ASSERT_EQ(status(c), 200);
	}
	snipe_stop_schedule_begin(&stop, snipe_now_us() - 4600000, 6000000);
	Socket c = connect_and_send("/book/x");
	EXPECT_EQ(status(c), 503);
	EXPECT_EQ(calls.size(), 20u);
}

// Guards against requests that a stop breaks off because their server, which has just started,
// takes longer than the servers at which the route's times were measured.
TEST_F(Entry, AStoppingNodeKeepsLateRequestsFromServersThatJustStarted)
{
	apply_default_tables();
	serve("/read/x", 20);
	snipe_stop_schedule_begin(&stop, snipe_now_us() - 4600000, 6000000);
	cold_left_us[0] = cold_left_us[1] = 3000000;
	Socket c = connect_and_send("/read/x");
	EXPECT_EQ(status(c), 503) << "nothing was measured at servers that are cold";
	EXPECT_TRUE(c.has("Retry-After: "));
	Socket brief = connect_and_send("/read/x", "Left: 500\r\n");
	ASSERT_TRUE(wait_for_calls(21)) << "its client waits no longer than the node runs";
	EXPECT_EQ(calls.size(), 21u);
}

TEST_F(Entry, AStoppingNodeSendsLateRequestsToServersThatAreWarm)
{
	apply_default_tables();
	serve("/read/x", 20);
	snipe_stop_schedule_begin(&stop, snipe_now_us() - 4200000, 6000000);
	cold_left_us[0] = 3000000;
	serve("/read/x", 30);
	for (size_t i = 20; i < calls.size(); i++)
		EXPECT_EQ(calls[i].node, &servers[1]) << i;
}

// Guards against service that is denied late in a stop although the times at servers that have
// just started are known.
TEST_F(Entry, AStoppingNodeServesWhatWasQuickAtServersThatJustStarted)
{
	cold_left_us[0] = cold_left_us[1] = 30000000;
	apply_default_tables();
	serve("/read/x", 20);
	snipe_stop_schedule_begin(&stop, snipe_now_us() - 4600000, 6000000);
	Socket quick = connect_and_send("/read/x");
	ASSERT_TRUE(wait_for_calls(21));
}

// Guards against an estimate that knows nothing of servers further down the chain.
TEST_F(Entry, AStoppingNodeExpectsLongerTimesIfServersFurtherDownJustStarted)
{
	apply_default_tables();
	cost.count = 2;
	cost.services[0] = {snipe_hash64_str("tips"), 5000};
	cost.services[1] = {snipe_hash64_str("other"), 5000};
	serve("/read/x", 20);
	snipe_stop_schedule_begin(&stop, snipe_now_us() - 4600000, 6000000);
	Socket before = connect_and_send("/read/x");
	ASSERT_TRUE(wait_for_calls(21));
	send_cold_report("other");
	Socket after = connect_and_send("/read/x");
	EXPECT_EQ(status(after), 503);
	EXPECT_EQ(calls.size(), 21u);
}

// Guards against a request that a stop breaks off although nothing waits for its answer and its
// server still gives one.
TEST_F(Entry, AnUnansweredRequestThatDelaysNothingWaitsOnWhenAStopEnds)
{
	apply_default_tables();
	Socket alone = connect_and_send("/read/alone"), c = connect_and_send("/read/slow");
	send(c, "/read/quick");
	ASSERT_TRUE(wait_for_calls(3));
	for (const ReceivedCall &call : calls)
		if (call.path == "/read/quick")
			reply(call, SNIPE_ANSWER_COMPLETE, 200, "quick");
	ASSERT_TRUE(loop.until([&] { return snipe_entry_in_flight(&entry) == 2; }));
	snipe_entry_answer_blocking(&entry);
	ASSERT_TRUE(loop.until([&] { return c.has("quick"); }));
	EXPECT_EQ(c.in.rfind("HTTP/1.1 502", 0), 0u) << c.in;
	ASSERT_EQ(snipe_entry_in_flight(&entry), 1);
	for (const ReceivedCall &call : calls)
		if (call.path == "/read/alone")
			reply(call, SNIPE_ANSWER_COMPLETE);
	EXPECT_EQ(status(alone), 200);
}

// Guards against responses that are ready and lost since an earlier request of their connection
// is unanswered when the process ends.
TEST_F(Entry, ReadyResponsesBehindAnUnansweredRequestAreSentWhenAStopEnds)
{
	apply_default_tables();
	Socket c = connect_and_send("/read/slow");
	send(c, "/read/quick");
	ASSERT_TRUE(wait_for_calls(2));
	for (const ReceivedCall &call : calls)
		if (call.path == "/read/quick")
			reply(call, SNIPE_ANSWER_COMPLETE, 200, "quick");
	ASSERT_TRUE(loop.until([&] { return snipe_entry_in_flight(&entry) == 1; }));
	EXPECT_FALSE(c.has("HTTP/1.1"));
	snipe_entry_answer_all(&entry);
	ASSERT_TRUE(loop.until([&] { return c.has("quick"); }));
	EXPECT_EQ(c.in.rfind("HTTP/1.1 502", 0), 0u) << c.in;
	EXPECT_EQ(snipe_entry_in_flight(&entry), 0);
}

// A service at the end of the chain has 20 slots, and the fleet asks for twenty times as many.
TEST_F(Entry, RejectsAtOnceWhatAServiceDeeperInTheChainCannotComplete)
{
	const uint64_t tips = snipe_hash64_str("tips");
	struct snipe_chain_demand demand = {tips, 16, 200};
	double tokens;
	int rejected = 0, admitted = 0;

	build_default_tables();
	routing->workspaces[0].rate = 1000;
	routing->workspaces[0].burst = 1000;
	apply_tables();
	cost = {{{tips, 100000.0}}, 1, 0};
	Socket first = connect_and_send("/read/1");
	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_COMPLETE);
	ASSERT_EQ(status(first), 200);

	send_reports(&demand, 10);
	snipe_entry_update_chain_limit(&entry);
	tokens = available_tokens();
	for (int i = 0; i < 20; i++) {
		Socket s = Socket::connect_to(settings.caller_listen);
		size_t before = calls.size();

		send(s, "/read/2");
		loop.until([&] { return s.has("\r\n\r\n") || calls.size() > before; });
		if (calls.size() > before) {
			reply(calls.back(), SNIPE_ANSWER_COMPLETE);
			admitted++;
			continue;
		}
		rejected++;
		EXPECT_EQ(s.in.substr(0, 12), "HTTP/1.1 503");
		EXPECT_NE(s.in.find("Retry-After: "), std::string::npos);
		EXPECT_NE(s.in.find("chain_overloaded"), std::string::npos);
	}
	EXPECT_GE(rejected, 17);
	EXPECT_LE(admitted, 3);
	// What was rejected takes no rate.
	EXPECT_GE(available_tokens(), tokens - admitted - 0.5);

	// The parent of an inner call holds a slot, and its work would be lost.
	Socket inner = connect_and_send("/open/1", "", "");
	size_t before = calls.size();
	ASSERT_TRUE(wait_for_calls(before + 1));
}

TEST_F(Entry, AdmitsEverythingAgainWhenTheServiceHasRoom)
{
	const uint64_t tips = snipe_hash64_str("tips");
	struct snipe_chain_demand much = {tips, 16, 200}, little = {tips, 16, 1};

	apply_default_tables();
	cost = {{{tips, 100000.0}}, 1, 0};
	Socket first = connect_and_send("/read/1");
	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_COMPLETE);
	ASSERT_EQ(status(first), 200);
	send_reports(&much, 10);
	snipe_entry_update_chain_limit(&entry);
	send_reports(&little, 2);
	snipe_entry_update_chain_limit(&entry);
	for (int i = 0; i < 10; i++) {
		Socket s = Socket::connect_to(settings.caller_listen);
		size_t before = calls.size();

		send(s, "/read/2");
		ASSERT_TRUE(wait_for_calls(before + 1)) << i;
		reply(calls.back(), SNIPE_ANSWER_COMPLETE);
		EXPECT_EQ(status(s), 200);
	}
}

// A caller's log search must lead to the node that was lost, not to the server beside it.
TEST_F(Entry, ARequestWhoseNodeWasLostSaysSo)
{
	apply_default_tables();
	Socket s = connect_and_send("/book/1", "", "key1", "POST");
	ASSERT_TRUE(wait_for_calls(1));
	int lost = calls[0].node == &servers[0] ? 0 : 1;

	snipe_peer_task_finish(&servers[lost]);
	EXPECT_EQ(status(s), 502);
	EXPECT_NE(s.in.find("node_lost"), std::string::npos);
	init_peer(&servers[lost], loop.base, "again");
}

// A late event loop sent requests on whose clients had left.
TEST_F(Entry, ARequestWhoseClientLeftBeforeItWasReadIsNotSentOn)
{
	apply_default_tables();
	set_lag(200000);
	Socket s = connect_and_send("/read/x");

	s.close_now();
	loop.run_ms(100);
	EXPECT_TRUE(calls.empty());
	EXPECT_EQ(snipe_entry_in_flight(&entry), 0);
}

TEST_F(Entry, ARequestWhoseDeadlinePassedBeforeItWasReadIsNotSentOn)
{
	apply_default_tables();
	set_lag(800000);
	Socket s = connect_and_send("/read/x", "Left: 700\r\n");

	EXPECT_EQ(status(s), 503);
	EXPECT_TRUE(calls.empty());
}

TEST_F(Entry, TheTimeForWhichARequestWasUnreadIsTakenOffItsTimeLeft)
{
	apply_default_tables();
	set_lag(300000);
	Socket s = connect_and_send("/read/x", "Left: 700\r\n");

	ASSERT_TRUE(wait_for_calls(1));
	EXPECT_LE(calls[0].timeout_us, 400000);
	reply(calls[0], SNIPE_ANSWER_COMPLETE);
	EXPECT_EQ(status(s), 200);
}

// Clients that were rejected together came back together.
TEST_F(Entry, TheRetryAfterOfRequestsBeyondTheRateIsSpread)
{
	std::vector<Socket> clients;
	std::set<double> delays;
	auto retry_after = [](const Socket &c) {
		size_t at = c.in.find("Retry-After: ");

		return at == std::string::npos
			       ? 0
			       : atof(c.in.c_str() + at + strlen("Retry-After: "));
	};

	build_default_tables();
	routing->workspaces[0].rate = 1;
	routing->workspaces[0].burst = 1;
	apply_tables();
	for (int i = 0; i < 20; i++)
		clients.push_back(connect_and_send("/read/x"));
	ASSERT_TRUE(loop.until([&] {
		delays.clear();
		for (auto &c : clients)
			if (c.has(" 429 "))
				delays.insert(retry_after(c));
		return delays.size() >= 10;
	}));
	EXPECT_GT(*delays.rbegin(), 1.5 * *delays.begin());
	EXPECT_GT(*delays.begin(), 0);
}

TEST_F(Entry, ForLackOfMemoryALargeBodyIsRejectedAsNotRunAndASmallOneIsSentOn)
{
	std::string body(80000, 'x');

	apply_default_tables();
	memory.account.limit = 400000;
	snipe_memory_charge(&memory.account, 250000);
	double before = available_tokens();
	Socket large = connect_and_send(
		"/book/x", "Content-Length: " + std::to_string(body.size()) + "\r\n", "key1",
		"POST");
	large.send_text(body);
	EXPECT_EQ(status(large), 503);
	EXPECT_TRUE(large.has("Retry-After: "));
	EXPECT_TRUE(large.has("no_memory"));
	EXPECT_GE(available_tokens(), before) << "its token was given back";
	EXPECT_TRUE(calls.empty());
	Socket small = connect_and_send("/book/x", "", "key1", "POST");
	ASSERT_TRUE(wait_for_calls(1));
	reply(calls[0], SNIPE_ANSWER_COMPLETE);
	EXPECT_EQ(status(small), 200);
	snipe_memory_release(&memory.account, 250000);
}
