// Guards against keys that keep working after withdrawal, keys stored in the clear, and
// malformed key objects that are taken in part.
#include <glib.h>
#include <gtest/gtest.h>

#include <string>

#include "config/keys.h"

static const char *Lookup(const struct snipe_keys &keys, const std::string &key)
{
	return snipe_keys_lookup(&keys, key.data(), key.size());
}

class Keys : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		snipe_keys_init(&keys);
		snprintf(keys.write_id, sizeof(keys.write_id), "w1");
		for (int i = 0; i < 3; i++)
			ASSERT_EQ(snipe_keys_issue(&keys, i ? "salon-b" : "salon-a",
						   "2026-12-04T00:00:00Z", key[i], id[i]),
				  0);
	}
	void TearDown() override
	{
		snipe_keys_finish(&keys);
	}
	struct snipe_keys keys;
	char key[3][64], id[3][24];
	struct snipe_error_text err;
};

TEST_F(Keys, IssuedKeysWorkUntilWithdrawn)
{
	EXPECT_EQ(std::string(key[0]).substr(0, 4), "snk_");
	EXPECT_EQ(strlen(key[0]), 47u);
	EXPECT_STREQ(Lookup(keys, key[0]), "salon-a");
	EXPECT_STREQ(Lookup(keys, key[2]), "salon-b");
	EXPECT_EQ(Lookup(keys, std::string(key[0]) + "x"), nullptr);
	EXPECT_EQ(Lookup(keys, std::string(key[0]).substr(0, 46)), nullptr);
	EXPECT_EQ(Lookup(keys, ""), nullptr);
	EXPECT_EQ(snipe_keys_withdraw(&keys, id[0]), 0);
	EXPECT_EQ(Lookup(keys, key[0]), nullptr);
	EXPECT_STREQ(Lookup(keys, key[1]), "salon-b");
	EXPECT_STREQ(Lookup(keys, key[2]), "salon-b");
	EXPECT_EQ(snipe_keys_withdraw(&keys, id[0]), SNIPE_ERR_NOT_FOUND);
}

TEST_F(Keys, PrintedFormHoldsHashesOnlyAndReadsBack)
{
	char *text = snipe_keys_print(&keys);
	struct snipe_keys copy;

	EXPECT_EQ(strstr(text, key[0]), nullptr);
	EXPECT_EQ(strstr(text, key[0] + 4), nullptr);
	ASSERT_EQ(snipe_keys_parse(&copy, text, strlen(text), &err), 0) << err.text;
	EXPECT_STREQ(Lookup(copy, key[1]), "salon-b");
	EXPECT_STREQ(copy.write_id, "w1");
	snipe_keys_finish(&copy);
	g_free(text);
}

TEST_F(Keys, RefusesMalformedAndRepeatedEntries)
{
	std::string hash(64, 'a'), other(64, 'b');
	auto entry = [](const std::string &sha, const std::string &name) {
		return "{\"sha256\":\"" + sha + "\",\"id\":\"" + name +
		       "\",\"workspace\":\"w\",\"issued\":\"t\"}";
	};
	auto parse = [&](const std::string &list) {
		std::string text =
			"{\"keys\":[" + list + "],\"write_id\":\"w\",\"history\":[]}";
		struct snipe_keys copy;
		int rc = snipe_keys_parse(&copy, text.data(), text.size(), &err);

		snipe_keys_finish(&copy);
		return rc;
	};

	EXPECT_EQ(parse(entry(hash, "k1") + "," + entry(other, "k2")), 0) << err.text;
	EXPECT_EQ(parse(entry(hash, "k1") + "," + entry(hash, "k2")), SNIPE_ERR_INVALID);
	EXPECT_EQ(parse(entry(hash, "k1") + "," + entry(other, "k1")), SNIPE_ERR_INVALID);
	EXPECT_EQ(parse(entry(hash.substr(1), "k1")), SNIPE_ERR_INVALID);
	EXPECT_EQ(parse(entry(hash, "")), SNIPE_ERR_INVALID);
	EXPECT_EQ(parse(entry(hash, std::string(24, 'k'))), SNIPE_ERR_INVALID);
	EXPECT_EQ(parse("5"), SNIPE_ERR_INVALID);
	EXPECT_EQ(parse("{"), SNIPE_ERR_SYNTAX);
}

TEST_F(Keys, RefusesInvalidWorkspaces)
{
	EXPECT_EQ(snipe_keys_issue(&keys, "a b", "t", key[0], id[0]), SNIPE_ERR_INVALID);
	EXPECT_EQ(keys.count, 3);
}
