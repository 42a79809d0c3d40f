// Guards against nodes that start with host names, wildcards that cannot be announced, or
// settings that were only checked up to the first problem.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "config/settings.h"

static const std::string kGood = R"([node]
id = "tips-1"
region = "nz-north"
failure_domain = "tauranga"
fleet_secret = "0123456789abcdef"

[listen]
callers = "0.0.0.0:8080"
local = "127.0.0.1:8081"
peers = "192.0.2.1:7000"
admin = "127.0.0.1:0"

[platform]
address = "[2001:db8::1]:9000"

[join]
seeds = ["192.0.2.2:7000", "192.0.2.3:7000"]
)";

class Settings : public ::testing::Test
{
      protected:
	void TearDown() override
	{
		snipe_problems_finish(&problems);
	}
	int Load(const std::string &text)
	{
		snipe_problems_finish(&problems);
		return snipe_settings_load(&s, text.c_str(), "n.toml", &problems);
	}
	int LoadWith(const std::string &from, const std::string &to)
	{
		std::string text = kGood;

		return Load(text.replace(text.find(from), from.size(), to));
	}
	std::string Problems()
	{
		std::string all;

		for (int i = 0; i < problems.count; i++)
			all += std::string(problems.lines[i]) + "\n";
		return all;
	}
	struct snipe_settings s;
	struct snipe_problems problems = {};
};

TEST_F(Settings, LoadsEveryField)
{
	ASSERT_EQ(Load(kGood + "[overload]\npolicy = \"fixed\"\nfixed_limit = 20\n"), 0)
		<< Problems();
	EXPECT_STREQ(s.node_id, "tips-1");
	EXPECT_STREQ(s.failure_domain, "tauranga");
	EXPECT_STREQ(s.log_level, "info");
	EXPECT_EQ(s.caller_listen.port, 8080);
	EXPECT_STREQ(s.platform.ip, "2001:db8::1");
	EXPECT_EQ(s.seed_count, 2);
	EXPECT_STREQ(s.seeds[1].ip, "192.0.2.3");
	EXPECT_STREQ(s.policy, "fixed");
	EXPECT_EQ(s.fixed_limit, 20);
}

TEST_F(Settings, ReportsAllProblemsAtOnce)
{
	EXPECT_EQ(Load("[node]\nid = \"a b\"\nfleet_secret = \"short\"\nlog_level = \"all\"\n"
		       "[listen]\ncallers = \"localhost:80\"\nlocal = \"127.0.0.1\"\n"
		       "peers = \"0.0.0.0:7000\"\nadmn = 1\n[extra]\n"
		       "[overload]\npolicy = \"fixed\"\n"),
		  SNIPE_ERR_INVALID);
	EXPECT_STREQ(s.node_id, "");
	for (const char *expected :
	     {"n.toml:2: node, key id: is no valid name",
	      "n.toml:1: node, key region: is missing",
	      "n.toml:1: node, key failure_domain: is missing",
	      "n.toml:3: node, key fleet_secret: has 5 bytes",
	      "n.toml:4: node, key log_level: is not a known word",
	      "n.toml:6: listen, key callers: \"localhost:80\" is no IP number",
	      "n.toml:7: listen, key local: \"127.0.0.1\" is no IP number",
	      "n.toml:8: listen, key peers: is a wildcard",
	      "n.toml:9: listen, key admn: is unknown",
	      "n.toml:5: listen, key admin: is missing", "n.toml:10: extra: is unknown",
	      "n.toml:1: platform, key address: is missing",
	      "n.toml:11: overload, key fixed_limit: is missing"})
		EXPECT_NE(Problems().find(expected), std::string::npos) << expected << "\nin\n"
									<< Problems();
	EXPECT_EQ(problems.count, 13) << Problems();
}

TEST_F(Settings, RefusesAddressesThatCannotBeConnectedTo)
{
	EXPECT_EQ(LoadWith("[2001:db8::1]:9000", "192.0.2.9:0"), SNIPE_ERR_INVALID);
	EXPECT_EQ(LoadWith("[2001:db8::1]:9000", "platform:9000"), SNIPE_ERR_INVALID);
	EXPECT_EQ(LoadWith("192.0.2.3:7000", "seed:7000"), SNIPE_ERR_INVALID);
	EXPECT_EQ(LoadWith("192.0.2.3:7000", "0.0.0.0:7000"), SNIPE_ERR_INVALID);
	EXPECT_EQ(LoadWith("\"192.0.2.3:7000\"", "5"), SNIPE_ERR_INVALID);
}

TEST_F(Settings, RefusesTooManySeeds)
{
	std::string seeds;

	for (int i = 0; i < SNIPE_MAX_SEEDS; i++)
		seeds += "\"192.0.2.1:" + std::to_string(7000 + i) + "\", ";
	EXPECT_EQ(LoadWith("\"192.0.2.2:7000\", \"192.0.2.3:7000\"", seeds), 0) << Problems();
	EXPECT_EQ(LoadWith("\"192.0.2.2:7000\", ", seeds), SNIPE_ERR_INVALID);
}

// The fleet secret must not be copied into messages.
TEST_F(Settings, KeepsTheSecretOutOfProblems)
{
	EXPECT_EQ(LoadWith("0123456789abcdef\"", "very-secret\"\nx = 1"), SNIPE_ERR_INVALID);
	EXPECT_EQ(Problems().find("very-secret"), std::string::npos) << Problems();
}

TEST_F(Settings, ReadsFilesAndReportsSyntaxAndMissingOnes)
{
	EXPECT_EQ(snipe_settings_load_file(&s, "/nonexistent/n.toml", &problems), SNIPE_ERR_IO);
	EXPECT_EQ(problems.count, 1);
	EXPECT_EQ(Load("[node\n"), SNIPE_ERR_SYNTAX);
	EXPECT_NE(Problems().find("n.toml:1: syntax, column 6"), std::string::npos)
		<< Problems();
	EXPECT_EQ(Load(std::string(65537, '#')), SNIPE_ERR_TOO_LARGE);
}
