// A server's leaving is acknowledged while the store is down; then the node is killed.
#include <signal.h>

#include "common/rig.h"

using namespace review;

// Bounds of the site.
static const int64_t DRAIN_US = 2000000, CONTACT_US = 3000000;
// The store is away for this long; the node is killed this long after the acknowledgement, and
// started again after a short delay.
static const int64_t STORE_DOWN_US = 3000000, KILL_AFTER_US = 200000, RESTART_US = 300000;
// A ping that was sent just before the leaving arrives this much later.
static const int64_t HELD_UP_US = 2000000;
// The server goes on serving for this long after the acknowledgement.
static const int64_t SERVES_US = 11000000;

struct Case {
	explicit Case(const std::string &folder) : rig(folder)
	{
	}
	Rig rig;
	std::vector<std::unique_ptr<Connection>> clients;
	int sent = 0;
	int64_t next_us = 0;

	// Forty requests a second, at all machines in turn, until the condition holds or the
	// time is over.
	void Traffic(
		int64_t until_us, const std::function<bool()> &done = [] { return false; })
	{
		while (snipe_now_us() < until_us && !done()) {
			if (snipe_now_us() >= next_us) {
				next_us = snipe_now_us() + 25000;
				std::string name = "q" + std::to_string(sent);
				size_t at = (size_t)sent++ % rig.machines.size();
				if (rig.TakesClients(at) && rig.machines[at]->node->Running()) {
					clients.push_back(
						std::make_unique<Connection>(rig, at, name));
					clients.back()->Send(name, "/care/20/" + name, "key-1",
							     5000);
				}
			}
			rig.loop.run_ms(4);
			for (size_t i = 0; i < clients.size();) {
				clients[i]->Pump();
				if (clients[i]->Ended() || !clients[i]->answers.empty())
					clients.erase(clients.begin() + (long)i);
				else
					i++;
			}
		}
	}
	void SetStore(bool up)
	{
		rig.log.Line("the store is %s", up ? "up" : "down: it answers 503");
		for (size_t i = 0; i < rig.machines.size(); i++)
			rig.store.SetMode(i, up ? StoreMode::Up : StoreMode::Busy);
	}
};

int main(int argc, char **argv)
{
	bool store_down = HasTrouble(), kill = HasTrouble();
	int late = 0;

	if (argc != 2)
		return NOT_RUN;
	if (getenv("ONLY"))
		(std::string(getenv("ONLY")) == "kill" ? store_down : kill) = false;
	Case c(argv[1]);
	Rig &rig = c.rig;
	rig.routes = {
		R"(["care-tips","mesh.example","/care/","idempotent",5,1.2,3,2,false,null,"tips"])"};
	rig.services = {R"(["tips",946])"};
	rig.tenants = {R"(["salon",["key-1"],0,0,0])"};
	for (const char *zone : {"tauranga", "auckland"})
		for (int i = 0; i < 2; i++)
			rig.AddMachine("tips", zone);
	rig.PutManifest();
	rig.StartAll();
	if (!rig.Settle())
		return NOT_RUN;
	c.Traffic(snipe_now_us() + 2000000);
	Machine &m = *rig.machines[0];
	Backend &leaving = *m.backend;
	if (store_down)
		c.SetStore(false);
	int64_t down_us = snipe_now_us();
	c.Traffic(down_us + 300000);
	std::string ping = leaving.MakePing();
	int64_t ping_us = snipe_now_us();
	leaving.Leave();
	c.Traffic(ping_us + 1000000, [&] { return leaving.leave_acked_us != 0; });
	int64_t acked = leaving.leave_acked_us;
	if (!acked)
		return NOT_RUN;
	c.Traffic(acked + KILL_AFTER_US);
	if (kill) {
		rig.log.Line("the node of %s is killed", m.name.c_str());
		m.node->Kill();
		c.Traffic(snipe_now_us() + RESTART_US);
		rig.StartNode(0, false);
	}
	int64_t started = snipe_now_us();
	c.Traffic(ping_us + HELD_UP_US);
	leaving.Deliver(ping);
	c.Traffic(down_us + STORE_DOWN_US);
	if (store_down)
		c.SetStore(true);
	int64_t up_us = snipe_now_us();
	c.Traffic(acked + SERVES_US);
	// From then on all machines are in touch, and the store was up for all of contact-s.
	int64_t from =
		std::max(std::max(up_us, started) + CONTACT_US, acked + DRAIN_US) + 200000;
	rig.log.Line("requests that reach server %s later than at %.1f ms break the rule",
		     leaving.id.c_str(), (double)(from - rig.log.start_us) / 1000);
	for (const auto &r : rig.runs) {
		if (r.server != leaving.id || r.at_us <= from)
			continue;
		if (late++ < 5)
			rig.log.Line("BROKEN: %s reached it %.2f s after the acknowledgement",
				     r.id.c_str(), (double)(r.at_us - acked) / 1e6);
	}
	rig.log.Line("%d requests reached the server that had left", late);
	return late ? BROKEN : HELD;
}
