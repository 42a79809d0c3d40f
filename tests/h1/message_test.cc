// Guards against requests that two parsers would split differently (request smuggling),
// truncated responses that are taken as complete, and messages that exceed the limits.
#include <gtest/gtest.h>

#include <string>

#include "h1/message.h"

namespace
{

struct Parse {
	struct snipe_h1_message m;
	struct snipe_h1_parser p;
	enum snipe_h1_parse_result result;
	size_t consumed = 0;

	Parse(const std::string &bytes, bool request = true, bool is_head_response = false,
	      size_t step = 0, size_t max_head = 16384, size_t max_body = 1000)
	{
		size_t n = 0;

		snipe_h1_message_init(&m);
		snipe_h1_parser_init(&p, &m, request, is_head_response, max_head, max_body);
		result = SNIPE_H1_NEED_MORE;
		for (size_t at = 0; at < bytes.size() && result == SNIPE_H1_NEED_MORE;
		     at += n) {
			size_t len = std::min(step ? step : bytes.size(), bytes.size() - at);
			result = snipe_h1_parser_feed(&p, bytes.data() + at, len, &n);
			consumed += n;
			if (n == 0)
				break;
		}
	}
	~Parse()
	{
		snipe_h1_message_finish(&m);
	}
	std::string body() const
	{
		return std::string(m.body.data ? m.body.data : "", m.body.len);
	}
};

} // namespace

TEST(H1Message, RequestIsParsedWholeAndInSmallPieces)
{
	std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nX-Empty:\r\n"
			   "X-Two: a  b\r\nContent-Length: 5\r\n\r\nhelloGET /next";

	for (size_t step : {0, 1, 3}) {
		Parse r(text, true, false, step);

		ASSERT_EQ(r.result, SNIPE_H1_DONE);
		EXPECT_EQ(r.m.method, HTTP_POST);
		EXPECT_STREQ(snipe_buffer_str(&r.m.url), "/a/b?c=d");
		EXPECT_STREQ(snipe_h1_find_value(&r.m, "host"), "x.example");
		EXPECT_STREQ(snipe_h1_find_value(&r.m, "X-EMPTY"), "");
		EXPECT_STREQ(snipe_h1_find_value(&r.m, "x-two"), "a  b");
		EXPECT_EQ(snipe_h1_find_value(&r.m, "x-three"), nullptr);
		EXPECT_EQ(r.body(), "hello");
		EXPECT_TRUE(r.m.keep_alive);
		EXPECT_EQ(r.consumed, text.size() - 9)
			<< "the next request must not be consumed";
	}
}

TEST(H1Message, ChunkedBodyIsDecodedAndTrailersAreIgnored)
{
	Parse r("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nX-Trailer: 1\r\n\r\n",
		true, false, 1);

	ASSERT_EQ(r.result, SNIPE_H1_DONE);
	EXPECT_EQ(r.body(), "abcdefg");
	EXPECT_EQ(snipe_h1_find_value(&r.m, "X-Trailer"), nullptr);
}

TEST(H1Message, AmbiguousRequestsAreMalformed)
{
	const std::string bad[] = {
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
		"chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\nhello",
		"GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
		"GET / HTTP/1.1\r\nName : x\r\n\r\n",
		std::string("GET / HTTP/1.1\r\nX: a\0b\r\n\r\n", 26),
		std::string("GET / HTTP/1.1\r\nX\0Y: a\r\n\r\n", 26),
		"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
		"FROB / HTTP/1.1\r\n\r\n",
		"hello\r\n\r\n",
	};

	for (const auto &text : bad)
		EXPECT_EQ(Parse(text).result, SNIPE_H1_MALFORMED) << text;
}

TEST(H1Message, HeaderAndBodyLimits)
{
	std::string big = "GET / HTTP/1.1\r\nX: " + std::string(20000, 'a') + "\r\n\r\n";
	std::string many = "GET / HTTP/1.1\r\n";

	EXPECT_EQ(Parse(big).result, SNIPE_H1_HEAD_LIMIT);
	for (int i = 0; i <= SNIPE_H1_MAX_FIELDS; i++)
		many += "X-" + std::to_string(i) + ": 1\r\n";
	EXPECT_EQ(Parse(many + "\r\n").result, SNIPE_H1_HEAD_LIMIT);
	EXPECT_EQ(Parse("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n").result,
		  SNIPE_H1_BODY_LIMIT);
	EXPECT_EQ(Parse("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
			std::string(1001, 'b') + "\r\n0\r\n\r\n")
			  .result,
		  SNIPE_H1_BODY_LIMIT);
}

TEST(H1Message, TruncatedResponseIsMalformed)
{
	Parse cut("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", false);
	EXPECT_EQ(cut.result, SNIPE_H1_NEED_MORE);
	EXPECT_EQ(snipe_h1_parser_end(&cut.p), SNIPE_H1_MALFORMED);

	Parse chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false);
	EXPECT_EQ(chunk.result, SNIPE_H1_NEED_MORE);
	EXPECT_EQ(snipe_h1_parser_end(&chunk.p), SNIPE_H1_MALFORMED);

	Parse head("HTTP/1.1 200 OK\r\nContent-", false);
	EXPECT_EQ(snipe_h1_parser_end(&head.p), SNIPE_H1_MALFORMED);
}

TEST(H1Message, AResponseNeedsAStatusCodeOfThreeDigitsInRange)
{
	for (const char *line :
	     {"HTTP/1.1 000 x",	 "HTTP/1.1 0 x",     "HTTP/1.1 00 x",	"HTTP/1.1 20 x",
	      "HTTP/1.1 099 x",	 "HTTP/1.1 600 x",   "HTTP/1.1 999 x",	"HTTP/1.1 2000 x",
	      "HTTP/1.1 0200 x", "HTTP/1.1 00200 x", "HTTP/1.1 -200 x", "HTTP/1.1 +200 x",
	      "HTTP/1.1 2x0 x",	 "HTTP/1.1 x",	     "HTTP/1.1",	"HTTP/2.0 200 x",
	      "HTTP/0.9 200 x",	 "http/1.1 200 x",   "HTTP/1.1 200x",	"HTTP/1.1  000 x"})
		for (size_t step : {0, 1, 5}) {
			Parse p(std::string(line) + "\r\nContent-Length: 2\r\n\r\nok", false,
				false, step);
			EXPECT_EQ(p.result, SNIPE_H1_MALFORMED) << line << " step " << step;
		}
	for (const char *line : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 599 x",
				 "HTTP/1.1 299 ", "HTTP/1.1 404", "HTTP/1.1 500 5000"})
		for (size_t step : {0, 1, 5}) {
			Parse p(std::string(line) + "\r\nContent-Length: 2\r\n\r\nok", false,
				false, step);
			EXPECT_EQ(p.result, SNIPE_H1_DONE) << line << " step " << step;
			EXPECT_EQ(p.m.status, atoi(line + 9));
		}
}

TEST(H1Message, ResponseWithoutLengthIsDelimitedByClose)
{
	Parse r("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhello", false);

	EXPECT_EQ(r.result, SNIPE_H1_NEED_MORE);
	EXPECT_EQ(snipe_h1_parser_end(&r.p), SNIPE_H1_DONE);
	EXPECT_EQ(r.body(), "hello");
	EXPECT_TRUE(r.m.is_close_delimited);
}

TEST(H1Message, ResponsesToHeadAnd204HaveNoBody)
{
	Parse head("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", false, true);
	EXPECT_EQ(head.result, SNIPE_H1_DONE);
	Parse none("HTTP/1.1 204 No Content\r\n\r\n", false);
	EXPECT_EQ(none.result, SNIPE_H1_DONE);
	EXPECT_FALSE(none.m.is_close_delimited);
}

TEST(H1Message, HopByHopFieldsAreRecognized)
{
	Parse r("GET / HTTP/1.1\r\nHost: x\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\n"
		"X-Other: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n\r\n");
	std::string kept;

	ASSERT_EQ(r.result, SNIPE_H1_DONE);
	for (int i = 0; i < r.m.field_count; i++)
		if (!snipe_h1_is_hop_by_hop(&r.m, i))
			kept += std::string(snipe_h1_field_name(&r.m, i)) + " ";
	EXPECT_EQ(kept, "Host X-Other ");
	EXPECT_FALSE(r.m.keep_alive);
}
