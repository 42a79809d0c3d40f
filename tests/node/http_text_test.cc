#include "node/http_text.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <gtest/gtest.h>
#include <sys/queue.h>

#include <string>

#include "base/error.h"

/* Guards against a path that the node reads as one route and the backend server as another. */
TEST(HttpText, AmbiguousPathsAreRejected)
{
	char out[64];

	for (const char *uri : {"", "*", "tips", "http://a/tips", "/a/../b", "/a/..", "/./a",
				"/a/%2e%2E/b", "/a/%2e./b", "/a%2f..%2fb", "/a\\b", "/a%5cb",
				"/a%00b", "/a%", "/a%4", "/a%zz", "/a%0a", "/a#b", "/..?x=1"})
		EXPECT_EQ(snipe_http_path(uri, out, sizeof(out)), SNIPE_ERR_INVALID) << uri;
	EXPECT_EQ(snipe_http_path(("/" + std::string(64, 'a')).c_str(), out, sizeof(out)),
		  SNIPE_ERR_INVALID);
}

TEST(HttpText, PathEndsAtTheQuery)
{
	char out[64];

	ASSERT_EQ(snipe_http_path("/tips/..a/%41?x=/../y", out, sizeof(out)), 0);
	EXPECT_STREQ(out, "/tips/..a/%41");
}

/* Guards against a backend server that marks its response, or one that it passes on, as the
 * node's own statement. */
TEST(HttpText, ResponsesLoseNodeAndConnectionHeaders)
{
	struct evkeyvalq in;
	snipe_header out[SNIPE_MAX_HEADERS];

	TAILQ_INIT(&in);
	evhttp_add_header(&in, "Content-Type", "text/plain");
	evhttp_add_header(&in, "snipe-outcome", "not-run");
	evhttp_add_header(&in, "Connection", "close");
	evhttp_add_header(&in, "Content-Length", "5");
	ASSERT_EQ(snipe_http_response_headers(&in, 0, out), 1);
	EXPECT_EQ(std::string(out[0].name.data, out[0].name.len), "Content-Type");
	EXPECT_EQ(snipe_http_response_headers(&in, 1, out), 2);
	evhttp_clear_headers(&in);
}

TEST(HttpText, MethodsAreKnownBothWays)
{
	EXPECT_STREQ(snipe_http_method_name(EVHTTP_REQ_PATCH), "PATCH");
	EXPECT_EQ(snipe_http_method_command("DELETE"), EVHTTP_REQ_DELETE);
	EXPECT_EQ(snipe_http_method_command("TRACE"), SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(snipe_http_method_name(EVHTTP_REQ_CONNECT), nullptr);
}
