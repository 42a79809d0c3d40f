// An event loop, and sockets that a test reads and writes by itself.
#ifndef SNIPE_TESTS_LOOP_H
#define SNIPE_TESTS_LOOP_H

#include <arpa/inet.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>

#include "base/address.h"
#include "base/clock.h"

// Ends a test program that cannot go on, with the reason.
[[noreturn]] inline void give_up(const std::string &what)
{
	fprintf(stderr, "cannot go on: %s: %s\n", what.c_str(), strerror(errno));
	exit(3);
}

struct Loop {
	struct event_base *base = event_base_new();

	~Loop()
	{
		event_base_free(base);
	}
	// Runs the loop until the condition holds; false after ten seconds.
	bool until(const std::function<bool()> &done)
	{
		int64_t end = snipe_now_us() + 10000000;

		while (!done()) {
			struct timeval tv = {0, 2000};
			if (snipe_now_us() > end)
				return false;
			event_base_loopexit(base, &tv);
			event_base_dispatch(base);
		}
		return true;
	}
	void run_ms(int ms)
	{
		int64_t end = snipe_now_us() + ms * 1000;

		until([&] { return snipe_now_us() >= end; });
	}
};

struct Socket {
	int fd = -1;
	std::string in;
	bool eof = false, reset = false;

	Socket() = default;
	explicit Socket(int f) : fd(f)
	{
		fcntl(fd, F_SETFL, O_NONBLOCK);
	}
	Socket(Socket &&o) noexcept : fd(o.fd), in(o.in), eof(o.eof), reset(o.reset)
	{
		o.fd = -1;
	}
	Socket &operator=(Socket &&o) noexcept
	{
		close_now();
		fd = o.fd;
		in = o.in;
		eof = o.eof;
		reset = o.reset;
		o.fd = -1;
		return *this;
	}
	~Socket()
	{
		close_now();
	}
	void close_now()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	void reset_now()
	{
		struct linger l = {1, 0};

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		close_now();
	}
	static Socket connect_to(const struct snipe_address &a)
	{
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&a, &ss);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (connect(fd, (struct sockaddr *)&ss, (socklen_t)len) < 0)
			give_up("connect");
		return Socket(fd);
	}
	void send_text(const std::string &s)
	{
		if (send(fd, s.data(), s.size(), MSG_NOSIGNAL) < 0)
			reset = true;
	}
	// Reads what there is.
	void pump()
	{
		char buf[65536];
		ssize_t n;

		while (fd >= 0 && (n = recv(fd, buf, sizeof(buf), 0)) > 0)
			in.append(buf, (size_t)n);
		if (fd >= 0 && n == 0)
			eof = true;
		if (fd >= 0 && n < 0 && errno == ECONNRESET)
			reset = true;
	}
	bool has(const std::string &s)
	{
		pump();
		return in.find(s) != std::string::npos;
	}
};

struct Listener {
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct snipe_address address;

	Listener()
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 || listen(fd, 64) < 0)
			give_up("listen");
		getsockname(fd, (struct sockaddr *)&sin, &len);
		snipe_address_from_sockaddr((struct sockaddr *)&sin, &address);
		fcntl(fd, F_SETFL, O_NONBLOCK);
	}
	~Listener()
	{
		close(fd);
	}
	// A connection that waits, or one without a descriptor.
	Socket take()
	{
		int got = accept(fd, nullptr, nullptr);

		return got < 0 ? Socket() : Socket(got);
	}
};

// An address on which nothing listens. Its port stays reserved until the test program ends,
// also while the process that it belongs to is restarted: a socket that is bound and does not
// listen refuses other binds, but not those of listeners with SO_REUSEADDR. Ports below the
// ephemeral range are not given to outgoing connections, and test programs that run side by
// side begin at different ones.
inline struct snipe_address free_address()
{
	static const int first = 10000, count = 20000, one = 1;
	static int next = getpid() % 200 * 100;

	for (int tries = 0; tries < count; tries++) {
		struct sockaddr_in sin = {};
		struct snipe_address address;
		int port = first + next++ % count;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		sin.sin_port = htons((uint16_t)port);
		if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
			close(fd);
			continue;
		}
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		snipe_address_from_sockaddr((struct sockaddr *)&sin, &address);
		return address;
	}
	give_up("no free port");
}

#endif
