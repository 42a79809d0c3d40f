/*
 * Processor time of a node for requests that it rejects at its entry, beside that of requests
 * that it serves, on kept connections and on a new connection for each request.
 *
 *   rejection [requests for each row, default 20000]
 *
 * The rejected requests are those of a workspace beyond its rate, sent back to back by callers
 * that do not wait for the Retry-After. Served ones run at a stand-in beside the node, which
 * the same process serves; only the node's processor time is counted.
 */
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "measure.h"
#include "support/deployment.h"
#include "support/http.h"

using namespace snipe_test;
using snipe_bench::CpuSeconds;

namespace
{

const int kCallers = 4;

struct Row {
	const char *name, *key;
	int status;
	bool keeps_connection;
};

const Row kRows[] = {
	{"rejected, new connection", "key-flood", 429, false},
	{"rejected, kept connection", "key-flood", 429, true},
	{"served, new connection", "key-bench", 200, false},
	{"served, kept connection", "key-bench", 200, true},
};

/* Sends requests until count are answered. Returns the number of other answers than the
 * expected one. */
int SendAll(const Row &row, int port, std::atomic<int> &count)
{
	Headers headers = {{"Deadline-Ms", "5000"},
			   {"Authorization", std::string("Token ") + row.key}};
	auto c = std::make_unique<HttpConnection>(port);
	int unexpected = 0;

	for (int n; (n = count--) > 0;) {
		headers.resize(2);
		headers.emplace_back("Attempt-Id", row.key + std::to_string(n));
		unexpected += c->Request("GET", "/read/1", headers).status != row.status;
		if (!row.keeps_connection)
			c = std::make_unique<HttpConnection>(port);
	}
	return unexpected;
}

void Measure(Deployment &d, const Row &row, int requests)
{
	std::atomic<int> count{requests}, unexpected{0}, running{kCallers};
	std::vector<std::thread> callers;
	pid_t pid = d.nodes[0]->process->pid();
	double before = CpuSeconds(pid);

	for (int i = 0; i < kCallers; i++)
		callers.emplace_back([&] {
			unexpected += SendAll(row, d.nodes[0]->at.outbound.port, count);
			running--;
		});
	while (running > 0)
		d.loop.run_ms(10);
	for (auto &t : callers)
		t.join();
	std::printf("%-28s %8.1f us for each request", row.name,
		    (CpuSeconds(pid) - before) / requests * 1e6);
	if (unexpected > 0)
		std::printf("  (%d with another status than %d)", unexpected.load(),
			    row.status);
	std::printf("\n");
}

} // namespace

int main(int argc, char **argv)
{
	int requests = argc > 1 ? std::atoi(argv[1]) : 20000;
	Deployment d;

	d.services = {R"(["tips",1000])"};
	d.routes = {R"(["read","node","/read/","idempotent",5,2,false,null,"tips"])"};
	d.tenants = {R"(["flood",["key-flood"],0,0.01,1])", R"(["bench",["key-bench"],0,0,0])"};
	d.AddNode("tips", "west", 500);
	d.PutTables();
	d.StartAll();
	if (!d.WaitSettled())
		give_up("the node does not get ready");
	d.nodes[0]->server->behaviour.run_ms = 0;
	for (const Row &row : kRows)
		Measure(d, row, requests);
	return 0;
}
