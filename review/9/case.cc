// A planned stop while a client waits for pipelined requests: answers that the backend servers
// have given must reach the client, also behind one that will not come before the end.
#include "../6/fleet.h"

using namespace review;

static const int kSlowMs = 3300;
static const int kQuickMs = 200;
static const int kBudgetMs = 6000;
static const int kBehind = 4; // quick requests behind the slow one on each connection
static const int kClients = 10;

struct Sent {
	std::string id;
	bool is_slow = false;
	int64_t sent_ms = 0, end_ms = 0;
	std::string outcome = "closed without an answer";
};

static std::string Manifest()
{
	return "{\"version\":\"0000000c\",\"routes\":{\"columns\":[\"name\",\"host\","
	       "\"prefix\","
	       "\"service\",\"kind\",\"timeout-s\",\"target-latency-s\",\"attempts\","
	       "\"priority\"],\"rows\":[[\"care-tips\",\"salon.example\",\"/tips/\",\"tips\","
	       "\"idempotent\",6,4,1,2]]},\"services\":{\"columns\":[\"name\","
	       "\"max-connections\"],\"rows\":[[\"tips\",900]]},\"limits\":{"
	       "\"max-header-bytes\":16384,\"max-body-bytes\":1000000,\"header-timeout-s\":3,"
	       "\"idle-timeout-s\":15},\"tenants\":{\"columns\":[\"name\",\"api-keys\","
	       "\"priority\",\"requests-per-s\",\"burst\"],\"rows\":[[\"salon-1\",["
	       "\"key-of-salon-1\"],1,0,0]]}}";
}

// Sends one slow request and quick ones behind it, and reads the answers in their order.
static void Pipeline(Record &record, const Node &n, std::vector<Sent> &list)
{
	auto c = Connection::To(n.outbound);
	Message m;

	for (Sent &s : list) {
		s.id = NewId();
		s.sent_ms = NowMs();
		if (!c)
			continue;
		c->Send("GET /tips/" + std::string(s.is_slow ? "slow" : "quick") + "/" + s.id +
			" HTTP/1.1\r\nHost: salon.example\r\nAttempt-Id: " + s.id +
			"\r\nDeadline-Ms: " + std::to_string(kBudgetMs) +
			"\r\nAuthorization: Token key-of-salon-1\r\n\r\n");
		record.Line("client sends %s (%s) to %s", s.id.c_str(),
			    s.is_slow ? "slow" : "quick", n.name.c_str());
	}
	for (Sent &s : list) {
		int64_t left = s.sent_ms + kBudgetMs + 500 - NowMs();
		int got = c ? c->Read(&m, (int)std::max<int64_t>(left, 0)) : 0;

		s.end_ms = NowMs();
		if (got == 1)
			s.outcome = std::to_string(m.Status());
		else if (s.end_ms - s.sent_ms >= kBudgetMs)
			s.outcome = "time budget";
		record.Line("client: %s ends: %s", s.id.c_str(), s.outcome.c_str());
	}
}

int main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Store store;
	Runs runs;
	Platform platform(record, store);
	std::vector<std::vector<Sent>> sent(kClients, std::vector<Sent>(1 + kBehind));
	std::vector<std::thread> clients;
	int broken = 0, served = 0;

	store.Write("config", "main", Manifest());
	for (const char *zone : {"tauranga", "auckland", "wellington"}) {
		Node &n = platform.AddNode(std::string("sidecar-") + zone + "-1", zone, "tips");
		platform.Start(n, true);
		n.backend = std::make_unique<Backend>(
			record, runs, std::string("i-") + zone, n.service, n.zone, n.app,
			n.admin, 60, [](const Message &m) {
				bool is_slow = m.first.find("/slow/") != std::string::npos;
				return Work{is_slow ? kSlowMs : kQuickMs, 200};
			});
	}
	Node &stopped = *platform.nodes[0];
	if (!platform.WaitReady(15000))
		CannotRun("the nodes are not ready");
	SleepMs(4000); // contact-s and one more second
	int64_t term = NowMs();
	if (WithTrouble())
		platform.Terminate(stopped);
	// The only node of its zone: clients go on sending.
	SleepMs(2500);
	if (!platform.MaySend(stopped))
		CannotRun("clients may not send");
	for (auto &list : sent) {
		list[0].is_slow = true;
		clients.emplace_back(
			[&record, &stopped, &list] { Pipeline(record, stopped, list); });
	}
	for (auto &c : clients)
		c.join();
	SleepMs(500);

	// LOST, around a SIGTERM of the machine that took the request, until 1 s after grace-s:
	// passed on to a backend, and the connection ends without an answer. Not counted: the
	// backend was still at work in the last sixth of grace-s, or the request was not passed
	// on.
	for (const auto &list : sent)
		for (const Sent &s : list) {
			auto ran = runs.Of(s.id);
			bool is_cut = s.outcome == "closed without an answer" &&
				      s.end_ms <= term + Platform::kGraceMs + 1000;

			served += s.outcome == "200";
			if (!is_cut || ran.empty())
				continue;
			if (ran[0].end_ms == 0 || ran[0].end_ms - term >= 5000) {
				record.Line("excused: %s, its backend was still at work",
					    s.id.c_str());
				continue;
			}
			broken++;
			record.Line("LOST: %s, its run at %s ended (%s) %lld ms after the "
				    "SIGTERM, the connection %lld ms after it",
				    s.id.c_str(), ran[0].server.c_str(), ran[0].end.c_str(),
				    (long long)(ran[0].end_ms - term),
				    (long long)(s.end_ms - term));
		}
	record.Line("answered 200: %d, lost: %d", served, broken);
	printf("answered 200: %d, lost: %d\n", served, broken);
	platform.Stop();
	for (auto &n : platform.nodes)
		n->backend->Stop();
	store.Stop();
	if (!WithTrouble() && served < kClients * (1 + kBehind))
		CannotRun("requests failed without a stop");
	return broken > 0;
}
