// Issue 44: clients, servers and other nodes that do not behave, against the memory of a node.
// Guards, on real processes, against a node that holds more for them than its machine has,
// ends, or serves nobody else. Crowds are small because the machines of these tests are.
#include <dirent.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "support/deployment.h"

namespace
{

using namespace snipe_test;

// The machine of the tests, and the crowd, each of whom has a node hold a megabyte or more.
const int kMemoryMb = 64, kCrowd = 120;
const size_t kMaxBody = 1000000;
// The machine and the largest request of the users' tables.
const int kSmallestMemoryMb = 160;
const size_t kLargestBody = 67108864;

long StatusMb(pid_t pid, const std::string &field)
{
	std::ifstream in("/proc/" + std::to_string(pid) + "/status");
	std::string line;

	while (std::getline(in, line))
		if (line.compare(0, field.size(), field) == 0)
			return (atol(line.c_str() + field.size()) + 1023) / 1024;
	return 0;
}

// The descriptors of a process, by what they are.
std::vector<std::string> Descriptors(pid_t pid)
{
	std::string dir = "/proc/" + std::to_string(pid) + "/fd";
	std::vector<std::string> all;
	DIR *d = opendir(dir.c_str());

	while (struct dirent *e = d ? readdir(d) : nullptr) {
		char target[256];
		ssize_t n = readlink((dir + "/" + e->d_name).c_str(), target, sizeof(target));
		if (n > 0)
			all.emplace_back(target, (size_t)n);
	}
	if (d)
		closedir(d);
	return all;
}

// Bytes that the kernel has received and the process has not read.
long UnreadBytes(const std::vector<std::string> &descriptors)
{
	std::ifstream in("/proc/net/tcp");
	std::set<std::string> sockets(descriptors.begin(), descriptors.end());
	std::string line;
	long sum = 0;

	std::getline(in, line);
	while (std::getline(in, line)) {
		std::istringstream words(line);
		std::vector<std::string> w(10);
		for (auto &word : w)
			words >> word;
		// A listener counts connections there.
		if (w[3] != "0A" && sockets.count("socket:[" + w[9] + "]"))
			sum += strtol(w[4].substr(w[4].find(':') + 1).c_str(), nullptr, 16);
	}
	return sum;
}

// A client that sends what it has as fast as the node takes it, and keeps its connection.
struct Client {
	Client(const struct snipe_address &to, const std::string &client_id,
	       const std::string &head_text, const std::string *body_text, bool is_reader)
	    : id(client_id), head(head_text), body(body_text), reads(is_reader)
	{
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&to, &ss), window = 65536;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
		if (connect(fd, (struct sockaddr *)&ss, (socklen_t)len) < 0 &&
		    errno != EINPROGRESS)
			give_up("connect");
		socket_ = Socket(fd);
	}
	// Returns whether bytes moved.
	bool Pump()
	{
		size_t before = sent, read_before = socket_.in.size();

		while (!ended && sent < head.size() + body->size() && sent - before < 262144) {
			const std::string &from = sent < head.size() ? head : *body;
			size_t at = sent < head.size() ? sent : sent - head.size();
			ssize_t n = send(socket_.fd, from.data() + at, from.size() - at,
					 MSG_NOSIGNAL);
			if (n < 0 && errno != EAGAIN)
				ended = true;
			if (n <= 0)
				break;
			sent += (size_t)n;
		}
		if (reads) {
			socket_.pump();
			ended |= socket_.eof || socket_.reset;
		}
		return sent != before || socket_.in.size() != read_before;
	}
	// Of the first answer; 0: none.
	int Status() const
	{
		return socket_.in.compare(0, 9, "HTTP/1.1 ") == 0 ? atoi(&socket_.in[9]) : 0;
	}
	std::string id, head;
	const std::string *body;
	bool reads, ended = false;
	size_t sent = 0;

      private:
	Socket socket_;
};

// A server in place of the one beside a node. From Misbehave on it completes no answer to a
// path below /long/, or reads nothing.
class UnfinishedServer
{
      public:
	explicit UnfinishedServer(Loop &loop)
	{
		static const struct timeval tick = {0, 2000};

		tick_ = event_new(loop.base, -1, EV_PERSIST, OnTick, this);
		event_add(tick_, &tick);
	}
	~UnfinishedServer()
	{
		event_free(tick_);
	}
	void Misbehave(bool reads)
	{
		reads_ = reads;
		behaves_ = false;
	}
	// Answers all that waits and comes from now on.
	void Behave()
	{
		reads_ = behaves_ = true;
	}
	const struct snipe_address &address() const
	{
		return listener_.address;
	}

      private:
	struct Connection {
		Socket socket;
		std::string out;
	};
	static void OnTick(evutil_socket_t, short, void *arg)
	{
		auto *s = static_cast<UnfinishedServer *>(arg);

		for (Socket taken = s->listener_.take(); taken.fd >= 0;
		     taken = s->listener_.take())
			s->connections_.push_back({std::move(taken), ""});
		for (auto &c : s->connections_)
			s->Serve(c);
		s->connections_.erase(
			std::remove_if(s->connections_.begin(), s->connections_.end(),
				       [](const Connection &c) {
					       return c.socket.eof || c.socket.reset;
				       }),
			s->connections_.end());
	}
	// Takes the bytes of a whole request out of the input; empty: it is not complete.
	static std::string TakeRequest(std::string &in)
	{
		size_t end = in.find("\r\n\r\n"), length = in.find("Content-Length: ");
		size_t size = end + 4;

		if (end == std::string::npos)
			return "";
		if (length < end)
			size += strtoul(in.c_str() + length + 16, nullptr, 10);
		if (in.size() < size)
			return "";
		std::string request = in.substr(0, size);
		in.erase(0, size);
		return request;
	}
	void Serve(Connection &c)
	{
		if (reads_)
			c.socket.pump();
		std::string request = TakeRequest(c.socket.in);
		if (!request.empty()) {
			bool is_long = !behaves_ && request.find(" /long/") < 10;
			size_t id = request.find("Attempt-Id: ");
			std::string body(is_long ? kMaxBody - 1 : 2, 'b');
			c.out += "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n" +
				 request.substr(id, request.find("\r\n", id) + 2 - id) +
				 "Content-Length: " +
				 std::to_string(is_long ? kMaxBody : body.size()) + "\r\n\r\n" +
				 body;
		}
		ssize_t n = c.out.empty() ? 0
					  : send(c.socket.fd, c.out.data(), c.out.size(),
						 MSG_NOSIGNAL);
		if (n > 0)
			c.out.erase(0, (size_t)n);
		else if (n < 0 && errno != EAGAIN)
			c.socket.reset = true;
	}
	bool reads_ = true, behaves_ = true;
	Listener listener_;
	std::vector<Connection> connections_;
	struct event *tick_;
};

// Two nodes: requests for /read/ are run beside the first one, others beside the second one.
struct MemoryBound : testing::Test, Deployment {
	std::vector<std::unique_ptr<Client>> crowd;
	std::unique_ptr<UnfinishedServer> unfinished; // in place of the second one's server
	std::vector<long> most_mb;		      // seen at each node

	void start(int memory_mb)
	{
		services = {R"(["near",200])", R"(["far",200])"};
		routes = {
			R"(["read","a.example","/read/","idempotent",5,2,false,null,"near"])",
			R"(["open","a.example","/open/","idempotent",5,2,false,null,"far"])",
			R"(["put","a.example","/put/","non_idempotent",5,2,false,null,"far"])",
			R"(["long","a.example","/long/","download",5,2,false,null,"far"])"};
		tenants = {R"(["one",["key-1"],0,0,0])"};
		node_memory_mb = memory_mb;
		if (!node_descriptors)
			node_descriptors = 500;
		AddNode("near", "west", 200);
		AddNode("far", "east", 200);
		if (unfinished)
			nodes[1]->at.told_app = unfinished->address();
		most_mb.resize(nodes.size());
		PutTables();
		StartAll();
		ASSERT_TRUE(WaitSettled());
		// The first requests of a route teach what it costs.
		for (size_t i = 0; i < nodes.size(); i++)
			expect_served(i);
	}
	static std::string head(const std::string &method, const std::string &path,
				const std::string &id, const std::string &more = "")
	{
		return method + " " + path +
		       " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
		       "\r\nDeadline-Ms: 5000\r\nAuthorization: Token key-1\r\n" + more +
		       "\r\n";
	}
	void add_client(const struct snipe_address &to, const std::string &method,
			const std::string &path, const std::string &more,
			const std::string &body, bool reads = true)
	{
		std::string id = "c-" + std::to_string(crowd.size());

		crowd.push_back(std::make_unique<Client>(to, id, head(method, path, id, more),
							 &body, reads));
	}
	void sample()
	{
		for (size_t i = 0; i < nodes.size(); i++) {
			pid_t pid = nodes[i]->process->pid();
			auto descriptors = Descriptors(pid);
			long mb = std::max(StatusMb(pid, "VmHWM:"),
					   StatusMb(pid, "VmRSS:") +
						   UnreadBytes(descriptors) / 1048576);

			most_mb[i] = std::max(most_mb[i], mb);
			EXPECT_LT(descriptors.size(), (size_t)node_descriptors) << "node " << i;
		}
	}
	// Lets the crowd send until nothing has moved for a while.
	void run_crowd()
	{
		int64_t end = snipe_now_us() + 25000000, moved = snipe_now_us(), sampled = 0;

		while (snipe_now_us() < end && snipe_now_us() - moved < 2000000) {
			for (auto &c : crowd)
				if (c->Pump())
					moved = snipe_now_us();
			if (snipe_now_us() - sampled > 30000) {
				sample();
				sampled = snipe_now_us();
			}
			loop.run_ms(1);
		}
		sample();
	}
	// An ordinary client: it comes back when it is told to.
	void expect_served(size_t node, const std::string &path = "/open/x")
	{
		Reply reply;

		for (int tries = 0; tries < 10; tries++) {
			Request r;
			r.key = "key-1";
			r.path = path;
			snipe_h1_pool_retire_connections(&nodes[node]->pool);
			reply = Call(node, r);
			if (reply.status == 200)
				return;
			loop.run_ms(
				std::max(100, (int)(atof(reply.retry_after.c_str()) * 1000)));
		}
		ADD_FAILURE() << "node " << node << " " << path << ": status " << reply.status
			      << " result " << reply.result;
	}
	void expect_bounded()
	{
		for (size_t i = 0; i < nodes.size(); i++) {
			ASSERT_TRUE(nodes[i]->process->Running()) << "node " << i;
			EXPECT_LE(most_mb[i], node_memory_mb) << "node " << i;
		}
		for (size_t i = 0; i < nodes.size() && !HasFailure(); i++) {
			expect_served(i);
			expect_served(i, "/read/x");
		}
		// These statuses promise that the request did not run and never will.
		for (auto &c : crowd) {
			int s = c->Status();
			if (s == 408 || s == 413 || s == 429 || s == 503) {
				EXPECT_EQ(record.count[c->id], 0) << c->id << " got " << s;
			}
		}
	}
	// A body of size bytes in chunks, without its last byte.
	static std::string chunks(size_t size, size_t chunk)
	{
		std::string s, data(chunk, 'x');
		char line[24];

		snprintf(line, sizeof(line), "%zx\r\n", chunk);
		for (size_t n = 0; n + chunk <= size; n += chunk)
			s += line + data + "\r\n";
		s.resize(s.size() - 3);
		return s;
	}
	void send_unfinished(const std::string &body)
	{
		start(kMemoryMb);
		for (int i = 0; i < kCrowd; i++)
			add_client(nodes[0]->at.outbound, "POST", "/put/x",
				   "Transfer-Encoding: chunked\r\n", body);
		run_crowd();
		expect_bounded();
	}
	void read_slowly(size_t node)
	{
		static const std::string none;

		start(kMemoryMb);
		nodes[1]->server->behaviour.body_bytes = 4 * kMaxBody;
		for (int i = 0; i < kCrowd; i++)
			add_client(nodes[node]->at.outbound, "GET", "/long/x", "", none, false);
		run_crowd();
		loop.run_ms(1000);
		sample();
		expect_bounded();
	}
	// Requests that stop within their body, on a port of the first node with few
	// connections.
	void occupy(struct snipe_address NodeAddresses::*port)
	{
		static const std::string part = "{";

		start(kMemoryMb);
		for (int i = 0; i < kCrowd; i++)
			add_client(nodes[0]->at.*port, "PUT", "/snipescale/instances/i-other",
				   "Content-Length: 60000\r\n", part);
		run_crowd();
	}
	// The loop ends a wait after ten seconds; this is long enough on any machine.
	bool wait_long(const std::function<bool()> &done)
	{
		for (int i = 0; i < 9; i++)
			if (loop.until(done))
				return true;
		return false;
	}
	// One request on the smallest machine of the users.
	void serve_one(size_t bytes)
	{
		Request r;

		max_body_bytes = (int)kLargestBody;
		start(kSmallestMemoryMb);
		routes.push_back(
			R"(["big","a.example","/big/","idempotent",80,2,false,null,"far"])");
		PutTables();
		loop.run_ms(3000);
		r.method = "POST";
		r.path = "/big/x";
		r.key = "key-1";
		r.left_ms = 80000;
		r.body.assign(bytes, 'x');
		auto pending = Begin(0, r);
		EXPECT_TRUE(wait_long([&] { return pending->reply.done; }));
		EXPECT_EQ(pending->reply.status, 200);
		sample();
		expect_bounded();
	}
};

} // namespace

TEST_F(MemoryBound, UnfinishedBodiesInLargeChunks)
{
	send_unfinished(chunks(kMaxBody, 65536));
}

TEST_F(MemoryBound, UnfinishedBodiesInSmallChunks)
{
	send_unfinished(chunks(kMaxBody, 8));
}

TEST_F(MemoryBound, UnfinishedSmallBodiesOnManyConnections)
{
	std::string body = chunks(30000, 6000);

	node_descriptors = 4000;
	start(kMemoryMb);
	for (int i = 0; i < 20 * kCrowd; i++)
		add_client(nodes[0]->at.outbound, "POST", "/put/x",
			   "Transfer-Encoding: chunked\r\n", body);
	run_crowd();
	expect_bounded();
}

TEST_F(MemoryBound, BodiesOverTheLimit)
{
	std::string announced(4 * kMaxBody, 'x'), sent = chunks(4 * kMaxBody, 65536);

	start(kMemoryMb);
	for (int i = 0; i < 3 * kCrowd; i++)
		if (i % 3 == 0)
			add_client(nodes[0]->at.outbound, "POST", "/put/x",
				   "Content-Length: 900000000\r\n", announced);
		else
			add_client(nodes[0]->at.outbound, "POST", "/put/x",
				   "Transfer-Encoding: chunked\r\n", sent);
	run_crowd();
	expect_bounded();
}

TEST_F(MemoryBound, SlowReadersOfLongAnswers)
{
	read_slowly(0);
}

TEST_F(MemoryBound, SlowReadersBesideTheServer)
{
	read_slowly(1);
}

TEST_F(MemoryBound, AnswersBehindAnUnfinishedOne)
{
	std::string more;

	start(kMemoryMb);
	nodes[0]->server->behaviour.run_ms = 4000;
	nodes[1]->server->behaviour.body_bytes = kMaxBody;
	for (int i = 0; i < 15; i++)
		more += head("GET", "/long/x", "p-" + std::to_string(i));
	for (int i = 0; i < 10; i++)
		add_client(nodes[0]->at.outbound, "GET", "/read/x", "", more, false);
	run_crowd();
	nodes[0]->server->behaviour.run_ms = 5;
	expect_bounded();
}

TEST_F(MemoryBound, BodiesForAServerThatDoesNotRead)
{
	std::string body(kMaxBody, 'x');

	unfinished = std::make_unique<UnfinishedServer>(loop);
	start(kMemoryMb);
	unfinished->Misbehave(false);
	for (int i = 0; i < kCrowd; i++)
		add_client(nodes[0]->at.outbound, "POST", "/put/x",
			   "Content-Length: 1000000\r\n", body);
	run_crowd();
	unfinished->Behave();
	expect_bounded();
}

TEST_F(MemoryBound, UnfinishedAnswersOfAServer)
{
	static const std::string none;

	unfinished = std::make_unique<UnfinishedServer>(loop);
	start(kMemoryMb);
	unfinished->Misbehave(true);
	for (int i = 0; i < kCrowd; i++)
		add_client(nodes[0]->at.outbound, "GET", "/long/x", "", none);
	run_crowd();
	unfinished->Behave();
	expect_bounded();
}

TEST_F(MemoryBound, BodiesForANodeThatDoesNotRun)
{
	std::string body(kMaxBody, 'x');

	start(kMemoryMb);
	nodes[1]->process->Signal(SIGSTOP);
	for (int i = 0; i < kCrowd; i++)
		add_client(nodes[0]->at.outbound, "POST", "/put/x",
			   "Content-Length: 1000000\r\n", body);
	run_crowd();
	nodes[1]->process->Signal(SIGCONT);
	expect_bounded();
}

TEST_F(MemoryBound, ConnectionsOfNodesThatNeverGreet)
{
	// The length of the frame, and all of it but the last byte.
	std::string part("\x00\x0f\xff\xff", 4);

	part.append(0xfffff - 1, 'x');
	start(kMemoryMb);
	for (int i = 0; i < kCrowd; i++) {
		add_client(nodes[0]->at.peers, "", "", "", part);
		crowd.back()->head.clear();
	}
	run_crowd();
	expect_bounded();
}

TEST_F(MemoryBound, UnfinishedRequestsOnTheReadinessPort)
{
	occupy(&NodeAddresses::readiness);
	EXPECT_TRUE(wait_long([&] { return Ready(0); }));
	expect_bounded();
}

TEST_F(MemoryBound, UnfinishedRequestsOnTheAdminPort)
{
	occupy(&NodeAddresses::admin);
	int before = nodes[0]->server->acknowledged;
	EXPECT_TRUE(wait_long([&] { return nodes[0]->server->acknowledged > before + 1; }));
	expect_bounded();
}

TEST_F(MemoryBound, UnfinishedBodiesOnAllConnections)
{
	static const std::string part = "5\r\nhello\r\n";

	node_descriptors = 200;
	start(kMemoryMb);
	for (int i = 0; i < 2 * node_descriptors; i++)
		add_client(nodes[0]->at.outbound, "POST", "/put/x",
			   "Transfer-Encoding: chunked\r\n", part);
	run_crowd();
	expect_bounded();
}

TEST_F(MemoryBound, LargestRequestOnTheSmallestMachine)
{
	serve_one(kLargestBody);
}

// The largest body that a node takes at present.
TEST_F(MemoryBound, LargeRequestOnTheSmallestMachine)
{
	serve_one(8 * 1024 * 1024);
}
