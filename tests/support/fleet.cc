#include "support/fleet.h"

#include <jansson.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <random>
#include <sstream>
#include <stdexcept>

#include "support/silence.h"

namespace snipe_test
{

const char kRoutes[] = R"(
[[route]]
name = "front-read"
method = "GET"
path = "/front/*"
pool = "front"
importance = "normal"
open = false
idempotent = true
timeout_ms = 8000
max_retries = 2
retry_percent = 100

[[route]]
name = "front-low"
method = "GET"
path = "/low/*"
pool = "front"
importance = "low"
open = false
idempotent = true
timeout_ms = 20000
max_retries = 0
retry_percent = 10

[[route]]
name = "front-critical"
method = "GET"
path = "/critical/*"
pool = "front"
importance = "critical"
open = false
idempotent = true
timeout_ms = 20000
max_retries = 0
retry_percent = 10

[[route]]
name = "front-open"
method = "GET"
path = "/open/*"
pool = "front"
importance = "normal"
open = true
idempotent = true
timeout_ms = 8000
max_retries = 2
retry_percent = 100

[[route]]
name = "deep-read"
method = "GET"
path = "/deep/*"
pool = "deep"
importance = "normal"
open = false
idempotent = true
timeout_ms = 8000
max_retries = 2
retry_percent = 100

[[route]]
name = "charge"
method = "POST"
path = "/charge"
pool = "front"
importance = "critical"
open = false
idempotent = false
timeout_ms = 8000
max_retries = 3
retry_percent = 100

[[workspace]]
name = "alpha"
rate = 100000.0
burst = 100000

[[workspace]]
name = "beta"
rate = 100000.0
burst = 100000

[[workspace]]
name = "small"
rate = 5.0
burst = 10
)";

const char kPools[] = R"(
[[pool]]
name = "front"
slots = 16
connections = 100
queue = 64

[[pool]]
name = "deep"
slots = 16
connections = 100
queue = 64
)";

std::string NewId()
{
	static std::atomic<int> next{0};

	return "r" + std::to_string(++next) + "-";
}

std::string NewIdentifier()
{
	thread_local std::mt19937_64 rng{std::random_device{}()};
	auto ms = static_cast<unsigned long long>(
		std::chrono::duration_cast<std::chrono::milliseconds>(
			std::chrono::system_clock::now().time_since_epoch())
			.count());
	unsigned long long a = rng(), b = rng();
	char out[100];

	snprintf(out, sizeof(out), "%08llx-%04llx-7%03llx-%04llx-%012llx", ms >> 16,
		 ms & 0xffff, a & 0xfff, 0x8000 | (a >> 12 & 0x3fff), b & 0xffffffffffff);
	return out;
}

long long NowUs()
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

Key StartStandardFleet(Fleet &fleet, const NodeSpec &pattern)
{
	const char *names[] = {"front-a", "front-b", "deep-a", "deep-b"};
	Key key;

	for (int i = 0; i < 4; i++) {
		NodeSpec spec = pattern;

		spec.id = names[i];
		spec.failure_domain = i % 2 ? "fd-b" : "fd-a";
		spec.pool = i < 2 ? "front" : "deep";
		fleet.AddNode(spec);
	}
	RunResult applied = fleet.ApplyTables(kRoutes, kPools);
	if (applied.status != 0)
		throw std::runtime_error("snipescale apply failed: " + applied.err);
	key = fleet.IssueKey("alpha");
	if (!fleet.WaitServing("/front/start", key.key) ||
	    !fleet.WaitServing("/deep/start", key.key) || !fleet.WaitMembers(4))
		throw std::runtime_error("the fleet does not serve requests");
	return key;
}

Crowd::Crowd(int callers, std::function<Response(int n, const std::string &id)> next)
{
	for (int n = 0; n < callers; n++)
		threads_.emplace_back([this, n, next] {
			while (!stop_) {
				std::string id = NewId();
				long long sent_us = NowUs();
				Response r = next(n, id);
				std::lock_guard<std::mutex> lock(mutex_);

				succeeded_ += r.status == 200;
				ended_++;
				sent_.push_back({id, sent_us, std::move(r)});
			}
		});
}

Crowd::~Crowd()
{
	Stop();
}

std::vector<Sent> Crowd::Stop()
{
	stop_ = true;
	for (auto &t : threads_)
		if (t.joinable())
			t.join();
	return sent_;
}

bool Crowd::WaitMore(int count)
{
	int goal = succeeded_ + count;

	return WaitFor([&] { return succeeded_ >= goal; });
}

static const char kSecret[] = "a secret of the test fleet";

static int PortOf(const std::map<std::string, std::string> &pairs, const std::string &name)
{
	auto it = pairs.find(name);

	if (it == pairs.end())
		return 0;
	size_t colon = it->second.rfind(':');
	return std::stoi(colon == std::string::npos ? it->second
						    : it->second.substr(colon + 1));
}

static std::string Loopback(int port)
{
	return "127.0.0.1:" + std::to_string(port);
}

static void PutControl(int port, const std::string &json)
{
	Response r = Fetch(port, "PUT", "/control", {}, json);

	if (r.status != 200)
		throw std::runtime_error("a stand-in refused PUT /control: " + json);
}

void Relay::Control(const std::string &json) const
{
	PutControl(control_port, json);
}

void Node::BackendControl(const std::string &json) const
{
	PutControl(control_port, json);
}

Relay Fleet::StartRelay(int target_port, const std::string &name)
{
	Relay relay;

	relay.process = std::make_unique<Process>(
		std::vector<std::string>{"tcp_relay", "--target", Loopback(target_port)},
		File(name));
	auto pairs = relay.process->WaitEvent("listening");
	relay.port = PortOf(pairs, "port");
	relay.control_port = PortOf(pairs, "control_port");
	if (!relay.port)
		throw std::runtime_error("tcp_relay did not start");
	return relay;
}

Fleet::Fleet()
{
	platform_ = std::make_unique<Process>(
		std::vector<std::string>{"fake_platform", "--port", "0"}, File("platform"));
	platform_port_ = PortOf(platform_->WaitEvent("listening"), "port");
	if (!platform_port_)
		throw std::runtime_error("fake_platform did not start");
	platform_relay = StartRelay(platform_port_, "platform-relay");
}

Fleet::~Fleet()
{
	for (auto &n : nodes_) {
		n->process.reset();
		n->backend.reset();
	}
}

void Fleet::StartNode(Node &node)
{
	std::ostringstream toml;
	std::string file = File(node.spec.id + ".toml");
	const char *separator = "";

	node.process.reset();
	toml << "[node]\nid = \"" << node.spec.id << "\"\nregion = \"" << node.spec.region
	     << "\"\nfailure_domain = \"" << node.spec.failure_domain << "\"\nfleet_secret = \""
	     << kSecret << "\"\nlog_level = \"info\"\n"
	     << "[listen]\ncallers = \"" << Loopback(node.caller_port) << "\"\nlocal = \""
	     << Loopback(node.local_port) << "\"\npeers = \"" << Loopback(node.peer_port)
	     << "\"\nadmin = \"" << Loopback(node.admin_port) << "\"\n[platform]\naddress = \""
	     << Loopback(platform_relay.port) << "\"\n[join]\nseeds = [";
	for (const auto &n : nodes_)
		if (n.get() != &node && n->peer_port) {
			toml << separator << "\"" << Loopback(n->peer_port) << "\"";
			separator = ", ";
			if (n == nodes_[std::min<size_t>(nodes_.size(), 4) - 1])
				break;
		}
	toml << "]\n" << node.spec.settings;
	WriteFile(file, toml.str());
	/* A restarted node keeps its ports. Meanwhile the kernel may have given one of them to
	 * an outgoing connection, which ends by itself. */
	std::map<std::string, std::string> pairs;
	WaitFor([&] {
		node.process = std::make_unique<Process>(
			std::vector<std::string>{"snipescaled", "--config", file},
			File(node.spec.id));
		pairs = node.process->WaitEvent("listening");
		return !pairs.empty() ||
		       node.process->Errors().find("already in use") == std::string::npos;
	});
	node.caller_port = PortOf(pairs, "callers");
	node.local_port = PortOf(pairs, "local");
	node.peer_port = PortOf(pairs, "peers");
	node.admin_port = PortOf(pairs, "admin");
	if (!node.caller_port || !node.local_port || !node.peer_port || !node.admin_port)
		throw std::runtime_error("snipescaled did not start: " +
					 node.process->Errors());
}

void Fleet::StartBackend(Node &node)
{
	std::vector<std::string> args = {"fake_backend",
					 "--pool",
					 node.spec.pool,
					 "--node",
					 Loopback(node.local_port),
					 "--port",
					 std::to_string(node.backend_port),
					 "--run-log",
					 File(node.spec.id + ".runs"),
					 "--byte-log",
					 File(node.spec.id + ".bytes")};

	node.backend.reset();
	args.insert(args.end(), node.spec.backend_args.begin(), node.spec.backend_args.end());
	if (node.spec.backend_relay)
		args.push_back("--no-announce");
	if (!node.spec.record)
		args.push_back("--no-record");
	node.backend = std::make_unique<Process>(args, File(node.spec.id + "-backend"));
	auto pairs = node.backend->WaitEvent("listening");
	node.backend_port = PortOf(pairs, "port");
	node.control_port = PortOf(pairs, "control_port");
	if (!node.backend_port)
		throw std::runtime_error("fake_backend did not start: " +
					 node.backend->Errors());
	if (node.spec.backend_relay) {
		if (!node.relay.process)
			node.relay = StartRelay(node.backend_port, node.spec.id + "-relay");
		node.BackendControl("{\"announce\":true,\"announce_port\":" +
				    std::to_string(node.relay.port) + "}");
	}
}

Node &Fleet::AddNode(const NodeSpec &spec)
{
	nodes_.push_back(std::make_unique<Node>());
	Node &node = *nodes_.back();

	node.spec = spec;
	StartNode(node);
	if (!spec.pool.empty())
		StartBackend(node);
	return node;
}

std::unique_ptr<Process> Fleet::StartOperator(const std::vector<std::string> &args)
{
	std::vector<std::string> argv = {"snipescale"};

	argv.insert(argv.end(), args.begin(), args.end());
	return std::make_unique<Process>(argv,
					 File("operator" + std::to_string(++operator_runs_)));
}

RunResult Fleet::Operator(const std::vector<std::string> &args)
{
	auto p = StartOperator(args);
	int status = p->Wait();

	return {status, p->Output(), p->Errors()};
}

std::vector<std::string> Fleet::ApplyArgs(const std::string &routes, const std::string &pools)
{
	std::string stem = "tables" + std::to_string(++operator_runs_);

	WriteFile(File(stem + ".routes.toml"), routes);
	WriteFile(File(stem + ".pools.toml"), pools);
	return {"apply",
		"--platform",
		Loopback(platform_port_),
		"--routes",
		File(stem + ".routes.toml"),
		"--pools",
		File(stem + ".pools.toml")};
}

RunResult Fleet::ApplyTables(const std::string &routes, const std::string &pools)
{
	return Operator(ApplyArgs(routes, pools));
}

std::string Fleet::TablesVersion()
{
	Response r = Fetch(platform_port_, "GET", "/v1/objects/config/tables");
	std::string tag = r.Header("etag");

	tag.erase(std::remove(tag.begin(), tag.end(), '"'), tag.end());
	return tag;
}

Key Fleet::IssueKey(const std::string &workspace)
{
	RunResult r = Operator({"key", "issue", "--platform", Loopback(platform_port_),
				"--workspace", workspace});
	auto pairs = ParsePairs(r.out.substr(0, r.out.find('\n')));
	size_t at = r.out.find("snk_");
	Key key;

	if (at != std::string::npos && r.out.size() >= at + 47)
		key.key = r.out.substr(at, 47);
	key.id = pairs["id"];
	if (r.status != 0 || key.key.empty())
		throw std::runtime_error("snipescale key issue failed: " + r.out + r.err);
	return key;
}

std::vector<std::string> Fleet::WithdrawArgs(const std::string &id)
{
	return {"key", "withdraw", "--platform", Loopback(platform_port_), "--id", id};
}

RunResult Fleet::WithdrawKey(const std::string &id)
{
	return Operator(WithdrawArgs(id));
}

std::string Fleet::SecretFile()
{
	WriteFile(File("secret"), kSecret);
	return File("secret");
}

bool Fleet::WaitServing(const std::string &path, const std::string &key)
{
	for (size_t i = 0; i < nodes_.size(); i++)
		if (!WaitFor([&] { return Call(i, "GET", path, key).status == 200; }))
			return false;
	return true;
}

bool Fleet::WaitMembers(int ready)
{
	for (const auto &n : nodes_) {
		if (!n->process || !n->process->Running())
			continue;
		bool seen = WaitFor([&] {
			std::string dump = Fetch(n->admin_port, "GET", "/state").body;
			json_t *doc = json_loads(dump.c_str(), 0, nullptr), *m;
			json_t *members =
				json_object_get(json_object_get(doc, "control"), "members");
			size_t i;
			int count = 0;

			json_array_foreach(members, i, m)
			{
				const char *state =
					json_string_value(json_object_get(m, "state"));
				count += state && std::string(state) == "ready";
			}
			json_decref(doc);
			return count >= ready;
		});
		if (!seen)
			return false;
	}
	return true;
}

Response Fleet::Call(size_t node, const std::string &method, const std::string &path,
		     const std::string &key, Headers headers, const std::string &body)
{
	if (!key.empty())
		headers.emplace_back("Snipe-Key", key);
	return Fetch(nodes_[node]->caller_port, method, path, headers, body);
}

std::vector<RunRecord> Fleet::Runs() const
{
	std::vector<RunRecord> runs;

	for (size_t n = 0; n < nodes_.size(); n++) {
		std::istringstream in(ReadFile(File(nodes_[n]->spec.id + ".runs")));
		std::string line;

		while (std::getline(in, line)) {
			json_t *o = json_loads(line.c_str(), 0, nullptr);
			auto text = [o](const char *name) {
				const char *s = json_string_value(json_object_get(o, name));
				return std::string(s ? s : "");
			};
			RunRecord r;

			r.event = text("event");
			r.id = text("id");
			r.method = text("method");
			r.path = text("path");
			r.workspace = text("workspace");
			r.identifier = text("identifier");
			r.body_hash = text("body_hash");
			r.parent = text("parent");
			r.time_us = json_integer_value(json_object_get(o, "time_us"));
			r.node = static_cast<int>(n);
			json_decref(o);
			runs.push_back(r);
		}
	}
	std::stable_sort(runs.begin(), runs.end(), [](const RunRecord &a, const RunRecord &b) {
		return a.time_us < b.time_us;
	});
	return runs;
}

int Fleet::Started(const std::string &id) const
{
	int count = 0;

	for (const auto &r : Runs())
		count += r.event == "start" && r.id == id;
	return count;
}

std::map<std::string, int> Fleet::StartedById() const
{
	std::map<std::string, int> counts;

	for (const auto &r : Runs())
		if (r.event == "start")
			counts[r.id]++;
	return counts;
}

std::string Fleet::Bytes() const
{
	std::string bytes;

	for (const auto &n : nodes_)
		bytes += ReadFile(File(n->spec.id + ".bytes"));
	return bytes;
}

std::string Fleet::NodeOutput() const
{
	std::string text;

	for (const auto &n : nodes_) {
		text += ReadFile(File(n->spec.id + ".out")) +
			ReadFile(File(n->spec.id + ".err"));
		text += Fetch(n->admin_port, "GET", "/state").body;
		text += Fetch(n->admin_port, "GET", "/metrics").body;
	}
	return text;
}

int Fleet::SilenceLinks(size_t node)
{
	int count = 0;

	for (const auto &n : nodes_)
		count += SilenceConnections(nodes_[node]->process->pid(), n->peer_port);
	return count;
}

int Fleet::CutLinks(size_t node)
{
	int count = 0;

	for (const auto &n : nodes_)
		count += CutConnections(nodes_[node]->process->pid(), n->peer_port);
	return count;
}

void Fleet::PlatformDown()
{
	platform_relay.Control("{\"refuse\":true,\"cut\":true}");
}

void Fleet::PlatformUp()
{
	platform_relay.Control("{\"refuse\":false,\"delay_ms\":0,\"drop_replies\":false,"
			       "\"silent_new\":false}");
}

} // namespace snipe_test
