// Randomized soak: real node processes on loopback, faults from outside in series that overlap,
// and the promises checked from what clients and backend servers saw.
//
//   soak [--seed N] [--seconds N] [--nodes N] [--planned] [--crowd] [--drills]
//
// The same seed draws the same faults and requests. --planned leaves out all faults but planned
// stops, drains and new tables, and checks that no request is cut off. --crowd adds clients
// that stop within their bodies or do not read, to nodes on machines of 64 MB, and checks the
// memory of the nodes. --drills adds returns of the store from an older copy and announcements
// of other writers. Exit status 0: all promises held; 1: one was broken, with a line each
// and the logs kept.
#include <getopt.h>
#include <signal.h>

#include <cstdio>
#include <random>

#include "support/relay.h"
#include "support/deployment.h"

using namespace snipe_test;

namespace
{

// Bounds of the users' rules, in microseconds.
const int64_t DRAIN_US = 2000000, REVOKE_US = 5000000, RECOVER_US = 15000000;
const double RATE = 20, BURST = 20, OVERAGE = 0.1, QUOTA_SLACK = 20;
const int64_t QUOTA_WINDOW_US = 5000000;
// The machine of a node, and the most clients that hold its memory, with --crowd.
const int CROWD_MEMORY_MB = 64;
const size_t CROWD_SIZE = 400;
// Id of the crowd's requests that may run.
const char LONG_ID[] = "long";

struct Options {
	unsigned seed = 1;
	int seconds = 20, nodes = 6;
	bool planned = false, crowd = false, drills = false;
};

struct Asked {
	std::unique_ptr<Pending> pending;
	size_t node;
	std::string key;
	int64_t sent_us;
	bool once; // must not be repeated
	Reply reply;
	std::string id, path;
};

// A client that sends requests on one connection before the first is answered, and reads a few
// bytes at a time.
struct Pipeline {
	Socket socket;
	std::vector<std::string> ids;
	int64_t next_us = 0;

	// Has no connection if the node does not listen.
	explicit Pipeline(const struct snipe_address &address)
	{
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&address, &ss);
		int fd = ::socket(AF_INET, SOCK_STREAM, 0);

		if (connect(fd, (struct sockaddr *)&ss, (socklen_t)len) == 0)
			socket = Socket(fd);
		else
			close(fd);
	}
	void Read()
	{
		char data[64];
		ssize_t n = recv(socket.fd, data, sizeof(data), MSG_DONTWAIT);

		if (n > 0)
			socket.in.append(data, (size_t)n);
		socket.eof |= n == 0;
		socket.reset |= n < 0 && errno != EAGAIN;
	}
	bool CanSend() const
	{
		return !socket.eof && !socket.reset && ids.size() < 4 &&
		       snipe_now_us() >= next_us;
	}
	void Send(const std::string &id)
	{
		ids.push_back(id);
		next_us = snipe_now_us() + 60000;
		socket.send_text("GET /open/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " +
				 id + "\r\nDeadline-Ms: 3000\r\n\r\n");
	}
	// The whole answers that arrived, in the order of the requests.
	std::vector<std::string> Answers() const
	{
		std::vector<std::string> answers;
		size_t at = 0, head, length;

		while ((head = socket.in.find("\r\n\r\n", at)) != std::string::npos) {
			length = socket.in.find("Content-Length: ", at);
			if (length > head)
				break;
			length = (size_t)atoi(socket.in.c_str() + length + 16);
			if (head + 4 + length > socket.in.size())
				break;
			answers.push_back(socket.in.substr(at, head + 4 + length - at));
			at = head + 4 + length;
		}
		return answers;
	}
};

// A client that has a node hold bytes for as long as its connection lasts.
struct Occupant {
	Socket socket;
	std::string out;
	bool ended = false;

	Occupant(const struct snipe_address &address, const std::string &bytes) : out(bytes)
	{
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&address, &ss);

		socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
		ended = connect(socket.fd, (struct sockaddr *)&ss, (socklen_t)len) < 0 &&
			errno != EINPROGRESS;
	}
	void Send()
	{
		ssize_t n = send(socket.fd, out.data(), out.size(), MSG_NOSIGNAL);

		if (n > 0)
			out.erase(0, (size_t)n);
		else if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
			ended = true;
	}
};

class Soak
{
      public:
	explicit Soak(const Options &o) : options_(o), rng_(o.seed)
	{
	}
	int Run();

      private:
	int Draw(int n)
	{
		return (int)(rng_() % (unsigned)n);
	}
	size_t AnyNode()
	{
		return (size_t)Draw((int)d_.nodes.size());
	}
	void Broken(const char *promise, const std::string &what)
	{
		printf("BROKEN %s: %s\n", promise, what.c_str());
		broken_++;
	}
	void Later(int64_t after_us, const std::function<void()> &f)
	{
		later_.emplace(snipe_now_us() + after_us, f);
	}
	void Start();
	void Ask();
	void Collect(bool all);
	void Fault();
	void PlannedFault();
	void Drill();
	void ForeignAnnouncement(size_t node);
	void Restart(size_t node, int64_t after_us);
	void Leave(size_t node);
	void ChangeTables();
	void Heal();
	void CheckRuns();
	void CheckRate();
	void CheckAnswers();
	void CheckPipelines();
	void CheckRecovery();
	void Pipelines(int64_t end);
	void Crowd();
	void CheckMemory();
	Options options_;
	std::mt19937 rng_;
	Deployment d_;
	std::vector<std::unique_ptr<Relay>> store_relays_, app_relays_;
	std::multimap<int64_t, std::function<void()>> later_;
	std::vector<Asked> asked_;
	std::vector<Pipeline> pipelines_;
	std::vector<Occupant> occupants_;
	std::set<pid_t> too_large_;
	int64_t next_occupant_us_ = 0, memory_checked_us_ = 0;
	int64_t next_pipeline_us_ = 0;
	int next_pipeline_ = 0;
	std::map<std::string, int64_t> withdrawn_; // key -> acknowledgement
	std::map<std::string, int64_t> left_;	   // server -> acknowledgement of its leaving
	std::map<std::string, std::string> service_of_; // server -> service
	std::set<size_t> down_;
	bool is_drilling_ = false;
	int next_ = 0, next_route_ = 0, broken_ = 0;
};

void Soak::Start()
{
	d_.services = {R"(["tips",200])", R"(["bookings",200])"};
	d_.routes = {
		R"(["open","a.example","/open/","idempotent",2,3,true,null,"tips"])",
		R"(["read","a.example","/read/","idempotent",2,3,false,null,"tips"])",
		R"(["pay","a.example","/pay/","non_idempotent",2,3,false,null,"bookings"])"};
	d_.tenants = {R"(["one",["one-0","one-1","one-2","one-3"],0,0,0])",
		      "[\"two\",[\"two-0\"],0," + std::to_string(RATE) + "," +
			      std::to_string(BURST) + "]"};
	if (options_.crowd) {
		d_.node_memory_mb = CROWD_MEMORY_MB;
		d_.routes.push_back(
			R"(["long","a.example","/long/","download",2,3,true,null,"tips"])");
	}
	for (int i = 0; i < options_.nodes; i++) {
		size_t n = d_.AddNode(i % 2 ? "bookings" : "tips", i % 3 ? "east" : "west");
		auto &at = d_.nodes[n]->at;
		store_relays_.push_back(std::make_unique<Relay>(d_.loop, at.store));
		app_relays_.push_back(std::make_unique<Relay>(d_.loop, at.app));
		at.told_store = store_relays_.back()->address;
		at.told_app = app_relays_.back()->address;
	}
	d_.PutTables();
	d_.StartAll();
	for (auto &n : d_.nodes)
		service_of_[n->server->id] = n->service;
}

void Soak::Ask()
{
	static const char *const keys[] = {"one-0", "one-1", "one-2", "one-3", "two-0"};
	Request r;
	Asked a;
	int kind = Draw(4);

	a.node = AnyNode();
	if (down_.count(a.node) && Draw(4))
		return;
	r.path = kind == 0 ? "/open/x" : kind == 1 ? "/read/x" : "/pay/x";
	if (kind != 0)
		r.key = a.key = keys[Draw(5)];
	if (kind > 1) {
		r.method = "POST";
		r.body = "amount=" + std::to_string(Draw(1000));
	}
	r.left_ms = 300 + Draw(3000);
	r.id = a.id = "q-" + std::to_string(next_++);
	a.once = kind > 1;
	a.path = r.path;
	a.sent_us = snipe_now_us();
	a.pending = d_.Begin(a.node, r);
	asked_.push_back(std::move(a));
}

// Goes on with the pipelining connections, and opens one to each node in turn before end.
void Soak::Pipelines(int64_t end)
{
	int64_t now = snipe_now_us();

	if (now >= next_pipeline_us_ && now < end) {
		next_pipeline_us_ = now + 100000;
		Pipeline p(d_.nodes[(size_t)next_pipeline_++ % d_.nodes.size()]->at.outbound);
		if (p.socket.fd >= 0)
			pipelines_.push_back(std::move(p));
	}
	for (auto &p : pipelines_) {
		p.Read();
		if (!p.CanSend())
			continue;
		// The second request is ready before the first, and the third one comes then.
		for (auto &n : d_.nodes)
			n->server->behaviour.run_ms = p.ids.size() % 2 ? 5 : 400;
		Asked a;
		a.id = "p-" + std::to_string(next_++) + "-";
		a.path = "/open/x";
		a.once = false;
		a.node = 0;
		a.sent_us = now;
		p.Send(a.id);
		asked_.push_back(std::move(a));
	}
}

// Adds clients that hold memory, and goes on with those that are there.
void Soak::Crowd()
{
	static const std::string head = " HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 3000\r\n"
					"Attempt-Id: ";
	int64_t now = snipe_now_us();

	if (now >= next_occupant_us_) {
		std::string bytes;
		next_occupant_us_ = now + 20000;
		switch (Draw(3)) {
		case 0:
			bytes = "POST /open/x" + head +
				"unfinished\r\nTransfer-Encoding: chunked\r\n\r\ndbba0\r\n" +
				std::string(899999, 'x');
			break;
		case 1:
			bytes = "POST /open/x" + head +
				"unfinished\r\nContent-Length: 900000\r\n\r\n" +
				std::string((size_t)Draw(899999), 'x');
			break;
		default:
			for (int i = 0; i < 4; i++)
				bytes += "GET /long/x" + head + LONG_ID + "\r\n\r\n";
		}
		// All at two nodes, so that they hold more there than a machine has.
		occupants_.emplace_back(d_.nodes[(size_t)Draw(2)]->at.outbound, bytes);
		if (occupants_.size() > CROWD_SIZE)
			occupants_.erase(occupants_.begin());
	}
	for (auto &n : d_.nodes)
		n->server->behaviour.body_bytes = 1000000;
	for (auto &o : occupants_)
		if (!o.ended && !o.out.empty())
			o.Send();
	if (now - memory_checked_us_ > 30000) {
		memory_checked_us_ = now;
		CheckMemory();
	}
}

void Soak::CheckMemory()
{
	for (auto &n : d_.nodes) {
		std::string status =
			ReadFile("/proc/" + std::to_string(n->process->pid()) + "/status");
		size_t at = status.find("VmHWM:");
		long mb = at == std::string::npos ? 0 : atol(status.c_str() + at + 6) / 1024;

		if (mb > CROWD_MEMORY_MB && too_large_.insert(n->process->pid()).second)
			Broken("MEMORY", "a node holds " + std::to_string(mb) + " MB");
	}
}

// Keeps what came back; some callers leave early.
void Soak::Collect(bool all)
{
	int64_t now = snipe_now_us();

	for (auto &a : asked_) {
		if (!a.pending)
			continue;
		bool leaves = !all && !options_.planned &&
			      a.pending->request.left_ms % 17 == 0 && now - a.sent_us > 100000;
		if (a.pending->reply.done || all || leaves ||
		    now - a.sent_us > (int64_t)a.pending->request.left_ms * 1000 + 1500000) {
			a.reply = a.pending->reply;
			a.pending.reset();
		}
	}
}

void Soak::Restart(size_t node, int64_t after_us)
{
	down_.insert(node);
	Later(after_us, [this, node] {
		auto &p = d_.nodes[node]->process;
		if (p && p->Running())
			p->Kill();
		d_.Start(node, false);
		down_.erase(node);
	});
}

// The server leaves as the protocol tells, and another one takes its place.
void Soak::Leave(size_t node)
{
	FakeServer *s = d_.nodes[node]->server.get();

	if (!s || left_.count(s->id))
		return;
	std::string id = s->id;
	left_[id] = 0;
	if (Draw(2)) {
		s->Drain();
	} else {
		s->Leave();
		// A ping that was held up.
		Later(1500000, [this, node, id] {
			FakeServer *old = d_.nodes[node]->server.get();
			if (old && old->id == id && !old->Dead())
				old->AnnounceLate();
		});
	}
	Later(3500000, [this, node, id] {
		FakeServer *old = d_.nodes[node]->server.get();
		if (!old || old->id != id)
			return;
		left_[id] = old->leave_acked_us;
		d_.StartServer(node);
		service_of_[d_.nodes[node]->server->id] = d_.nodes[node]->service;
	});
}

void Soak::ChangeTables()
{
	if (withdrawn_.size() < 3 && Draw(2)) {
		std::string key = "one-" + std::to_string(1 + withdrawn_.size());
		std::string keys = "\"one-0\"";
		withdrawn_[key] = 0;
		for (int i = 1; i < 4; i++)
			if (!withdrawn_.count("one-" + std::to_string(i)))
				keys += ",\"one-" + std::to_string(i) + "\"";
		d_.tenants[0] = "[\"one\",[" + keys + "],0,0,0]";
		d_.PutTables();
		withdrawn_[key] = snipe_now_us();
		return;
	}
	std::string name = "r" + std::to_string(next_route_++);
	d_.routes.push_back("[\"" + name + "\",\"a.example\",\"/" + name +
			    "/\",\"idempotent\",2,3,true,null,\"tips\"]");
	d_.PutTables();
}

void Soak::PlannedFault()
{
	size_t node = AnyNode();

	switch (Draw(3)) {
	case 0:
		if (down_.empty()) {
			d_.nodes[node]->process->Signal(SIGTERM);
			Restart(node, 6500000);
		}
		break;
	case 1:
		Leave(node);
		break;
	default:
		ChangeTables();
	}
}

// The store is away for a moment and comes back from a copy some seconds old; the operator
// writes its tables again.
void Soak::Drill()
{
	int64_t age = 200000 + Draw(4000000), away = 100000 + Draw(2000000);
	int version = d_.version;

	if (is_drilling_)
		return;
	is_drilling_ = true;
	d_.store.Copy();
	Later(age, [this] {
		for (size_t i = 0; i < d_.nodes.size(); i++)
			d_.store.SetMode(i, StoreMode::Silent);
	});
	Later(age + away, [this, version] {
		d_.store.Restore();
		for (size_t i = 0; i < d_.nodes.size(); i++)
			d_.store.SetMode(i, StoreMode::Up);
		if (d_.version != version) {
			d_.version--;
			d_.PutTables();
		}
		is_drilling_ = false;
	});
}

void Soak::ForeignAnnouncement(size_t node)
{
	static const char *const fields[] = {"born",  "zone",	 "version", "sequence",
					     "state", "service", "address", "capacity"};

	if (!d_.nodes[node]->server->Dead())
		d_.nodes[node]->server->AnnounceForeign(fields[Draw(8)]);
}

void Soak::Fault()
{
	size_t node = AnyNode();
	auto &n = *d_.nodes[node];

	if (options_.drills && Draw(3) == 0) {
		if (Draw(2))
			Drill();
		else
			ForeignAnnouncement(node);
		return;
	}
	int64_t span = 500000 + Draw(4000000);
	static const StoreMode modes[] = {StoreMode::Busy, StoreMode::Many, StoreMode::Silent};

	switch (Draw(14)) {
	case 0:
		n.process->Kill();
		Restart(node, 300000 + Draw(2000000));
		break;
	case 1:
		for (size_t i = 0; i < d_.nodes.size(); i++)
			if (Draw(2)) {
				d_.nodes[i]->process->Kill();
				Restart(i, 300000 + Draw(1000000));
			}
		break;
	case 2:
		n.process->Signal(SIGSTOP);
		Later(span, [&n] { n.process->Signal(SIGCONT); });
		break;
	case 3:
		d_.store.SetMode(node, modes[Draw(3)]);
		Later(span, [this, node] { d_.store.SetMode(node, StoreMode::Up); });
		break;
	case 4: {
		StoreMode mode = modes[Draw(3)];
		for (size_t i = 0; i < d_.nodes.size(); i++)
			d_.store.SetMode(i, mode);
		Later(span, [this] {
			for (size_t i = 0; i < d_.nodes.size(); i++)
				d_.store.SetMode(i, StoreMode::Up);
		});
		break;
	}
	case 5:
		d_.store.SetSlow(50 + Draw(400));
		Later(span, [this] { d_.store.SetSlow(0); });
		break;
	case 6:
		d_.store.LoseWrites(Draw(4));
		d_.store.DropHistory();
		break;
	case 7: {
		static const Relay::Mode kinds[] = {Relay::Delay, Relay::Silent, Relay::OneWay};
		Relay *r = (Draw(2) ? store_relays_ : app_relays_)[node].get();
		r->SetMode(kinds[Draw(3)]);
		Later(span, [r] { r->SetMode(Relay::Pass); });
		break;
	}
	case 8:
		app_relays_[node]->SilenceOpen();
		store_relays_[node]->SilenceOpen();
		break;
	case 9:
		app_relays_[node]->Reset();
		break;
	case 10:
		n.server->behaviour.lose = 0.05 * Draw(8);
		n.server->behaviour.silent = 0.05 * Draw(4);
		n.server->behaviour.refuse = 0.1 * Draw(6);
		n.server->behaviour.run_ms = 2 + Draw(120);
		break;
	case 11:
		n.server->Die();
		Later(span, [this, node] {
			d_.StartServer(node);
			service_of_[d_.nodes[node]->server->id] = d_.nodes[node]->service;
		});
		break;
	default:
		PlannedFault();
	}
}

void Soak::Heal()
{
	while (!later_.empty()) {
		auto f = later_.begin()->second;
		later_.erase(later_.begin());
		f();
	}
	d_.store.SetSlow(0);
	d_.store.LoseWrites(0);
	for (size_t i = 0; i < d_.nodes.size(); i++) {
		auto &n = *d_.nodes[i];
		d_.store.SetMode(i, StoreMode::Up);
		store_relays_[i]->SetMode(Relay::Pass);
		app_relays_[i]->SetMode(Relay::Pass);
		n.process->Signal(SIGCONT);
		if (!n.process->Running())
			d_.Start(i, false);
		n.server->behaviour = ServerBehaviour();
	}
}

void Soak::CheckRuns()
{
	std::map<std::string, const Asked *> by_id;

	for (const auto &a : asked_)
		by_id[a.id] = &a;
	for (const auto &run : d_.record.runs) {
		if (run.id == LONG_ID)
			continue;
		auto it = by_id.find(run.id);
		if (it == by_id.end()) {
			Broken("UNASKED", run.id + " was asked by nobody");
			continue;
		}
		const Asked &a = *it->second;
		std::string tenant = a.key.substr(0, 3);
		const char *service = a.once ? "bookings" : "tips";
		if (run.path != a.path || run.had_key || run.workspace != tenant)
			Broken("UNASKED",
			       run.id + " ran as " + run.path + " for " + run.workspace);
		if (service_of_[run.server] != service)
			Broken("ROUTE", run.id + " ran at " + service_of_[run.server]);
		if (run.left_ms < 0 || run.left_ms > 3100)
			Broken("BUDGET",
			       run.id + " got " + std::to_string(run.left_ms) + " ms");
		auto key = withdrawn_.find(a.key);
		if (key != withdrawn_.end() && key->second &&
		    a.sent_us > key->second + REVOKE_US)
			Broken("CONFIG",
			       run.id + " ran with " + a.key + ", withdrawn " +
				       std::to_string((a.sent_us - key->second) / 1000) +
				       " ms before");
		auto left = left_.find(run.server);
		if (left != left_.end() && left->second && run.at_us > left->second + DRAIN_US)
			Broken("DRAIN", run.id + " reached " + run.server + " too late");
	}
}

void Soak::CheckRate()
{
	std::vector<int64_t> at;

	for (const auto &a : asked_)
		if (a.key == "two-0" && d_.record.count.count(a.id))
			at.push_back(a.sent_us);
	std::sort(at.begin(), at.end());
	double most = (RATE * QUOTA_WINDOW_US / 1e6 + BURST) * (1 + OVERAGE) + QUOTA_SLACK;
	for (size_t i = 0, j = 0; j < at.size(); j++) {
		while (at[j] - at[i] > QUOTA_WINDOW_US)
			i++;
		if ((double)(j - i + 1) > most) {
			Broken("QUOTA", std::to_string(j - i + 1) + " requests in a window");
			return;
		}
	}
}

void Soak::CheckAnswers()
{
	for (const auto &a : asked_) {
		int runs = d_.record.count.count(a.id) ? d_.record.count[a.id] : 0;
		int status = a.reply.status;

		if (a.once && runs > 1)
			Broken("TWICE", a.id + " ran " + std::to_string(runs) + " times");
		if (a.once && runs &&
		    (status == 503 || status == 429 || status == 408 || status == 421))
			Broken("REFUSED", a.id + " got " + std::to_string(status) + " and ran");
		if (status == 200 && (!runs || a.reply.body != "body of " + a.id))
			Broken("MIXED", a.id + " got \"" + a.reply.body + "\"");
		if (status == 404 || (status == 401 && !withdrawn_.count(a.key)))
			Broken("DENIED", a.id + " got " + std::to_string(status));
		if (options_.planned && a.reply.done && a.reply.result != SNIPE_H1_COMPLETE &&
		    a.reply.result != SNIPE_H1_NOT_CONNECTED && runs)
			Broken("LOST", a.id + " was cut off");
	}
}

void Soak::CheckPipelines()
{
	for (const auto &p : pipelines_) {
		std::vector<std::string> answers = p.Answers();

		for (size_t i = 0; i < p.ids.size(); i++) {
			const std::string &id = p.ids[i];

			if (i >= answers.size()) {
				if (d_.record.count.count(id))
					Broken("LOST",
					       id + " ran and its connection had no answer");
			} else if (answers[i].compare(0, 12, "HTTP/1.1 200") == 0 &&
				   answers[i].find("body of " + id) == std::string::npos) {
				Broken("MIXED", id + " got " + answers[i]);
			}
		}
	}
}

void Soak::CheckRecovery()
{
	int64_t end = snipe_now_us() + RECOVER_US;
	int served = 0, asked = 0;
	std::string last;

	if (!d_.WaitSettled()) {
		Broken("RECOVER", "the nodes do not know each other's servers");
		return;
	}
	while (snipe_now_us() < end && served < 50) {
		Request r;
		r.path = "/read/x";
		r.key = "one-0";
		r.id = "after-" + std::to_string(asked++);
		Asked a;
		a.id = r.id;
		a.key = r.key;
		a.path = r.path;
		a.once = false;
		a.sent_us = snipe_now_us();
		a.reply = d_.Call((size_t)asked % d_.nodes.size(), r);
		served += a.reply.status == 200;
		if (a.reply.status != 200)
			last = std::to_string(a.reply.status) + " " + a.reply.body;
		asked_.push_back(std::move(a));
	}
	if (served < 50)
		Broken("RECOVER", std::to_string(served) + " of " + std::to_string(asked) +
					  " requests served; last: " + last);
}

int Soak::Run()
{
	int64_t end, fault = 0, ask = 0;

	srand48(options_.seed);
	Start();
	if (!d_.WaitSettled()) {
		Broken("START", "the nodes do not know each other's servers");
		return 1;
	}
	end = snipe_now_us() + (int64_t)options_.seconds * 1000000;
	// Planned work that has begun is not cut short: a node has its grace time, a server
	// that leaves serves on.
	while (snipe_now_us() < end || (options_.planned && !later_.empty())) {
		int64_t now = snipe_now_us();
		if (now >= fault && now < end) {
			if (fault)
				options_.planned ? PlannedFault() : Fault();
			fault = now + 200000 + Draw(1500000);
		}
		if (now >= ask) {
			Ask();
			ask = now + Draw(12000);
		}
		while (!later_.empty() && later_.begin()->first <= now) {
			auto f = later_.begin()->second;
			later_.erase(later_.begin());
			f();
		}
		d_.loop.run_ms(2);
		Collect(false);
		if (options_.planned)
			Pipelines(end);
		if (options_.crowd)
			Crowd();
	}
	Heal();
	for (int64_t until = snipe_now_us() + 3500000; snipe_now_us() < until;) {
		d_.loop.run_ms(2);
		Pipelines(0);
	}
	Collect(true);
	CheckRecovery();
	for (auto &n : d_.nodes)
		if (!n->process->Running() && n->process->Wait() != 0)
			Broken("FAULT", "a node ended with " +
						std::to_string(n->process->Wait()) + ": " +
						n->process->Errors());
	CheckRuns();
	CheckRate();
	CheckAnswers();
	CheckPipelines();
	std::map<int, int> by_status;
	for (const auto &a : asked_)
		by_status[a.reply.done ? a.reply.status : -1]++;
	printf("seed %u: %zu requests, %zu runs, %d broken; answers:", options_.seed,
	       asked_.size(), d_.record.runs.size(), broken_);
	for (auto &s : by_status)
		printf(" %d: %d", s.first, s.second);
	printf("\n");
	if (broken_)
		printf("logs: %s\n", d_.KeepLogs().c_str());
	return broken_ ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
	static const struct option longs[] = {
		{"seed", 1, nullptr, 's'},  {"seconds", 1, nullptr, 't'},
		{"nodes", 1, nullptr, 'n'}, {"planned", 0, nullptr, 'p'},
		{"crowd", 0, nullptr, 'c'}, {"drills", 0, nullptr, 'd'},
		{nullptr, 0, nullptr, 0}};
	Options o;
	int c;

	while ((c = getopt_long(argc, argv, "", longs, nullptr)) != -1) {
		switch (c) {
		case 's':
			o.seed = (unsigned)atoi(optarg);
			break;
		case 't':
			o.seconds = atoi(optarg);
			break;
		case 'n':
			o.nodes = atoi(optarg);
			break;
		case 'p':
			o.planned = true;
			break;
		case 'c':
			o.crowd = true;
			break;
		case 'd':
			o.drills = true;
			break;
		default:
			return 2;
		}
	}
	return Soak(o).Run();
}
