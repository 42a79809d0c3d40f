// Guards against examples that the programs refuse, and against importance that would shed
// bookings or settlements before reads.
#include <glib.h>
#include <gtest/gtest.h>

#include <string>

#include "config/settings.h"
#include "config/tables.h"

static std::string SourceDirectory()
{
	std::string file = __FILE__;

	return file.substr(0, file.rfind("/tests/"));
}

static std::string Read(const std::string &path)
{
	char *text = nullptr;
	std::string out;

	EXPECT_TRUE(g_file_get_contents(path.c_str(), &text, nullptr, nullptr)) << path;
	out = text ? text : "";
	g_free(text);
	return out;
}

class Examples : public ::testing::TestWithParam<const char *>
{
};

TEST_P(Examples, TablesAndSettingsAreValid)
{
	std::string dir = SourceDirectory() + "/examples/" + GetParam();
	struct snipe_problems problems;
	struct snipe_tables tables;
	struct snipe_settings settings;
	GDir *entries = g_dir_open(dir.c_str(), 0, nullptr);
	int nodes = 0;

	ASSERT_NE(entries, nullptr);
	snipe_problems_init(&problems);
	EXPECT_EQ(snipe_tables_load(&tables, Read(dir + "/routes.toml").c_str(), "routes",
				    Read(dir + "/pools.toml").c_str(), "pools", &problems),
		  0);
	EXPECT_EQ(tables.workspace_count, 8);
	EXPECT_EQ(tables.pool_count, 4);
	for (int i = 0; i < tables.route_count; i++) {
		const struct snipe_route &r = tables.routes[i];

		if (!strcmp(r.method, "GET")) {
			EXPECT_LE(r.importance, SNIPE_IMPORTANCE_NORMAL) << r.name;
		}
		if (!r.idempotent) {
			EXPECT_GE(r.importance, SNIPE_IMPORTANCE_HIGH) << r.name;
		}
	}
	while (const char *name = g_dir_read_name(entries)) {
		if (!g_str_has_prefix(name, "node-"))
			continue;
		nodes++;
		EXPECT_EQ(snipe_settings_load_file(&settings, (dir + "/" + name).c_str(),
						   &problems),
			  0);
	}
	EXPECT_EQ(nodes, 4);
	for (int i = 0; i < problems.count; i++)
		ADD_FAILURE() << problems.lines[i];
	g_dir_close(entries);
	snipe_tables_finish(&tables);
	snipe_problems_finish(&problems);
}

INSTANTIATE_TEST_SUITE_P(Deployments, Examples, ::testing::Values("tui", "tabua"));
