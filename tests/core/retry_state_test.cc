// Guards against ledger entries that are confused, refilled or leaked, and against a budget
// that grants more retries than its percentage allows. Both are compared with plain counters.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <memory>
#include <vector>

#include "core/retry.h"

namespace
{

struct Command {
	int kind, request, value;
};

struct Counters {
	std::map<int, int> left;     // by request
	long token_hundredths = 100; // one token at the start
	long taken = 0;
	int percent = 20;
};

void run_ledger(struct snipe_retry_ledger *l, Counters &m, const Command &c)
{
	if (c.kind == 0 && !m.left.count(c.request)) {
		snipe_retry_ledger_open(l, (uint64_t)c.request, c.value % 11);
		m.left[c.request] = c.value % 11;
	} else if (c.kind == 1 && c.value % 4 == 0) {
		snipe_retry_ledger_close(l, (uint64_t)c.request);
		m.left.erase(c.request);
	} else if (c.kind <= 4) {
		bool expected = m.left.count(c.request) && m.left[c.request] > 0;
		RC_ASSERT((snipe_retry_ledger_take(l, (uint64_t)c.request) != 0) == expected);
		if (expected)
			m.left[c.request]--;
	}
	RC_ASSERT(g_hash_table_size(l->entries) == m.left.size());
}

void run_budget(struct snipe_retry_budget *b, Counters &m, const Command &c)
{
	if (c.kind == 5 && c.value % 20 == 0) {
		m.percent = c.value % 3 ? c.value % 120 : 0;
		snipe_retry_budget_set_percent(b, m.percent);
	} else if (c.kind <= 7) {
		snipe_retry_budget_on_call(b);
		m.token_hundredths += m.percent;
	} else if (snipe_retry_budget_take(b)) {
		RC_ASSERT(m.percent > 0);
		m.taken++;
		if (c.kind == 8) {
			snipe_retry_budget_refund(b);
			m.taken--;
		}
	}
	RC_ASSERT(m.taken * 100 <= m.token_hundredths);
}

TEST(RetryState, LedgerAndBudgetMatchCounters)
{
	static long commands;
	auto command = rc::gen::apply(
		[](int kind, int request, int value) {
			return Command{kind, request, value};
		},
		rc::gen::inRange(0, 11), rc::gen::inRange(0, 6), rc::gen::inRange(0, 1000));
	auto list = rc::gen::resize(1000, rc::gen::container<std::vector<Command>>(command));

	bool ok = rc::check("retry", [&] {
		auto chosen = *list;
		struct snipe_retry_ledger l;
		struct snipe_retry_budget b;
		Counters m;

		snipe_retry_ledger_init(&l);
		snipe_retry_budget_init(&b, m.percent);
		std::unique_ptr<struct snipe_retry_ledger,
				void (*)(struct snipe_retry_ledger *)>
			guard(&l, snipe_retry_ledger_finish);
		for (const Command &c : chosen) {
			commands++;
			if (c.kind <= 4)
				run_ledger(&l, m, c);
			else
				run_budget(&b, m, c);
		}
	});
	printf("retry: %ld commands\n", commands);
	EXPECT_TRUE(ok);
}

} // namespace
