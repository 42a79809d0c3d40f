// Guards against calls that reach a draining, gone or replaced server, "not run" answers for
// requests that ran, more running calls than slots, and slots that are never freed.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "gateway/gate.h"
#include "support/descriptors.h"
#include "support/gateway.h"
#include "support/loop.h"

namespace
{

struct Answer {
	int count = 0;
	int err = 0;
	enum snipe_answer_outcome outcome = SNIPE_ANSWER_COMPLETE;
	int status = 0, arrived = 0;
	std::string reason, body;
	struct snipe_chain_cost cost = {};

	static void on_reply(void *arg, int err, const struct snipe_message *m,
			     const char *body, size_t len)
	{
		auto *a = static_cast<Answer *>(arg);

		a->count++;
		a->err = err;
		if (err)
			return;
		a->outcome = m->u.answer.outcome;
		a->status = m->u.answer.status;
		a->arrived = m->u.answer.has_arrived;
		a->reason = m->u.answer.reason;
		a->cost = m->u.answer.cost;
		a->body.assign(body ? body : "", len);
	}
};

// A gate, a calling node, and a backend server whose responses the test writes.
struct Gate : testing::Test {
	Loop loop;
	Listener server;
	struct snipe_peer_task own, caller;
	struct snipe_gateway_settings settings = {};
	struct snipe_counters counters;
	struct snipe_crash_guard guard;
	struct snipe_call_profile profile;
	struct snipe_memory_limit memory;
	struct snipe_gate gate;
	std::string request_body;
	std::vector<std::unique_ptr<Socket>> connections;
	std::vector<struct snipe_departure> departures;
	int changes = 0;

	void SetUp() override
	{
		struct snipe_gate_config config = {};

		snipe_counters_init(&counters);
		snipe_crash_guard_init(&guard);
		snipe_call_profile_init(&profile, snipe_now_us());
		init_peer(&own, loop.base, "gate");
		init_peer(&caller, loop.base, "caller");
		strcpy(settings.node_id, "gate");
		strcpy(settings.service, "tips");
		settings.backend_server = server.address;
		settings.announce_interval_us = 1500000;
		config.base = loop.base;
		config.settings = &settings;
		config.dialect = &DIALECT;
		config.peers = &own;
		config.counters = &counters;
		config.guard = &guard;
		config.profile = &profile;
		snipe_memory_limit_init(&memory, 0, nullptr, nullptr);
		config.memory = &memory;
		config.changed = [](void *arg) { static_cast<Gate *>(arg)->changes++; };
		config.departed = [](void *arg, const struct snipe_departure *d) {
			static_cast<Gate *>(arg)->departures.push_back(*d);
		};
		config.arg = this;
		snipe_gate_init(&gate, &config);
		snipe_gate_set_departures_known(&gate);
	}
	void TearDown() override
	{
		snipe_gate_finish(&gate);
		snipe_peer_task_finish(&caller);
		snipe_peer_task_finish(&own);
	}
	int announce(const char *id, enum snipe_server_state state, uint64_t sequence,
		     int64_t started = 1000, int slots = 20, const char *service = "tips")
	{
		struct snipe_server_announcement a = {};
		struct snipe_error_text err;

		strcpy(a.id, id);
		strcpy(a.service, state == SNIPE_SERVER_NONE ? "" : service);
		a.state = state;
		a.slots = slots;
		a.sequence = sequence;
		a.started_ms = started;
		return snipe_gate_handle_announcement(&gate, &a, &err);
	}
	uint64_t call(Answer &a, bool idempotent = true, const char *id = "r1",
		      int64_t timeout_us = 5000000, int64_t max_queue_wait_us = 3000000,
		      uint64_t fingerprint = 1, bool is_trial = false)
	{
		struct snipe_message m = {};

		m.type = SNIPE_MSG_CALL;
		strcpy(m.u.call.pool, "tips");
		strcpy(m.u.call.method, "GET");
		m.u.call.path = {"/a?b=c", 6};
		m.u.call.idempotent = idempotent;
		m.u.call.timeout_us = timeout_us;
		m.u.call.max_queue_wait_us = max_queue_wait_us;
		m.u.call.fingerprint = fingerprint;
		m.u.call.is_trial = is_trial;
		m.u.call.headers[0] = {{"Id", 2}, {id, strlen(id)}};
		m.u.call.header_count = 1;
		return snipe_peer_request(&caller, snipe_peer_address(&own), &m,
					  request_body.data(), request_body.size(), 20000000,
					  Answer::on_reply, &a);
	}
	// Returns why a call is rejected if a departure is restored after a late announcement.
	std::string rejection_after_restore(const struct snipe_departure &d)
	{
		Answer a;

		announce("i-1", SNIPE_SERVER_READY, 6, 1000);
		snipe_gate_restore_departure(&gate, &d);
		call(a);
		EXPECT_TRUE(answered(a));
		return a.reason;
	}
	// Returns a connection on which a whole request header was received.
	Socket *wait_for_request()
	{
		Socket *found = nullptr;

		loop.until([&] {
			Socket s = server.take();
			if (s.fd >= 0)
				connections.push_back(std::make_unique<Socket>(std::move(s)));
			for (auto &t : connections)
				if (t->has("\r\n\r\n"))
					found = t.get();
			return found != nullptr;
		});
		return found;
	}
	void respond(Socket *s, const std::string &status = "200 OK",
		     const std::string &headers = "Signature: s\r\n",
		     const std::string &body = "ok")
	{
		s->in.clear();
		s->send_text("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " +
			     std::to_string(body.size()) + "\r\n\r\n" + body);
	}
	// Runs a request on server i-1, which closes the connection after these bytes.
	void lose_connection(uint64_t fingerprint, const std::string &bytes = "")
	{
		Answer a;

		announce("i-1", SNIPE_SERVER_READY, 1, 1000);
		call(a, true, "lost", 5000000, 3000000, fingerprint);
		Socket *s = wait_for_request();
		ASSERT_TRUE(s);
		s->send_text(bytes);
		s->close_now();
		ASSERT_TRUE(answered(a));
		connections.clear();
	}
	// The fingerprints of the strikes that the gate reports.
	std::vector<uint64_t> struck()
	{
		struct snipe_node_report r = {};
		std::vector<uint64_t> fingerprints;

		snipe_gate_fill_report(&gate, snipe_now_us(), &r);
		for (int i = 0; i < r.strike_count; i++)
			fingerprints.push_back(r.strikes[i].fingerprint);
		return fingerprints;
	}
	bool answered(Answer &a)
	{
		return loop.until([&] { return a.count > 0; });
	}
};

} // namespace

TEST_F(Gate, ForwardsTheRequestWithTheServersIdAndTheTimeLeft)
{
	Answer a;

	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	EXPECT_NE(s->in.find("GET /a?b=c HTTP/1.1\r\n"), std::string::npos);
	EXPECT_NE(s->in.find("Id: r1\r\n"), std::string::npos);
	EXPECT_NE(s->in.find("Expect-Server: i-1\r\n"), std::string::npos);
	size_t at = s->in.find("Left: ");
	ASSERT_NE(at, std::string::npos);
	int left = atoi(s->in.c_str() + at + 6);
	EXPECT_GT(left, 0);
	EXPECT_LE(left, 5000);
	respond(s);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.outcome, SNIPE_ANSWER_COMPLETE);
	EXPECT_EQ(a.status, 200);
	EXPECT_EQ(a.body, "ok");
}

TEST_F(Gate, RejectsCallsAsNotRunWithoutAReadyServer)
{
	Answer before, draining, gone;

	call(before);
	ASSERT_TRUE(answered(before));
	EXPECT_EQ(before.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(before.reason, SNIPE_GATE_NO_SERVER);
	announce("i-1", SNIPE_SERVER_READY, 1);
	announce("i-1", SNIPE_SERVER_DRAINING, 2);
	call(draining);
	ASSERT_TRUE(answered(draining));
	EXPECT_EQ(draining.reason, SNIPE_GATE_DRAINING);
	announce("i-1", SNIPE_SERVER_NONE, 0);
	call(gone);
	ASSERT_TRUE(answered(gone));
	EXPECT_EQ(gone.reason, SNIPE_GATE_NO_SERVER);
	EXPECT_EQ(gone.arrived, 0);
	EXPECT_FALSE(server.take().fd >= 0) << "no request may reach the server";
	EXPECT_EQ(changes, 2) << "both changes must be reported";
}

TEST_F(Gate, ADrainingServerFinishesRunningCallsAndWaitingOnesAreRejected)
{
	Answer running, waiting;

	announce("i-1", SNIPE_SERVER_READY, 1, 1000, 1);
	call(running, true, "r1");
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	call(waiting, true, "r2");
	loop.run_ms(30);
	EXPECT_EQ(waiting.count, 0);
	announce("i-1", SNIPE_SERVER_DRAINING, 2, 1000, 1);
	ASSERT_TRUE(answered(waiting));
	EXPECT_EQ(waiting.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(waiting.reason, SNIPE_GATE_DRAINING);
	respond(s);
	ASSERT_TRUE(answered(running));
	EXPECT_EQ(running.status, 200);
}

TEST_F(Gate, OutdatedAnnouncementsAndThoseOfOtherServicesAreIgnored)
{
	Answer a;

	announce("i-2", SNIPE_SERVER_READY, 5, 2000);
	EXPECT_EQ(announce("i-2", SNIPE_SERVER_DRAINING, 4, 2000), SNIPE_ERR_CONFLICT)
		<< "overtaken by sequence 5, and so not to be acknowledged";
	announce("i-1", SNIPE_SERVER_DRAINING, 9, 1000); // of an earlier process
	announce("i-1", SNIPE_SERVER_NONE, 0, 1000);
	EXPECT_EQ(announce("i-3", SNIPE_SERVER_READY, 1, 3000, 20, "other"), SNIPE_ERR_INVALID);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	EXPECT_TRUE(s->has("Expect-Server: i-2"));
	respond(s);
	ASSERT_TRUE(answered(a));
	announce("i-2", SNIPE_SERVER_NONE, 0, 2000);
	announce("i-2", SNIPE_SERVER_READY, 6, 2000); // sent before it left
	Answer b;
	call(b);
	ASSERT_TRUE(answered(b));
	EXPECT_EQ(b.reason, SNIPE_GATE_NO_SERVER);
}

// Guards against a refused announcement that changes what is known of the server.
TEST_F(Gate, ARefusedAnnouncementLeavesTheServerAsItWas)
{
	struct snipe_server_announcement before;

	announce("i-1", SNIPE_SERVER_READY, 5, 1000);
	before = gate.server;
	EXPECT_EQ(announce("i-1", SNIPE_SERVER_READY, 6, 1000, 20, "other"), SNIPE_ERR_INVALID);
	EXPECT_EQ(announce("i-1", SNIPE_SERVER_READY, 6, snipe_wall_ms() + 7200000),
		  SNIPE_ERR_INVALID)
		<< "a start in the future would outdate all that the server says";
	EXPECT_EQ(announce("i-1", SNIPE_SERVER_DRAINING, 5, 1000), SNIPE_ERR_CONFLICT);
	EXPECT_EQ(memcmp(&gate.server, &before, sizeof(before)), 0);
	EXPECT_TRUE(departures.empty());
	EXPECT_EQ(announce("i-1", SNIPE_SERVER_DRAINING, 6, 1000), 0);
	EXPECT_EQ(announce("i-1", SNIPE_SERVER_DRAINING, 6, 1000), 0) << "it is in force";
}

TEST_F(Gate, AServerThatRestartsWithTheSameIdIsUsed)
{
	Answer a;

	announce("i-1", SNIPE_SERVER_READY, 50, 1000);
	announce("i-1", SNIPE_SERVER_DRAINING, 51, 1000);
	announce("i-1", SNIPE_SERVER_READY, 1, 2000);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s) << "a new process counts its announcements from 1";
	respond(s);
	ASSERT_TRUE(answered(a));
}

TEST_F(Gate, CallsDepartedOnceForEachDeparture)
{
	announce("i-1", SNIPE_SERVER_READY, 1);
	EXPECT_TRUE(departures.empty());
	announce("i-1", SNIPE_SERVER_DRAINING, 2);
	announce("i-1", SNIPE_SERVER_DRAINING, 3);
	ASSERT_EQ(departures.size(), 1u);
	EXPECT_EQ(departures[0].sequence, 2u);
	announce("i-1", SNIPE_SERVER_NONE, 0, 0);
	ASSERT_EQ(departures.size(), 2u);
	EXPECT_STREQ(departures[1].server_id, "i-1");
	EXPECT_EQ(departures[1].started_ms, 1000);
	EXPECT_EQ(departures[1].sequence, SNIPE_DEPARTURE_FINAL);
}

// A departure may be the first announcement that a restarted node receives; delayed earlier
// ones can follow it.
TEST_F(Gate, ADepartureOfAnUnknownServerOverridesLateAnnouncements)
{
	Answer a;

	announce("i-1", SNIPE_SERVER_NONE, 0, 0);
	announce("i-1", SNIPE_SERVER_READY, 7, 1000);
	call(a);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.reason, SNIPE_GATE_NO_SERVER);
}

TEST_F(Gate, ARestoredDepartureOverridesAnEarlierLateAnnouncement)
{
	EXPECT_EQ(rejection_after_restore({"i-1", 1000, 7}), SNIPE_GATE_DRAINING);
}

TEST_F(Gate, AServerWithARestoredFinalDepartureIsNotUsed)
{
	EXPECT_EQ(rejection_after_restore({"i-1", 1000, SNIPE_DEPARTURE_FINAL}),
		  SNIPE_GATE_NO_SERVER);
}

TEST_F(Gate, ARestoredDepartureOfAnEarlierProcessIsIgnored)
{
	const struct snipe_departure earlier = {"i-1", 900, SNIPE_DEPARTURE_FINAL};
	Answer a;

	announce("i-1", SNIPE_SERVER_READY, 1, 1000);
	snipe_gate_restore_departure(&gate, &earlier);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(a));
}

// The store and other nodes may hold different departures for the same node.
TEST_F(Gate, OfRestoredDeparturesTheLaterOneCounts)
{
	const struct snipe_departure earlier = {"i-1", 900, 3}, later = {"i-2", 1000, 1};
	Answer a;

	EXPECT_TRUE(snipe_gate_restore_departure(&gate, &earlier));
	EXPECT_TRUE(snipe_gate_restore_departure(&gate, &later));
	EXPECT_FALSE(snipe_gate_restore_departure(&gate, &earlier));
	announce("i-2", SNIPE_SERVER_READY, 1, 1000);
	call(a);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.reason, SNIPE_GATE_NO_SERVER);
	announce("i-3", SNIPE_SERVER_NONE, 0, 0);
	EXPECT_FALSE(snipe_gate_restore_departure(&gate, &later)) << "received after it";
}

TEST_F(Gate, ARestoredDepartureOverridesLateAnnouncementsButNotARestart)
{
	const struct snipe_departure gone = {"i-1", 1000, SNIPE_DEPARTURE_FINAL};
	Answer a, b;

	snipe_gate_restore_departure(&gate, &gone);
	announce("i-1", SNIPE_SERVER_READY, 9, 1000);
	call(a);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.reason, SNIPE_GATE_NO_SERVER);
	announce("i-1", SNIPE_SERVER_READY, 1, 1500); // the server started again
	call(b, true, "r2");
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(b));
}

// Guards against a server that left and is used again: an announcement from before its
// departure arrives at a process that does not know the departure.
TEST_F(Gate, WhileDeparturesAreUnknownAServerIsUsedFromItsSecondAnnouncementOn)
{
	Answer a, b;

	gate.are_departures_known = 0;
	announce("i-1", SNIPE_SERVER_READY, 7);
	announce("i-1", SNIPE_SERVER_READY, 7); // the same one
	call(a);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(a.reason, SNIPE_GATE_UNCONFIRMED);
	struct snipe_node_report r = {};
	snipe_gate_fill_report(&gate, snipe_now_us(), &r);
	EXPECT_NE(r.server, SNIPE_SERVER_READY) << "other nodes would send it requests";
	announce("i-1", SNIPE_SERVER_READY, 8);
	call(b, true, "r2");
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(b));
}

TEST_F(Gate, AnAnnouncedServerIsUsedOnceDeparturesAreKnown)
{
	Answer a;

	gate.are_departures_known = 0;
	announce("i-1", SNIPE_SERVER_READY, 7);
	snipe_gate_set_departures_known(&gate);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(a));
}

// Otherwise each server that starts in a long outage would wait for its second announcement.
TEST_F(Gate, UnknownDeparturesDoNotMatterWhenTheyAreTooOld)
{
	Answer a;

	gate.are_departures_known = 0;
	gate.started_us -= SNIPE_DEPARTURE_VALID_US;
	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(a));
}

TEST_F(Gate, AnotherServerAtTheAddressIsNotUsedUntilItAnnouncesItself)
{
	Answer a, b, c;

	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s, "421 Misdirected", "");
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.outcome, SNIPE_ANSWER_NOT_RUN);
	call(b);
	ASSERT_TRUE(answered(b));
	EXPECT_EQ(b.reason, SNIPE_GATE_NO_SERVER);
	announce("i-2", SNIPE_SERVER_READY, 1, 2000);
	call(c);
	s = wait_for_request();
	ASSERT_TRUE(s);
	EXPECT_TRUE(s->has("Expect-Server: i-2"));
}

TEST_F(Gate, ARejectionByTheServerIsNotRunButHasArrived)
{
	Answer a;

	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s, "503 Busy", "Not-Run: 1\r\n");
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(a.arrived, 1);
	EXPECT_EQ(a.reason, SNIPE_GATE_SERVER_REJECTED);
}

TEST_F(Gate, AnInvalidOrIncompleteResponseMeansOutcomeUnknown)
{
	struct {
		const char *bytes, *reason;
		bool cut;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "unsigned", false},
		{"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Encoding: gzip\r\n"
		 "Content-Length: 2\r\n\r\nok",
		 "encoded", false},
		{"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nok",
		 SNIPE_GATE_RESPONSE_BROKEN, true},
		{"rubbish\r\n\r\n", SNIPE_GATE_RESPONSE_BROKEN, false},
		{"HTTP/1.1 000 x\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		 SNIPE_GATE_RESPONSE_BROKEN, false},
		{"HTTP/1.1 00200 x\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		 SNIPE_GATE_RESPONSE_BROKEN, false},
		{"HTTP/1.1 600 x\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		 SNIPE_GATE_RESPONSE_BROKEN, false},
		{"", SNIPE_GATE_RESPONSE_LOST, true},
	};

	announce("i-1", SNIPE_SERVER_READY, 1);
	for (const auto &k : cases) {
		Answer a;

		call(a);
		Socket *s = wait_for_request();
		ASSERT_TRUE(s);
		s->in.clear();
		if (*k.bytes)
			s->send_text(k.bytes);
		loop.run_ms(20);
		if (k.cut)
			s->close_now();
		ASSERT_TRUE(answered(a)) << k.reason;
		EXPECT_EQ(a.outcome, SNIPE_ANSWER_UNKNOWN) << k.reason;
		EXPECT_EQ(a.reason, k.reason);
		EXPECT_EQ(a.arrived, 1);
		connections.clear();
	}
}

TEST_F(Gate, RunsNoMoreCallsThanSlotsAndStartsWaitingOnesAtOnce)
{
	std::vector<Answer> a(30);

	announce("i-1", SNIPE_SERVER_READY, 1, 1000, 20);
	for (size_t i = 0; i < a.size(); i++)
		call(a[i], true, "r");
	auto count = [&] {
		Socket s = server.take();
		if (s.fd >= 0)
			connections.push_back(std::make_unique<Socket>(std::move(s)));
		return connections.size();
	};
	ASSERT_TRUE(loop.until([&] { return count() >= 19; }));
	loop.run_ms(100);
	EXPECT_EQ(count(), 19u) << "one of 20 slots stays unused";
	EXPECT_EQ(gate.queue.count, 11);
	for (int i = 0; i < 11; i++)
		respond(connections[(size_t)i].get());
	EXPECT_TRUE(loop.until([&] { return gate.queue.count == 0; }));
	EXPECT_EQ(gate.queue.running, 19);
}

TEST_F(Gate, ACallThatWaitedForItsPatienceIsNotRun)
{
	Answer running, waiting;

	announce("i-1", SNIPE_SERVER_READY, 1, 1000, 1);
	gate.service_us = 10000;
	call(running);
	ASSERT_TRUE(wait_for_request());
	call(waiting, true, "r2", 5000000, 100000);
	int64_t start = snipe_now_us();
	ASSERT_TRUE(answered(waiting));
	EXPECT_EQ(waiting.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_GE(snipe_now_us() - start, 90000);
	EXPECT_EQ(running.count, 0);
}

TEST_F(Gate, CancellingAnIdempotentCallFreesItsSlot)
{
	Answer a;

	announce("i-1", SNIPE_SERVER_READY, 1);
	uint64_t id = call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	snipe_peer_cancel(&caller, id);
	EXPECT_TRUE(loop.until([&] {
		s->pump();
		return s->eof || s->reset;
	}));
	EXPECT_EQ(gate.queue.running, 0);
	EXPECT_EQ(snipe_gate_in_flight(&gate), 0);
}

TEST_F(Gate, ACancelledCallThatIsNotIdempotentRunsToItsEnd)
{
	Answer a;

	announce("i-1", SNIPE_SERVER_READY, 1);
	uint64_t id = call(a, false);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	snipe_peer_cancel(&caller, id);
	loop.run_ms(100);
	s->pump();
	EXPECT_FALSE(s->eof);
	EXPECT_EQ(gate.queue.running, 1) << "the server still works on it";
	respond(s);
	EXPECT_TRUE(loop.until([&] { return gate.queue.running == 0; }));
}

TEST_F(Gate, AConnectionWithoutAResponseBeforeTheTimeoutIsNotReused)
{
	Answer a, b;

	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a, true, "r1", 150000);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.outcome, SNIPE_ANSWER_UNKNOWN);
	EXPECT_EQ(a.reason, SNIPE_GATE_TIMEOUT);
	EXPECT_TRUE(loop.until([&] {
		s->pump();
		return s->eof || s->reset;
	}));
	s->in.clear();
	call(b, true, "r2");
	EXPECT_NE(wait_for_request(), s);
}

TEST_F(Gate, ARefusedConnectionMakesTheServerUnusable)
{
	Answer a, b;

	settings.backend_server = free_address();
	snipe_h1_pool_set_address(&gate.pool, &settings.backend_server);
	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(a.arrived, 0);
	call(b);
	ASSERT_TRUE(answered(b));
	EXPECT_EQ(b.reason, SNIPE_GATE_NO_SERVER);
	struct snipe_node_report r = {};
	snipe_gate_fill_report(&gate, snipe_now_us(), &r);
	EXPECT_EQ(r.server, SNIPE_SERVER_DRAINING) << "other nodes must not send calls here";
}

// Calls with one fingerprint lose their connections in one crash, which is detected first by a
// refused connection and then by the announcement of the next process.
TEST_F(Gate, ACrashDetectedTwiceCountsOnce)
{
	Answer a, b, c, d;

	announce("i-1", SNIPE_SERVER_READY, 1, 1000);
	call(a, true, "a", 5000000, 3000000, 99);
	call(b, true, "b", 5000000, 3000000, 99);
	Socket *first = wait_for_request(), *second = wait_for_request();
	ASSERT_TRUE(first && second);
	first->reset_now();
	ASSERT_TRUE(answered(a));
	settings.backend_server = free_address();
	snipe_h1_pool_set_address(&gate.pool, &settings.backend_server);
	call(c, true, "c", 5000000, 3000000, 5);
	ASSERT_TRUE(answered(c)); // first detection: connection refused
	second->reset_now();
	ASSERT_TRUE(answered(b));
	connections.clear();
	settings.backend_server = server.address;
	snipe_h1_pool_set_address(&gate.pool, &settings.backend_server);
	announce("i-2", SNIPE_SERVER_READY, 1, 2000); // second detection: a new process
	call(d, true, "d", 5000000, 3000000, 99);
	Socket *s = wait_for_request();
	if (s)
		respond(s);
	ASSERT_TRUE(answered(d));
	EXPECT_EQ(d.status, 200) << d.reason;
}

// A lost connection of a trial is a strike at once: other nodes would run the next trial before
// the crash is detected otherwise.
TEST_F(Gate, ALostTrialIsReportedAtOnce)
{
	struct snipe_node_report r = {};
	Answer a;

	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a, true, "r", 5000000, 3000000, 99, true);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	int before = changes;
	s->reset_now();
	ASSERT_TRUE(answered(a));
	EXPECT_GT(changes, before);
	snipe_gate_fill_report(&gate, snipe_now_us(), &r);
	ASSERT_EQ(r.strike_count, 1);
	EXPECT_EQ(r.strikes[0].fingerprint, 99u);
}

TEST_F(Gate, ARequestThatCrashedTwoServersIsRejected)
{
	for (int crash = 0; crash < 2; crash++) {
		Answer a;

		announce(crash ? "i-2" : "i-1", SNIPE_SERVER_READY, 1, 1000 + crash);
		call(a, true, "r", 5000000, 3000000, 99);
		Socket *s = wait_for_request();
		ASSERT_TRUE(s);
		s->reset_now();
		ASSERT_TRUE(answered(a));
		connections.clear();
	}
	announce("i-3", SNIPE_SERVER_READY, 1, 1002);
	Answer bad, good;
	call(bad, true, "r", 5000000, 3000000, 99);
	ASSERT_TRUE(answered(bad));
	EXPECT_EQ(bad.reason, SNIPE_GATE_CRASH_SUSPECT);
	call(good, true, "r", 5000000, 3000000, 100);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(good));
	EXPECT_EQ(good.status, 200);
	Answer trial, later;
	call(trial, true, "r", 5000000, 3000000, 99, true);
	s = wait_for_request();
	ASSERT_TRUE(s) << "a trial runs";
	respond(s);
	ASSERT_TRUE(answered(trial));
	call(later, true, "r", 5000000, 3000000, 99);
	s = wait_for_request();
	ASSERT_TRUE(s) << "the successful trial cleared it";
	respond(s);
	ASSERT_TRUE(answered(later));
	struct snipe_node_report r = {};
	snipe_gate_fill_report(&gate, snipe_now_us(), &r);
	ASSERT_GE(r.strike_count, 1) << "the strikes must be reported";
	EXPECT_EQ(r.strikes[0].fingerprint, 99u);
}

// A server's own failure is no sign that the request does no harm.
TEST_F(Gate, AFailureOfTheServerClearsNoStrikes)
{
	struct snipe_crash_view v;
	Answer a;

	snipe_crash_guard_record_strike(&guard, snipe_now_us(), 99, 1);
	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a, true, "r", 5000000, 3000000, 99);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s, "500 Failed");
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.status, 500);
	snipe_crash_guard_view(&guard, 99, &v);
	EXPECT_EQ(v.strikes, 1);
}

TEST_F(Gate, ARequestThatReachedNoServerGetsNoStrike)
{
	struct snipe_crash_view v;
	Answer a;

	announce("i-1", SNIPE_SERVER_READY, 1);
	shutdown(server.fd, SHUT_RDWR); // its port refuses connections from now on
	call(a, true, "r", 5000000, 3000000, 99);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_FALSE(a.arrived);
	snipe_crash_guard_view(&guard, 99, &v);
	EXPECT_EQ(v.strikes, 0);
}

TEST_F(Gate, ARequestThatBecameSuspectWhileItWaitedIsRejected)
{
	Answer running, waiting, trial;

	announce("i-1", SNIPE_SERVER_READY, 1, 1000, 1);
	call(running, true, "a", 5000000, 3000000, 5);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	call(waiting, true, "b", 5000000, 3000000, 99);
	call(trial, true, "c", 5000000, 3000000, 99, true);
	ASSERT_TRUE(loop.until([&] { return gate.queue.count == 2; }));
	snipe_crash_guard_record_strike(&guard, snipe_now_us(), 99, 1);
	snipe_crash_guard_record_strike(&guard, snipe_now_us(), 99, 2);
	respond(s);
	ASSERT_TRUE(answered(waiting));
	EXPECT_EQ(waiting.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(waiting.reason, SNIPE_GATE_CRASH_SUSPECT);
	EXPECT_FALSE(waiting.arrived);
	s = wait_for_request();
	ASSERT_TRUE(s) << "the slot is free for the next one";
	respond(s);
	ASSERT_TRUE(answered(trial));
	EXPECT_EQ(trial.status, 200);
}

// Guards against a request that keeps crashing servers because only some of the requests that
// ran during a crash get a strike, or are reported.
TEST_F(Gate, EachRequestThatRanWhenAServerCrashedGetsAStrike)
{
	const uint64_t count = 50;
	std::vector<std::unique_ptr<Answer>> answers;
	std::set<uint64_t> reported;

	announce("i-1", SNIPE_SERVER_READY, 1, 1000, 200);
	for (uint64_t f = 1; f <= count; f++) {
		answers.push_back(std::make_unique<Answer>());
		call(*answers.back(), true, "r", 5000000, 3000000, 1000 + f);
	}
	ASSERT_TRUE(loop.until([&] {
		Socket s = server.take();
		if (s.fd >= 0)
			connections.push_back(std::make_unique<Socket>(std::move(s)));
		return connections.size() == count;
	}));
	for (auto &s : connections)
		s->reset_now();
	for (auto &a : answers)
		ASSERT_TRUE(answered(*a));
	announce("i-2", SNIPE_SERVER_READY, 1, 2000, 200);
	for (uint64_t f = 1; f <= count; f++) {
		struct snipe_crash_view v;

		snipe_crash_guard_view(&guard, 1000 + f, &v);
		EXPECT_EQ(v.strikes, 1) << f;
	}
	// A node that stalled after the crash must not send reports without end.
	EXPECT_FALSE(snipe_gate_has_unreported_strikes(&gate, snipe_now_us() + 10000000));
	for (int i = 0; snipe_gate_has_unreported_strikes(&gate, snipe_now_us()) && i < 10;
	     i++) {
		struct snipe_node_report r = {};

		snipe_gate_fill_report(&gate, snipe_now_us(), &r);
		for (int k = 0; k < r.strike_count; k++)
			reported.insert(r.strikes[k].fingerprint);
	}
	EXPECT_EQ(reported.size(), count);
}

// Guards against a request that crashes servers while they answer and never gets a strike.
TEST_F(Gate, ARequestWhoseAnswerBrokeOffBeforeACrashGetsAStrike)
{
	lose_connection(99, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 400\r\n\r\n");
	announce("i-2", SNIPE_SERVER_READY, 1, 2000);
	EXPECT_EQ(struck(), std::vector<uint64_t>{99});
}

// Guards against a crash that shows late, since nothing else was sent to the server.
TEST_F(Gate, ARequestGetsAStrikeAlthoughTheCrashShowsLate)
{
	lose_connection(99);
	loop.run_ms(3500);
	announce("i-2", SNIPE_SERVER_READY, 1, 2000);
	EXPECT_EQ(struck(), std::vector<uint64_t>{99});
}

// Guards against strikes for lost connections that the server's process outlived.
TEST_F(Gate, AnAnswerAfterALostConnectionShowsThatTheServerRan)
{
	Answer a;

	lose_connection(99);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(a));
	announce("i-2", SNIPE_SERVER_READY, 1, 2000);
	EXPECT_EQ(struck(), std::vector<uint64_t>{});
}

// Guards against strikes for the crash of a process on which the request did not run.
TEST_F(Gate, ACrashOfTheNextServerIsNotChargedToRequestsOfTheLastOne)
{
	lose_connection(99);
	announce("i-1", SNIPE_SERVER_NONE, 0, 0);
	announce("i-2", SNIPE_SERVER_READY, 1, 2000);
	announce("i-3", SNIPE_SERVER_READY, 1, 3000);
	EXPECT_EQ(struck(), std::vector<uint64_t>{});
}

TEST_F(Gate, AServerWithoutAnnouncementsAndResponsesIsNotUsed)
{
	Answer a;

	settings.announce_interval_us = 50000;
	announce("i-1", SNIPE_SERVER_READY, 1);
	loop.run_ms(200);
	call(a);
	ASSERT_TRUE(answered(a));
	EXPECT_EQ(a.reason, SNIPE_GATE_NO_SERVER);
}

// The senders of calls that waited in the sockets of a stalled process have given up.
TEST_F(Gate, CallsReadAfterAStallAreNotRun)
{
	Answer a, b;

	announce("i-1", SNIPE_SERVER_READY, 1);
	call(a);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(a));
	call(b, false, "r2");
	gate.ticked_us -= 3000000;
	ASSERT_TRUE(answered(b));
	EXPECT_EQ(b.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(b.reason, SNIPE_GATE_EXPIRED);
}

// The entries admit client requests by the cost that answers state.
TEST_F(Gate, AnswersStateWhatARequestOfTheirRouteCosts)
{
	double cost = 0;

	announce("i-1", SNIPE_SERVER_READY, 1);
	for (int i = 0; i < 40; i++) {
		Answer a;

		call(a);
		Socket *s = wait_for_request();
		ASSERT_TRUE(s);
		loop.run_ms(50);
		respond(s);
		ASSERT_TRUE(answered(a));
		if (a.cost.count > 0)
			cost = snipe_chain_cost_at(&a.cost, snipe_hash64_str("tips"));
	}
	EXPECT_GE(cost, 50000);
	EXPECT_LT(cost, 500000);
}

TEST_F(Gate, ReportsThePartOfTheCallsThatItRejectsForLackOfSlots)
{
	struct snipe_node_report r = {};
	Answer running, rejected[3];

	announce("i-1", SNIPE_SERVER_READY, 1, 1000, 1);
	call(running);
	ASSERT_TRUE(wait_for_request());
	for (Answer &a : rejected) {
		call(a, true, "r2", 5000000, 0);
		ASSERT_TRUE(answered(a));
		EXPECT_EQ(a.reason, "overloaded");
	}
	snipe_gate_fill_report(&gate, snipe_now_us(), &r);
	EXPECT_NEAR(r.rejected_ratio, 0.75, 0.1);
	snipe_gate_fill_report(&gate, snipe_now_us() + 10000000, &r);
	EXPECT_EQ(r.rejected_ratio, 0);
}

// A node without descriptors called its server crashed, gave strikes to all running requests
// and told the other nodes.
TEST_F(Gate, LackOfSocketsIsNoCrashOfTheServer)
{
	Answer running, failed, next;
	DescriptorLimit limit;

	announce("i-1", SNIPE_SERVER_READY, 1);
	call(running);
	ASSERT_NE(wait_for_request(), nullptr);
	limit.AllowNoMore();
	call(failed, true, "r2", 5000000, 3000000, 2);
	ASSERT_TRUE(answered(failed));
	EXPECT_EQ(failed.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(failed.reason, "no_socket");
	EXPECT_EQ(failed.arrived, 0);
	limit.Restore();
	EXPECT_FALSE(snipe_gate_has_unreported_strikes(&gate, snipe_now_us()));
	call(next, true, "r3");
	EXPECT_NE(wait_for_request(), nullptr) << "the server is still used";
}

TEST_F(Gate, ForLackOfMemoryALargeCallIsNotRunAndASmallOneIs)
{
	Answer large, small;

	memory.account.limit = 300000;
	snipe_memory_charge(&memory.account, 200000);
	announce("i-1", SNIPE_SERVER_READY, 1);
	request_body.assign(80000, 'x');
	call(large);
	ASSERT_TRUE(answered(large));
	EXPECT_EQ(large.outcome, SNIPE_ANSWER_NOT_RUN);
	EXPECT_EQ(large.reason, SNIPE_GATE_NO_MEMORY);
	EXPECT_EQ(large.arrived, 0);
	EXPECT_EQ(memory.account.held, 200000u);
	request_body.assign(800, 'x');
	call(small);
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	respond(s);
	ASSERT_TRUE(answered(small));
	EXPECT_EQ(small.outcome, SNIPE_ANSWER_COMPLETE);
}

TEST_F(Gate, ForLackOfMemoryTheLongestHeldOfTheLargeAnswersIsGivenUp)
{
	Answer old, recent, small;

	memory.account.limit = 200000;
	announce("i-1", SNIPE_SERVER_READY, 1);
	for (Answer *a : {&old, &recent}) {
		call(*a, true, a == &old ? "old" : "recent");
		Socket *s = wait_for_request();
		ASSERT_TRUE(s);
		s->in.clear();
		s->send_text("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: "
			     "90001\r\n\r\n" +
			     std::string(90000, 'y'));
		ASSERT_TRUE(loop.until(
			[&] { return memory.account.held > (a == &old ? 90000u : 180000u); }));
	}
	call(small, true, "small");
	Socket *s = wait_for_request();
	ASSERT_TRUE(s);
	snipe_memory_limit_enforce(&memory, snipe_now_us());
	ASSERT_TRUE(answered(old));
	EXPECT_EQ(old.outcome, SNIPE_ANSWER_UNKNOWN) << "the server may have run it";
	EXPECT_EQ(old.reason, SNIPE_GATE_NO_MEMORY);
	EXPECT_EQ(old.arrived, 1);
	respond(s);
	ASSERT_TRUE(answered(small));
	// Room for the copies in which the other one is passed on.
	memory.account.limit = 400000;
	connections[1]->send_text("y");
	ASSERT_TRUE(answered(recent));
	EXPECT_EQ(recent.body.size(), 90001u);
	EXPECT_EQ(memory.account.held, 0u);
}
