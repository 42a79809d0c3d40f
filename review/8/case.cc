// All backend servers of a service end at once while many clients read the same page, and then
// all nodes are killed. The page must be served again once everything is back.
#include "../6/fleet.h"

using namespace review;

static const int kNodes = 5;
static const int kPerSecond = 200;
static const int kWorkMs = 200;
static const int kBudgetMs = 5000;
static const int kCrashedMs = 3000;
static const int kKilledAfterMs = 1000;
static const int kRecoveryMs = 15000;
static const int kAfterMs = 85000; // from the final fault on

struct Sent {
	std::string id;
	int64_t sent_ms = 0;
	std::string outcome = "closed without an answer";
};

static std::string Manifest()
{
	return "{\"version\":\"0000000c\",\"routes\":{\"columns\":[\"name\",\"host\","
	       "\"prefix\","
	       "\"service\",\"kind\",\"timeout-s\",\"target-latency-s\",\"attempts\","
	       "\"priority\"],\"rows\":[[\"care-tips\",\"salon.example\",\"/tips/\",\"tips\","
	       "\"idempotent\",5,1.2,2,2]]},\"services\":{\"columns\":[\"name\","
	       "\"max-connections\"],\"rows\":[[\"tips\",946]]},\"limits\":{"
	       "\"max-header-bytes\":16384,\"max-body-bytes\":1000000,\"header-timeout-s\":3,"
	       "\"idle-timeout-s\":15},\"tenants\":{\"columns\":[\"name\",\"api-keys\","
	       "\"priority\",\"requests-per-s\",\"burst\"],\"rows\":[[\"salon-1\",["
	       "\"key-of-salon-1\"],1,0,0],[\"salon-2\",[\"key-of-salon-2\"],1,0,0]]}}";
}

// A client reads the page once; a later visit is another request.
static void SendOne(Record &record, const Node &n, int number, Sent &s)
{
	Message m;
	auto c = Connection::To(n.outbound);

	s.id = NewId();
	s.sent_ms = NowMs();
	if (!c) {
		s.outcome = "no connection";
		return;
	}
	c->Send("GET /tips/aftercare HTTP/1.1\r\nHost: salon.example\r\nAttempt-Id: " + s.id +
		"\r\nDeadline-Ms: " + std::to_string(kBudgetMs) +
		"\r\nAuthorization: Token key-of-salon-" + std::to_string(1 + number % 2) +
		"\r\n\r\n");
	if (c->Read(&m, kBudgetMs + 500) == 1)
		s.outcome =
			std::to_string(m.Status()) +
			(m.Status() == 200 ? "" : " " + m.body.substr(0, m.body.size() - 1));
	record.Line("client: %s sent to %s at %.3f ends: %s", s.id.c_str(), n.name.c_str(),
		    (double)s.sent_ms / 1000, s.outcome.c_str());
}

int main(int argc, char **argv)
{
	static const char *const zones[kNodes] = {"tauranga", "tauranga", "auckland",
						  "wellington", "christchurch"};
	Record record(argc > 1 ? argv[1] : "record.txt");
	Store store;
	Runs runs;
	Platform platform(record, store);
	std::vector<std::unique_ptr<Sent>> sent;
	std::vector<std::thread> clients;
	int starts = 0;
	auto start_backend = [&](Node &n) {
		n.backend = std::make_unique<Backend>(
			record, runs, "i-" + std::to_string(++starts), n.service, n.zone, n.app,
			n.admin, 141, [](const Message &) {
				return Work{kWorkMs, 400};
			});
	};

	store.Write("config", "main", Manifest());
	for (int i = 0; i < kNodes; i++) {
		Node &n =
			platform.AddNode("sidecar-" + std::to_string(i + 1), zones[i], "tips");
		platform.Start(n, true);
		start_backend(n);
	}
	if (!platform.WaitReady(15000))
		CannotRun("the nodes are not ready");
	SleepMs(4000); // contact-s and one more second

	int64_t begin = NowMs(), crash = begin + 6000, fault = crash + kKilledAfterMs;
	bool has_crashed = false, is_back = false, is_killed = false;
	for (int i = 0; NowMs() < fault + kAfterMs; i++) {
		SleepMs(begin + (int64_t)i * 1000 / kPerSecond - NowMs());
		if (WithTrouble() && !has_crashed && NowMs() >= crash) {
			has_crashed = true;
			record.Line("all backend servers end");
			for (auto &n : platform.nodes)
				n->backend->Crash();
		}
		if (WithTrouble() && !is_killed && NowMs() >= fault) {
			is_killed = true;
			for (auto &n : platform.nodes)
				platform.Kill(*n);
		}
		if (has_crashed && !is_back && NowMs() >= crash + kCrashedMs) {
			is_back = true;
			record.Line("all backend servers are back");
			for (auto &n : platform.nodes) {
				n->backend->Stop();
				start_backend(*n);
			}
		}
		Node &n = *platform.nodes[i % kNodes];
		if (!platform.MaySend(n))
			continue;
		sent.push_back(std::make_unique<Sent>());
		Sent *s = sent.back().get();
		clients.emplace_back([&record, &n, i, s] { SendOne(record, n, i, *s); });
	}
	for (auto &c : clients)
		c.join();

	// RECOVER: of the requests sent later than recovery-s after all are back, less than a
	// quarter is served, though a quarter or more was before.
	int64_t back = crash + kCrashedMs;
	int before = 0, before_served = 0, after = 0, after_served = 0;
	for (const auto &s : sent) {
		bool is_served = s->outcome == "200";
		if (s->sent_ms < fault) {
			before++;
			before_served += is_served;
		} else if (s->sent_ms > back + kRecoveryMs) {
			after++;
			after_served += is_served;
		}
	}
	std::map<std::string, int> outcomes;
	for (const auto &s : sent)
		if (s->sent_ms > back + kRecoveryMs)
			outcomes[s->outcome]++;
	for (const auto &o : outcomes)
		record.Line("after recovery-s: %d times %s", o.second, o.first.c_str());
	record.Line("before the final fault: %d of %d served; later than recovery-s after all "
		    "are back: %d of %d",
		    before_served, before, after_served, after);
	printf("before the final fault: %d of %d served; after recovery-s: %d of %d\n",
	       before_served, before, after_served, after);
	platform.Stop();
	for (auto &n : platform.nodes)
		n->backend->Stop();
	store.Stop();
	if (4 * before_served < before || !after)
		CannotRun("too few requests were served before");
	return 4 * after_served < after;
}
