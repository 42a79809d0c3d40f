// Guards, on real processes, against nodes whose descriptors are used up by the connections of
// rejected clients: they accept nothing, take their own servers for crashed, spend all
// processor time on trying again, and do not come back after a restart.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/time.h>

#include <atomic>
#include <deque>
#include <thread>

#include "support/deployment.h"

namespace
{

using namespace snipe_test;

// Clients of a workspace beyond its rate: each rejected try is repeated at once, on a new
// connection, while the last one stays open and idle until the node closes it.
class Flood
{
      public:
	Flood(const std::vector<struct snipe_address> &nodes, const std::string &key)
	    : request_("GET /read/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: flood\r\n"
		       "Deadline-Ms: 2000\r\nAuthorization: Token " +
		       key + "\r\n\r\n")
	{
		for (const auto &a : nodes)
			for (int i = 0; i < kThreadsPerNode; i++)
				threads_.emplace_back([this, a] { Run(a); });
	}
	~Flood()
	{
		Stop();
	}
	void Stop()
	{
		stop_ = true;
		for (auto &t : threads_)
			t.join();
		threads_.clear();
	}
	// Sends nothing more and keeps the connections open.
	void Pause()
	{
		paused_ = true;
	}
	int rejected() const
	{
		return rejected_;
	}

      private:
	static const int kThreadsPerNode = 2, kMaxIdle = 200, kPauseUs = 4000;

	void Run(const struct snipe_address &a)
	{
		std::deque<Socket> idle;

		while (!stop_) {
			usleep(kPauseUs);
			Close(idle);
			if (paused_)
				continue;
			Socket s = Try(a);
			if (s.fd >= 0)
				idle.push_back(std::move(s));
			if (idle.size() > kMaxIdle)
				idle.pop_front();
		}
	}
	// Closes the connections that the node has closed.
	static void Close(std::deque<Socket> &idle)
	{
		for (size_t i = idle.size(); i-- > 0;) {
			struct pollfd p = {idle[i].fd, POLLIN, 0};
			if (poll(&p, 1, 0) > 0)
				idle.erase(idle.begin() + (long)i);
		}
	}
	// Returns the connection if it may be used again.
	Socket Try(const struct snipe_address &a)
	{
		struct timeval second = {1, 0};
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&a, &ss);
		Socket s;
		char answer[4096];

		s.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(s.fd, SOL_SOCKET, SO_RCVTIMEO, &second, sizeof(second));
		setsockopt(s.fd, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof(second));
		if (connect(s.fd, (struct sockaddr *)&ss, (socklen_t)len) < 0)
			return Socket();
		s.send_text(request_);
		ssize_t n = recv(s.fd, answer, sizeof(answer), 0);
		if (n <= 0)
			return Socket();
		std::string text(answer, (size_t)n);
		rejected_ += text.find(" 429 ") != std::string::npos;
		if (text.find("Connection: close") != std::string::npos)
			return Socket();
		return s;
	}
	std::string request_;
	std::atomic<bool> stop_{false}, paused_{false};
	std::atomic<int> rejected_{0};
	std::vector<std::thread> threads_;
};

struct ClientFlood : testing::Test, Deployment {
	std::unique_ptr<Flood> flood;

	void start()
	{
		services = {R"(["tips",100])", R"(["bookings",100])"};
		routes = {R"(["read","a.example","/read/","idempotent",3,2,false,null,"tips"])",
			  R"(["pay","a.example","/pay/","non_idempotent",3,2,false,null,
			      "bookings"])"};
		tenants = {R"(["one",["key-1"],0,0,0])", R"(["hot",["key-2"],0,10,10])"};
		node_descriptors = 200;
		for (int i = 0; i < 4; i++)
			AddNode(i % 2 ? "bookings" : "tips", i % 2 ? "east" : "west", 50);
		PutTables();
		StartAll();
		ASSERT_TRUE(WaitSettled());
	}
	void begin_flood()
	{
		std::vector<struct snipe_address> addresses;

		for (auto &n : nodes)
			addresses.push_back(n->at.outbound);
		flood = std::make_unique<Flood>(addresses, "key-2");
	}
	// Sends requests of a workspace within its rate to all nodes, each second one on a new
	// connection. Returns the part that was served within their second.
	double served(int seconds)
	{
		std::vector<std::unique_ptr<Pending>> open;
		int64_t end = snipe_now_us() + seconds * 1000000;
		size_t ok = 0;

		for (int i = 0; snipe_now_us() < end; i++) {
			size_t node = (size_t)i % nodes.size();
			Request r;

			r.key = "key-1";
			r.path = i / 4 % 2 ? "/read/1" : "/pay/1";
			r.method = i / 4 % 2 ? "GET" : "POST";
			r.left_ms = 1000;
			if (i / 8 % 2)
				snipe_h1_pool_retire_connections(&nodes[node]->pool);
			open.push_back(Begin(node, r));
			loop.run_ms(5);
		}
		loop.run_ms(1000);
		for (auto &p : open)
			ok += p->reply.done && p->reply.status == 200;
		return (double)ok / (double)open.size();
	}
	double processor_seconds()
	{
		double sum = 0;

		for (auto &n : nodes)
			sum += strtod(ReadFile("/proc/" + std::to_string(n->process->pid()) +
					       "/schedstat")
					      .c_str(),
				      nullptr) /
			       1e9;
		return sum;
	}
	void expect_no_server_called_crashed()
	{
		for (auto &n : nodes)
			EXPECT_EQ(n->process->Output().find("event=server_crashed"),
				  std::string::npos)
				<< "all servers run";
	}
};

} // namespace

TEST_F(ClientFlood, LeavesOtherWorkspacesServed)
{
	start();
	begin_flood();
	EXPECT_GE(served(4), 0.9);
	EXPECT_GT(flood->rejected(), 0);
	expect_no_server_called_crashed();
	for (size_t i = 0; i < nodes.size(); i++)
		EXPECT_TRUE(Ready(i)) << i;
}

TEST_F(ClientFlood, IdleConnectionsTakeNoProcessorTime)
{
	start();
	begin_flood();
	loop.run_ms(3000);
	flood->Pause();
	loop.run_ms(1500);
	double before = processor_seconds();
	loop.run_ms(1000);
	EXPECT_LT(processor_seconds() - before, 0.5 * (double)nodes.size());
	EXPECT_GE(served(1), 0.9);
}

TEST_F(ClientFlood, IsSurvivedByAKillOfAllNodes)
{
	start();
	begin_flood();
	loop.run_ms(2000);
	for (auto &n : nodes)
		n->process->Kill();
	loop.run_ms(300);
	for (size_t i = 0; i < nodes.size(); i++)
		Start(i, false);
	loop.run_ms(5000);
	EXPECT_GE(served(3), 0.9);
	flood.reset();
	loop.run_ms(3000);
	EXPECT_GE(served(1), 0.99);
	expect_no_server_called_crashed();
}
