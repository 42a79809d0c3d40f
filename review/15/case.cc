// A node is stopped as planned while the backend server of the route is replaced: the new one
// is slow at first. Checks that requests that the stopping node takes later than 3 s after the
// signal and passes on are not broken off while their server is at work.
#include "11/standins.h"

using namespace review;

namespace
{

const int kWorkMs = 1200, kColdMs = 3000; // twice as slow while cold
const int kBudgetMs = 6000, kIntervalMs = 40;
const int64_t kWarmMs = 6000;
// After the signal.
const int64_t kNewServerMs = 1400, kDrainMs = 2000, kLastRequestMs = 5000;
const int64_t kExcusedMs = 3000; // requests sent earlier may be broken off at the end

struct Sent {
	std::string id;
	int64_t at_ms, ended_ms;
	int status; // 0: no answer in time, -1: the connection ended
};

} // namespace

int main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Fleet fleet(record, {{"desk", "suva-a"}, {"paybook", "suva-b"}, {"paybook", "suva-b"}});
	std::vector<std::unique_ptr<Backend>> servers;
	std::vector<std::thread> requests;
	std::mutex mutex;
	std::vector<Sent> all;
	std::map<std::string, int64_t> started;
	std::map<int, int> statuses;
	int broken = 0;

	fleet.store->Write("config", "main",
			   Manifest(3,
				    {"\"r-1\",\"/settle/\",\"non_idempotent\",6,2,2,false,"
				     "\"paybook\""},
				    {"desk", "paybook"}, {"\"one\",[\"key-1\"]"}));
	for (size_t i = 0; i < 2; i++) {
		fleet.Start(i, true);
		servers.push_back(std::make_unique<Backend>(fleet.machines[i], record,
							    "i-" + std::to_string(i + 1), 148,
							    kWorkMs, fleet.heartbeat_s));
	}
	if (!fleet.WaitKnown(0, "i-2"))
		return 2;

	int64_t begin = NowMs(), stop = begin + kWarmMs;
	auto send = [&](int n) {
		Sent r = {"q" + std::to_string(n), NowMs(), 0, -1};
		int64_t until = NowMs() + kBudgetMs;
		Stream s;
		Message m;
		int ret = -1;

		record.Line("client sends %s", r.id.c_str());
		if (s.Connect(fleet.machines[0].outbound, 1000) &&
		    s.Send(Request("POST", "/settle/" + r.id, r.id, kBudgetMs, "key-1",
				   "amount=5"),
			   until))
			ret = s.Read(&m, until);
		r.status = ret == 1 ? m.Status() : ret;
		r.ended_ms = NowMs();
		record.Line("client gets %s: %d %s", r.id.c_str(), r.status,
			    m.body.substr(0, m.body.find('\n')).c_str());
		std::lock_guard<std::mutex> hold(mutex);
		all.push_back(r);
		statuses[r.status]++;
	};
	int64_t next = begin;
	bool has_signalled = false, has_server = false, has_drained = false;
	for (int n = 0; NowMs() < stop + kLastRequestMs; SleepMs(2)) {
		int64_t now = NowMs();
		if (now >= next) {
			next += kIntervalMs;
			requests.emplace_back(send, n++);
		}
		if (now >= stop && !has_signalled) {
			has_signalled = true;
			stop = now;
			record.Line("SIGTERM to node 0");
			fleet.Signal(0, SIGTERM);
		}
		if (HasTrouble() && now >= stop + kNewServerMs && !has_server) {
			has_server = true;
			fleet.Start(2, false);
			servers.push_back(
				std::make_unique<Backend>(fleet.machines[2], record, "i-3", 100,
							  kWorkMs, fleet.heartbeat_s, kColdMs));
		}
		if (HasTrouble() && now >= stop + kDrainMs && !has_drained) {
			has_drained = true;
			record.Line("server i-2 leaves: %s",
				    servers[1]->Drain() ? "acknowledged" : "not acknowledged");
		}
	}
	for (auto &r : requests)
		r.join();
	for (auto &s : servers)
		for (const auto &r : s->Runs())
			started[r.id] = r.at_ms;
	for (const auto &r : all) {
		bool is_at_work =
			started.count(r.id) && r.ended_ms < started[r.id] + kWorkMs * 2;
		if (r.status == 200 || !is_at_work || r.at_ms < stop + kExcusedMs ||
		    r.ended_ms >= r.at_ms + kBudgetMs)
			continue;
		broken++;
		record.Line("%s, sent %.3f s after the signal, was broken off with %d after "
			    "its server had worked on it for %.3f s",
			    r.id.c_str(), (double)(r.at_ms - stop) / 1000, r.status,
			    (double)(r.ended_ms - started[r.id]) / 1000);
	}
	for (const auto &s : statuses)
		record.Result("status " + std::to_string(s.first) + ": " +
			      std::to_string(s.second));
	record.Result("requests broken off while their server was at work: " +
		      std::to_string(broken));
	for (auto &s : servers)
		s->End();
	return !statuses.count(200) ? 2 : broken > 0;
}
