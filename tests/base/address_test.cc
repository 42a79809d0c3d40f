// Guards against host names and malformed ports that are accepted as addresses.
#include <gtest/gtest.h>

#include "base/address.h"
#include "base/error.h"

TEST(Address, AcceptsIpAddresses)
{
	struct snipe_address a;
	char text[SNIPE_ADDRESS_TEXT_SIZE];

	ASSERT_EQ(snipe_address_parse("127.0.0.1:80", &a), 0);
	EXPECT_EQ(a.port, 80);
	ASSERT_EQ(snipe_address_parse("[::1]:8080", &a), 0);
	snipe_address_format(&a, text);
	EXPECT_STREQ(text, "[::1]:8080");
}

TEST(Address, RejectsHostNamesAndInvalidPorts)
{
	struct snipe_address a;

	for (const char *bad :
	     {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ":80", "::1:80",
	      "[127.0.0.1]:80", "1.2.3:80", "[]:80", "127.0.0.1:-1"})
		EXPECT_EQ(snipe_address_parse(bad, &a), SNIPE_ERR_SYNTAX) << bad;
}
