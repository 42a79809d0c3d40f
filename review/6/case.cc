// A planned stop of a node whose clients keep sending: requests that it reads after the third
// second of the stop, and passes on, must be answered.
#include "fleet.h"

#include <algorithm>

using namespace review;

static const int kWorkMs = 1500; // the site has runs of up to 2.1 s
static const int kBudgetMs = 6000;
static const int kIntervalMs = 50;

struct Sent {
	std::string id;
	int64_t sent_ms = 0, end_ms = 0;
	std::string outcome = "no connection"; // status, or how the connection ended
};

static std::string Manifest()
{
	return "{\"version\":\"0000000c\",\"routes\":{\"columns\":[\"name\",\"host\","
	       "\"prefix\","
	       "\"service\",\"kind\",\"timeout-s\",\"target-latency-s\",\"attempts\","
	       "\"priority\",\"public\"],\"rows\":[[\"account-settle\",\"shops.example\","
	       "\"/settle/\",\"paybook\",\"non_idempotent\",6,2,2,0,true],[\"meter-read\","
	       "\"shops.example\",\"/meter/\",\"paybook\",\"idempotent\",6,2,2,2,false]]},"
	       "\"services\":{\"columns\":[\"name\",\"max-connections\"],\"rows\":[["
	       "\"paybook\",900]]},\"limits\":{\"max-header-bytes\":16384,"
	       "\"max-body-bytes\":1000000,\"header-timeout-s\":3,\"idle-timeout-s\":15},"
	       "\"tenants\":{\"columns\":[\"name\",\"api-keys\",\"priority\","
	       "\"requests-per-s\",\"burst\"],\"rows\":[[\"shop-1\",[\"key-of-shop-1\"],1,0,"
	       "0]]}}";
}

static void SendOne(Record &record, const Node &n, Sent &s)
{
	std::string body = "shop=7&month=5";
	Message m;
	auto c = Connection::To(n.outbound);

	s.id = NewId();
	s.sent_ms = NowMs();
	if (!c) {
		s.end_ms = NowMs();
		return;
	}
	c->Send("POST /settle/may HTTP/1.1\r\nHost: shops.example\r\nAttempt-Id: " + s.id +
		"\r\nDeadline-Ms: " + std::to_string(kBudgetMs) +
		"\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
	record.Line("client sends %s to %s", s.id.c_str(), n.name.c_str());
	int got = c->Read(&m, kBudgetMs + 500);
	s.end_ms = NowMs();
	s.outcome = got == 1				? std::to_string(m.Status())
		    : s.end_ms - s.sent_ms >= kBudgetMs ? "time budget"
							: "closed without an answer";
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
	for (const char *zone : {"suva-a", "suva-b", "lautoka"}) {
		Node &n = platform.AddNode(std::string("sidecar-") + zone + "-1", zone,
					   "paybook");
		platform.Start(n, true);
		n.backend = std::make_unique<Backend>(record, runs, std::string("i-") + zone,
						      n.service, n.zone, n.app, n.admin, 60,
						      [](const Message &) {
							      return Work{kWorkMs, 200};
						      });
	}
	Node &stopped = *platform.nodes[0];
	if (!platform.WaitReady(15000))
		CannotRun("the nodes are not ready");
	SleepMs(4000); // contact-s and one more second

	int64_t begin = NowMs(), term = begin + 3000, end = term + 9000;
	bool has_stopped = false;
	for (int64_t next = begin; next < end; next += kIntervalMs) {
		SleepMs(next - NowMs());
		if (!has_stopped && NowMs() >= term) {
			has_stopped = true;
			term = NowMs();
			if (WithTrouble())
				platform.Terminate(stopped);
		}
		if (!platform.MaySend(stopped))
			continue;
		sent.push_back(std::make_unique<Sent>());
		Sent *s = sent.back().get();
		clients.emplace_back([&record, &stopped, s] { SendOne(record, stopped, *s); });
	}
	for (auto &c : clients)
		c.join();
	SleepMs(500);

	// LOST, around a SIGTERM of the machine that took the request, until 1 s after grace-s:
	// passed on to a backend, and the connection ends without an answer.
	for (const auto &s : sent) {
		auto ran = runs.Of(s->id);
		int64_t at = s->sent_ms - term;
		bool is_cut = s->outcome == "closed without an answer";
		bool is_around =
			s->end_ms >= term && s->end_ms <= term + Platform::kGraceMs + 1000;
		bool was_at_work =
			!ran.empty() && (ran[0].end_ms == 0 || ran[0].end_ms - term >= 5000);

		served += s->outcome == "200";
		if (!is_cut || !is_around || ran.empty())
			continue;
		if (at <= 3000 && was_at_work) {
			record.Line("excused: %s, sent %lld ms after the SIGTERM",
				    s->id.c_str(), (long long)at);
			continue;
		}
		broken++;
		record.Line("LOST: %s, sent %lld ms after the SIGTERM, ran at %s (%s), "
			    "connection ended after %lld ms",
			    s->id.c_str(), (long long)at, ran[0].server.c_str(),
			    ran[0].end.c_str(), (long long)(s->end_ms - s->sent_ms));
	}
	record.Line("sent %zu, answered 200: %d, lost: %d", sent.size(), served, broken);
	printf("sent %zu, answered 200: %d, lost: %d\n", sent.size(), served, broken);
	platform.Stop();
	for (auto &n : platform.nodes)
		n->backend->Stop();
	store.Stop();
	if (served < 50)
		CannotRun("too few requests were served");
	return broken > 0;
}
