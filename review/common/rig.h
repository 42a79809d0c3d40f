// A small deployment on loopback for the cases of this folder: nodes as real processes, started
// with the command of deploy/system.toml, and stand-ins for the store, the backend servers and
// the clients in the process of the case. All of them write to record.txt.
#ifndef SNIPE_REVIEW_RIG_H
#define SNIPE_REVIEW_RIG_H

#include <cstdarg>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/deployment.h"

namespace review
{

using namespace snipe_test;

// Exit statuses of a case.
enum { HELD = 0, BROKEN = 1, NOT_RUN = 2 };

// record.txt: one line for each event, with the milliseconds since the start.
class Log
{
      public:
	explicit Log(const std::string &path);
	~Log();
	void Line(const char *format, ...) __attribute__((format(printf, 2, 3)));
	int64_t start_us;

      private:
	FILE *file_;
};

// A request that a backend server began to run.
struct Run {
	std::string id, server, path, service, caller, tenant;
	int64_t at_us;
	size_t machine;
	bool ended; // the answer was complete when it was handed to the connection
};

class Rig;

// A backend server. A request for /ROUTE/MS/BYTES/... runs for MS milliseconds and gets a body
// of BYTES bytes.
class Backend
{
      public:
	Backend(Rig &rig, size_t machine, const std::string &server_id);
	~Backend();
	void Crash();
	// Sends its leaving (DELETE) and goes on serving, without further pings.
	void Leave();
	// Makes a ping that says ready, as it is sent now. Deliver hands it to the node later,
	// as a network that holds it up would.
	std::string MakePing();
	void Deliver(const std::string &ping);
	bool Down() const
	{
		return down_;
	}
	const std::string id;
	int64_t down_since_us = 0;
	int acknowledged = 0;	    // pings
	int64_t leave_acked_us = 0; // 0: not yet

      private:
	struct Job;
	static void OnRequest(void *arg, struct snipe_h1_request *req);
	static void OnCancelled(void *arg, struct snipe_h1_request *req);
	static void OnBeat(evutil_socket_t, short, void *arg);
	static void OnJob(evutil_socket_t, short, void *arg);
	void Send(const char *method, const std::string &body, bool leaves);
	void Answer(Job *job);
	Rig &rig_;
	size_t machine_;
	int running_ = 0;
	uint64_t sequence_ = 0;
	int64_t born_ms_;
	bool down_ = false, has_left_ = false;
	struct snipe_h1_server server_;
	struct snipe_h1_pool admin_;
	struct event *beat_;
	std::set<Job *> jobs_;
};

struct Machine {
	std::string service, zone, name;
	struct snipe_address outbound, inbound, readiness, admin, app, ports, store;
	std::unique_ptr<Process> node;
	std::unique_ptr<Backend> backend;
	std::string backend_id; // to start the next one with; empty: a new one
	int starts = 0;
	int misses = 0; // readiness checks that failed in a row
};

class Rig
{
      public:
	explicit Rig(const std::string &folder);
	~Rig();
	size_t AddMachine(const std::string &service, const std::string &zone);
	void PutManifest();
	void StartNode(size_t machine, bool bootstrap);
	void StartBackend(size_t machine);
	void StartAll();
	// Whether all running nodes are ready and know all running backend servers; false after
	// twenty seconds.
	bool Settle();
	// Whether the platform sends new clients to the machine, from a check each second.
	bool TakesClients(size_t machine) const
	{
		return machines[machine]->misses < 2;
	}
	int Runs(const std::string &id) const;
	Loop loop;
	Log log;
	FakeStore store;
	std::vector<std::unique_ptr<Machine>> machines;
	std::vector<Run> runs;
	std::vector<std::string> routes, services, tenants; // rows of the manifest
	std::string crash_path;				    // ends a server that runs it
	bool crashes_in_answer = false; // when the head of its answer is out, not before
	int slots = 40;

      private:
	std::string Settings(const Machine &m, bool bootstrap) const;
	std::string Get(const struct snipe_address &a, const std::string &path, int *status);
	static void OnCheck(evutil_socket_t, short, void *arg);
	void CheckReadiness();
	TempDir dir_;
	struct event *check_;
	struct Check;
	std::vector<std::unique_ptr<Check>> checks_;
	int version_ = 0, next_server_ = 1;
};

// A client's connection, on which it writes requests before earlier ones are answered.
class Connection
{
      public:
	Connection(Rig &rig, size_t machine, const std::string &name);
	void Send(const std::string &id, const std::string &path, const std::string &key,
		  int left_ms);
	// Reads what there is. Answers are complete ones with the id that they bear.
	void Pump();
	bool Ended() const
	{
		return ended_;
	}
	std::vector<std::string> sent;
	std::map<std::string, int> answers; // id -> status
	std::map<std::string, int64_t> sent_us;

      private:
	Rig &rig_;
	std::string name_, in_;
	Socket socket_;
	bool ended_ = false;
};

// Whether the case is to run with its disruption.
bool HasTrouble();

} // namespace review

#endif
