/*
 * Overload comparison: policies adaptive, fixed and none side by side, in one run, with the
 * tables of both deployments.
 *
 *   bench_overload [--deployment NAME] [--scenario NAME] [--policy NAME] [--seconds N]
 *
 * For each deployment and policy one fleet is started, with as many backend servers for each
 * pool as docs/design.md gives. Slots, connections and queues are a tenth of the tables',
 * service times are 50 ms, and rates are scaled to the capacity that results, so that a fleet
 * fits on one machine. Each scenario has base load (60% of capacity), load for the scenario,
 * and base load again, each of N seconds (default 5).
 *
 *   surge-3, surge-10   3 and 10 times capacity, all of it within the workspaces' rates
 *   slow-service        the pool at the end of the call graph is 10 times slower
 *   greedy              the workspace with the lowest rate sends 8 times its rate, all others
 * 60% retrying            3 times capacity by clients that send a failed request again 5 times
 *
 * Columns: goodput (whole responses/s) in base load and in the scenario; time from the end of
 * the scenario until at least 90% of the requests in every 250 ms are whole; the worst-served
 * workspace's whole attempts as a share of its attempts within its rate; attempts within the
 * rate that were refused, and that were not served for any reason.
 */
#include <jansson.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <regex>

#include "config/tables.h"
#include "support/fleet.h"

using namespace snipe_test;

namespace
{

constexpr double kServiceMs = 50, kBaseShare = 0.6;
constexpr int kScale = 10;

struct Deployment {
	const char *name;
	std::map<std::string, int> backend_servers;
	std::map<std::string, std::string> inner; /* pool that a request of a pool calls */
	std::string slow_pool;
	std::vector<std::string> failure_domains;
};

struct Scenario {
	const char *name;
	double factor; /* load in the scenario, as a multiple of capacity */
	double rates;  /* sum of all rates, as a multiple of capacity */
	int retries;
	bool slow, greedy;
};

const Scenario kScenarios[] = {
	{"surge-3", 3, 3, 0, false, false},
	{"surge-10", 10, 10, 0, false, false},
	{"slow-service", kBaseShare, 1, 0, true, false},
	{"greedy", kBaseShare, 1, 0, false, true},
	{"retrying", 3, 3, 5, false, false},
};

const Deployment kDeployments[] = {
	{"tui",
	 {{"tips", 5}, {"bookings", 4}, {"cards", 4}, {"reminders", 4}},
	 {{"bookings", "cards"}, {"reminders", "bookings"}},
	 "cards",
	 {"tauranga", "auckland", "wellington", "christchurch"}},
	{"tabua",
	 {{"meter-reading", 6}, {"billing", 4}, {"job-sheets", 4}, {"reports", 4}},
	 {{"billing", "meter-reading"}, {"reports", "billing"}},
	 "meter-reading",
	 {"suva-a", "suva-b", "lautoka", "nadi"}},
};

/* Multiplies the values of some keys of a TOML text; each stays at least min. */
std::string ScaleKeys(const std::string &toml, const std::string &keys, double by, int min)
{
	std::regex line("^(\\s*(?:" + keys + ")\\s*=\\s*)([0-9.]+)(.*)$");
	std::istringstream in(toml);
	std::string out, text;

	while (std::getline(in, text)) {
		std::smatch m;

		if (std::regex_match(text, m, line)) {
			bool whole = m.str(2).find('.') == std::string::npos;
			double value = std::max(std::atof(m.str(2).c_str()) * by,
						static_cast<double>(min));
			char number[32];

			snprintf(number, sizeof(number), whole ? "%.0f" : "%.3f", value);
			text = m.str(1) + number + m.str(3);
		}
		out += text + "\n";
	}
	return out;
}

struct Options {
	std::string deployment, scenario, policy;
	double seconds = 5;
};

/* One deployment's tables, scaled, with the load that follows from them. */
class Model
{
      public:
	explicit Model(const Deployment &d) : deployment(d)
	{
		std::string dir = std::string(SNIPE_SOURCE_DIR) + "/examples/" + d.name;
		struct snipe_problems problems;

		snipe_problems_init(&problems);
		routes_ = ReadFile(dir + "/routes.toml");
		pools = ScaleKeys(ReadFile(dir + "/pools.toml"), "slots|connections|queue",
				  1.0 / kScale, 2);
		if (snipe_tables_load(&tables, routes_.c_str(), "routes.toml", pools.c_str(),
				      "pools.toml", &problems))
			throw std::runtime_error(problems.count ? problems.lines[0] : dir);
		snipe_problems_finish(&problems);
		for (int i = 0; i < tables.workspace_count; i++)
			rate_sum_ += tables.workspaces[i].rate;
		FindCapacity();
	}
	~Model()
	{
		snipe_tables_finish(&tables);
	}
	Model(const Model &) = delete;
	Model &operator=(const Model &) = delete;

	/* Routes with the sum of all rates at `rates` times the capacity, and a marker route
	 * that shows that they are in force. */
	std::string Routes(double rates, const std::string &marker) const
	{
		return ScaleKeys(routes_, "rate|burst", RateScale(rates), 1) +
		       "\n[[route]]\nname = \"" + marker + "\"\nmethod = \"GET\"\npath = \"/" +
		       marker + "\"\npool = \"" + tables.pools[0].name +
		       "\"\nimportance = \"low\"\nopen = true\nidempotent = true\n"
		       "timeout_ms = 2000\nmax_retries = 0\nretry_percent = 0\n";
	}
	double RateScale(double rates) const
	{
		return rates * capacity / rate_sum_;
	}

	/* Inner calls of a request of a route, as a plan of fake_backend. A request of an open
	 * route has no workspace, and its inner calls would be rejected on closed routes. */
	json_t *Plan(const struct snipe_route &r) const
	{
		return r.open ? json_object() : Plan(std::string(tables.pools[r.pool].name));
	}
	json_t *Plan(const std::string &pool) const
	{
		auto it = deployment.inner.find(pool);
		json_t *plan = json_object();

		if (it == deployment.inner.end())
			return plan;
		for (int i = 0; i < tables.route_count; i++) {
			const struct snipe_route *r = &tables.routes[i];

			if (it->second != tables.pools[r->pool].name || !r->idempotent ||
			    strcmp(r->method, "GET") != 0)
				continue;
			json_object_set_new(plan, "inner",
					    json_pack("[{s:s,s:s,s:o}]", "method", "GET",
						      "path", Path(*r).c_str(), "plan",
						      Plan(it->second)));
			break;
		}
		return plan;
	}
	static std::string Path(const struct snipe_route &r)
	{
		return std::string(r.path) + (r.is_prefix ? "1" : "");
	}
	/* Reads are more frequent than bookings, settlements and texts. */
	static double Weight(const struct snipe_route &r)
	{
		return r.idempotent ? 3 : 1;
	}

	const Deployment &deployment;
	struct snipe_tables tables = {};
	std::string pools;
	double capacity = 0; /* client requests/s */

      private:
	/* Time for which a request of a pool holds its slot. */
	double HoldS(const std::string &pool) const
	{
		auto it = deployment.inner.find(pool);

		return kServiceMs / 1000 +
		       (it == deployment.inner.end() ? 0 : HoldS(it->second));
	}
	/* Capacity of the pool that is the bottleneck of the mix of routes. */
	void FindCapacity()
	{
		std::map<std::string, double> calls; /* for each client request */
		double weights = 0;

		for (int i = 0; i < tables.route_count; i++)
			weights += Weight(tables.routes[i]);
		for (int i = 0; i < tables.route_count; i++) {
			std::string pool = tables.pools[tables.routes[i].pool].name;

			while (!pool.empty()) {
				auto it = deployment.inner.find(pool);

				calls[pool] += Weight(tables.routes[i]) / weights;
				pool = it == deployment.inner.end() || tables.routes[i].open
					       ? ""
					       : it->second;
			}
		}
		for (int i = 0; i < tables.pool_count; i++) {
			const struct snipe_pool *p = &tables.pools[i];
			auto servers = deployment.backend_servers.find(p->name);

			if (servers == deployment.backend_servers.end() || calls[p->name] <= 0)
				continue;
			double c = servers->second * p->slots / HoldS(p->name) / calls[p->name];
			if (capacity <= 0 || c < capacity)
				capacity = c;
		}
	}
	std::string routes_;
	double rate_sum_ = 0;
};

class Comparison
{
      public:
	Comparison(const Model &model, const std::string &policy, double seconds)
	    : model_(model), policy_(policy), seconds_(seconds)
	{
		size_t domain = 0;

		for (int i = 0; i < model.tables.pool_count; i++) {
			const struct snipe_pool &p = model.tables.pools[i];
			auto count = model.deployment.backend_servers.find(p.name);
			int n = count == model.deployment.backend_servers.end() ? 1
										: count->second;

			for (int k = 0; k < n; k++) {
				const auto &fds = model.deployment.failure_domains;
				NodeSpec spec;

				spec.id = std::string(p.name) + "-" + std::to_string(k);
				spec.failure_domain = fds[domain++ % fds.size()];
				spec.pool = p.name;
				spec.record = false;
				spec.backend_args = {
					"--slots",	 std::to_string(p.slots),
					"--connections", std::to_string(p.connections),
					"--service-ms",	 std::to_string(kServiceMs),
					"--seed",	 std::to_string(domain)};
				spec.settings = "[overload]\npolicy = \"" + policy + "\"\n";
				if (policy == "fixed")
					spec.settings +=
						"fixed_limit = " + std::to_string(p.slots) +
						"\n";
				fleet_.AddNode(spec);
				servers_++;
			}
		}
		Apply(1);
		for (int i = 0; i < model.tables.workspace_count; i++)
			keys_.push_back(fleet_.IssueKey(model.tables.workspaces[i].name).key);
		if (!fleet_.WaitMembers(servers_))
			throw std::runtime_error("the fleet does not settle");
	}

	void Run(const Scenario &s)
	{
		Apply(s.rates);
		WaitIdle();
		json_t *config = Config(s);
		std::string file = fleet_.File("load.json");
		json_dump_file(config, file.c_str(), 0);
		json_decref(config);
		Process load({"load_generator", file}, fleet_.File("load"));
		if (s.slow) {
			Sleep(seconds_);
			SetSlow(10);
			Sleep(seconds_);
			SetSlow(1);
		}
		if (!WaitFor([&] { return !load.Running(); }, std::chrono::minutes(5)))
			throw std::runtime_error("load_generator did not end");
		Print(s, load.Output());
	}

      private:
	static void Sleep(double seconds)
	{
		std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
	}
	void SetSlow(int factor)
	{
		for (size_t i = 0; i < fleet_.size(); i++)
			if (fleet_[i].spec.pool == model_.deployment.slow_pool)
				fleet_[i].BackendControl(
					"{\"slow_factor\":" + std::to_string(factor) + "}");
	}
	void Apply(double rates)
	{
		std::string marker = "marker-" + std::to_string(++markers_);
		RunResult r = fleet_.ApplyTables(model_.Routes(rates, marker), model_.pools);

		if (r.status != 0)
			throw std::runtime_error("snipescale apply failed: " + r.err);
		for (size_t i = 0; i < fleet_.size(); i++)
			if (!WaitFor([&] {
				    return Fetch(fleet_[i].caller_port, "GET", "/" + marker)
						   .status == 200;
			    }))
				throw std::runtime_error("the tables are not in force");
	}
	/* Waits until the backend servers have nothing left of the scenario before. */
	void WaitIdle()
	{
		bool idle = WaitFor([&] {
			for (size_t i = 0; i < fleet_.size(); i++) {
				std::string text =
					Fetch(fleet_[i].control_port, "GET", "/load").body;

				if (text.find("\"running\":0,\"waiting\":0") ==
				    std::string::npos)
					return false;
			}
			return true;
		});
		if (!idle)
			throw std::runtime_error("backend servers do not become idle");
	}
	json_t *Config(const Scenario &s) const
	{
		json_t *doc = json_object(), *targets = json_array(), *routes = json_array();
		json_t *workspaces = json_array(), *factors = json_object();
		double scale = model_.RateScale(s.rates), sum = 0;
		int greedy = 0;

		for (int i = 0; i < model_.tables.workspace_count; i++) {
			sum += model_.tables.workspaces[i].rate;
			if (model_.tables.workspaces[i].rate <
			    model_.tables.workspaces[greedy].rate)
				greedy = i;
		}
		for (int i = 0; i < model_.tables.workspace_count; i++) {
			const struct snipe_workspace &w = model_.tables.workspaces[i];
			double load = kBaseShare * model_.capacity * w.rate / sum;

			json_array_append_new(
				workspaces,
				json_pack("{s:s,s:s,s:f,s:f,s:f,s:i,s:i}", "name", w.name,
					  "key", keys_[static_cast<size_t>(i)].c_str(), "load",
					  load, "rate", w.rate * scale, "burst",
					  std::max(w.burst * scale, 1.0), "retries", s.retries,
					  "backoff_ms", 10));
			if (s.greedy && i == greedy)
				json_object_set_new(factors, w.name,
						    json_real(8 * w.rate * scale / load));
		}
		for (int i = 0; i < model_.tables.route_count; i++) {
			const struct snipe_route &r = model_.tables.routes[i];

			json_array_append_new(routes,
					      json_pack("{s:s,s:s,s:s,s:f,s:b,s:o}", "name",
							r.name, "method", r.method, "path",
							Model::Path(r).c_str(), "weight",
							Model::Weight(r), "identifier",
							!r.idempotent, "plan", model_.Plan(r)));
		}
		for (size_t i = 0; i < fleet_nodes(); i++)
			json_array_append_new(
				targets,
				json_string(("127.0.0.1:" + std::to_string(caller_port(i)))
						    .c_str()));
		json_object_set_new(doc, "targets", targets);
		json_object_set_new(doc, "routes", routes);
		json_object_set_new(doc, "workspaces", workspaces);
		json_object_set_new(doc, "timeout_ms", json_integer(1500));
		json_object_set_new(doc, "phases",
				    json_pack("[{s:s,s:f,s:f},{s:s,s:f,s:f,s:o},{s:s,s:f,s:f}]",
					      "name", "base", "seconds", seconds_, "factor",
					      1.0, "name", s.name, "seconds", seconds_,
					      "factor", s.factor / kBaseShare, "factors",
					      factors, "name", "after", "seconds", seconds_ * 2,
					      "factor", 1.0));
		return doc;
	}
	size_t fleet_nodes() const
	{
		return static_cast<size_t>(servers_);
	}
	int caller_port(size_t i) const
	{
		return const_cast<Fleet &>(fleet_)[i].caller_port;
	}

	void Print(const Scenario &s, const std::string &output) const
	{
		json_t *doc = json_loads(output.c_str(), 0, nullptr);
		json_t *phases = json_object_get(doc, "phases");
		auto number = [&](size_t phase, const char *name) {
			return json_number_value(
				json_object_get(json_array_get(phases, phase), name));
		};
		const char *worst = json_string_value(
			json_object_get(json_array_get(phases, 1), "worst_workspace"));

		if (!doc)
			throw std::runtime_error("load_generator printed no result");
		std::printf("%-6s %-13s %-9s %9.0f %9.0f %9.0f %9.0f %10.2f %6.2f %-18s %9.0f "
			    "%9.0f %6.0f\n",
			    model_.deployment.name, s.name, policy_.c_str(), model_.capacity,
			    number(0, "goodput"), number(1, "requests") / seconds_,
			    number(1, "goodput"), number(2, "recovery_s"),
			    number(1, "worst_share"), worst ? worst : "",
			    number(1, "wrongful_rejections"),
			    number(1, "within_rate") - number(1, "within_rate_whole"),
			    number(0, "wrong") + number(1, "wrong") + number(2, "wrong"));
		std::fflush(stdout);
		if (getenv("SNIPE_BENCH_DETAILS"))
			std::fprintf(stderr, "%s\n", output.c_str());
		json_decref(doc);
	}

	const Model &model_;
	std::string policy_;
	double seconds_;
	Fleet fleet_;
	std::vector<std::string> keys_;
	int servers_ = 0, markers_ = 0;
};

Options ParseOptions(int argc, char **argv)
{
	Options o;

	for (int i = 1; i + 1 < argc; i += 2) {
		std::string name = argv[i];

		if (name == "--deployment")
			o.deployment = argv[i + 1];
		else if (name == "--scenario")
			o.scenario = argv[i + 1];
		else if (name == "--policy")
			o.policy = argv[i + 1];
		else if (name == "--seconds")
			o.seconds = std::atof(argv[i + 1]);
		else
			throw std::runtime_error("unknown option " + name);
	}
	return o;
}

} // namespace

int main(int argc, char **argv)
{
	Options options = ParseOptions(argc, argv);

	std::printf("%-6s %-13s %-9s %9s %9s %9s %9s %10s %6s %-18s %9s %9s %6s\n", "fleet",
		    "scenario", "policy", "capacity", "base", "offered", "goodput",
		    "recovery_s", "worst", "workspace", "wrongful", "unserved", "wrong");
	for (const auto &d : kDeployments) {
		if (!options.deployment.empty() && options.deployment != d.name)
			continue;
		Model model(d);

		for (const char *policy : {"adaptive", "fixed", "none"}) {
			if (!options.policy.empty() && options.policy != policy)
				continue;
			Comparison comparison(model, policy, options.seconds);

			for (const auto &s : kScenarios)
				if (options.scenario.empty() || options.scenario == s.name)
					comparison.Run(s);
		}
	}
	return 0;
}
