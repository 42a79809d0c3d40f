#include "node/caller_key.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <gtest/gtest.h>
#include <string.h>
#include <sys/queue.h>

#include <string>
#include <vector>

namespace
{

const std::string kKey = "snk_abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQ";

class CallerKey : public ::testing::Test
{
      protected:
	CallerKey()
	{
		TAILQ_INIT(&headers_);
	}
	~CallerKey() override
	{
		evhttp_clear_headers(&headers_);
	}
	void Add(const std::string &name, const std::string &value)
	{
		evhttp_add_header(&headers_, name.c_str(), value.c_str());
	}
	snipe_caller_keys Find()
	{
		snipe_caller_keys keys;

		snipe_caller_keys_find(&keys, &headers_);
		return keys;
	}
	snipe_reason Check(const std::string &uri)
	{
		snipe_caller_keys keys = Find();

		return snipe_caller_keys_check(&keys, uri.c_str());
	}
	std::vector<std::string> Passed()
	{
		snipe_caller_keys keys = Find();
		std::vector<snipe_header> list(SNIPE_MAX_HEADERS);
		std::vector<std::string> names;
		int n = snipe_caller_keys_filter(&keys, &headers_, list.data(),
						 SNIPE_MAX_HEADERS);

		for (int i = 0; i < n; i++)
			names.emplace_back(list[i].name.data, list[i].name.len);
		return names;
	}
	struct evkeyvalq headers_;
};

} // namespace

/* Guards against a key form that is not found, so that its request is rejected or passed on. */
TEST_F(CallerKey, FindsBothFormsWithNamesInAnyCase)
{
	Add("aUTHORIZATION", "bearer  " + kKey);
	snipe_caller_keys keys = Find();
	ASSERT_EQ(keys.count, 1);
	EXPECT_EQ(std::string(keys.keys[0].data, keys.keys[0].len), kKey);
	evhttp_clear_headers(&headers_);
	Add("SNIPE-key", kKey + "  ");
	keys = Find();
	ASSERT_EQ(keys.count, 1);
	EXPECT_EQ(std::string(keys.keys[0].data, keys.keys[0].len), kKey);
	EXPECT_FALSE(keys.repeated);
}

/* Guards against a request that is checked with one key and run for another. */
TEST_F(CallerKey, TwoKeyHeadersAreRepeated)
{
	Add("Authorization", "Bearer " + kKey);
	Add("Snipe-Key", kKey);
	EXPECT_EQ(Check("/x"), SNIPE_REASON_KEY_REPEATED);
	evhttp_clear_headers(&headers_);
	for (int i = 0; i < 6; i++)
		Add("Snipe-Key", "k" + std::to_string(i));
	EXPECT_EQ(Check("/x"), SNIPE_REASON_KEY_REPEATED);
	evhttp_clear_headers(&headers_);
	Add("Authorization", "Basic eA==");
	Add("Authorization", "Bearer " + kKey);
	EXPECT_EQ(Check("/x"), SNIPE_REASON_KEY_REPEATED);
}

/* Guards against a key that reaches a backend server within the URI. */
TEST_F(CallerKey, KeyInPathOrQueryIsFoundPlainAndEncoded)
{
	std::string once, twice;

	for (unsigned char c : kKey) {
		char hex[8];

		snprintf(hex, sizeof(hex), "%%%02X", c);
		once += hex;
		snprintf(hex, sizeof(hex), "%%25%02x", c);
		twice += hex;
	}
	Add("Snipe-Key", kKey);
	EXPECT_EQ(Check("/tips/7?page=2&sort=key"), SNIPE_REASON_NONE);
	for (const auto &uri : {"/" + kKey, "/a?b=" + kKey, "/" + once, "/a?b=%00" + once,
				"/" + twice, "/" + kKey.substr(0, 46) + "%51"})
		EXPECT_EQ(Check(uri), SNIPE_REASON_KEY_IN_PATH) << uri;
}

/* Guards against callers that pass a key, known or not, as a query parameter. */
TEST_F(CallerKey, KeyParametersAreFound)
{
	for (const char *uri : {"/a?key=1", "/a?b=2&API_KEY=1", "/a?b;snipe-key=1",
				"/a?access_token=", "/a?%6bey=1", "/a?x=?&key=1"})
		EXPECT_EQ(Check(uri), SNIPE_REASON_KEY_IN_PATH) << uri;
	for (const char *uri : {"/a?monkey=1", "/key=1", "/a?keys=1", "/a?b=key"})
		EXPECT_EQ(Check(uri), SNIPE_REASON_NONE) << uri;
}

/* Guards against a backend server that sees the key in a header. */
TEST_F(CallerKey, FilterRemovesEveryHeaderWithTheKey)
{
	Add("Host", "a");
	Add("Authorization", "Bearer " + kKey);
	Add("Cookie", "s=1; k=" + kKey + "; t");
	Add("X-Encoded", "%73nk_" + kKey.substr(4));
	Add("X-" + kKey, "1");
	Add("Snipe-Context", "0123");
	Add("Connection", "keep-alive");
	Add("Content-Length", "3");
	Add("Accept", "*/*");
	EXPECT_EQ(Passed(), (std::vector<std::string>{"Host", "Accept"}));
}

/* Guards against credentials of another scheme that are passed on. */
TEST_F(CallerKey, FilterRemovesOtherAuthorization)
{
	Add("Authorization", "Basic eA==");
	Add("Accept", "*/*");
	EXPECT_EQ(Find().count, 0);
	EXPECT_EQ(Passed(), (std::vector<std::string>{"Accept"}));
}

/* Guards against headers that are dropped without notice. */
TEST_F(CallerKey, FilterReportsTooManyHeaders)
{
	snipe_caller_keys keys;
	std::vector<snipe_header> list(SNIPE_MAX_HEADERS);

	for (int i = 0; i <= SNIPE_MAX_HEADERS; i++)
		Add("X-" + std::to_string(i), "1");
	snipe_caller_keys_find(&keys, &headers_);
	EXPECT_EQ(snipe_caller_keys_filter(&keys, &headers_, list.data(), SNIPE_MAX_HEADERS),
		  SNIPE_ERR_FULL);
}
