#include "node/announcement.h"

#include <gtest/gtest.h>
#include <string.h>

namespace
{

int Parse(const char *json, snipe_announcement *a, snipe_error_text *err)
{
	return snipe_announcement_parse(a, json, strlen(json), err);
}

} // namespace

TEST(Announcement, ReadsPoolAddressAndState)
{
	snipe_announcement a;
	snipe_error_text err;

	ASSERT_EQ(
		Parse("{\"pool\":\"tips\",\"address\":\"127.0.0.1:80\",\"state\":\"draining\"}",
		      &a, &err),
		0);
	EXPECT_STREQ(a.pool, "tips");
	EXPECT_EQ(a.address.port, 80);
	EXPECT_EQ(a.state, SNIPE_BACKEND_DRAINING);
}

/* Guards against a name or an address that ends up in logs, dumps or connections unchecked. */
TEST(Announcement, RejectsWhatIsMissingOrMalformedWithARemedy)
{
	snipe_announcement a;

	for (const char *json :
	     {"", "[]", "{", "{\"address\":\"127.0.0.1:80\",\"state\":\"ready\"}",
	      "{\"pool\":\"a\\\"b\",\"address\":\"127.0.0.1:80\",\"state\":\"ready\"}",
	      "{\"pool\":\"\",\"address\":\"127.0.0.1:80\",\"state\":\"ready\"}",
	      "{\"pool\":\"a\",\"address\":\"localhost:80\",\"state\":\"ready\"}",
	      "{\"pool\":\"a\",\"address\":\"127.0.0.1:0\",\"state\":\"ready\"}",
	      "{\"pool\":\"a\",\"address\":\"127.0.0.1:80\",\"state\":\"up\"}",
	      "{\"pool\":\"a\",\"address\":\"127.0.0.1:80\"}"}) {
		snipe_error_text err = {""};

		EXPECT_LT(Parse(json, &a, &err), 0) << json;
		EXPECT_GT(strlen(err.text), 10u) << json;
	}
}
