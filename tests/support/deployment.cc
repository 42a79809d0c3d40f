#include "support/deployment.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>
#include <signal.h>
#include <sys/resource.h>

#include <cstdlib>

namespace snipe_test
{

static const char OBJECTS[] = "/snipescale/objects/";

static void Respond(struct snipe_h1_request *req, int status, const std::string &body,
		    const std::vector<std::pair<std::string, std::string>> &headers = {},
		    bool close = false)
{
	struct snipe_h1_response r = {};
	std::vector<struct snipe_h1_header> list;

	for (const auto &h : headers)
		list.push_back(
			{{h.first.data(), h.first.size()}, {h.second.data(), h.second.size()}});
	r.status = status;
	r.headers = list.data();
	r.header_count = (int)list.size();
	r.body = body.data();
	r.body_len = body.size();
	r.close = close;
	snipe_h1_respond(req, &r);
}

static std::string Header(const struct snipe_h1_request *req, const char *name)
{
	const char *v = snipe_h1_find_value(&req->message, name);

	return v ? v : "";
}

FakeStore::~FakeStore()
{
	if (tick_)
		event_free(tick_);
	for (auto &p : ports_)
		snipe_h1_server_finish(&p->server);
}

struct snipe_address FakeStore::AddListener()
{
	static const struct snipe_h1_server_ops ops = {OnRequest, OnCancelled};
	static const struct timeval tick = {0, 10000};
	auto port = std::make_unique<Port>();
	struct snipe_address a = free_address();
	struct snipe_error_text err;

	port->store = this;
	if (snipe_h1_server_init(&port->server, loop_.base, &a, "store", &ops, port.get(),
				 &err))
		give_up(err.text);
	port->server.limits = {65536, 4000000, 60000000, 600000000, 0, 0};
	ports_.push_back(std::move(port));
	if (!tick_) {
		tick_ = event_new(loop_.base, -1, EV_PERSIST, OnTick, this);
		event_add(tick_, &tick);
	}
	return a;
}

void FakeStore::SetMode(size_t listener, StoreMode mode)
{
	ports_[listener]->mode = mode;
}

bool FakeStore::Has(const std::string &kind, const std::string &name) const
{
	auto k = kinds_.find(kind);

	return k != kinds_.end() && k->second.count(name);
}

void FakeStore::Write(const std::string &kind, const std::string &name, const std::string &spec)
{
	kinds_[kind][name] = {++revision_, spec};
	history_.push_back({revision_, kind, name});
}

void FakeStore::DropHistory()
{
	auto waiting = watches_;

	history_.clear();
	floor_ = revision_;
	watches_.clear();
	for (auto &w : waiting) {
		w.req->callback_data = nullptr;
		Answer(w.req, 410, "{}");
	}
}

void FakeStore::Answer(struct snipe_h1_request *req, int status, const std::string &body,
		       bool close)
{
	Respond(req, status, body, {{"Store-Era", std::to_string(era_)}}, close);
}

void FakeStore::Copy()
{
	copy_ = {kinds_, history_, revision_, floor_};
}

void FakeStore::Restore()
{
	auto waiting = watches_;

	watches_.clear();
	for (auto &w : waiting) {
		w.req->callback_data = nullptr;
		Answer(w.req, 503, "{}", true);
	}
	kinds_ = copy_.kinds;
	history_ = copy_.history;
	revision_ = copy_.revision;
	floor_ = copy_.floor;
	era_++;
}

std::string FakeStore::ObjectJson(const std::string &kind, const std::string &name) const
{
	const Object &o = kinds_.at(kind).at(name);

	return "{\"metadata\":{\"name\":\"" + name +
	       "\",\"revision\":" + std::to_string(o.revision) +
	       ",\"created\":1,\"finalizers\":[],\"delete-requested\":false},\"spec\":" +
	       o.spec + ",\"status\":null}";
}

bool FakeStore::AnswerWatch(const Watch &w, bool at_end)
{
	std::string events;

	for (const auto &c : history_)
		if (c.kind == w.kind && c.revision > w.after)
			events += std::string(events.empty() ? "" : ",") +
				  "{\"tombstone\":false,\"object\":" +
				  ObjectJson(c.kind, c.name) + "}";
	if (events.empty() && !at_end)
		return false;
	w.req->callback_data = nullptr;
	Answer(w.req, 200,
	       "{\"events\":[" + events + "],\"as-of\":" + std::to_string(revision_) + "}");
	return true;
}

void FakeStore::OnTick(evutil_socket_t, short, void *arg)
{
	auto *s = static_cast<FakeStore *>(arg);
	int64_t now = snipe_now_us();

	for (size_t i = 0; i < s->watches_.size();) {
		Watch w = s->watches_[i];
		if (s->AnswerWatch(w, now >= w.until_us))
			s->watches_.erase(s->watches_.begin() + (long)i);
		else
			i++;
	}
	for (size_t i = 0; i < s->delayed_.size();) {
		auto d = s->delayed_[i];
		if (d.first > now) {
			i++;
			continue;
		}
		s->delayed_.erase(s->delayed_.begin() + (long)i);
		s->Handle(d.second);
	}
}

void FakeStore::OnCancelled(void *arg, struct snipe_h1_request *req)
{
	auto *s = static_cast<Port *>(arg)->store;

	for (size_t i = 0; i < s->watches_.size(); i++)
		if (s->watches_[i].req == req) {
			s->watches_.erase(s->watches_.begin() + (long)i);
			break;
		}
	for (size_t i = 0; i < s->delayed_.size(); i++)
		if (s->delayed_[i].second == req) {
			s->delayed_.erase(s->delayed_.begin() + (long)i);
			break;
		}
}

void FakeStore::OnRequest(void *arg, struct snipe_h1_request *req)
{
	auto *port = static_cast<Port *>(arg);
	FakeStore *s = port->store;

	s->calls.push_back({snipe_now_us(),
			    http_method_str((enum http_method)req->message.method),
			    snipe_buffer_str(&req->message.url)});
	req->callback_data = port;
	switch (port->mode) {
	case StoreMode::Busy:
		s->Answer(req, 503, "{}");
		return;
	case StoreMode::Many:
		s->Answer(req, 429, "{}");
		return;
	case StoreMode::Silent:
		return;
	case StoreMode::Up:
		break;
	}
	if (s->slow_ms_)
		s->delayed_.push_back({snipe_now_us() + s->slow_ms_ * 1000, req});
	else
		s->Handle(req);
}

void FakeStore::Handle(struct snipe_h1_request *req)
{
	std::string url = snipe_buffer_str(&req->message.url), kind, name;
	std::map<std::string, std::string> query;
	size_t q = url.find('?');

	if (q != std::string::npos) {
		std::string rest = url.substr(q + 1);
		url.resize(q);
		while (!rest.empty()) {
			std::string pair = rest.substr(0, rest.find('&'));
			rest.erase(0, pair.size() + 1);
			query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
		}
	}
	kind = url.substr(sizeof(OBJECTS) - 1);
	if (kind.find('/') != std::string::npos) {
		name = kind.substr(kind.find('/') + 1);
		kind.resize(kind.find('/'));
	}
	req->callback_data = ports_[0].get();
	if (req->message.method == HTTP_GET)
		HandleGet(req, kind, name, query);
	else
		HandleWrite(req, kind, name);
}

void FakeStore::HandleGet(struct snipe_h1_request *req, const std::string &kind,
			  const std::string &name,
			  const std::map<std::string, std::string> &query)
{
	const size_t page = 3; // small, so that every list has pages
	std::string items, after = query.count("after") ? query.at("after") : "";
	size_t n = 0;
	bool more = false;

	if (!name.empty()) {
		bool exists = Has(kind, name);
		Answer(req, exists ? 200 : 404, exists ? ObjectJson(kind, name) : "{}");
		return;
	}
	if (query.count("watch")) {
		uint64_t from = strtoull(query.at("watch").c_str(), nullptr, 10);
		int wait = query.count("wait-ms") ? atoi(query.at("wait-ms").c_str()) : 0;
		Watch w = {req, kind, from, snipe_now_us() + wait * 1000};
		if (from < floor_ || from > revision_)
			Answer(req, 410, "{}");
		else if (!AnswerWatch(w, false))
			watches_.push_back(w);
		return;
	}
	for (const auto &o : kinds_[kind]) {
		if (!after.empty() && o.first <= after)
			continue;
		if (n++ == page) {
			more = true;
			break;
		}
		items += std::string(items.empty() ? "" : ",") + ObjectJson(kind, o.first);
	}
	Answer(req, 200,
	       "{\"items\":[" + items + "],\"has-more\":" + (more ? "true" : "false") +
		       ",\"as-of\":" + std::to_string(revision_) + "}");
}

void FakeStore::HandleWrite(struct snipe_h1_request *req, const std::string &kind,
			    const std::string &path_name)
{
	json_t *root = json_loadb(req->message.body.data ? req->message.body.data : "",
				  req->message.body.len, 0, nullptr);
	const json_t *meta = json_object_get(root, "metadata");
	const char *named = json_string_value(json_object_get(meta, "name"));
	uint64_t revision = (uint64_t)json_integer_value(json_object_get(meta, "revision"));
	char *spec = json_dumps(json_object_get(root, "spec"), JSON_ENCODE_ANY | JSON_COMPACT);
	std::string name = path_name.empty() && named ? named : path_name;
	bool exists = Has(kind, name);

	if (req->message.method == HTTP_POST
		    ? exists
		    : !exists || (revision && revision != kinds_[kind][name].revision)) {
		Answer(req, exists ? 409 : 404, exists ? ObjectJson(kind, name) : "{}");
	} else {
		Write(kind, name, spec ? spec : "null");
		if (lose_writes_ > 0) {
			lose_writes_--; // done, and never answered
		} else {
			Answer(req, 200, ObjectJson(kind, name));
		}
	}
	free(spec);
	json_decref(root);
}

// One request that a backend server works on.
struct FakeServer::Job {
	FakeServer *server;
	struct snipe_h1_request *req; // nullptr: the caller left
	struct event *timer;
	std::unique_ptr<Pending> inner;
	std::string id;
	bool crashes;
	int inner_calls = 0; // started
};

FakeServer::FakeServer(Loop &loop, Record &record, const std::string &service,
		       const struct snipe_address &address, const struct snipe_address &admin,
		       const struct snipe_address &outbound, const std::string &id_, int slots,
		       int cold_ms)
    : id(id_), loop_(loop), record_(record), service_(service), address_(address),
      slots_(slots), cold_until_us_(snipe_now_us() + (int64_t)cold_ms * 1000)
{
	static const struct snipe_h1_server_ops ops = {OnRequest, OnCancelled};
	static const struct timeval beat = {0, 200000};
	struct snipe_error_text err;
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	born_ms_ = ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	if (snipe_h1_server_init(&server_, loop.base, &address, "server", &ops, this, &err))
		give_up(err.text);
	server_.limits = {65536, 100000000, 60000000, 60000000, 0, 0};
	snipe_h1_pool_init(&admin_, loop.base);
	snipe_h1_pool_set_address(&admin_, &admin);
	snipe_h1_pool_init(&outbound_, loop.base);
	snipe_h1_pool_set_address(&outbound_, &outbound);
	beat_ = event_new(loop.base, -1, EV_PERSIST, OnBeat, this);
	event_add(beat_, &beat);
	SendNotice(false);
}

FakeServer::~FakeServer()
{
	Die();
}

void FakeServer::Die()
{
	if (dead_)
		return;
	dead_ = true;
	event_free(beat_);
	while (!jobs_.empty()) {
		Job *job = *jobs_.begin();
		jobs_.erase(job);
		event_free(job->timer);
		delete job;
	}
	snipe_h1_server_finish(&server_);
	snipe_h1_pool_finish(&admin_);
	snipe_h1_pool_finish(&outbound_);
}

void FakeServer::OnBeat(evutil_socket_t, short, void *arg)
{
	static_cast<FakeServer *>(arg)->SendNotice(false);
}

// The body of a notice.
std::string FakeServer::Notice(const std::string &state)
{
	char address[SNIPE_ADDRESS_TEXT_SIZE];

	snipe_address_format(&address_, address);
	return "{\"service\":\"" + service_ + "\",\"address\":\"" + address +
	       "\",\"zone\":\"z\",\"version\":\"v1\",\"capacity\":" + std::to_string(slots_) +
	       ",\"state\":\"" + state + "\",\"cold-remaining-s\":" +
	       std::to_string((double)std::max<int64_t>(cold_until_us_ - snipe_now_us(), 0) /
			      1e6) +
	       ",\"sequence\":" + std::to_string(++sequence_) +
	       ",\"born\":" + std::to_string(born_ms_) + "}";
}

// Sends a notice; leaves: its acknowledgement is that of the leaving.
void FakeServer::SendCall(bool leave, const std::string &body, bool leaves, bool is_foreign)
{
	struct Call {
		FakeServer *server;
		bool leaves, is_foreign;
		static void OnDone(void *arg, enum snipe_h1_result result,
				   const struct snipe_h1_message *m)
		{
			auto *n = static_cast<Call *>(arg);
			if (result == SNIPE_H1_COMPLETE && m->status == 200) {
				if (n->is_foreign)
					n->server->foreign_acknowledged++;
				else
					n->server->acknowledged++;
				if (n->leaves && !n->server->leave_acked_us)
					n->server->leave_acked_us = snipe_now_us();
			}
			delete n;
		}
	};
	static const struct snipe_h1_call_ops ops = {nullptr, Call::OnDone};
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out,
			    "%s /snipescale/instances/%s HTTP/1.1\r\nHost: x\r\nContent-Type: "
			    "application/json\r\nContent-Length: %zu\r\n\r\n%s",
			    leave ? "DELETE" : "PUT", id.c_str(), body.size(), body.c_str());
	snipe_h1_call_start(&admin_, out, 0, &ops, new Call{this, leaves, is_foreign});
	evbuffer_free(out);
}

void FakeServer::SendNotice(bool leave)
{
	if (leave)
		SendCall(true, "", true);
	else if (state_ != "gone")
		SendCall(false, Notice(state_), state_ == "draining");
}

void FakeServer::AnnounceLate()
{
	SendCall(false, Notice("ready"), false);
}

void FakeServer::AnnounceForeign(const std::string &missing)
{
	json_t *notice = json_loads(Notice("ready").c_str(), 0, nullptr);

	json_object_set_new(notice, "sequence", json_integer(1000000));
	json_object_del(notice, missing.c_str());
	char *body = json_dumps(notice, 0);
	SendCall(false, body, false, true);
	free(body);
	json_decref(notice);
}

void FakeServer::Drain()
{
	state_ = "draining";
	SendNotice(false);
}

void FakeServer::Leave()
{
	state_ = "gone";
	SendNotice(true);
}

void FakeServer::OnRequest(void *arg, struct snipe_h1_request *req)
{
	auto *s = static_cast<FakeServer *>(arg);
	std::string expected = Header(req, "Expected-Instance"),
		    left = Header(req, "Deadline-Ms");
	std::string id = Header(req, "Attempt-Id");

	if (!expected.empty() && expected != s->id) {
		Respond(req, 421, "", {{"Instance-Id", s->id}});
		return;
	}
	if (s->running_ >= s->slots_ || drand48() < s->behaviour.refuse) {
		s->refused++;
		Respond(req, 503, "", {{"Not-Executed", "1"}, {"Attempt-Id", id}});
		return;
	}
	s->record_.runs.push_back(
		{id, s->id, Header(req, "Tenant"), Header(req, "Caller-Service"),
		 snipe_buffer_str(&req->message.url),
		 std::string(req->message.body.data ? req->message.body.data : "",
			     req->message.body.len),
		 !Header(req, "Authorization").empty(), left.empty() ? -1 : atoi(left.c_str()),
		 snipe_now_us()});
	s->record_.count[id]++;
	s->running_++;
	const std::string &crash_path = s->behaviour.crash_path;
	bool crashes = !crash_path.empty() && crash_path == snipe_buffer_str(&req->message.url);
	Job *job = new Job{s, req, nullptr, nullptr, id, crashes};
	req->callback_data = job;
	s->jobs_.insert(job);
	job->timer = event_new(
		s->loop_.base, -1, 0,
		[](evutil_socket_t, short, void *a) {
			Job *j = static_cast<Job *>(a);
			if (j->crashes)
				j->server->Die();
			else if (!j->server->behaviour.inner.empty() && !j->inner)
				j->server->StartInner(j);
			else
				j->server->Finish(j);
		},
		job);
	double factor = snipe_now_us() < s->cold_until_us_ ? s->behaviour.cold_factor : 1;
	int ms = crashes ? 0 : (int)(factor * s->behaviour.run_ms);
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};
	event_add(job->timer, &tv);
}

void FakeServer::StartInner(Job *job)
{
	struct timeval poll = {0, 2000};
	Request r;

	r.host = behaviour.inner_host;
	r.path = behaviour.inner;
	r.id = job->id + "-inner" + (job->inner_calls ? std::to_string(job->inner_calls) : "");
	job->inner_calls++;
	job->inner = std::make_unique<Pending>(&outbound_, r);
	event_add(job->timer, &poll);
}

void FakeServer::Finish(Job *job)
{
	struct timeval poll = {0, 2000};
	struct snipe_h1_request *req = job->req;
	int status = 200;

	if (job->inner && !job->inner->reply.done) {
		event_add(job->timer, &poll);
		return;
	}
	if (job->inner && job->inner->reply.status != 200) {
		status = 500;
	} else if (job->inner && job->inner_calls < behaviour.inner_calls) {
		StartInner(job);
		return;
	}
	running_--;
	jobs_.erase(job);
	event_free(job->timer);
	if (req) {
		req->callback_data = nullptr;
		double luck = drand48();
		if (luck < behaviour.silent) {
			// The answer never comes; the slot is free.
		} else if (luck < behaviour.silent + behaviour.lose) {
			struct snipe_h1_response r = {};
			r.status = 200;
			r.close = 1;
			r.is_head = 1;
			r.head_content_length = "100"; // breaks off within the body
			snipe_h1_respond(req, &r);
		} else {
			bool is_long =
				behaviour.body_bytes &&
				strncmp(snipe_buffer_str(&req->message.url), "/long/", 6) == 0;
			Respond(req, status,
				is_long ? std::string(behaviour.body_bytes, 'b')
					: "body of " + job->id,
				{{"Attempt-Id", job->id},
				 {"Server-Signature", "s." + id},
				 {"Instance-Id", id}});
		}
	}
	delete job;
}

void FakeServer::OnCancelled(void *, struct snipe_h1_request *req)
{
	static_cast<Job *>(req->callback_data)->req = nullptr;
}

Pending::Pending(struct snipe_h1_pool *pool, const Request &r) : request(r)
{
	static const struct snipe_h1_call_ops ops = {nullptr, OnDone};
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n",
			    r.method.c_str(), r.path.c_str(), r.host.c_str(), r.id.c_str());
	if (r.left_ms >= 0)
		evbuffer_add_printf(out, "Deadline-Ms: %d\r\n", r.left_ms);
	if (!r.key.empty())
		evbuffer_add_printf(out, "Authorization: Token %s\r\n", r.key.c_str());
	if (!r.body.empty())
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", r.body.size());
	evbuffer_add_printf(out, "%s\r\n", r.more.c_str());
	evbuffer_add(out, r.body.data(), r.body.size());
	started_us = snipe_now_us();
	call_ = snipe_h1_call_start(pool, out, 0, &ops, this);
	evbuffer_free(out);
}

Pending::~Pending()
{
	if (!reply.done)
		snipe_h1_call_cancel(call_);
}

void Pending::OnDone(void *arg, enum snipe_h1_result result, const struct snipe_h1_message *m)
{
	auto *p = static_cast<Pending *>(arg);
	auto text = [m](const char *name) {
		const char *v = snipe_h1_find_value(m, name);
		return std::string(v ? v : "");
	};

	p->reply.done = true;
	p->reply.result = result;
	p->reply.took_us = snipe_now_us() - p->started_us;
	if (!m)
		return;
	p->reply.status = m->status;
	p->reply.body.assign(m->body.data ? m->body.data : "", m->body.len);
	p->reply.server_id = text("Instance-Id");
	p->reply.retry_after = text("Retry-After");
}

Deployment::Deployment() : store(loop)
{
	signal(SIGPIPE, SIG_IGN);
	services = {};
}

Deployment::~Deployment()
{
	for (auto &n : nodes) {
		snipe_h1_pool_finish(&n->pool);
		n->server.reset();
		n->process.reset();
	}
}

size_t Deployment::AddNode(const std::string &service, const std::string &zone, int slots)
{
	auto n = std::make_unique<Node>();

	n->service = service;
	n->zone = zone;
	n->slots = slots;
	n->at.outbound = free_address();
	n->at.readiness = free_address();
	n->at.admin = free_address();
	n->at.app = free_address();
	n->at.store = store.AddListener();
	// The node uses the port after it too.
	do {
		n->at.peers = free_address();
	} while (free_address().port != n->at.peers.port + 1);
	n->at.told_app = n->at.app;
	n->at.told_store = n->at.store;
	snipe_h1_pool_init(&n->pool, loop.base);
	snipe_h1_pool_set_address(&n->pool, &n->at.outbound);
	nodes.push_back(std::move(n));
	return nodes.size() - 1;
}

static std::string Text(const struct snipe_address &a)
{
	char text[SNIPE_ADDRESS_TEXT_SIZE];

	snipe_address_format(&a, text);
	return text;
}

std::string Deployment::Settings(const Node &n, bool bootstrap) const
{
	return "{\"node-name\":\"node-" + std::to_string(n.at.outbound.port) +
	       "\",\"ip\":\"127.0.0.1\",\"zone\":\"" + n.zone + "\",\"service\":\"" +
	       n.service + "\",\"bind\":{\"outbound\":\"" + Text(n.at.outbound) +
	       "\",\"readiness\":\"" + Text(n.at.readiness) + "\",\"admin\":\"" +
	       Text(n.at.admin) + "\"},\"port-range\":[" + std::to_string(n.at.peers.port) +
	       "," + std::to_string(n.at.peers.port) +
	       "],\"bootstrap\":" + (bootstrap ? "true" : "false") +
	       ",\"heartbeat-s\":0.2,\"bounds\":{\"grace-s\":6,\"revoke-s\":5,"
	       "\"retry-budget-ratio\":0.2},\"local-app\":\"" +
	       Text(n.at.told_app) + "\"," +
	       (node_memory_mb
			? "\"limits\":{\"memory-mb\":" + std::to_string(node_memory_mb) + "},"
			: "") +
	       "\"platform\":{\"address\":\"" + Text(n.at.told_store) + "\"}}";
}

void Deployment::Start(size_t node, bool bootstrap)
{
	Node &n = *nodes[node];
	std::string file = dir_.File("node" + std::to_string(node) + ".json");
	struct rlimit own, limit;

	WriteFile(file, Settings(n, bootstrap));
	setenv("SNIPESCALE_NODE_FILE", file.c_str(), 1);
	getrlimit(RLIMIT_NOFILE, &own);
	limit = own;
	if (node_descriptors)
		limit.rlim_cur = (rlim_t)node_descriptors;
	setrlimit(RLIMIT_NOFILE, &limit);
	n.process = std::make_unique<Process>(
		std::vector<std::string>{"snipescaled", "--platform"},
		dir_.File("node" + std::to_string(node) + "-" + std::to_string(n.starts++)));
	setrlimit(RLIMIT_NOFILE, &own);
}

void Deployment::StartServer(size_t node)
{
	Node &n = *nodes[node];

	n.server.reset();
	n.server = std::make_unique<FakeServer>(
		loop, record, n.service, n.at.app, n.at.admin, n.at.outbound,
		"i-" + std::to_string(next_server_++), n.slots, server_cold_ms);
}

void Deployment::StartAll()
{
	for (size_t i = 0; i < nodes.size(); i++) {
		Start(i);
		StartServer(i);
	}
}

std::unique_ptr<Pending> Deployment::Begin(size_t node, const Request &r)
{
	Request numbered = r;

	if (numbered.id.empty())
		numbered.id = "q-" + std::to_string(next_request_++);
	return std::make_unique<Pending>(&nodes[node]->pool, numbered);
}

Reply Deployment::Call(size_t node, const Request &r)
{
	auto p = Begin(node, r);

	loop.until([&] { return p->reply.done; });
	return p->reply;
}

static Reply GetFrom(Loop &loop, const struct snipe_address &a, const std::string &path)
{
	struct snipe_h1_pool pool;
	Request r;

	snipe_h1_pool_init(&pool, loop.base);
	snipe_h1_pool_set_address(&pool, &a);
	r.path = path;
	Reply reply;
	{
		Pending p(&pool, r);
		loop.until([&] { return p.reply.done; });
		reply = p.reply;
	}
	snipe_h1_pool_finish(&pool);
	return reply;
}

bool Deployment::Ready(size_t node)
{
	return GetFrom(loop, nodes[node]->at.readiness, "/snipescale/ready").status == 200;
}

std::string Deployment::State(size_t node)
{
	return GetFrom(loop, nodes[node]->at.admin, "/state").body;
}

std::string Deployment::KeepLogs()
{
	setenv("SNIPE_TEST_KEEP", "1", 1);
	return dir_.File("");
}

bool Deployment::WaitSettled()
{
	int64_t end = snipe_now_us() + 30000000;

	while (snipe_now_us() < end) {
		bool all = true;
		for (size_t i = 0; i < nodes.size() && all; i++) {
			if (!nodes[i]->process || !nodes[i]->process->Running())
				continue;
			std::string state = Ready(i) ? State(i) : "";
			for (size_t j = 0; j < nodes.size() && all; j++)
				if (nodes[j]->server && nodes[j]->process->Running())
					all = state.find("\"server\":\"" +
							 nodes[j]->server->id +
							 "\",\"state\":1") != std::string::npos;
		}
		if (all)
			return true;
		loop.run_ms(50);
	}
	return false;
}

static std::string Join(const std::vector<std::string> &rows)
{
	std::string s;

	for (const auto &r : rows)
		s += (s.empty() ? "" : ",") + r;
	return s;
}

void Deployment::PutTables()
{
	char number[16];

	version += 3;
	snprintf(number, sizeof(number), "%08x", (unsigned)version);
	store.Write(
		"config", "main",
		std::string("{\"version\":\"") + number +
			"\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\","
			"\"timeout-s\",\"attempts\",\"public\",\"weighted-clusters\","
			"\"service\"],\"rows\":[" +
			Join(routes) +
			"]},\"services\":{\"columns\":[\"name\",\"max-connections\"],"
			"\"rows\":[" +
			Join(services) +
			"]},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":" +
			std::to_string(max_body_bytes) +
			",\"header-timeout-s\":3,\"idle-timeout-s\":15},\"tenants\":{"
			"\"columns\":[\"name\",\"api-keys\",\"priority\",\"requests-per-s\","
			"\"burst\"],\"rows\":[" +
			Join(tenants) + "]}}");
}

} // namespace snipe_test
