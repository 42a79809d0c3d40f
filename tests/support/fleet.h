/*
 * A fleet of plain processes on loopback: platform stand-in behind a relay, nodes, and a
 * backend server beside each node that has a pool. The kernel chooses every port.
 *
 * Verdicts of tests come from what the backend servers recorded (Runs, Bytes) and from what
 * callers received.
 */
#ifndef SNIPE_TEST_FLEET_H
#define SNIPE_TEST_FLEET_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/http.h"
#include "support/process.h"
#include "support/wait.h"

namespace snipe_test
{

/* A run that a backend server recorded. */
struct RunRecord {
	std::string event; /* start, end or cancel */
	std::string id, method, path, workspace, identifier, body_hash;
	std::string parent; /* run that made this inner call */
	long long time_us = 0;
	int node = 0; /* index of the node beside the backend server */
};

struct NodeSpec {
	std::string id;
	std::string failure_domain = "fd-a";
	std::string pool; /* empty: no backend server */
	std::vector<std::string> backend_args = {};
	bool backend_relay = false; /* a relay between node and backend server */
	std::string region = "region-1";
	std::string settings = ""; /* more TOML, for example [overload] */
	bool record = true;	   /* false: the backend server records nothing */
};

struct Relay {
	std::unique_ptr<Process> process;
	int port = 0, control_port = 0;
	void Control(const std::string &json) const;
};

struct Node {
	NodeSpec spec;
	std::unique_ptr<Process> process, backend;
	Relay relay;
	int caller_port = 0, local_port = 0, peer_port = 0, admin_port = 0;
	int backend_port = 0, control_port = 0;
	void BackendControl(const std::string &json) const;
};

struct Key {
	std::string id, key;
};

class Fleet
{
      public:
	/* Starts the platform stand-in and a relay in front of it. */
	Fleet();
	~Fleet();

	/* Starts a node and its backend server; the first nodes are the seeds of later ones. */
	Node &AddNode(const NodeSpec &spec);
	/* Starts the process of a node again: same id and ports. */
	void StartNode(Node &node);
	void StartBackend(Node &node);
	size_t size() const
	{
		return nodes_.size();
	}
	Node &operator[](size_t i)
	{
		return *nodes_[i];
	}

	/* The operators' program. */
	RunResult Operator(const std::vector<std::string> &args);
	std::unique_ptr<Process> StartOperator(const std::vector<std::string> &args);
	RunResult ApplyTables(const std::string &routes, const std::string &pools);
	std::vector<std::string> ApplyArgs(const std::string &routes, const std::string &pools);
	/* Version of config/tables at the platform. */
	std::string TablesVersion();
	Key IssueKey(const std::string &workspace);
	RunResult WithdrawKey(const std::string &id);
	std::vector<std::string> WithdrawArgs(const std::string &id);
	/* A file that holds the fleet secret. */
	std::string SecretFile();

	/* Waits until every node answers GET path with 200 for this key. */
	bool WaitServing(const std::string &path, const std::string &key);
	/* Waits until each live node sees `ready` ready backend servers, by its state dump;
	 * used only to begin a test, never for a verdict. */
	bool WaitMembers(int ready);

	Response Call(size_t node, const std::string &method, const std::string &path,
		      const std::string &key, Headers headers = {},
		      const std::string &body = "");

	/* Everything that the backend servers recorded, by time. */
	std::vector<RunRecord> Runs() const;
	/* Number of runs started with this request id. */
	int Started(const std::string &id) const;
	/* Number of runs started by request id. */
	std::map<std::string, int> StartedById() const;
	std::string Bytes() const;
	/* Everything that nodes printed, and their dumps and counters. */
	std::string NodeOutput() const;

	Relay platform_relay;
	int platform_port() const
	{
		return platform_port_;
	}
	/* Open links between this node and all others stop carrying bytes, or are closed; new
	 * links work. Return the number of links. */
	int SilenceLinks(size_t node);
	int CutLinks(size_t node);
	/* Platform outage as the nodes see it. */
	void PlatformDown();
	void PlatformUp();
	std::string File(const std::string &name) const
	{
		return dir_.File(name);
	}
	Relay StartRelay(int target_port, const std::string &name);

      private:
	TempDir dir_;
	std::unique_ptr<Process> platform_;
	int platform_port_ = 0;
	int operator_runs_ = 0;
	std::vector<std::unique_ptr<Node>> nodes_;
};

/*
 * Starts two nodes of pool front (indexes 0, 1) and two of pool deep (2, 3) in two failure
 * domains, applies kRoutes and kPools, issues a key for workspace alpha and waits until every
 * node serves both pools. Throws if that does not happen.
 */
Key StartStandardFleet(Fleet &fleet, const NodeSpec &pattern = {});

/* A request id that no other request of this test program has. */
std::string NewId();
/* A new UUID version 7 as callers make it. */
std::string NewIdentifier();

/* A request of a Crowd, and what its caller received. */
struct Sent {
	std::string id;
	long long sent_us = 0; /* CLOCK_BOOTTIME before the first byte, as in RunRecord */
	Response response;
};

/* CLOCK_BOOTTIME in microseconds. */
long long NowUs();

/*
 * Callers in threads, each with one request at a time, until it is stopped. next makes and
 * sends one request of the given id, from caller number n.
 */
class Crowd
{
      public:
	Crowd(int callers, std::function<Response(int n, const std::string &id)> next);
	~Crowd();
	/* Stops after the requests in flight and returns all of them. */
	std::vector<Sent> Stop();
	/* Number of requests that ended, and of those with status 200. */
	int ended() const
	{
		return ended_;
	}
	int succeeded() const
	{
		return succeeded_;
	}
	/* Waits for this many more successful requests. */
	bool WaitMore(int count);

      private:
	std::atomic<bool> stop_{false};
	std::atomic<int> ended_{0}, succeeded_{0};
	std::mutex mutex_;
	std::vector<Sent> sent_;
	std::vector<std::thread> threads_;
};

/* Tables that most process tests use: see fleet.cc. */
extern const char kRoutes[], kPools[];

} // namespace snipe_test

#endif
