#include "support/silence.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <string>

namespace snipe_test
{

static int PortOf(const struct sockaddr_in &addr)
{
	return addr.sin_family == AF_INET ? ntohs(addr.sin_port) : 0;
}

static bool IsConnection(int fd, int port)
{
	struct sockaddr_in self = {}, peer = {};
	socklen_t self_len = sizeof(self), peer_len = sizeof(peer), type_len = sizeof(int);
	int type = 0;

	return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &type_len) == 0 &&
	       type == SOCK_STREAM &&
	       getsockname(fd, reinterpret_cast<struct sockaddr *>(&self), &self_len) == 0 &&
	       getpeername(fd, reinterpret_cast<struct sockaddr *>(&peer), &peer_len) == 0 &&
	       (PortOf(self) == port || PortOf(peer) == port);
}

/* Copies each descriptor of the child and applies the action to its connections. */
static int ForEachConnection(pid_t pid, int port, const std::function<bool(int)> &action)
{
	int pidfd = static_cast<int>(syscall(SYS_pidfd_open, pid, 0));
	int done = 0;

	if (pidfd < 0)
		return -1;
	for (const auto &entry :
	     std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
		int number = std::atoi(entry.path().filename().c_str());
		int fd = static_cast<int>(syscall(SYS_pidfd_getfd, pidfd, number, 0));

		/* The process has closed it meanwhile. */
		if (fd < 0 && errno == EBADF)
			continue;
		if (fd < 0) {
			done = -1;
			break;
		}
		if (IsConnection(fd, port))
			done += action(fd);
		close(fd);
	}
	close(pidfd);
	return done;
}

int SilenceConnections(pid_t pid, int port)
{
	/* A socket filter that accepts no packet. */
	struct sock_filter drop = {BPF_RET | BPF_K, 0, 0, 0};
	struct sock_fprog program = {1, &drop};

	return ForEachConnection(pid, port, [&](int fd) {
		return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
				  sizeof(program)) == 0;
	});
}

int CutConnections(pid_t pid, int port)
{
	return ForEachConnection(pid, port,
				 [](int fd) { return shutdown(fd, SHUT_RDWR) == 0; });
}

} // namespace snipe_test
