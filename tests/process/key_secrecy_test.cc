// Requirement 4: no backend server ever sees a caller's key. Guards against a key that reaches
// a backend server in a header, in a path or query, in a trailer or with an inner call, and
// against keys in log lines, dumps, counters and platform objects.
#include <gtest/gtest.h>

#include "support/fleet.h"

using namespace snipe_test;

namespace
{

class KeySecrecy : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		key = StartStandardFleet(fleet);
	}
	/* A key's parts would be as harmful as the whole, so half of it is looked for. */
	bool BackendsSaw(const std::string &k)
	{
		std::string bytes = fleet.Bytes();

		return bytes.find(k.substr(4, 22)) != std::string::npos ||
		       bytes.find(k.substr(25)) != std::string::npos;
	}
	Fleet fleet;
	Key key;
};

} // namespace

TEST_F(KeySecrecy, HeadersThatCarryTheKeyAreRemoved)
{
	const std::vector<Headers> all = {
		{{"Snipe-Key", key.key}},
		{{"sNIPE-kEY", key.key}},
		{{"Authorization", "Bearer " + key.key}},
		{{"AUTHORIZATION", "Bearer " + key.key}},
		{{"Snipe-Key", key.key}, {"X-Copy", key.key}},
		{{"Snipe-Key", key.key}, {"Cookie", "session=" + key.key + "; other=1"}},
		{{"Snipe-Key", key.key}, {"X-Long", std::string(4000, 'x') + key.key}},
		{{"Authorization", "Bearer " + key.key}, {"Referer", "http://a/?k=" + key.key}},
		{{"Snipe-Key", key.key}, {"X-Folded", "first\r\n " + key.key}},
	};

	for (size_t i = 0; i < all.size(); i++)
		for (size_t n = 0; n < fleet.size(); n++)
			for (const char *path : {"/front/x", "/open/x", "/deep/x"})
				Fetch(fleet[n].caller_port, "GET", path, all[i]);
	EXPECT_FALSE(BackendsSaw(key.key));
	/* The plain forms are served: the check above did not pass because nothing ran. */
	for (size_t i = 0; i < 4; i++)
		EXPECT_EQ(Fetch(fleet[0].caller_port, "GET", "/front/x", all[i]).status, 200)
			<< i;
}

TEST_F(KeySecrecy, RepeatedKeysAreRejected)
{
	const std::vector<Headers> all = {
		{{"Snipe-Key", key.key}, {"Authorization", "Bearer " + key.key}},
		{{"Snipe-Key", key.key}, {"Snipe-Key", key.key}},
		{{"Snipe-Key", "snk_other"}, {"snipe-key", key.key}},
		{{"Authorization", "Bearer " + key.key},
		 {"authorization", "Bearer " + key.key}},
	};

	for (const auto &headers : all) {
		std::string id = NewId();
		Headers with = headers;

		with.emplace_back("Fake-Request-Id", id);
		Response r = Fetch(fleet[0].caller_port, "GET", "/front/x", with);
		EXPECT_EQ(r.status, 400);
		EXPECT_EQ(r.Reason(), "key_repeated");
		EXPECT_EQ(fleet.Started(id), 0);
	}
	EXPECT_FALSE(BackendsSaw(key.key));
}

TEST_F(KeySecrecy, KeysInPathOrQueryAreRejected)
{
	std::string encoded;

	for (unsigned char c : key.key) {
		char hex[8];
		snprintf(hex, sizeof(hex), "%%%02x", c);
		encoded += hex;
	}

	const std::vector<std::string> paths = {
		"/front/" + key.key,	  "/front/x?a=" + key.key,
		"/front/x?key=abc",	  "/front/x?a=1&api_key=abc",
		"/front/x?snipe-key=abc", "/front/x?access_token=abc",
		"/front/" + encoded,	  "/front/x?v=" + encoded,
		"/open/" + key.key,	  "/open/x?key=" + key.key};

	for (const auto &path : paths) {
		std::string id = NewId();
		Response r = fleet.Call(0, "GET", path, key.key, {{"Fake-Request-Id", id}});

		EXPECT_EQ(r.status, 400) << path;
		EXPECT_EQ(r.Reason(), "key_in_path") << path;
		EXPECT_EQ(fleet.Started(id), 0) << path;
	}
	EXPECT_FALSE(BackendsSaw(key.key));
	EXPECT_EQ(fleet.Bytes().find(encoded), std::string::npos);
}

TEST_F(KeySecrecy, TrailersOfAChunkedBodyDoNotCarryTheKey)
{
	HttpConnection c(fleet[0].caller_port);

	c.Send("POST /charge HTTP/1.1\r\nHost: a\r\nSnipe-Key: " + key.key +
	       "\r\nTransfer-Encoding: chunked\r\nTrailer: "
	       "X-Late\r\n\r\n3\r\nabc\r\n0\r\nX-Late: " +
	       key.key + "\r\n\r\n");
	c.Receive();
	EXPECT_FALSE(BackendsSaw(key.key));
}

TEST_F(KeySecrecy, InnerCallsDoNotCarryTheKey)
{
	Response r =
		fleet.Call(0, "GET", "/front/x", key.key,
			   {{"Fake-Plan",
			     "{\"inner\":[{\"path\":\"/deep/y\",\"plan\":{\"inner\":[{\"path\":"
			     "\"/front/z\"}]}}]}"}});

	EXPECT_EQ(r.status, 200);
	EXPECT_FALSE(BackendsSaw(key.key));
}

TEST_F(KeySecrecy, InvalidKeysAreNotPassedOnEither)
{
	std::string other = "snk_" + std::string(43, 'Q');
	std::string id = NewId();
	Response r = fleet.Call(0, "GET", "/front/x", other, {{"Fake-Request-Id", id}});

	EXPECT_EQ(r.status, 401);
	EXPECT_EQ(r.Reason(), "key_invalid");
	EXPECT_EQ(fleet.Started(id), 0);
	fleet.Call(0, "GET", "/open/x", other, {{"X-Copy", other}});
	EXPECT_FALSE(BackendsSaw(other));
}

TEST_F(KeySecrecy, KeysAppearInNoOutputOfNodesAndPlatform)
{
	std::string shown;

	fleet.Call(0, "GET", "/front/x", key.key);
	fleet.Call(0, "GET", "/front/" + key.key, key.key);
	fleet.Call(0, "GET", "/nowhere/" + key.key, key.key);
	fleet.Call(0, "GET", "/front/x", key.key, {{"Snipe-Workspace", "beta"}});
	shown = fleet.NodeOutput();
	shown += Fetch(fleet.platform_port(), "GET", "/v1/objects/config/keys").body;
	EXPECT_EQ(shown.find(key.key.substr(4, 22)), std::string::npos);
	EXPECT_EQ(shown.find(key.key.substr(25)), std::string::npos);
}
