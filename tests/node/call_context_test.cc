#include "node/call_context.h"

#include <gtest/gtest.h>
#include <stdio.h>

#include <string>

#include "base/error.h"

namespace
{

class CallContext : public ::testing::Test
{
      protected:
	CallContext()
	{
		snipe_context_table_init(&table_);
	}
	~CallContext() override
	{
		snipe_context_table_finish(&table_);
	}
	std::string Add(snipe_context_entry *e, const char *workspace)
	{
		char text[SNIPE_CONTEXT_TEXT];

		*e = {};
		snprintf(e->context.workspace, sizeof(e->context.workspace), "%s", workspace);
		snipe_context_table_add(&table_, e, text);
		return text;
	}
	int Find(const char *token, uint64_t fingerprint = 1)
	{
		return snipe_context_table_find(&table_, token, fingerprint, &found_,
						&repeated_);
	}
	snipe_context_table table_;
	snipe_call_context found_ = {};
	int repeated_ = 0;
};

} // namespace

/* Guards against an inner call that runs for another request's workspace. */
TEST_F(CallContext, TokenFindsItsOwnContextOnly)
{
	snipe_context_entry a, b;
	std::string ta = Add(&a, "alpha"), tb = Add(&b, "beta");

	ASSERT_NE(ta, tb);
	ASSERT_EQ(Find(ta.c_str()), 0);
	EXPECT_STREQ(found_.workspace, "alpha");
	ASSERT_EQ(Find(tb.c_str()), 0);
	EXPECT_STREQ(found_.workspace, "beta");
	EXPECT_EQ(Find(nullptr), SNIPE_ERR_NOT_FOUND) << "two run, so none is meant";
	snipe_context_table_remove(&table_, &a);
	EXPECT_EQ(Find(ta.c_str()), SNIPE_ERR_NOT_FOUND) << "valid after its request ended";
	ASSERT_EQ(Find(nullptr), 0);
	EXPECT_STREQ(found_.workspace, "beta");
	snipe_context_table_remove(&table_, &b);
	EXPECT_EQ(Find(nullptr), SNIPE_ERR_NOT_FOUND);
}

TEST_F(CallContext, MalformedTokensAreNotFound)
{
	snipe_context_entry a;
	std::string ta = Add(&a, "alpha");

	for (const std::string &t : {std::string(""), ta.substr(1), ta + "0",
				     std::string(32, '0'), std::string(32, 'z')})
		EXPECT_EQ(Find(t.c_str()), SNIPE_ERR_NOT_FOUND) << t;
	snipe_context_table_remove(&table_, &a);
}

/* Guards against a retry by the backend server that escapes the ledger. */
TEST_F(CallContext, SecondInnerCallWithAFingerprintIsRepeated)
{
	snipe_context_entry a;
	std::string ta = Add(&a, "alpha");

	ASSERT_EQ(Find(ta.c_str(), 7), 0);
	EXPECT_FALSE(repeated_);
	ASSERT_EQ(Find(ta.c_str(), 8), 0);
	EXPECT_FALSE(repeated_);
	ASSERT_EQ(Find(ta.c_str(), 7), 0);
	EXPECT_TRUE(repeated_);
	snipe_context_table_remove(&table_, &a);
}

/* Guards against tokens that repeat when the buffer of random bytes is refilled. */
TEST_F(CallContext, TokensDiffer)
{
	snipe_context_entry entries[200];

	for (auto &e : entries)
		Add(&e, "alpha");
	EXPECT_EQ(g_hash_table_size(table_.entries), 200u);
	for (auto &e : entries)
		snipe_context_table_remove(&table_, &e);
}

/* Guards against a limit that falls because a service further down the call graph is slow. */
TEST_F(CallContext, WaitsForInnerCallsAreCountedOnceAndOnlyWhileTheyRun)
{
	snipe_context_entry e;
	std::string token = Add(&e, "alpha");
	int64_t now = 1LL << 60; /* after any reading of the clock below */

	EXPECT_EQ(snipe_context_entry_waited_us(&e, now), 0);
	ASSERT_EQ(Find(token.c_str(), 1), 0);
	int64_t since = e.waiting_since_us;
	EXPECT_EQ(snipe_context_entry_waited_us(&e, since + 1000), 1000);
	ASSERT_EQ(Find(token.c_str(), 2), 0);
	EXPECT_EQ(e.waiting_since_us, since) << "two inner calls at once wait once";
	snipe_context_table_inner_done(&table_, e.token);
	EXPECT_EQ(snipe_context_entry_waited_us(&e, since + 3000), 3000);
	snipe_context_table_inner_done(&table_, e.token);
	EXPECT_EQ(snipe_context_entry_waited_us(&e, now), e.waited_us);
	snipe_context_table_remove(&table_, &e);
}
