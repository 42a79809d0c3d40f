// The store is away for a moment and comes back from an older copy; the operator writes its
// changes again, and then takes a key away. Checks that no request with that key runs later
// than revoke-s after the acknowledgement.
#include "11/standins.h"

using namespace review;

namespace
{

const int kWorkMs = 100, kBudgetMs = 5000, kIntervalMs = 50;
const int64_t kAwayMs = 2000;
const int64_t kRevokeMs = 5000;	 // revoke-s
const int64_t kWatchedMs = 7000; // after that

std::string Tables(int version, double timeout_s, bool has_key_1)
{
	char route[128];

	snprintf(route, sizeof(route),
		 "\"r-1\",\"/settle/\",\"non_idempotent\",%g,2,2,false,\"paybook\"", timeout_s);
	return Manifest(version, {route}, {"desk", "paybook"},
			{has_key_1 ? "\"one\",[\"key-0\",\"key-1\"]" : "\"one\",[\"key-0\"]",
			 "\"two\",[\"key-2\"]"});
}

struct Sent {
	std::string key;
	int64_t at_ms;
	int status;
};

} // namespace

int main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Fleet fleet(record, {{"desk", "suva-a"}, {"paybook", "suva-b"}, {"paybook", "nadi"}});
	Store &store = *fleet.store;
	std::vector<std::unique_ptr<Backend>> servers;
	std::vector<std::thread> requests;
	std::mutex mutex;
	std::map<std::string, Sent> all;
	std::set<std::string> ran;
	std::atomic<bool> is_over{false};
	int late = 0, others = 0;

	store.on_call = [&](const std::string &call, int status) {
		if (status != 200 || call.compare(0, 4, "GET ") != 0)
			record.Line("store: %s %d", call.c_str(), status);
	};
	auto write = [&](int version, double timeout_s, bool has_key_1) {
		uint64_t at =
			store.Write("config", "main", Tables(version, timeout_s, has_key_1));
		record.Line("operator writes manifest %d (%s key-1): acknowledged, revision "
			    "%llu",
			    version, has_key_1 ? "with" : "without", (unsigned long long)at);
	};
	write(3, 6, true);
	for (size_t i = 0; i < fleet.machines.size(); i++) {
		fleet.Start(i, true);
		servers.push_back(std::make_unique<Backend>(fleet.machines[i], record,
							    "i-" + std::to_string(i + 1), 60,
							    kWorkMs, fleet.heartbeat_s));
	}
	if (!fleet.WaitKnown(0, "i-2") || !fleet.WaitKnown(0, "i-3"))
		return 2;
	auto send = [&](const std::string &id, const std::string &key, int node) {
		Sent r = {key, NowMs(), -1};
		int64_t until = NowMs() + kBudgetMs;
		Stream s;
		Message m;

		if (s.Connect(fleet.machines[(size_t)node].outbound, 1000) &&
		    s.Send(Request("POST", "/settle/" + id, id, kBudgetMs, key, "amount=5"),
			   until) &&
		    s.Read(&m, until) == 1)
			r.status = m.Status();
		record.Line("client with %s gets %s: %d", key.c_str(), id.c_str(), r.status);
		std::lock_guard<std::mutex> hold(mutex);
		all[id] = r;
	};
	std::thread clients([&] {
		for (int n = 0; !is_over; n++, SleepMs(kIntervalMs))
			requests.emplace_back(send, "q" + std::to_string(n),
					      n % 2 ? "key-1" : "key-2", n % 3);
	});
	SleepMs(8000);

	// Some seconds before the store is away.
	store.Copy();
	uint64_t copied = store.Revision();
	record.Line("revision of the copy: %llu", (unsigned long long)copied);
	write(6, 5, true);
	record.Line("server i-3 leaves: %s",
		    servers[2]->Drain() ? "acknowledged" : "not acknowledged");
	SleepMs(2000);
	int changes = 1; // of the operator after the return
	if (HasTrouble()) {
		store.Stop();
		uint64_t lost = store.Revision() - copied;
		record.Line("store is away, %llu changes are newer than the copy",
			    (unsigned long long)lost);
		changes = (int)std::max<uint64_t>(lost - 1, 1);
		SleepMs(kAwayMs);
		store.Restore();
		store.Start();
		record.Line("store is back from the copy, revision %llu",
			    (unsigned long long)store.Revision());
		write(6, 5, true);
	}
	int64_t acked = 0;
	for (int i = 0; i < changes; i++) {
		write(9 + 3 * i, 5 + 0.1 * i, false);
		if (!acked)
			acked = NowMs();
	}
	SleepMs(kRevokeMs + kWatchedMs);
	is_over = true;
	clients.join();
	for (auto &r : requests)
		r.join();
	for (auto &s : servers)
		for (const auto &r : s->Runs())
			ran.insert(r.id);
	for (const auto &r : all) {
		if (!ran.count(r.first) || r.second.at_ms <= acked + kRevokeMs)
			continue;
		if (r.second.key != "key-1") {
			others++;
			continue;
		}
		late++;
		record.Line("%s ran with key-1, sent %.3f s after the acknowledgement",
			    r.first.c_str(), (double)(r.second.at_ms - acked) / 1000);
	}
	record.Result("requests that ran with the key, sent later than revoke-s: " +
		      std::to_string(late) + "; with another key: " + std::to_string(others));
	for (auto &s : servers)
		s->End();
	return !others ? 2 : late > 0;
}
