// A rolling restart under clients that send further requests before the first is answered.
#include <signal.h>

#include "common/rig.h"

using namespace review;

// A client that sends three reads on one kept connection: the first one is slow, the second one
// is ready before it, the third one is sent when the second one is ready.
static bool IsCut(Rig &rig, size_t machine, bool trouble)
{
	std::string name = "c" + std::to_string(machine);
	std::string slow = name + "-1", quick = name + "-2", third = name + "-3";
	Connection c(rig, machine, name);

	c.Send(name + "-0", "/care/20/a", "key-1", 5000);
	if (!rig.loop.until([&] {
		    c.Pump();
		    return c.answers.count(name + "-0");
	    }))
		return false;
	if (trouble) {
		rig.log.Line("SIGTERM to the node of %s", rig.machines[machine]->name.c_str());
		rig.machines[machine]->node->Signal(SIGTERM);
	}
	rig.loop.run_ms(100);
	c.Send(slow, "/care/500/b", "key-1", 5000);
	rig.loop.run_ms(50);
	c.Send(quick, "/care/60/c", "key-1", 5000);
	rig.loop.run_ms(200);
	c.Send(third, "/care/540/d", "key-1", 5000);
	rig.loop.until([&] {
		c.Pump();
		return c.Ended() || c.answers.count(third);
	});
	if (c.answers.count(third) || !rig.Runs(third))
		return false;
	rig.log.Line("BROKEN: %s was passed on to a backend server, and its connection ended "
		     "%.0f ms after it was sent, without an answer",
		     third.c_str(), (double)(snipe_now_us() - c.sent_us[third]) / 1000);
	return true;
}

int main(int argc, char **argv)
{
	bool trouble = HasTrouble();
	int cut = 0;

	if (argc != 2)
		return NOT_RUN;
	Rig rig(argv[1]);
	rig.routes = {
		R"(["care-tips","mesh.example","/care/","idempotent",5,1.2,3,2,false,null,"tips"])"};
	rig.services = {R"(["tips",946])"};
	rig.tenants = {R"(["salon",["key-1"],0,0,0])"};
	for (const char *zone : {"tauranga", "auckland"})
		for (int i = 0; i < 4; i++)
			rig.AddMachine("tips", zone);
	rig.PutManifest();
	rig.StartAll();
	if (!rig.Settle())
		return NOT_RUN;
	// contact-s: all machines are in touch.
	rig.loop.run_ms(3500);
	for (size_t i = 0; i < 3; i++) {
		cut += IsCut(rig, i, trouble);
		if (!trouble)
			continue;
		if (!rig.loop.until([&] { return !rig.machines[i]->node->Running(); }))
			return NOT_RUN;
		rig.log.Line("the node of %s has ended", rig.machines[i]->name.c_str());
		rig.StartNode(i, false);
		if (!rig.Settle())
			return NOT_RUN;
	}
	rig.log.Line("%d requests were passed on and cut", cut);
	return cut ? BROKEN : HELD;
}
