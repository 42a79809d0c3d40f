// A deployment on loopback: nodes as real processes, and stand-ins in the test process for the
// store, the backend servers and the clients, each by its published protocol.
#ifndef SNIPE_TESTS_DEPLOYMENT_H
#define SNIPE_TESTS_DEPLOYMENT_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "h1/pool.h"
#include "h1/server.h"
#include "support/loop.h"
#include "support/process.h"

namespace snipe_test
{

// What the store does to the calls of one node.
enum class StoreMode { Up, Busy, Many, Silent };

// One call that the store got, with its query.
struct StoreCall {
	int64_t at_us;
	std::string method, url;
};

// Objects by kind and name, with pages, watches and a history that can be dropped. Each node
// has a listener of its own, so that the store can turn away some of them.
class FakeStore
{
      public:
	explicit FakeStore(Loop &loop) : loop_(loop)
	{
	}
	~FakeStore();
	struct snipe_address AddListener();
	void SetMode(size_t listener, StoreMode mode);
	void SetSlow(int ms)
	{
		slow_ms_ = ms;
	}
	void LoseWrites(int count)
	{
		lose_writes_ = count;
	}
	// Writes as the operator does; the return is the acknowledgement.
	void Write(const std::string &kind, const std::string &name, const std::string &spec);
	bool Has(const std::string &kind, const std::string &name) const;
	// Forgets what happened and cuts the watches that wait.
	void DropHistory();
	// Keeps a copy of all objects, and returns to it: what was written since is gone, and
	// its revisions are given out again. Ends the connections.
	void Copy();
	void Restore();
	// In the order of arrival.
	std::vector<StoreCall> calls;

      private:
	struct Object {
		uint64_t revision;
		std::string spec;
	};
	struct Change {
		uint64_t revision;
		std::string kind, name;
	};
	struct Watch {
		struct snipe_h1_request *req;
		std::string kind;
		uint64_t after;
		int64_t until_us;
	};
	struct Port {
		FakeStore *store;
		struct snipe_h1_server server;
		StoreMode mode = StoreMode::Up;
	};
	static void OnRequest(void *arg, struct snipe_h1_request *req);
	static void OnCancelled(void *arg, struct snipe_h1_request *req);
	static void OnTick(evutil_socket_t, short, void *arg);
	void Handle(struct snipe_h1_request *req);
	void HandleGet(struct snipe_h1_request *req, const std::string &kind,
		       const std::string &name,
		       const std::map<std::string, std::string> &query);
	void HandleWrite(struct snipe_h1_request *req, const std::string &kind,
			 const std::string &name);
	bool AnswerWatch(const Watch &w, bool at_end);
	void Answer(struct snipe_h1_request *req, int status, const std::string &body,
		    bool close = false);
	std::string ObjectJson(const std::string &kind, const std::string &name) const;
	Loop &loop_;
	std::vector<std::unique_ptr<Port>> ports_;
	std::map<std::string, std::map<std::string, Object>> kinds_;
	std::vector<Change> history_;
	std::vector<Watch> watches_;
	std::vector<std::pair<int64_t, struct snipe_h1_request *>> delayed_;
	struct Content {
		std::map<std::string, std::map<std::string, Object>> kinds;
		std::vector<Change> history;
		uint64_t revision, floor;
	} copy_;
	uint64_t revision_ = 10, floor_ = 0, era_ = 1;
	int slow_ms_ = 0, lose_writes_ = 0;
	struct event *tick_ = nullptr;
};

// One request that a backend server got.
struct ServerRun {
	std::string id, server, workspace, caller, path, body;
	bool had_key;
	int left_ms; // -1: none
	int64_t at_us;
};

class FakeServer;

// All requests that the backend servers ran, and how often each id ran.
struct Record {
	std::vector<ServerRun> runs;
	std::map<std::string, int> count;
};

struct ServerBehaviour {
	int run_ms = 5;
	double cold_factor = 2; // on run_ms while the server is cold
	double lose = 0;	// part of the answers that are lost after the run, by a reset
	double silent = 0;	// part that are lost without a reset
	double refuse = 0;	// part that is not run
	std::string crash_path; // a request for it ends the process, or empty
	std::string inner;	// path of a call to make through the own node, or empty
	std::string inner_host;
	int inner_calls = 1;   // how many, one after the other, until one fails
	size_t body_bytes = 0; // of each answer to a path below /long/; 0: a short one
};

class FakeServer
{
      public:
	FakeServer(Loop &loop, Record &record, const std::string &service,
		   const struct snipe_address &address, const struct snipe_address &admin,
		   const struct snipe_address &outbound, const std::string &id, int slots,
		   int cold_ms = 0);
	~FakeServer();
	void Drain();
	void Leave();	     // sends its leaving, and goes on serving
	void AnnounceLate(); // sends a notice that says ready, whatever the state
	// Sends a notice of another writer, with a sequence far ahead and without a field.
	void AnnounceForeign(const std::string &missing);
	void Die(); // closes all at once
	bool Dead() const
	{
		return dead_;
	}
	ServerBehaviour behaviour;
	const std::string id;
	int refused = 0;      // requests that it did not run
	int acknowledged = 0; // notices of its own
	int foreign_acknowledged = 0;
	int64_t leave_acked_us = 0; // first acknowledged notice of leaving; 0: none

      private:
	struct Job;
	static void OnRequest(void *arg, struct snipe_h1_request *req);
	static void OnCancelled(void *arg, struct snipe_h1_request *req);
	static void OnBeat(evutil_socket_t, short, void *arg);
	void SendNotice(bool leave);
	std::string Notice(const std::string &state);
	void SendCall(bool leave, const std::string &body, bool leaves,
		      bool is_foreign = false);
	void Finish(Job *job);
	void StartInner(Job *job);
	Loop &loop_;
	Record &record_;
	std::string service_;
	struct snipe_address address_;
	int slots_, running_ = 0;
	std::string state_ = "ready";
	uint64_t sequence_ = 0;
	int64_t born_ms_, cold_until_us_;
	bool dead_ = false;
	struct snipe_h1_server server_;
	struct snipe_h1_pool admin_, outbound_;
	struct event *beat_;
	std::set<Job *> jobs_;
	friend struct Job;
};

struct Reply {
	bool done = false;
	enum snipe_h1_result result = SNIPE_H1_LOST;
	int status = 0;
	std::string body, server_id, retry_after;
	int64_t took_us = 0;
};

struct Request {
	std::string method = "GET", host = "a.example", path = "/open/x", key, id, body, more;
	int left_ms = 5000;
};

// A request on its way; cancelled when the object ends.
class Pending
{
      public:
	Pending(struct snipe_h1_pool *pool, const Request &r);
	~Pending();
	Reply reply;
	Request request;
	int64_t started_us;

      private:
	static void OnDone(void *arg, enum snipe_h1_result result,
			   const struct snipe_h1_message *m);
	struct snipe_h1_call *call_;
};

struct NodeAddresses {
	struct snipe_address outbound, readiness, admin, app, peers, store;
	// What the node is told, if a relay stands before its server or the store.
	struct snipe_address told_app, told_store;
};

class Deployment
{
      public:
	Deployment();
	~Deployment();
	// Adds a node beside a backend server of a service; it is not started.
	size_t AddNode(const std::string &service, const std::string &zone, int slots = 20);
	void Start(size_t node, bool bootstrap = true);
	void StartAll();
	// Starts another backend server process beside the node.
	void StartServer(size_t node);
	bool Ready(size_t node);
	// Waits until all running nodes are ready and know all running backend servers.
	bool WaitSettled();
	// Sends a request to a node and waits for its end.
	Reply Call(size_t node, const Request &r);
	std::unique_ptr<Pending> Begin(size_t node, const Request &r);
	// Writes tables with the next version. Rows of routes:
	// name, host, prefix, kind, timeout, public, service.
	void PutTables();
	std::vector<std::string> routes, services, tenants; // rows as JSON
	std::string State(size_t node);			    // dump
	// Leaves the logs of the nodes after the end; returns their folder.
	std::string KeepLogs();
	Loop loop;
	Record record;
	FakeStore store;
	struct Node {
		std::string service, zone;
		NodeAddresses at;
		std::unique_ptr<Process> process;
		std::unique_ptr<FakeServer> server;
		struct snipe_h1_pool pool;
		int slots, starts = 0;
	};
	std::vector<std::unique_ptr<Node>> nodes;
	int version = 0;
	int node_descriptors = 0; // most that a node started from now on may open; 0: any
	int server_cold_ms = 0;	  // of servers that are started from now on
	int node_memory_mb = 0;	  // stated to nodes started from now on; 0: nothing is stated
	int max_body_bytes = 1000000; // of requests, in the tables

      private:
	std::string Settings(const Node &n, bool bootstrap) const;
	TempDir dir_;
	int next_server_ = 1, next_request_ = 1;
};

} // namespace snipe_test

#endif
