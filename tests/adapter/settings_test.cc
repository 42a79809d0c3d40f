// Guards against a node that starts with incomplete settings or reads a field of the wrong type
// as zero.
#include <gtest/gtest.h>

#include <jansson.h>
#include <unistd.h>

#include <cstdio>
#include <string>

#include "settings.h"

namespace
{

const char EXAMPLE[] = R"({
  "node-name": "sidecar-tauranga-1", "role": "node", "ip": "10.1.0.26",
  "zone": "tauranga", "region": "aotearoa", "service": "huvo11a",
  "bind": {"inbound": "10.1.0.26:8543", "outbound": "10.1.0.26:8548",
           "readiness": "10.1.0.26:8546", "admin": "10.1.0.26:8540"},
  "port-range": [7000, 7015], "seeds": [], "bootstrap": true, "heartbeat-s": 1.25,
  "bounds": {"grace-s": 7, "revoke-s": 4.5, "retry-budget-ratio": 0.3, "budget-slack": 91},
  "local-app": "10.1.0.26:8547", "a-new-field": {"x": 1},
  "platform": {"address": "10.200.1.7:8545", "form": "objects"}
})";

struct SettingsFile {
	std::string path = "/tmp/snipe-settings-" + std::to_string(getpid());
	struct snipe_gateway_settings s;
	struct snipe_error_text err = {""};

	~SettingsFile()
	{
		unlink(path.c_str());
	}
	int load(const std::string &text)
	{
		FILE *f = fopen(path.c_str(), "w");
		fwrite(text.data(), 1, text.size(), f);
		fclose(f);
		return snipe_adapter_settings_load(&s, path.c_str(), &err);
	}
	// Loads the example with one field replaced by json, or removed if json is null.
	int load_with(const std::vector<std::string> &field_path, const char *json)
	{
		json_t *root = json_loads(EXAMPLE, 0, nullptr), *at = root;

		for (size_t i = 0; i + 1 < field_path.size(); i++)
			at = json_object_get(at, field_path[i].c_str());
		if (json)
			json_object_set_new(at, field_path.back().c_str(),
					    json_loads(json, JSON_DECODE_ANY, nullptr));
		else
			json_object_del(at, field_path.back().c_str());
		char *text = json_dumps(root, 0);
		int ret = load(text);
		free(text);
		json_decref(root);
		return ret;
	}
};

} // namespace

TEST(AdapterSettings, Example)
{
	SettingsFile f;

	ASSERT_EQ(f.load(EXAMPLE), 0) << f.err.text;
	EXPECT_STREQ(f.s.node_id, "sidecar-tauranga-1");
	EXPECT_STREQ(f.s.failure_domain, "tauranga");
	EXPECT_STREQ(f.s.service, "huvo11a");
	EXPECT_EQ(f.s.caller_listen.port, 8548);
	EXPECT_EQ(f.s.ready_listen.port, 8546);
	EXPECT_EQ(f.s.admin_listen.port, 8540);
	EXPECT_STREQ(f.s.peer_listen.ip, "10.1.0.26");
	EXPECT_EQ(f.s.peer_listen.port, 7000);
	EXPECT_EQ(f.s.backend_server.port, 8547);
	EXPECT_STREQ(f.s.store.ip, "10.200.1.7");
	EXPECT_EQ(f.s.is_first_start, 1);
	EXPECT_EQ(f.s.announce_interval_us, 1250000);
	EXPECT_EQ(f.s.key_revocation_us, 4500000);
	EXPECT_EQ(f.s.stop_grace_us, 7000000);
	EXPECT_DOUBLE_EQ(f.s.retry_ratio, 0.3);
	EXPECT_DOUBLE_EQ(f.s.retry_slack, 91);
}

TEST(AdapterSettings, OmittedBoundsHaveDefaults)
{
	SettingsFile f;

	ASSERT_EQ(f.load_with({"bounds"}, nullptr), 0) << f.err.text;
	EXPECT_EQ(f.s.key_revocation_us, 5000000);
	ASSERT_EQ(f.load_with({"bootstrap"}, nullptr), 0);
	EXPECT_EQ(f.s.is_first_start, 0);
}

TEST(AdapterSettings, MissingAndMalformedFieldsAreNamed)
{
	const struct {
		std::vector<std::string> path;
		const char *json;
	} cases[] = {
		{{"node-name"}, nullptr},
		{{"node-name"}, "7"},
		{{"zone"}, "null"},
		{{"service"}, "[]"},
		{{"ip"}, nullptr},
		{{"bind", "outbound"}, nullptr},
		{{"bind", "admin"}, "\"host.example:80\""},
		{{"bind", "readiness"}, "\"10.1.0.26\""},
		{{"port-range"}, "[]"},
		{{"port-range"}, "[70000, 70001]"},
		{{"port-range"}, "[\"7000\"]"},
		{{"local-app"}, "5"},
		{{"platform", "address"}, nullptr},
		{{"bootstrap"}, "1"},
		{{"heartbeat-s"}, "\"1.5\""},
		{{"bounds", "revoke-s"}, "-1"},
		{{"bounds", "retry-budget-ratio"}, "true"},
		{{"bounds", "budget-slack"}, "-1"},
	};

	for (const auto &k : cases) {
		SettingsFile f;

		EXPECT_LT(f.load_with(k.path, k.json), 0) << k.path.back();
		EXPECT_NE(std::string(f.err.text).find(k.path.back()), std::string::npos)
			<< f.err.text;
	}
}

TEST(AdapterSettings, UnreadableFilesAreRejected)
{
	SettingsFile f;
	struct snipe_error_text err;

	EXPECT_EQ(f.load(""), SNIPE_ERR_SYNTAX);
	EXPECT_EQ(f.load("{\"a\": 1, \"a\": 2}"), SNIPE_ERR_SYNTAX);
	EXPECT_EQ(f.load("{"), SNIPE_ERR_SYNTAX);
	EXPECT_EQ(snipe_adapter_settings_load(&f.s, "/nonexistent/file", &err), SNIPE_ERR_IO);
}

TEST(AdapterSettings, DescriptorsForSocketsAreThoseThatFilesDoNotNeed)
{
	SettingsFile f;

	ASSERT_EQ(f.load(EXAMPLE), 0);
	EXPECT_EQ(f.s.max_descriptors, 0) << "not stated";
	ASSERT_EQ(f.load_with({"limits"}, R"({"max-fds": 4100})"), 0) << f.err.text;
	EXPECT_EQ(f.s.max_descriptors, 3900);
	ASSERT_EQ(f.load_with({"limits"}, R"({"max-fds": 250})"), 0) << f.err.text;
	EXPECT_EQ(f.s.max_descriptors, 125);
	ASSERT_EQ(f.load_with({"limits"}, R"({"memory-mb": 260})"), 0) << f.err.text;
	EXPECT_EQ(f.s.max_descriptors, 0);
	for (const char *wrong : {"0", "-5", "\"many\"", "1e12"})
		EXPECT_LT(f.load_with({"limits"},
				      (std::string("{\"max-fds\": ") + wrong + "}").c_str()),
			  0)
			<< wrong;
}

TEST(AdapterSettings, MemoryOfTheProcess)
{
	SettingsFile f;

	ASSERT_EQ(f.load(EXAMPLE), 0);
	EXPECT_EQ(f.s.max_memory_bytes, 0u) << "not stated";
	ASSERT_EQ(f.load_with({"limits"}, R"({"memory-mb": 260})"), 0) << f.err.text;
	EXPECT_EQ(f.s.max_memory_bytes, 260u * 1024 * 1024);
	for (const char *wrong : {"0", "-5", "\"many\"", "1e12"})
		EXPECT_LT(f.load_with({"limits"},
				      (std::string("{\"memory-mb\": ") + wrong + "}").c_str()),
			  0)
			<< wrong;
}
