/*
 * A blocking HTTP/1.1 client that shows what came over the wire.
 */
#ifndef SNIPE_TEST_HTTP_H
#define SNIPE_TEST_HTTP_H

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace snipe_test
{

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Response {
	/* False if no complete response came: connection closed, refused, or deadline. */
	bool complete = false;
	bool sent = false; /* whether any byte of the request was handed to the kernel */
	int status = 0;
	std::map<std::string, std::string> headers; /* names in lower case */
	std::string body, raw;

	std::string Header(const std::string &lower_case_name) const;
	std::string Reason() const
	{
		return Header("snipe-reason");
	}
	std::string Outcome() const
	{
		return Header("snipe-outcome");
	}
};

/* One keep-alive connection to 127.0.0.1. */
class HttpConnection
{
      public:
	explicit HttpConnection(int port, int timeout_ms = 30000);
	~HttpConnection();
	HttpConnection(const HttpConnection &) = delete;
	HttpConnection &operator=(const HttpConnection &) = delete;

	bool connected() const
	{
		return fd_ >= 0;
	}
	Response Request(const std::string &method, const std::string &path,
			 const Headers &headers = {}, const std::string &body = "");
	void SetTimeout(int timeout_ms);
	bool Send(const std::string &bytes);
	Response Receive(bool is_head = false);
	void Close();

      private:
	int fd_ = -1;
	std::string unread_;
	bool Fill();
};

/* One request on a connection of its own. */
Response Fetch(int port, const std::string &method, const std::string &path,
	       const Headers &headers = {}, const std::string &body = "",
	       int timeout_ms = 30000);

} // namespace snipe_test

#endif
