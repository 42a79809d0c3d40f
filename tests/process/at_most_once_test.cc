// Requirement 9: a request marked as non-idempotent runs at most once. Guards against a second
// run by the node's own retries, by callers that resend an identifier through any node, and by
// two nodes that both act as owner of the identifier's shard.
#include <gtest/gtest.h>

#include <signal.h>

#include "support/fleet.h"

using namespace snipe_test;

namespace
{

class AtMostOnce : public ::testing::Test
{
      protected:
	void Start(const NodeSpec &pattern = {})
	{
		key = StartStandardFleet(fleet, pattern);
		/* Every shard has an owner that acts: a row of charges with new identifiers. */
		ASSERT_TRUE(WaitCharges());
	}
	Response Charge(size_t node, const std::string &id, const std::string &identifier,
			const std::string &plan = "{}")
	{
		Headers headers = {{"Fake-Request-Id", id}, {"Fake-Plan", plan}};

		if (!identifier.empty())
			headers.emplace_back("Idempotency-Key", identifier);
		return fleet.Call(node, "POST", "/charge", key.key, headers, "amount=1");
	}
	/* Waits for 100 successful charges in a row through the node. */
	bool WaitCharges(size_t node = 0)
	{
		int row = 0;

		return WaitFor([&] {
			bool good = Charge(node, NewId(), NewIdentifier()).status == 200;

			row = good ? row + 1 : 0;
			return row >= 100;
		});
	}
	/* Callers that send each charge again, through node after node, until it succeeds or
	 * five attempts are used up. */
	std::unique_ptr<Crowd> Resenders(int count, bool with_identifier,
					 const std::string &plan = "{\"service_ms\":20}")
	{
		return std::make_unique<Crowd>(count, [=](int n, const std::string &id) {
			std::string identifier = with_identifier ? NewIdentifier() : "";
			Response r;

			for (int i = 0; i < (with_identifier ? 5 : 1); i++) {
				r = Charge(static_cast<size_t>(n + i) % fleet.size(), id,
					   identifier, plan);
				if (r.status == 200)
					break;
			}
			return r;
		});
	}
	void CheckRuns()
	{
		/* Reads that waited for the fleet have no id. */
		for (const auto &c : fleet.StartedById())
			if (!c.first.empty()) {
				EXPECT_LE(c.second, 1) << c.first;
			}
	}
	Fleet fleet;
	Key key;
};

} // namespace

TEST_F(AtMostOnce, SameIdentifierAtTheSameTimeThroughAllNodes)
{
	Start();
	for (int round = 0; round < 20; round++) {
		std::string id = NewId(), identifier = NewIdentifier();
		std::vector<std::thread> threads;
		std::vector<Response> responses(8);

		for (size_t i = 0; i < responses.size(); i++)
			threads.emplace_back([&, i] {
				responses[i] = Charge(i % fleet.size(), id, identifier,
						      "{\"service_ms\":30}");
			});
		for (auto &t : threads)
			t.join();
		EXPECT_EQ(fleet.Started(id), 1);
		for (const auto &r : responses)
			EXPECT_TRUE(r.status == 200 || r.status == 409) << r.status;
	}
}

TEST_F(AtMostOnce, ResentAfterItsEndTheFirstResponseIsReplayed)
{
	Start();
	std::string id = NewId(), identifier = NewIdentifier();
	Response first = Charge(0, id, identifier);

	ASSERT_EQ(first.status, 200);
	for (size_t n = 0; n < fleet.size(); n++) {
		Response again = Charge(n, id, identifier);

		EXPECT_EQ(again.status, 200);
		EXPECT_EQ(again.Header("snipe-replayed"), "true");
		EXPECT_EQ(again.body, first.body);
	}
	EXPECT_EQ(fleet.Started(id), 1);
}

TEST_F(AtMostOnce, BackendServersDieWhileTheyRunCharges)
{
	Start();
	auto callers = Resenders(16, true);

	for (int i = 0; i < 6; i++) {
		ASSERT_TRUE(callers->WaitMore(30));
		fleet[i % 2].backend->Kill();
		fleet.StartBackend(fleet[i % 2]);
	}
	ASSERT_TRUE(callers->WaitMore(30));
	callers->Stop();
	CheckRuns();
}

TEST_F(AtMostOnce, WithoutAnIdentifierNoFailureMakesTheNodeSendAgain)
{
	NodeSpec pattern;

	pattern.backend_relay = true;
	Start(pattern);
	auto callers = Resenders(16, false);

	for (const char *json : {"{\"cut\":true}", "{\"silent\":true}",
				 "{\"drop_replies\":true}", "{\"drop_replies\":false}"}) {
		ASSERT_TRUE(callers->WaitMore(30));
		fleet[0].relay.Control(json);
	}
	ASSERT_TRUE(callers->WaitMore(30));
	for (const char *json :
	     {"{\"truncate\":\"length\"}", "{\"truncate\":\"\",\"fail_status\":503}",
	      "{\"fail_status\":500}", "{\"fail_status\":0,\"silent\":true}"}) {
		fleet[1].BackendControl(json);
		ASSERT_TRUE(callers->WaitMore(30));
	}
	fleet[1].backend->Kill();
	fleet.StartBackend(fleet[1]);
	ASSERT_TRUE(callers->WaitMore(30));
	callers->Stop();
	CheckRuns();
}

TEST_F(AtMostOnce, ResponsesAreLostAndCallersResend)
{
	NodeSpec pattern;

	pattern.backend_relay = true;
	Start(pattern);
	auto callers = Resenders(16, true);

	for (const char *json :
	     {"{\"drop_replies\":true}", "{\"drop_replies\":false,\"cut\":true}",
	      "{\"silent\":true}", "{\"delay_ms\":300}", "{\"delay_ms\":0}"}) {
		ASSERT_TRUE(callers->WaitMore(30));
		fleet[0].relay.Control(json);
	}
	ASSERT_TRUE(callers->WaitMore(30));
	callers->Stop();
	CheckRuns();
}

/* Claims, their answers and the charges themselves are lost on the way between nodes. */
TEST_F(AtMostOnce, LinksBetweenNodesGoSilentAndAreCut)
{
	Start();
	auto callers = Resenders(16, true);
	auto plain = Resenders(8, false);

	for (size_t n = 0; n < fleet.size(); n++) {
		ASSERT_TRUE(callers->WaitMore(30));
		ASSERT_TRUE(WaitFor([&] { return fleet.SilenceLinks(n) > 0; }));
		ASSERT_TRUE(callers->WaitMore(30));
		ASSERT_TRUE(WaitFor([&] { return fleet.CutLinks(n) > 0; }));
	}
	ASSERT_TRUE(callers->WaitMore(30));
	callers->Stop();
	plain->Stop();
	CheckRuns();
}

/* Each node owns some shards, so each is killed in turn; identifiers that ran under the former
 * owner come again to the new one. */
TEST_F(AtMostOnce, OwnersAreKilledAndIdentifiersComeAgain)
{
	Start();
	for (size_t victim = 0; victim < fleet.size(); victim++) {
		size_t other = (victim + 1) % fleet.size();
		std::vector<std::pair<std::string, std::string>> charges;
		auto callers = Resenders(8, true);

		for (int i = 0; i < 64; i++) {
			charges.emplace_back(NewId(), NewIdentifier());
			Charge(other, charges.back().first, charges.back().second);
		}
		fleet[victim].process->Kill();
		for (int round = 0; round < 3; round++)
			for (const auto &c : charges)
				Charge(other, c.first, c.second);
		ASSERT_TRUE(WaitCharges(other));
		for (const auto &c : charges)
			Charge(other, c.first, c.second);
		fleet.StartNode(fleet[victim]);
		ASSERT_TRUE(WaitCharges(victim));
		for (const auto &c : charges)
			Charge(victim, c.first, c.second);
		callers->Stop();
		CheckRuns();
	}
}

/* A paused owner wakes up and must not act on what it owned before. */
TEST_F(AtMostOnce, OwnersArePausedUntilOthersTookOver)
{
	Start();
	for (size_t victim = 0; victim < fleet.size(); victim++) {
		size_t other = (victim + 1) % fleet.size();
		std::vector<std::pair<std::string, std::string>> charges;
		std::vector<std::thread> threads;

		fleet[victim].process->Signal(SIGSTOP);
		ASSERT_TRUE(WaitCharges(other));
		for (int i = 0; i < 128; i++) {
			charges.emplace_back(NewId(), NewIdentifier());
			Charge(other, charges.back().first, charges.back().second);
		}
		/* Requests that wait in the sockets of the paused node when it wakes up. */
		for (int t = 0; t < 16; t++)
			threads.emplace_back([&, t] {
				for (size_t i = static_cast<size_t>(t); i < charges.size();
				     i += 16)
					Charge(victim, charges[i].first, charges[i].second);
			});
		fleet[victim].process->Signal(SIGCONT);
		for (auto &t : threads)
			t.join();
		ASSERT_TRUE(WaitCharges(victim));
		CheckRuns();
	}
}

/* Two failures at once: the platform is away when an owner dies, and it returns later. */
TEST_F(AtMostOnce, OwnerDiesDuringAPlatformOutage)
{
	Start();
	std::vector<std::pair<std::string, std::string>> charges;
	auto callers = Resenders(8, true);

	for (int i = 0; i < 64; i++) {
		charges.emplace_back(NewId(), NewIdentifier());
		Charge(1, charges.back().first, charges.back().second);
	}
	fleet.PlatformDown();
	fleet[0].process->Kill();
	for (int round = 0; round < 5; round++)
		for (const auto &c : charges)
			Charge(1, c.first, c.second);
	fleet.PlatformUp();
	ASSERT_TRUE(WaitCharges(1));
	for (const auto &c : charges)
		Charge(1, c.first, c.second);
	callers->Stop();
	CheckRuns();
}

TEST_F(AtMostOnce, IdentifiersThatAreNoUuidVersion7AreRejected)
{
	Start();
	for (const char *bad : {"abc", "00000000-0000-4000-8000-000000000000", "",
				"ffffffff-ffff-7fff-8fff-ffffffffffff"}) {
		std::string id = NewId();
		Response r =
			fleet.Call(0, "POST", "/charge", key.key,
				   {{"Fake-Request-Id", id}, {"Idempotency-Key", bad}}, "x");

		EXPECT_GE(r.status, 400) << bad;
		EXPECT_EQ(fleet.Started(id), 0) << bad;
	}
	Response r = Fetch(fleet[0].caller_port, "GET", "/.snipescale/identifier");
	EXPECT_EQ(r.status, 200);
}
