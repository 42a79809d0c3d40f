#include "support/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>

namespace snipe_test
{

std::string Response::Header(const std::string &lower_case_name) const
{
	auto it = headers.find(lower_case_name);

	return it == headers.end() ? "" : it->second;
}

HttpConnection::HttpConnection(int port, int timeout_ms)
{
	struct sockaddr_in addr = {};
	int on = 1;

	addr.sin_family = AF_INET;
	addr.sin_port = htons(static_cast<uint16_t>(port));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	SetTimeout(timeout_ms);
	setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd_, reinterpret_cast<struct sockaddr *>(&addr), sizeof(addr)) != 0)
		Close();
}

HttpConnection::~HttpConnection()
{
	Close();
}

void HttpConnection::SetTimeout(int timeout_ms)
{
	struct timeval tv = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};

	setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

void HttpConnection::Close()
{
	if (fd_ >= 0)
		close(fd_);
	fd_ = -1;
}

bool HttpConnection::Send(const std::string &bytes)
{
	size_t done = 0;

	while (fd_ >= 0 && done < bytes.size()) {
		ssize_t n = send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		done += static_cast<size_t>(n);
	}
	return fd_ >= 0;
}

bool HttpConnection::Fill()
{
	char buf[65536];
	ssize_t n = fd_ < 0 ? -1 : recv(fd_, buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	unread_.append(buf, static_cast<size_t>(n));
	return true;
}

static std::string Lower(std::string s)
{
	std::transform(s.begin(), s.end(), s.begin(),
		       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
	return s;
}

static void ParseHead(const std::string &head, Response *r)
{
	size_t at = head.find("\r\n");

	if (head.size() > 12)
		r->status = atoi(head.c_str() + 9);
	while (at != std::string::npos && at + 2 < head.size()) {
		size_t start = at + 2, end = head.find("\r\n", start);
		std::string line = head.substr(
			start, end == std::string::npos ? std::string::npos : end - start);
		size_t colon = line.find(':');

		if (colon != std::string::npos) {
			size_t value = line.find_first_not_of(' ', colon + 1);
			r->headers[Lower(line.substr(0, colon))] =
				value == std::string::npos ? "" : line.substr(value);
		}
		at = end;
	}
}

Response HttpConnection::Receive(bool is_head)
{
	Response r;
	size_t end;

	r.sent = true;
	while ((end = unread_.find("\r\n\r\n")) == std::string::npos)
		if (!Fill()) {
			r.raw = unread_;
			Close();
			return r;
		}
	ParseHead(unread_.substr(0, end), &r);
	end += 4;
	if (is_head || r.status == 204 || r.status == 304) {
		r.complete = true;
	} else if (Lower(r.Header("transfer-encoding")) == "chunked") {
		for (;;) {
			size_t line;
			while ((line = unread_.find("\r\n", end)) == std::string::npos)
				if (!Fill())
					goto out;
			size_t n = strtoul(unread_.c_str() + end, nullptr, 16);
			while (unread_.size() < line + 2 + n + 2)
				if (!Fill())
					goto out;
			r.body += unread_.substr(line + 2, n);
			end = line + 2 + n + 2;
			if (n == 0)
				break;
		}
		r.complete = true;
	} else if (r.headers.count("content-length")) {
		size_t n = strtoul(r.Header("content-length").c_str(), nullptr, 10);
		while (unread_.size() < end + n)
			if (!Fill())
				goto out;
		r.body = unread_.substr(end, n);
		end += n;
		r.complete = true;
	}
out:
	r.raw = unread_.substr(0, end);
	unread_.erase(0, std::min(end, unread_.size()));
	if (!r.complete || Lower(r.Header("connection")) == "close")
		Close();
	return r;
}

Response HttpConnection::Request(const std::string &method, const std::string &path,
				 const Headers &headers, const std::string &body)
{
	std::string text = method + " " + path + " HTTP/1.1\r\nHost: node\r\n";

	for (const auto &h : headers)
		text += h.first + ": " + h.second + "\r\n";
	if (!body.empty() || method == "POST" || method == "PUT")
		text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
	text += "\r\n" + body;
	if (!Send(text)) {
		Close();
		return {};
	}
	return Receive(method == "HEAD");
}

Response Fetch(int port, const std::string &method, const std::string &path,
	       const Headers &headers, const std::string &body, int timeout_ms)
{
	HttpConnection c(port, timeout_ms);

	return c.Request(method, path, headers, body);
}

} // namespace snipe_test
