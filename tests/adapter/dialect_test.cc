// Guards against manifests and announcements that are decoded wrongly: fields swapped, missing,
// unknown or of the wrong type.
#include <gtest/gtest.h>
#include <jansson.h>

#include <cstring>
#include <string>

#include "dialect.h"

namespace
{

const char MANIFEST[] = R"({"version":"0000001a","routes":{"columns":["name","host","prefix",
"kind","timeout-s","target-latency-s","priority","weighted-clusters","attempts","public",
"service"],"rows":[
["r-1","Hulo84.example","/leny950/","idempotent",5,1.2,2,
 [{"service":"a","weight":90},{"service":"b","weight":10},{"service":"c","weight":0}],2,false,null],
["r-2","jepu9.example","/puka111/","non_idempotent",0.8,1.5,0,null,2,true,"b"],
["r-3","jepu9.example","/d/","download",1,null,null,null,null,null,"b"]]},
"services":{"columns":["name","health-check-path","max-connections","protocol","tls"],
"rows":[["a","/healthz",946,"h1",false],["b","/healthz",1156,"h1",false],["c","/h",null,"h1",false]]},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,
"idle-timeout-s":15},
"tenants":{"columns":["name","api-keys","priority","requests-per-s","burst"],
"rows":[["t-1",["key-a","key-b"],1,194.5,190],["t-2",["key-c"],null,null,null]]}})";

struct DecodedTables {
	struct snipe_routing *r = nullptr;
	struct snipe_error_text err = {""};
	int ret;

	explicit DecodedTables(const std::string &text)
	{
		const struct snipe_dialect *d = snipe_adapter_dialect();

		ret = d->ops->decode_tables(d, text.data(), text.size(), &r, &err);
		if (ret < 0)
			r = nullptr;
	}
	~DecodedTables()
	{
		snipe_routing_unref(r);
	}
};

std::string manifest_with(const std::string &from, const std::string &to)
{
	std::string s = MANIFEST;
	size_t at = s.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return s.replace(at, from.size(), to);
}

struct DecodedAnnouncement {
	struct snipe_h1_message m;
	struct snipe_server_announcement n;
	struct snipe_error_text err = {""};
	int ret;

	DecodedAnnouncement(int method, const std::string &url, const std::string &body)
	{
		const struct snipe_dialect *d = snipe_adapter_dialect();

		snipe_h1_message_init(&m);
		m.method = method;
		snipe_buffer_append(&m.url, url.data(), url.size());
		snipe_buffer_append(&m.body, body.data(), body.size());
		ret = d->ops->decode_announcement(d, &m, &n, &err);
	}
	~DecodedAnnouncement()
	{
		snipe_h1_message_finish(&m);
	}
};

const char ANNOUNCEMENT[] =
	R"({"service":"a","address":"10.128.0.9:8080","zone":"z","version":"v1",
"capacity":141,"state":"ready","cold-remaining-s":2.5,"sequence":4,"born":1700000000123})";

std::string announcement_with(const std::string &from, const std::string &to)
{
	std::string s = ANNOUNCEMENT;
	size_t at = s.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return s.replace(at, from.size(), to);
}

} // namespace

TEST(AdapterTables, Example)
{
	DecodedTables t(MANIFEST);

	ASSERT_EQ(t.ret, 0) << t.err.text;
	EXPECT_EQ(t.r->version, 0x1au);
	ASSERT_EQ(t.r->route_count, 3);
	const struct snipe_gateway_route &r = t.r->routes[0];
	EXPECT_STREQ(r.name, "r-1");
	EXPECT_STREQ(r.host, "hulo84.example");
	EXPECT_STREQ(r.prefix, "/leny950/");
	EXPECT_EQ(r.idempotent, 1);
	EXPECT_EQ(r.timeout_us, 5000000);
	EXPECT_EQ(r.target_latency_us, 1200000);
	EXPECT_EQ(r.priority, 2);
	EXPECT_EQ(r.attempts, 2);
	EXPECT_EQ(r.open, 0);
	ASSERT_EQ(r.target_count, 2) << "a cluster of weight 0 gets no traffic";
	EXPECT_STREQ(r.targets[0].service, "a");
	EXPECT_EQ(r.targets[0].weight, 9 * r.targets[1].weight);
	EXPECT_EQ(t.r->routes[1].idempotent, 0);
	EXPECT_EQ(t.r->routes[1].open, 1);
	EXPECT_EQ(t.r->routes[1].priority, 0);
	EXPECT_EQ(t.r->routes[1].timeout_us, 800000);
	EXPECT_EQ(t.r->routes[2].idempotent, 1) << "downloads may be retried";
	EXPECT_EQ(t.r->routes[2].target_latency_us, 1000000);
	EXPECT_EQ(t.r->routes[2].attempts, 1);
	EXPECT_EQ(snipe_routing_find_service(t.r, "a")->max_connections, 946);
	EXPECT_EQ(t.r->limits.max_header_bytes, 16384);
	EXPECT_EQ(t.r->limits.idle_timeout_us, 15000000);
	EXPECT_EQ(t.r->needs_keys, 1);
	int w = snipe_routing_find_key(t.r, "key-b");
	ASSERT_EQ(w, 0);
	EXPECT_STREQ(t.r->workspaces[w].name, "t-1");
	EXPECT_EQ(t.r->workspaces[w].priority, 1);
	EXPECT_DOUBLE_EQ(t.r->workspaces[w].rate, 194.5);
	EXPECT_DOUBLE_EQ(t.r->workspaces[w].burst, 190);
	EXPECT_DOUBLE_EQ(t.r->workspaces[1].rate, 0) << "no limit";
	EXPECT_EQ(std::string(t.r->document, t.r->document_len), MANIFEST);
}

// 32.3 * 1000 is slightly below 32300 in floating point.
TEST(AdapterTables, FractionalWeightsAreRounded)
{
	std::string s = manifest_with("\"weight\":90", "\"weight\":32.3");
	DecodedTables t(s.replace(s.find("\"weight\":10"), 11, "\"weight\":67.7"));

	ASSERT_EQ(t.ret, 0) << t.err.text;
	EXPECT_EQ(t.r->routes[0].targets[0].weight, 32300);
	EXPECT_EQ(t.r->routes[0].targets[1].weight, 67700);
}

TEST(AdapterTables, KeysAreNotRequiredWithoutTenants)
{
	std::string s = MANIFEST;
	DecodedTables t(s.substr(0, s.find(",\n\"tenants\"")) + "}");

	ASSERT_EQ(t.ret, 0) << t.err.text;
	EXPECT_EQ(t.r->needs_keys, 0);
}

TEST(AdapterTables, MalformedManifestsAreRejectedWhole)
{
	const std::string bad[] = {
		"",
		"[]",
		"{}",
		std::string(MANIFEST).substr(0, 700),
		manifest_with("\"0000001a\"", "\"xyz\""),
		manifest_with("\"0000001a\"", "26"),
		manifest_with("\"idempotent\"", "\"odd\""),
		manifest_with("\"idempotent\",5", "\"idempotent\",null"),
		manifest_with("\"idempotent\",5", "\"idempotent\",-5"),
		manifest_with("\"idempotent\",5", "\"idempotent\",\"5\""),
		manifest_with("\"idempotent\",5", "\"idempotent\""),
		manifest_with("\"/leny950/\"", "\"/leny950\""),
		manifest_with("\"/leny950/\"", "null"),
		manifest_with("\"Hulo84.example\"", "1"),
		manifest_with("{\"service\":\"a\",\"weight\":90}",
			      "{\"service\":\"zz\",\"weight\":90}"),
		manifest_with("\"weight\":90", "\"weight\":-1"),
		manifest_with("\"weight\":90", "\"weight\":1e9"),
		manifest_with("true,\"b\"", "\"yes\",\"b\""),
		manifest_with("[\"key-c\"]", "[7]"),
		manifest_with("194.5", "\"many\""),
		manifest_with("\"max-header-bytes\":16384", "\"max-header-bytes\":-1"),
		manifest_with("\"rows\":[[\"t-1\"", "\"lines\":[[\"t-1\""),
	};

	for (const auto &text : bad) {
		DecodedTables t(text);

		EXPECT_LT(t.ret, 0) << text;
		EXPECT_STRNE(t.err.text, "");
	}
}

TEST(AdapterAnnouncement, PutAndDelete)
{
	DecodedAnnouncement b(HTTP_PUT, "/snipescale/instances/i-1", ANNOUNCEMENT);

	ASSERT_EQ(b.ret, 0) << b.err.text;
	EXPECT_STREQ(b.n.id, "i-1");
	EXPECT_STREQ(b.n.service, "a");
	EXPECT_EQ(b.n.address.port, 8080);
	EXPECT_EQ(b.n.state, SNIPE_SERVER_READY);
	EXPECT_EQ(b.n.slots, 141);
	EXPECT_EQ(b.n.cold_left_us, 2500000);
	EXPECT_EQ(b.n.sequence, 4u);
	EXPECT_EQ(b.n.started_ms, 1700000000123);
	DecodedAnnouncement d(HTTP_PUT, "/snipescale/instances/i-1?x=1",
			      announcement_with("ready", "draining"));
	ASSERT_EQ(d.ret, 0);
	EXPECT_EQ(d.n.state, SNIPE_SERVER_DRAINING);
	DecodedAnnouncement l(HTTP_DELETE, "/snipescale/instances/i-1", "");
	ASSERT_EQ(l.ret, 0);
	EXPECT_EQ(l.n.state, SNIPE_SERVER_NONE);
	EXPECT_STREQ(l.n.id, "i-1");
}

TEST(AdapterAnnouncement, MalformedAnnouncementsAreRejected)
{
	const std::string bad[] = {
		"",
		"hello",
		"[]",
		std::string(ANNOUNCEMENT).substr(0, 40),
		announcement_with("\"service\":\"a\",", ""),
		announcement_with("\"service\":\"a\"", "\"service\":7"),
		announcement_with("\"10.128.0.9:8080\"", "\"nowhere\""),
		announcement_with("\"address\":\"10.128.0.9:8080\",", ""),
		announcement_with("\"ready\"", "\"resting\""),
		announcement_with("\"ready\"", "null"),
		announcement_with("141", "\"141\""),
		announcement_with("141", "0"),
		announcement_with("141", "1.5"),
		announcement_with("\"sequence\":4", "\"sequence\":-4"),
		announcement_with("\"sequence\":4", "\"sequence\":\"4\""),
		announcement_with("2.5", "\"2.5\""),
		announcement_with("2.5", "-1"),
		announcement_with("1700000000123", "1700000000.5"),
		announcement_with("1700000000123", "\"today\""),
		announcement_with("1700000000123", "0"),
		announcement_with("1700000000123", "9007199254740993"),
		announcement_with("\"sequence\":4", "\"sequence\":9007199254740993"),
		announcement_with("\"zone\":\"z\"", "\"zone\":1"),
		announcement_with("\"version\":\"v1\"", "\"version\":null"),
	};

	for (const auto &body : bad) {
		DecodedAnnouncement n(HTTP_PUT, "/snipescale/instances/i-1", body);

		EXPECT_EQ(n.ret, SNIPE_ERR_INVALID) << body;
	}
}

// Guards against an announcement of another writer that changes what is known of a server: each
// field that the protocol names is required.
TEST(AdapterAnnouncement, OneWithoutAnyOfItsFieldsIsRejected)
{
	json_t *whole = json_loads(ANNOUNCEMENT, 0, nullptr);
	const char *field;
	json_t *value;

	json_object_foreach(whole, field, value)
	{
		json_t *part = json_copy(whole);
		json_object_del(part, field);
		char *body = json_dumps(part, 0);
		DecodedAnnouncement n(HTTP_PUT, "/snipescale/instances/i-1", body);

		EXPECT_EQ(n.ret, SNIPE_ERR_INVALID) << body;
		free(body);
		json_decref(part);
	}
	json_decref(whole);
}

// The page's example lacks "born", which its text requires of all that a server says of itself.
TEST(AdapterAnnouncement, TheExampleOfTheProtocolIsRejectedForWantOfBorn)
{
	const std::string example =
		R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"suva-a","version":"v1",
"capacity":108,"state":"ready","cold-remaining-s":0,"sequence":4})";
	DecodedAnnouncement n(HTTP_PUT, "/snipescale/instances/i-7f3a91c2", example);

	EXPECT_EQ(n.ret, SNIPE_ERR_INVALID);
	EXPECT_NE(std::string(n.err.text).find("\"born\""), std::string::npos) << n.err.text;
	std::string with_born = example;
	with_born.insert(with_born.size() - 1, ",\"born\":1700000000123");
	EXPECT_EQ(DecodedAnnouncement(HTTP_PUT, "/snipescale/instances/i-7f3a91c2", with_born)
			  .ret,
		  0);
}

TEST(AdapterAnnouncement, AFinalOneNeedsNoBodyAndMayStateWhenItsProcessStarted)
{
	const char *url = "/snipescale/instances/i-1";

	EXPECT_EQ(DecodedAnnouncement(HTTP_DELETE, url, "").n.started_ms, 0);
	EXPECT_EQ(
		DecodedAnnouncement(HTTP_DELETE, url, "{\"born\":1700000000123}").n.started_ms,
		1700000000123);
	EXPECT_EQ(DecodedAnnouncement(HTTP_DELETE, url, "{\"born\":1.5}").ret,
		  SNIPE_ERR_INVALID);
}

TEST(AdapterAnnouncement, OtherPathsAreNotFound)
{
	EXPECT_EQ(DecodedAnnouncement(HTTP_GET, "/snipescale/instances/i-1", "").ret,
		  SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(DecodedAnnouncement(HTTP_PUT, "/snipescale/instances/", ANNOUNCEMENT).ret,
		  SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(DecodedAnnouncement(HTTP_PUT, "/snipescale/instances/a/b", ANNOUNCEMENT).ret,
		  SNIPE_ERR_NOT_FOUND);
	EXPECT_EQ(DecodedAnnouncement(HTTP_PUT, "/other", ANNOUNCEMENT).ret,
		  SNIPE_ERR_NOT_FOUND);
}
