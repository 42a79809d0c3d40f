// Guards against bytes that are counted twice or never taken off, and against an excess that is
// reported again and again, or not at all.
#include <gtest/gtest.h>

#include <string>

#include "base/buffer.h"
#include "base/memory_account.h"

namespace
{

struct Accounts {
	struct snipe_memory_account root, one, two;
	int exceeded = 0;

	Accounts()
	{
		snipe_memory_account_init(&root, nullptr);
		snipe_memory_account_init(&one, &root);
		snipe_memory_account_init(&two, &root);
		root.limit = 1000;
		root.exceeded = [](void *arg) { static_cast<Accounts *>(arg)->exceeded++; };
		root.arg = this;
	}
};

} // namespace

TEST(MemoryAccount, BytesCountForAllOwnersAbove)
{
	Accounts a;

	snipe_memory_charge(&a.one, 300);
	snipe_memory_charge(&a.two, 200);
	snipe_memory_release(&a.one, 100);
	EXPECT_EQ(a.one.held, 200u);
	EXPECT_EQ(a.two.held, 200u);
	EXPECT_EQ(a.root.held, 400u);
	snipe_memory_charge(nullptr, 5);
	snipe_memory_release(nullptr, 5);
}

TEST(MemoryAccount, AnExcessIsReportedOnceUntilItIsCleared)
{
	Accounts a;

	snipe_memory_charge(&a.one, 1000);
	EXPECT_EQ(a.exceeded, 0);
	EXPECT_FALSE(snipe_memory_has_room(&a.one, 1));
	snipe_memory_charge(&a.one, 1);
	snipe_memory_charge(&a.two, 1);
	EXPECT_EQ(a.exceeded, 1);
	EXPECT_TRUE(snipe_memory_is_exceeded(&a.two));
	snipe_memory_release(&a.one, 900);
	snipe_memory_clear_excess(&a.root);
	EXPECT_FALSE(snipe_memory_is_exceeded(&a.two));
	EXPECT_TRUE(snipe_memory_has_room(&a.one, 800));
	snipe_memory_charge(&a.two, 900);
	EXPECT_EQ(a.exceeded, 2);
}

TEST(MemoryAccount, WithoutALimitNothingIsExceeded)
{
	struct snipe_memory_account a;

	snipe_memory_account_init(&a, nullptr);
	snipe_memory_charge(&a, SIZE_MAX / 2);
	EXPECT_FALSE(snipe_memory_is_exceeded(&a));
	EXPECT_TRUE(snipe_memory_has_room(&a, 1000));
	EXPECT_TRUE(snipe_memory_has_room(nullptr, 1000));
}

TEST(MemoryAccount, ABufferIsChargedWithItsSizeFromGrowthToEnd)
{
	Accounts a;
	struct snipe_buffer b, c;
	std::string text(300, 'x');

	snipe_buffer_init_charged(&b, &a.one);
	snipe_buffer_init_charged(&c, &a.two);
	snipe_buffer_append(&b, text.data(), text.size());
	EXPECT_EQ(a.one.held, b.size);
	EXPECT_GE(a.one.held, 300u);
	snipe_buffer_clear(&b);
	EXPECT_EQ(a.one.held, b.size) << "it keeps its memory";
	snipe_buffer_reserve(&b, 700);
	EXPECT_EQ(a.one.held, 701u);
	snipe_buffer_append(&b, text.data(), text.size());
	snipe_buffer_move(&b, &c);
	EXPECT_EQ(a.one.held, 0u);
	EXPECT_EQ(a.two.held, 701u);
	EXPECT_EQ(std::string(c.data, c.len), text);
	snipe_buffer_finish(&c);
	snipe_buffer_finish(&b);
	EXPECT_EQ(a.root.held, 0u);
}
