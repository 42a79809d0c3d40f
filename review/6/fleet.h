// A small deployment on loopback: the node of the deploy file as separate processes, and
// stand-ins for the platform with its store, the backend servers and the clients. Each stand-in
// follows the platform's pages; each has threads of its own and blocking sockets.
#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

// Milliseconds since the start of the script.
int64_t NowMs();
void SleepMs(int64_t ms);

// Lines of record.txt, each with its time.
class Record
{
      public:
	explicit Record(const std::string &path);
	~Record();
	void Line(const char *format, ...) __attribute__((format(printf, 2, 3)));

      private:
	std::mutex mutex_;
	FILE *file_;
};

// Ends the script with status 2: the case could not run.
[[noreturn]] void CannotRun(const std::string &why);

// One HTTP/1.1 message.
struct Message {
	std::string first; // request or status line
	std::vector<std::pair<std::string, std::string>> fields;
	std::string body;
	std::string Field(const std::string &name) const; // "" if absent
	int Status() const;
};

// A connection that is read message by message.
class Connection
{
      public:
	explicit Connection(int fd) : fd_(fd)
	{
	}
	~Connection();
	Connection(const Connection &) = delete;
	Connection &operator=(const Connection &) = delete;
	// Connects; returns nullptr if nobody listens. rcvbuf > 0 bounds the receive buffer.
	static std::unique_ptr<Connection> To(int port, int rcvbuf = 0);
	bool Send(const std::string &bytes);
	// Returns 1 for a whole message, 0 for a clean end before its first byte, -1 if it
	// broke off or did not come in time. timeout_ms < 0: no limit.
	int Read(Message *m, int timeout_ms = -1, bool is_head = false);
	// Receives at most this many bytes without parsing; 0 at the end, -1 on an error.
	ssize_t Receive(char *data, size_t size, int timeout_ms);
	// Whether the peer has closed or reset the connection.
	bool IsClosed() const;
	int fd() const
	{
		return fd_;
	}

      private:
	bool Fill(int64_t until_ms);
	int fd_;
	std::string in_;
};

// Accepts connections and gives each a thread of its own.
class Listener
{
      public:
	Listener(int port, std::function<void(Connection &)> serve);
	~Listener();
	// Ends all connections and refuses new ones, at once.
	void Cut();
	void Close();

      private:
	void Run();
	int fd_;
	std::function<void(Connection &)> serve_;
	std::atomic<bool> closed_{false}, cut_{false};
	std::mutex mutex_;
	std::set<int> open_;
	std::thread thread_;
	std::atomic<int> threads_{0};
};

// A free port of 127.0.0.1 with the next one free as well.
int FreePort();

enum class StoreMode { Up, Busy, Silent };

// The platform's store, with a listener for each node so that it can turn one away.
class Store
{
      public:
	int AddListener();
	void SetMode(int port, StoreMode mode);
	// Writes as the operator does; its return is the acknowledgement.
	void Write(const std::string &kind, const std::string &name, const std::string &spec);
	bool Has(const std::string &kind, const std::string &name);
	void Stop();

      private:
	struct Object {
		uint64_t revision;
		std::string spec;
	};
	struct Port {
		std::atomic<StoreMode> mode{StoreMode::Up};
		std::unique_ptr<Listener> listener;
	};
	void Serve(Port &port, Connection &c);
	std::string Answer(const Message &m, int *status);
	std::string Watch(const std::string &kind, uint64_t after, int wait_ms, int *status);
	std::string List(const std::string &kind, const std::string &after);
	std::string Put(const Message &m, const std::string &kind, std::string name,
			int *status);
	std::string Json(const std::string &name, const Object &o) const;
	std::mutex mutex_;
	std::condition_variable changed_;
	std::map<std::string, std::map<std::string, Object>> kinds_;
	std::map<int, std::unique_ptr<Port>> ports_;
	uint64_t revision_ = 10;
	std::atomic<bool> stopped_{false};
};

// A run of a request at a backend server.
struct Run {
	std::string id, server;
	int64_t begin_ms, end_ms; // end_ms 0: still running
	std::string end;	  // done, deadline, caller_left
};

// What the backend servers ran.
class Runs
{
      public:
	size_t Begin(const std::string &id, const std::string &server);
	void End(size_t run, const std::string &how);
	std::vector<Run> All();
	std::vector<Run> Of(const std::string &id);

      private:
	std::mutex mutex_;
	std::vector<Run> runs_;
};

// What a request asks of a backend server.
struct Work {
	int ms = 20;
	size_t body_bytes = 100;
};

class Backend
{
      public:
	Backend(Record &record, Runs &runs, const std::string &id, const std::string &service,
		const std::string &zone, int port, int admin_port, int capacity,
		std::function<Work(const Message &)> work);
	~Backend();
	void Crash(); // ends all its connections at once; Stop frees the rest
	void Stop();
	// Sends its leaving and goes on serving; true once it is acknowledged.
	bool Leave();
	// The next ping, which is not sent yet.
	std::string NextPing();
	// Sends a ping; true if it is acknowledged within a second.
	bool Ping(const std::string &body);
	const std::string id;

      private:
	void Serve(Connection &c);
	void PingLoop();
	Record &record_;
	Runs &runs_;
	std::string service_, zone_;
	int port_, admin_port_, capacity_;
	std::function<Work(const Message &)> work_;
	int64_t born_ms_;
	uint64_t sequence_ = 0;
	std::mutex mutex_;
	std::atomic<bool> stopped_{false}, leaving_{false};
	std::atomic<int> running_{0};
	std::unique_ptr<Listener> listener_;
	std::thread pings_;
};

struct Node {
	std::string name, zone, service;
	int outbound, readiness, admin, inbound, app, peers, store;
	std::unique_ptr<Backend> backend;
	// The platform's view.
	std::atomic<pid_t> pid{0};
	std::atomic<bool> is_wanted{false}; // restarted when it ends
	std::atomic<int> misses{0};
	std::atomic<bool> is_in{false}; // clients send to it
	std::atomic<int> ended_by_itself{0};
	std::atomic<int64_t> peak_kb{0};
	int starts = 0;
};

// Starts and stops the nodes, asks for their readiness once a second, and ends a process that
// exceeds its memory.
class Platform
{
      public:
	Platform(Record &record, Store &store);
	~Platform();
	Node &AddNode(const std::string &name, const std::string &zone,
		      const std::string &service);
	void Start(Node &n, bool bootstrap);
	// SIGTERM, and SIGKILL after the grace time; the node starts again after that.
	void Terminate(Node &n);
	void Kill(Node &n); // SIGKILL; it starts again after half a second
	// Whether clients on the node's machine get new work.
	bool MaySend(Node &n);
	bool WaitReady(int64_t ms);
	void Stop();
	std::vector<std::unique_ptr<Node>> nodes;
	static constexpr int kMemoryMb = 260;
	static constexpr int kGraceMs = 6000;

      private:
	void Watch();
	void CheckReadiness();
	void CheckMemory();
	void Reap();
	std::string Settings(const Node &n, bool bootstrap) const;
	Record &record_;
	Store &store_;
	std::string dir_;
	std::atomic<bool> stopped_{false};
	std::recursive_mutex mutex_;
	std::map<Node *, int64_t> restart_at_, kill_at_;
	std::thread thread_, readiness_;
};

// "TROUBLE=0" in the environment: the same without the disruption.
bool WithTrouble();
// A new id of a client attempt.
std::string NewId();

} // namespace review

#endif
