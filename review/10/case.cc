// A backend server leaves and is acknowledged; the node is killed while the store turns its
// machine away, and a ping from before the leaving arrives seconds late. The leaving must hold.
#include "../6/fleet.h"

using namespace review;

static const int kIntervalMs = 50;
static const int kBudgetMs = 2000;
static const int kDrainMs = 2000;
static const int kContactMs = 3000;
static const int kStoreAwayMs = 9000;
static const int kPingLateMs = 3000;

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
	       "\"priority\",\"public\"],\"rows\":[[\"care-tips\",\"salon.example\",\"/tips/"
	       "\",\"tips\","
	       "\"idempotent\",5,1,2,2,true]]},\"services\":{\"columns\":[\"name\","
	       "\"max-connections\"],\"rows\":[[\"tips\",900]]},\"limits\":{"
	       "\"max-header-bytes\":16384,\"max-body-bytes\":1000000,\"header-timeout-s\":3,"
	       "\"idle-timeout-s\":15},\"tenants\":{\"columns\":[\"name\",\"api-keys\","
	       "\"priority\",\"requests-per-s\",\"burst\"],\"rows\":[[\"salon-1\",["
	       "\"key-of-salon-1\"],1,0,0]]}}";
}

static void SendOne(Record &record, const Node &n, Sent &s)
{
	Message m;
	auto c = Connection::To(n.outbound);

	s.id = NewId();
	s.sent_ms = NowMs();
	if (!c) {
		s.outcome = "no connection";
		return;
	}
	c->Send("GET /tips/" + s.id + " HTTP/1.1\r\nHost: salon.example\r\nAttempt-Id: " +
		s.id + "\r\nDeadline-Ms: " + std::to_string(kBudgetMs) + "\r\n\r\n");
	record.Line("client sends %s to %s", s.id.c_str(), n.name.c_str());
	if (c->Read(&m, kBudgetMs + 500) == 1)
		s.outcome = std::to_string(m.Status());
	record.Line("client: %s ends: %s", s.id.c_str(), s.outcome.c_str());
}

int main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Store store;
	Runs runs;
	Platform platform(record, store);
	std::vector<std::unique_ptr<Sent>> sent;
	std::vector<std::thread> clients;
	int broken = 0, served = 0;

	store.Write("config", "main", Manifest());
	for (const char *zone : {"tauranga", "auckland", "wellington"}) {
		Node &n = platform.AddNode(std::string("sidecar-") + zone + "-1", zone, "tips");
		platform.Start(n, true);
		n.backend = std::make_unique<Backend>(record, runs, std::string("i-") + zone,
						      n.service, n.zone, n.app, n.admin, 60,
						      [](const Message &) {
							      return Work{90, 400};
						      });
	}
	Node &left = *platform.nodes[0];
	if (!platform.WaitReady(15000))
		CannotRun("the nodes are not ready");
	SleepMs(kContactMs + 1000);

	std::string late = left.backend->NextPing();
	bool was_acknowledged = left.backend->Leave();
	int64_t acknowledged = NowMs();
	if (!was_acknowledged)
		CannotRun("the leaving was not acknowledged");
	record.Line("the leaving of %s is acknowledged", left.backend->id.c_str());
	SleepMs(300);
	int64_t away = NowMs();
	if (WithTrouble()) {
		store.SetMode(left.store, StoreMode::Busy);
		record.Line("the store turns %s away", left.name.c_str());
	}
	SleepMs(500);
	int64_t killed = NowMs();
	if (WithTrouble())
		platform.Kill(left);

	// Clients on the machine, which sends their requests on.
	bool is_late_sent = false;
	for (int64_t next = NowMs(); next < away + kStoreAwayMs; next += kIntervalMs) {
		SleepMs(next - NowMs());
		if (!is_late_sent && NowMs() >= acknowledged + kPingLateMs) {
			is_late_sent = true;
			record.Line("a ping from before the leaving arrives: %s",
				    left.backend->Ping(late) ? "acknowledged" : "failed");
		}
		if (!platform.MaySend(left))
			continue;
		sent.push_back(std::make_unique<Sent>());
		Sent *s = sent.back().get();
		clients.emplace_back([&record, &left, s] { SendOne(record, left, *s); });
	}
	for (auto &c : clients)
		c.join();
	store.SetMode(left.store, StoreMode::Up);

	// DRAIN: reaches the backend later than drain-s after the acknowledgement, sent on by
	// the machine that gave it, which is bound while the store is in impairment; its
	// process ran for contact-s.
	int64_t in_touch = WithTrouble() ? killed + 500 + kContactMs + 500 : killed;
	for (const auto &s : sent) {
		served += s->outcome == "200";
		for (const Run &r : runs.Of(s->id)) {
			if (r.server != left.backend->id || s->sent_ms < in_touch ||
			    r.begin_ms <= acknowledged + kDrainMs)
				continue;
			broken++;
			record.Line("DRAIN: %s reaches %s %lld ms after the acknowledgement",
				    s->id.c_str(), r.server.c_str(),
				    (long long)(r.begin_ms - acknowledged));
		}
	}
	record.Line("sent %zu, answered 200: %d, after the leaving: %d", sent.size(), served,
		    broken);
	printf("sent %zu, answered 200: %d, after the leaving: %d\n", sent.size(), served,
	       broken);
	platform.Stop();
	for (auto &n : platform.nodes)
		n->backend->Stop();
	store.Stop();
	if (served < 20)
		CannotRun("too few requests were served");
	return broken > 0;
}
