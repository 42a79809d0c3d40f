// Guards against tables that are applied in part, problems that stay unreported, and paths that
// reach a route other than the one the backend server will see.
#include <gtest/gtest.h>

#include <string>

#include "config/tables.h"

static const char *const kPools = "[[pool]]\nname = \"bookings\"\nslots = 150\n"
				  "connections = 1000\nqueue = 150\n";

static std::string Route(const std::string &name, const std::string &path,
			 const std::string &extra = "")
{
	return "[[route]]\nname = \"" + name + "\"\nmethod = \"GET\"\npath = \"" + path +
	       "\"\npool = \"bookings\"\nimportance = \"high\"\n" + extra;
}

static std::string Workspace(const std::string &rate, const std::string &burst)
{
	return "[[workspace]]\nname = \"w\"\nrate = " + rate + "\nburst = " + burst + "\n";
}

class Tables : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		snipe_problems_init(&problems);
	}
	void TearDown() override
	{
		snipe_tables_finish(&tables);
		snipe_problems_finish(&problems);
	}
	int Load(const std::string &routes, const std::string &pools = kPools)
	{
		snipe_tables_finish(&tables);
		snipe_problems_finish(&problems);
		return snipe_tables_load(&tables, routes.c_str(), "routes.toml", pools.c_str(),
					 "pools.toml", &problems);
	}
	std::string Problems()
	{
		std::string all;

		for (int i = 0; i < problems.count; i++)
			all += std::string(problems.lines[i]) + "\n";
		return all;
	}
	std::string Match(const char *path, const char *method = "GET")
	{
		int i = snipe_tables_match(&tables, method, path);

		return i < 0 ? "" : tables.routes[i].name;
	}
	struct snipe_tables tables = {};
	struct snipe_problems problems = {};
};

TEST_F(Tables, LoadsEveryField)
{
	ASSERT_EQ(Load(Route("a", "/a",
			     "open = true\nidempotent = true\ntimeout_ms = 1500\n"
			     "max_retries = 3\nretry_percent = 20\n") +
		       Workspace("2.5", "10")),
		  0)
		<< Problems();
	const struct snipe_route &r = tables.routes[0];
	EXPECT_STREQ(r.path, "/a");
	EXPECT_STREQ(tables.pools[r.pool].name, "bookings");
	EXPECT_EQ(r.importance, SNIPE_IMPORTANCE_HIGH);
	EXPECT_TRUE(r.open && r.idempotent);
	EXPECT_EQ(r.timeout_ms, 1500);
	EXPECT_EQ(r.max_retries, 3);
	EXPECT_EQ(r.retry_percent, 20);
	EXPECT_DOUBLE_EQ(tables.workspaces[snipe_tables_find_workspace(&tables, "w")].rate,
			 2.5);
	EXPECT_EQ(tables.pools[snipe_tables_find_pool(&tables, "bookings")].slots, 150);
	EXPECT_EQ(snipe_tables_find_pool(&tables, "x"), SNIPE_ERR_NOT_FOUND);
}

// An absent key must fall to the safe side: closed and at most once.
TEST_F(Tables, DefaultsAreSafe)
{
	ASSERT_EQ(Load(Route("a", "/a")), 0) << Problems();
	EXPECT_FALSE(tables.routes[0].open);
	EXPECT_FALSE(tables.routes[0].idempotent);
}

TEST_F(Tables, ReportsAllProblemsOfBothFilesAtOnce)
{
	EXPECT_EQ(Load(Route("a", "/a", "opne = true\n") + Route("a", "/a") +
			       "[[route]]\nname = \"b\"\nmethod = \"get\"\npath = \"b\"\n"
			       "pool = \"none\"\nimportance = \"top\"\n" +
			       Workspace("-1", "0"),
		       "[[pool]]\nname = \"bookings\"\nslots = 0\nconnections = 2000000\n"),
		  SNIPE_ERR_INVALID);
	EXPECT_EQ(tables.routes, nullptr);
	EXPECT_EQ(tables.pool_count, 0);
	for (const char *expected :
	     {"routes.toml:7: route \"a\", key opne: is unknown; remove it",
	      "routes.toml:9: route \"a\", key name: repeats that of line 1; make it unique",
	      "routes.toml:11: route \"a\", key path: repeats that of line 1",
	      "routes.toml:16: route \"b\", key method: is not a known word; use one of: GET",
	      "routes.toml:17: route \"b\", key path: does not begin with",
	      "routes.toml:18: route \"b\", key pool: there is no pool \"none\"; add it",
	      "routes.toml:19: route \"b\", key importance: is not a known word",
	      "routes.toml:22: workspace \"w\", key rate: is out of range",
	      "routes.toml:23: workspace \"w\", key burst: is out of range",
	      "pools.toml:3: pool \"bookings\", key slots: is out of range",
	      "pools.toml:4: pool \"bookings\", key connections: is out of range"})
		EXPECT_NE(Problems().find(expected), std::string::npos) << expected << "\nin\n"
									<< Problems();
	EXPECT_EQ(problems.count, 11) << Problems();
}

TEST_F(Tables, RefusesRatesThatAreNoNumbers)
{
	for (const char *bad :
	     {"nan", "inf", "-inf", "1e9", "0", "\"5\"", "true", "[1]", "9223372036854775807"})
		EXPECT_EQ(Load(Workspace(bad, "10")), SNIPE_ERR_INVALID) << bad;
	EXPECT_EQ(Load(Workspace("50.0", "100")), 0) << Problems();
}

TEST_F(Tables, ReportsSyntaxErrorsOfBothFilesWithLineAndColumn)
{
	EXPECT_EQ(Load("[[route]]\nname = \n", "x = [\n"), SNIPE_ERR_SYNTAX);
	EXPECT_EQ(problems.count, 2);
	EXPECT_NE(Problems().find("routes.toml:2: syntax, column 8"), std::string::npos)
		<< Problems();
	EXPECT_NE(Problems().find("pools.toml:"), std::string::npos);
}

// A pools file that cannot be read must not make every route look wrong.
TEST_F(Tables, SkipsThePoolLookupWhenPoolsCannotBeRead)
{
	EXPECT_EQ(Load(Route("a", "/a"), "["), SNIPE_ERR_SYNTAX);
	EXPECT_EQ(problems.count, 1) << Problems();
}

TEST_F(Tables, RefusesFilesOverTheLimit)
{
	std::string comment(SNIPE_TABLE_MAX_BYTES, '#');

	EXPECT_EQ(Load(comment), 0) << Problems();
	EXPECT_EQ(Load(comment + "#"), SNIPE_ERR_TOO_LARGE);
	EXPECT_NE(Problems().find("the limit is 409600"), std::string::npos);
}

TEST_F(Tables, RefusesForeignSectionsAndForms)
{
	for (const char *bad : {"[[pool]]\nname = \"p\"\n", "[route]\nname = \"a\"\n",
				"route = 5\n", "name = \"a\"\n", "route = []\n"})
		EXPECT_EQ(Load(bad), SNIPE_ERR_INVALID) << bad;
	EXPECT_EQ(Load(Route("a\\u0000b", "/a")), SNIPE_ERR_INVALID);
	EXPECT_EQ(Load(Route("a b", "/a")), SNIPE_ERR_INVALID);
	EXPECT_EQ(Load(Route(std::string(64, 'a'), "/a")), SNIPE_ERR_INVALID);
	EXPECT_EQ(Load(Route(std::string(63, 'a'), "/a")), 0) << Problems();
}

// Control characters of a quoted key must not reach the operator's terminal.
TEST_F(Tables, ReplacesControlCharactersInProblems)
{
	EXPECT_EQ(Load("\"a\\n\\u001b[31m\" = 1\n"), SNIPE_ERR_INVALID);
	EXPECT_NE(Problems().find("a??[31m"), std::string::npos) << Problems();
}

TEST_F(Tables, RefusesMalformedPaths)
{
	for (const char *bad : {"", "a", "/a?b", "/a b", "/a/*/b", "/a*", "/a//b", "/a/../b",
				"/./a", "/a%62", "/.snipescale/x", "/*/*"})
		EXPECT_EQ(Load(Route("a", bad)), SNIPE_ERR_INVALID) << bad;
}

TEST_F(Tables, MatchesTheLongestPathOfTheMethod)
{
	ASSERT_EQ(Load(Route("all", "/*") + Route("tips", "/tips/*") +
		       Route("one", "/tips/one") + Route("deep", "/tips/one/*")),
		  0)
		<< Problems();
	EXPECT_EQ(Match("/x"), "all");
	EXPECT_EQ(Match("/tips"), "all");
	EXPECT_EQ(Match("/tips/"), "tips");
	EXPECT_EQ(Match("/tips/two"), "tips");
	EXPECT_EQ(Match("/tips/one"), "one");
	EXPECT_EQ(Match("/tips/one/x/y"), "deep");
	EXPECT_EQ(Match("/tips/one", "POST"), "");
	EXPECT_EQ(Match(("/" + std::string(5000, 'x')).c_str()), "all");
	EXPECT_EQ(Match(("/tips/" + std::string(5000, 'x')).c_str()), "tips");
}

// A path written in another form must not slip from a closed route to an open prefix.
TEST_F(Tables, MatchesByTheDecodedPath)
{
	ASSERT_EQ(Load(Route("all", "/*", "open = true\n") + Route("closed", "/bookings")), 0)
		<< Problems();
	EXPECT_EQ(Match("/%62ookings"), "closed");
	EXPECT_EQ(Match("//bookings"), "closed");
	EXPECT_EQ(Match("/%2Fbookings"), "closed");
	for (const char *bad : {"/x/../bookings", "/x/..%2fbookings", "/%2e%2e/bookings",
				"/./bookings", "/x\\..\\bookings", "/x%5c../bookings", "/a%00",
				"/a%", "/a%2", "/a%zz", "bookings", "", "*"})
		EXPECT_EQ(Match(bad), "") << bad;
	EXPECT_EQ(Match("/a..b/.c"), "all");
}

TEST_F(Tables, DiffNamesEachChange)
{
	struct snipe_tables after;
	std::string pools = std::string(kPools) + "[[pool]]\nname = \"cards\"\nslots = 1\n"
						  "connections = 1\n";

	ASSERT_EQ(Load(Route("a", "/a") + Route("b", "/b") + Workspace("5", "10")), 0);
	ASSERT_EQ(snipe_tables_load(&after,
				    (Route("a", "/a/*", "timeout_ms = 10\n") +
				     Route("c", "/c") + Workspace("6", "10"))
					    .c_str(),
				    "r", pools.c_str(), "p", &problems),
		  0)
		<< Problems();
	EXPECT_EQ(snipe_tables_diff(&tables, &tables, &problems), 0);
	EXPECT_EQ(snipe_tables_diff(&tables, &after, &problems), 6);
	EXPECT_EQ(Problems(),
		  "~ route a: path /a -> /a/*\n~ route a: timeout_ms 2000 -> 10\n"
		  "- route b\n+ route c\n~ workspace w: rate 5 -> 6\n+ pool cards\n");
	snipe_tables_finish(&after);
}

TEST_F(Tables, DocumentKeepsTextAndTheLast16Writes)
{
	struct snipe_tables_document doc, copy;
	struct snipe_error_text err;
	struct snipe_write_record record = {"", "ana", "2026-12-04T00:00:00Z", "a \"note\""};
	char *text;

	snipe_tables_document_init(&doc);
	doc.routes_toml = strdup("# \"k\"\n");
	doc.pools_toml = strdup(kPools);
	for (int i = 0; i < 20; i++) {
		snprintf(record.write_id, sizeof(record.write_id), "w%d", i);
		snipe_history_push(doc.history, &doc.history_count, &record);
	}
	snprintf(doc.write_id, sizeof(doc.write_id), "w19");
	text = snipe_tables_document_print(&doc);
	ASSERT_EQ(snipe_tables_document_parse(&copy, text, strlen(text), &err), 0) << err.text;
	EXPECT_STREQ(copy.routes_toml, "# \"k\"\n");
	EXPECT_STREQ(copy.write_id, "w19");
	ASSERT_EQ(copy.history_count, 16);
	EXPECT_STREQ(copy.history[15].write_id, "w4");
	EXPECT_STREQ(copy.history[0].note, "a \"note\"");
	snipe_tables_document_finish(&copy);
	for (size_t cut = 0; cut < strlen(text); cut += 7)
		EXPECT_LT(snipe_tables_document_parse(&copy, text, cut, &err), 0);
	EXPECT_EQ(snipe_tables_document_parse(&copy, "{}", 2, &err), SNIPE_ERR_INVALID);
	free(text);
	snipe_tables_document_finish(&doc);
}
