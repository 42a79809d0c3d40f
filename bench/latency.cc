/*
 * Added latency of a node, calls/s through one node, and CPU for each thousand calls.
 *
 *   latency [seconds for each part, default 5]
 *
 * Every figure of a run comes from the same processes: direct calls, calls through the node
 * beside the backend server ("one node") and calls through another node ("two nodes") take
 * turns on three keep-alive connections.
 */
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "measure.h"
#include "support/fleet.h"

using namespace snipe_test;
using snipe_bench::CpuSeconds;
using snipe_bench::Quantile;

namespace
{

const char kBenchRoutes[] = R"(
[[route]]
name = "read"
method = "GET"
path = "/read"
pool = "only"
importance = "normal"
open = false
idempotent = true
timeout_ms = 5000
max_retries = 0
retry_percent = 0

[[workspace]]
name = "bench"
rate = 1000000.0
burst = 1000000
)";

const char kBenchPools[] = R"(
[[pool]]
name = "only"
slots = 512
connections = 1000
queue = 512
)";

/* Time of one call in microseconds; negative if it failed. */
double CallUs(HttpConnection &c, const Headers &headers)
{
	long long start = NowUs();
	Response r = c.Request("GET", "/read", headers);

	return r.status == 200 ? static_cast<double>(NowUs() - start) : -1;
}

struct Load {
	double calls_per_s;
	long failed;
	std::vector<double> cpu; /* seconds of each process for each thousand calls */
};

/* Closed loop of blocking callers in threads. */
Load Saturate(int port, const Headers &headers, int callers, double seconds,
	      const std::vector<pid_t> &processes)
{
	std::atomic<bool> stop{false};
	std::atomic<long> calls{0}, failed{0};
	std::vector<std::thread> threads;
	std::vector<double> before;
	Load load;

	for (int i = 0; i < callers; i++)
		threads.emplace_back([&] {
			HttpConnection c(port);
			while (!stop) {
				if (CallUs(c, headers) < 0) {
					failed++;
					break;
				}
				calls++;
			}
		});
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	for (pid_t pid : processes)
		before.push_back(CpuSeconds(pid));
	long start_calls = calls;
	long long start = NowUs();
	std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
	long done = calls - start_calls;
	double took = static_cast<double>(NowUs() - start) / 1e6;
	for (size_t i = 0; i < processes.size(); i++)
		load.cpu.push_back((CpuSeconds(processes[i]) - before[i]) /
				   static_cast<double>(std::max(done, 1L)) * 1000);
	stop = true;
	for (auto &t : threads)
		t.join();
	load.calls_per_s = static_cast<double>(done) / took;
	load.failed = failed;
	return load;
}

void PrintLoad(const char *name, const Load &load)
{
	std::printf("%-28s %9.0f calls/s", name, load.calls_per_s);
	for (double cpu : load.cpu)
		std::printf("  %.1f ms CPU/1000 calls (%.0f calls/s/core)", cpu * 1000,
			    cpu > 0 ? 1000 / cpu : 0);
	if (load.failed)
		std::printf("  %ld callers failed", load.failed);
	std::printf("\n");
}

} // namespace

int main(int argc, char **argv)
{
	double seconds = argc > 1 ? std::atof(argv[1]) : 5;
	Fleet fleet;
	NodeSpec spec;

	spec.id = "beside";
	spec.pool = "only";
	spec.record = false;
	spec.backend_args = {"--slots", "512", "--service-ms", "0", "--spread", "0"};
	fleet.AddNode(spec);
	spec.id = "other";
	spec.pool = "";
	fleet.AddNode(spec);
	if (fleet.ApplyTables(kBenchRoutes, kBenchPools).status != 0)
		throw std::runtime_error("snipescale apply failed");
	Key key = fleet.IssueKey("bench");
	if (!fleet.WaitServing("/read", key.key))
		throw std::runtime_error("the fleet does not serve requests");

	Headers headers = {{"Snipe-Key", key.key}};
	const char *names[3] = {"direct", "one node", "two nodes"};
	int ports[3] = {fleet[0].backend_port, fleet[0].caller_port, fleet[1].caller_port};
	std::vector<double> us[3];
	std::vector<std::unique_ptr<HttpConnection>> c;
	long failed = 0;

	for (int port : ports)
		c.push_back(std::make_unique<HttpConnection>(port));
	for (long long end = NowUs() + static_cast<long long>(seconds * 1e6); NowUs() < end;)
		for (size_t i = 0; i < 3; i++) {
			double t = CallUs(*c[i], i ? headers : Headers{});
			if (t < 0) {
				failed++;
				c[i] = std::make_unique<HttpConnection>(ports[i]);
			} else {
				us[i].push_back(t);
			}
		}
	std::printf("%-12s %8s %10s %10s %12s %12s\n", "path", "calls", "p50 us", "p99 us",
		    "added p50", "added p99");
	for (size_t i = 0; i < 3; i++)
		std::printf("%-12s %8zu %10.0f %10.0f %12.0f %12.0f\n", names[i], us[i].size(),
			    Quantile(us[i], 0.5), Quantile(us[i], 0.99),
			    Quantile(us[i], 0.5) - Quantile(us[0], 0.5),
			    Quantile(us[i], 0.99) - Quantile(us[0], 0.99));
	if (failed)
		std::printf("%ld calls failed\n", failed);

	pid_t beside = fleet[0].process->pid(), other = fleet[1].process->pid();
	PrintLoad("direct, 128 callers", Saturate(ports[0], {}, 128, seconds, {}));
	PrintLoad("one node, 128 callers", Saturate(ports[1], headers, 128, seconds, {beside}));
	PrintLoad("two nodes, 128 callers",
		  Saturate(ports[2], headers, 128, seconds, {other, beside}));
	return failed ? 1 : 0;
}
