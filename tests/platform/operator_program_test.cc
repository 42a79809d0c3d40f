// Guards against exit codes and messages of snipescale that mislead an operator: a lost answer
// reported as a failure, a conflict without a remedy, a key that stays in force.
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <memory>
#include <string>

#include "platform/http_store.h"
#include "stand_in.h"

struct Result {
	int status;
	std::string text;
};

class OperatorProgram : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		char name[] = "/tmp/snipescale-test-XXXXXX";

		dir = g_mkdtemp(name);
		Write("routes.toml", "[[workspace]]\nname = \"w\"\nrate = 1.0\nburst = 2\n");
		Write("pools.toml", "[[pool]]\nname = \"p\"\nslots = 1\nconnections = 1\n");
		platform = std::make_unique<StandIn>();
	}
	void TearDown() override
	{
		for (const char *name : {"routes.toml", "pools.toml", "r2.toml", "p2.toml"})
			unlink((dir + "/" + name).c_str());
		rmdir(dir.c_str());
	}
	void Write(const std::string &name, const std::string &text)
	{
		ASSERT_TRUE(g_file_set_contents((dir + "/" + name).c_str(), text.c_str(), -1,
						nullptr));
	}
	Result Run(std::vector<std::string> args, bool with_platform = true)
	{
		Result r;

		args.insert(args.begin(), ProgramDirectory() + "/snipescale");
		if (with_platform) {
			args.push_back("--platform");
			args.push_back("127.0.0.1:" + std::to_string(platform->port));
		}
		r.status = Child(args, true).Wait(&r.text);
		return r;
	}
	Result Tables(std::vector<std::string> args, const std::string &routes = "routes.toml",
		      const std::string &pools = "pools.toml")
	{
		args.insert(args.end(),
			    {"--routes", dir + "/" + routes, "--pools", dir + "/" + pools});
		return Run(args);
	}
	void Control(const std::string &json)
	{
		std::string text =
			"PUT /control HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
			std::to_string(json.size()) + "\r\n\r\n" + json;
		struct snipe_address address = {"127.0.0.1", (uint16_t)platform->port};
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&address, &ss);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		char response[256] = "";

		ASSERT_EQ(connect(fd, (struct sockaddr *)&ss, (socklen_t)len), 0);
		ASSERT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
		ASSERT_GT(read(fd, response, sizeof(response) - 1), 0);
		EXPECT_EQ(std::string(response).substr(9, 3), "200");
		close(fd);
	}
	std::string dir;
	std::unique_ptr<StandIn> platform;
};

static bool Has(const Result &r, const std::string &text)
{
	return r.text.find(text) != std::string::npos;
}

TEST_F(OperatorProgram, AppliesOnTheVersionThatWasSeen)
{
	EXPECT_EQ(Run({"history"}).status, 7);
	EXPECT_EQ(Tables({"diff"}).status, 1);
	EXPECT_EQ(Tables({"apply", "--if-version", "0", "--note", "start"}).status, 0);
	EXPECT_EQ(Tables({"diff"}).status, 0);
	Result r = Tables({"apply", "--if-version", "0"});
	EXPECT_EQ(r.status, 4);
	EXPECT_TRUE(Has(r, "at version 1") && Has(r, "snipescale fetch")) << r.text;
	EXPECT_TRUE(Has(Run({"history"}), "note=\"start\""));
	EXPECT_EQ(Tables({"fetch"}).status, 2) << "would overwrite the operator's files";
	EXPECT_EQ(Tables({"fetch"}, "r2.toml", "p2.toml").text, "version=1\n");
	EXPECT_EQ(Tables({"diff"}, "r2.toml", "p2.toml").status, 0);
}

TEST_F(OperatorProgram, RefusesInvalidTablesBeforeWriting)
{
	Write("pools.toml", "[[pool]]\nname = \"p\"\nslots = 0\nconections = 1\n");
	Result r = Tables({"apply"});
	EXPECT_EQ(r.status, 3);
	EXPECT_TRUE(Has(r, "pools.toml:3:") && Has(r, "pools.toml:4:")) << r.text;
	EXPECT_TRUE(Has(Tables({"check", "--json"}), "{\"problems\":["));
	EXPECT_EQ(Run({"history"}).status, 7);
}

TEST_F(OperatorProgram, KeysWorkUntilWithdrawn)
{
	ASSERT_EQ(Tables({"apply"}).status, 0);
	EXPECT_EQ(Run({"key", "issue", "--workspace", "none"}).status, 7);
	Result r = Run({"key", "issue", "--workspace", "w"});
	EXPECT_EQ(r.status, 0);
	ASSERT_EQ(r.text.substr(0, 5), "id=k-") << r.text;
	std::string id = r.text.substr(3, r.text.find(' ') - 3);
	EXPECT_TRUE(Has(r, "\nkey=snk_"));
	r = Run({"key", "list"});
	EXPECT_TRUE(Has(r, "id=" + id + " workspace=w"));
	EXPECT_FALSE(Has(r, "snk_"));
	EXPECT_EQ(Run({"key", "withdraw", "--id", id}).status, 0);
	EXPECT_FALSE(Has(Run({"key", "list"}), id));
	EXPECT_EQ(Run({"key", "withdraw", "--id", id}).status, 7);
}

TEST_F(OperatorProgram, ReportsUsageAndUnreachablePlatform)
{
	EXPECT_EQ(Run({"history"}, false).status, 2);
	EXPECT_EQ(Run({"frob"}).status, 2);
	EXPECT_EQ(Run({"apply", "--frob"}).status, 2);
	EXPECT_EQ(Run({"history", "--platform", "localhost:1"}, false).status, 2);
	EXPECT_EQ(Tables({"apply", "--node", "127.0.0.1:1"}).status, 2);
	EXPECT_EQ(Run({"nodes", "--node", "127.0.0.1:1"}).status, 5);
	EXPECT_EQ(Run({"--version"}, false).text.substr(0, 11), "snipescale ");
	EXPECT_EQ(Run({"history", "--platform", "127.0.0.1:1"}, false).status, 5);
}

// The write took effect, so a second write would be refused as a conflict with the first.
TEST_F(OperatorProgram, FindsOutWhatBecameOfALostWrite)
{
	Control("{\"lose_write_answers\": 1}");
	EXPECT_EQ(Tables({"apply", "--if-version", "0"}).text, "version=1\n");
	Control("{\"lose_write_answers\": 1}");
	Result r = Run({"key", "issue", "--workspace", "w"});
	EXPECT_EQ(r.status, 0) << r.text;
	r = Run({"key", "list"});
	EXPECT_EQ(r.text.find("id="), r.text.rfind("id=")) << "issued twice: " << r.text;
	Control("{\"outage\": true}");
	EXPECT_EQ(Tables({"apply"}).status, 5);
}
