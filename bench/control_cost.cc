/*
 * Control cost of idle nodes at several fleet sizes: bytes/s, CPU and memory for each node.
 *
 *   control_cost [seconds for each size, default 10] [sizes, default 10 30 100]
 *
 * Bytes are counted on the loopback device from the IP headers of all packets from or to the
 * peer ports of the nodes and the platform's port, so the node's own counters play no part.
 * Counting needs the right to open a packet socket; without it the columns show "-".
 *
 * The last columns are sent plus received bytes/s from the nodes' counters, which show the
 * spread between nodes: datagrams with IP and UDP headers, and values of fetched objects.
 */
#include <arpa/inet.h>
#include <linux/if_ether.h>
#include <linux/if_packet.h>
#include <net/if.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <set>
#include <thread>

#include "measure.h"
#include "support/fleet.h"

using namespace snipe_test;

namespace
{

/* Records of 100 joining nodes travel for about two minutes. */
const int kJoinSeconds = 300;

struct Traffic {
	long long peer_bytes = 0, platform_bytes = 0;
	bool counted = false;
};

/* Counts IP bytes on loopback for some seconds; each packet once, when it arrives: a socket for
 * one protocol is not shown the packets that leave. */
Traffic CountTraffic(const std::set<int> &peer_ports, int platform_port, double seconds)
{
	struct sockaddr_ll addr = {};
	int size = 16 << 20;
	Traffic t;
	int fd = socket(AF_PACKET, SOCK_DGRAM | SOCK_CLOEXEC, htons(ETH_P_IP));

	if (fd < 0) {
		std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
		return t;
	}
	addr.sll_family = AF_PACKET;
	addr.sll_protocol = htons(ETH_P_IP);
	addr.sll_ifindex = static_cast<int>(if_nametoindex("lo"));
	t.counted = bind(fd, reinterpret_cast<struct sockaddr *>(&addr), sizeof(addr)) == 0;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	for (long long end = NowUs() + static_cast<long long>(seconds * 1e6); NowUs() < end;) {
		struct pollfd p = {fd, POLLIN, 0};
		unsigned char packet[64];
		struct sockaddr_ll from = {};
		socklen_t len = sizeof(from);

		if (poll(&p, 1, 100) <= 0)
			continue;
		ssize_t n = recvfrom(fd, packet, sizeof(packet), 0,
				     reinterpret_cast<struct sockaddr *>(&from), &len);
		size_t header = static_cast<size_t>(packet[0] & 15) * 4;
		if (n < 24 || static_cast<size_t>(n) < header + 4 ||
		    from.sll_pkttype != PACKET_HOST)
			continue;
		int bytes = packet[2] << 8 | packet[3];
		int source = packet[header] << 8 | packet[header + 1];
		int target = packet[header + 2] << 8 | packet[header + 3];
		if (peer_ports.count(source) || peer_ports.count(target))
			t.peer_bytes += bytes;
		else if (source == platform_port || target == platform_port)
			t.platform_bytes += bytes;
	}
	close(fd);
	return t;
}

/* A counter of a node, by its name without the project's prefix. */
double Counter(const Node &node, const std::string &name)
{
	std::string text = Fetch(node.admin_port, "GET", "/metrics").body;
	std::string line = "\nsnipescale_" + name + " ";
	size_t at = text.find(line);

	if (at == std::string::npos)
		throw std::runtime_error("a node has no counter " + name);
	return std::atof(text.c_str() + at + line.size());
}

double ControlBytes(const Node &node)
{
	return Counter(node, "control_bytes_sent") + Counter(node, "control_bytes_received");
}

/* The fleet is idle once the records of the nodes that joined have travelled as far as they do.
 */
void WaitJoined(Fleet &fleet)
{
	for (int i = 0; i < kJoinSeconds; i++) {
		bool joined = true;

		for (size_t k = 0; k < fleet.size(); k++)
			joined = joined && Counter(fleet[k], "members_spreading") == 0;
		if (joined)
			return;
		std::this_thread::sleep_for(std::chrono::seconds(1));
	}
	throw std::runtime_error("records of joining nodes still travel");
}

void Measure(int size, double seconds)
{
	Fleet fleet;
	std::set<int> ports;
	std::vector<double> cpu(static_cast<size_t>(size)), memory, busy, rates;
	std::vector<double> before(static_cast<size_t>(size));
	double sum = 0;

	for (int i = 0; i < size; i++) {
		NodeSpec spec;

		spec.id = "node-" + std::to_string(i);
		spec.failure_domain = "fd-" + std::to_string(i % 5);
		spec.pool = i % 2 ? "front" : "deep";
		spec.record = false;
		fleet.AddNode(spec);
	}
	if (fleet.ApplyTables(kRoutes, kPools).status != 0)
		throw std::runtime_error("snipescale apply failed");
	Key key = fleet.IssueKey("alpha");
	if (!fleet.WaitMembers(size) || !fleet.WaitServing("/front/x", key.key))
		throw std::runtime_error("the fleet does not settle");
	for (size_t i = 0; i < fleet.size(); i++)
		ports.insert(fleet[i].peer_port);
	WaitJoined(fleet);
	for (size_t i = 0; i < fleet.size(); i++) {
		cpu[i] = snipe_bench::CpuSeconds(fleet[i].process->pid());
		before[i] = ControlBytes(fleet[i]);
	}
	Traffic t = CountTraffic(ports, fleet.platform_relay.port, seconds);
	for (size_t i = 0; i < fleet.size(); i++) {
		pid_t pid = fleet[i].process->pid();

		busy.push_back((snipe_bench::CpuSeconds(pid) - cpu[i]) / seconds * 100);
		memory.push_back(snipe_bench::ResidentMb(pid));
		rates.push_back((ControlBytes(fleet[i]) - before[i]) / seconds);
		sum += rates.back();
	}
	std::printf("%6d", size);
	if (t.counted)
		std::printf(" %14.0f %18.0f",
			    static_cast<double>(t.peer_bytes) / seconds / size,
			    static_cast<double>(t.platform_bytes) / seconds / size);
	else
		std::printf(" %14s %18s", "-", "-");
	std::printf(" %12.2f %12.2f %12.1f %12.1f %12.0f %12.0f\n",
		    snipe_bench::Quantile(busy, 0.5), snipe_bench::Quantile(busy, 1),
		    snipe_bench::Quantile(memory, 0.5), snipe_bench::Quantile(memory, 1),
		    sum / size, snipe_bench::Quantile(rates, 1));
	std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
	double seconds = argc > 1 ? std::atof(argv[1]) : 10;
	std::vector<int> sizes;

	for (int i = 2; i < argc; i++)
		sizes.push_back(std::atoi(argv[i]));
	if (sizes.empty())
		sizes = {10, 30, 100};
	std::printf("%6s %14s %18s %12s %12s %12s %12s %12s %12s\n", "nodes", "peer B/s/node",
		    "platform B/s/node", "CPU % p50", "CPU % max", "MB p50", "MB max",
		    "counted mean", "counted max");
	for (int size : sizes)
		Measure(size, seconds);
	return 0;
}
