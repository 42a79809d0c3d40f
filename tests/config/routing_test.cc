// Guards against requests that match a wrong route, keys that open another workspace, and
// tables that name what is not there.
#include <gtest/gtest.h>

#include <cstring>

#include "base/error.h"
#include "config/routing.h"

namespace
{

struct Routing {
	struct snipe_routing *r = snipe_routing_new(7);
	struct snipe_error_text err = {""};

	Routing()
	{
		strcpy(snipe_routing_add_service(r)->name, "tips");
	}
	~Routing()
	{
		snipe_routing_unref(r);
	}
	struct snipe_gateway_route *add(const char *name, const char *host, const char *prefix,
					const char *service = "tips")
	{
		struct snipe_gateway_route *route = snipe_routing_add_route(r);

		strcpy(route->name, name);
		route->host = g_strdup(host);
		route->prefix = g_strdup(prefix);
		route->attempts = 1;
		route->timeout_us = route->target_latency_us = 1000000;
		route->targets = g_new0(struct snipe_route_target, 1);
		route->target_count = 1;
		strcpy(route->targets[0].service, service);
		return route;
	}
	int seal()
	{
		return snipe_routing_seal(r, &err);
	}
	const char *match(const char *host, const char *path)
	{
		const struct snipe_gateway_route *route =
			snipe_routing_match(r, host, path, strlen(path));

		return route ? route->name : "none";
	}
};

} // namespace

TEST(Routing, LongestPrefixOfTheHostWins)
{
	Routing t;

	t.add("short", "a.example", "/x/");
	t.add("long", "a.example", "/x/y/");
	t.add("other", "b.example", "/x/y/z/");
	ASSERT_EQ(t.seal(), 0);
	EXPECT_STREQ(t.match("a.example", "/x/1"), "short");
	EXPECT_STREQ(t.match("a.example", "/x/y/1"), "long");
	EXPECT_STREQ(t.match("A.Example:8080", "/x/y/z/1"), "long");
	EXPECT_STREQ(t.match("a.example", "/x"), "none");
	EXPECT_STREQ(t.match("a.example", "/xy/"), "none");
	EXPECT_STREQ(t.match("c.example", "/x/1"), "none");
}

TEST(Routing, KeysOpenTheirOwnWorkspaceOnly)
{
	Routing t;

	strcpy(snipe_routing_add_workspace(t.r)->name, "one");
	strcpy(snipe_routing_add_workspace(t.r)->name, "two");
	snipe_routing_add_key(t.r, "key-a", 0);
	snipe_routing_add_key(t.r, "key-b", 1);
	EXPECT_EQ(snipe_routing_find_key(t.r, "key-a"), 0);
	EXPECT_EQ(snipe_routing_find_key(t.r, "key-b"), 1);
	EXPECT_EQ(snipe_routing_find_key(t.r, "KEY-A"), SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(snipe_routing_find_key(t.r, "key-"), SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(snipe_routing_find_key(t.r, ""), SNIPE_ERR_NOT_FOUND);
}

TEST(Routing, MalformedRoutesAreRefusedWithTheRemedy)
{
	struct {
		const char *host, *prefix, *service;
	} bad[] = {{"", "/x/", "tips"},
		   {"a", "x/", "tips"},
		   {"a", "/x", "tips"},
		   {"a", "", "tips"},
		   {"a", "/x/", "missing"}};

	for (const auto &b : bad) {
		Routing t;

		t.add("r", b.host, b.prefix, b.service);
		EXPECT_EQ(t.seal(), SNIPE_ERR_INVALID);
		EXPECT_NE(std::string(t.err.text).find("route r"), std::string::npos);
	}
	Routing t;
	t.add("r", "a", "/x/")->timeout_us = 0;
	EXPECT_EQ(t.seal(), SNIPE_ERR_INVALID);
}
