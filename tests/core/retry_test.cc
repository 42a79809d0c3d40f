// Guards against retry storms: more attempts along a chain of calls than the ledger allows,
// more retries at one node than the budget of the route allows, synchronized retries, and
// retries of requests that may have run.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "core/retry.h"

namespace
{

// Each of 6 services retries its call to the next one twice, and the last one always fails.
TEST(RetryLedger, BoundsAttemptsAlongACallChain)
{
	struct snipe_retry_ledger l;
	bool has_ledger;
	long runs;
	std::function<void(int)> call = [&](int depth) {
		for (int attempt = 0; attempt < 3; attempt++) {
			if (attempt > 0 && has_ledger && !snipe_retry_ledger_take(&l, 1))
				return;
			if (depth == 6)
				runs++;
			else
				call(depth + 1);
		}
	};

	snipe_retry_ledger_init(&l);
	snipe_retry_ledger_open(&l, 1, 2);
	has_ledger = true, runs = 0, call(1);
	EXPECT_EQ(runs, 3);
	printf("runs of the last service with the ledger: %ld", runs);
	has_ledger = false, runs = 0, call(1);
	printf(", without: %ld\n", runs);
	snipe_retry_ledger_finish(&l);
}

TEST(RetryLedger, NoRetryForUnknownOrClosedRequest)
{
	struct snipe_retry_ledger l;

	snipe_retry_ledger_init(&l);
	EXPECT_FALSE(snipe_retry_ledger_take(&l, 7));
	snipe_retry_ledger_open(&l, 7, 1);
	snipe_retry_ledger_open(&l, 8, 0);
	EXPECT_FALSE(snipe_retry_ledger_take(&l, 8));
	EXPECT_TRUE(snipe_retry_ledger_take(&l, 7));
	snipe_retry_ledger_open(&l, 7, 1);
	EXPECT_FALSE(snipe_retry_ledger_take(&l, 7)) << "opened twice";
	snipe_retry_ledger_close(&l, 7);
	EXPECT_FALSE(snipe_retry_ledger_take(&l, 7));
	snipe_retry_ledger_finish(&l);
}

TEST(RetryBudget, LimitsRetriesToPercentOfCalls)
{
	struct snipe_retry_budget b;
	int retries = 0;

	snipe_retry_budget_init(&b, 10);
	for (int i = 0; i < 1000; i++) {
		snipe_retry_budget_on_call(&b);
		while (snipe_retry_budget_take(&b))
			retries++;
	}
	EXPECT_EQ(retries, 101);
	for (int i = 0; i < 1000; i++)
		snipe_retry_budget_on_call(&b);
	for (retries = 0; snipe_retry_budget_take(&b); retries++)
		continue;
	EXPECT_EQ(retries, 10) << "burst after a long time without failures";
	snipe_retry_budget_refund(&b);
	EXPECT_TRUE(snipe_retry_budget_take(&b));
	snipe_retry_budget_set_percent(&b, 0);
	for (int i = 0; i < 1000; i++)
		snipe_retry_budget_on_call(&b);
	EXPECT_FALSE(snipe_retry_budget_take(&b));
}

// Guards the platform's limit on retries, a ratio of the calls plus a slack, in fleets of any
// size: every node has saved its maximum when a service with few calls starts to fail or
// reject all of them.
TEST(RetryShare, FleetStaysWithinRatioAndSlack)
{
	const double slack = 50, saved = 0.4 * slack;
	GRand *rng = g_rand_new_with_seed(1);

	for (int nodes : {1, 18, 64, 300, 1200})
		for (int calls_each : {2, 10, 60}) {
			int retries = 0;
			for (int n = 0; n < nodes; n++) {
				struct snipe_retry_share shares[2];
				snipe_retry_share_init(&shares[0], 0.09, saved / nodes);
				snipe_retry_share_init(&shares[1], 0.024, saved / nodes);
				for (auto &s : shares) {
					for (int i = 0; i < 1000; i++)
						snipe_retry_share_on_call(&s);
					for (int i = 0; i < calls_each; i++) {
						snipe_retry_share_on_call(&s);
						retries += snipe_retry_share_take(&s, rng);
					}
				}
			}
			EXPECT_LE(retries, 0.2 * calls_each * nodes + slack)
				<< nodes << " nodes, " << calls_each << " calls each";
			EXPECT_GE(retries, 0.114 * calls_each * nodes / 2)
				<< nodes << " nodes, " << calls_each << " calls each";
		}
	g_rand_free(rng);
}

// When the fleet grows, the saved tokens of a node drop to its new maximum at once.
TEST(RetryShare, LowerMaximumDropsSavedTokens)
{
	struct snipe_retry_share s;
	GRand *rng = g_rand_new_with_seed(1);
	int retries = 0;

	snipe_retry_share_init(&s, 0, 20);
	snipe_retry_share_set_max_tokens(&s, 2);
	for (int i = 0; i < 100; i++)
		retries += snipe_retry_share_take(&s, rng);
	EXPECT_EQ(retries, 2);
	g_rand_free(rng);
}

TEST(RetryBackoff, FullJitterUpToAnExponentialBound)
{
	const int64_t bounds[] = {10000, 20000, 40000, 80000, 160000, 200000, 200000};
	GRand *rng = g_rand_new_with_seed(1);

	for (int attempt = 1; attempt <= 7; attempt++) {
		int64_t least = INT64_MAX, most = 0;
		for (int i = 0; i < 1000; i++) {
			int64_t wait = snipe_retry_backoff_us(attempt, rng);
			least = std::min(least, wait);
			most = std::max(most, wait);
		}
		EXPECT_LE(most, bounds[attempt - 1]);
		EXPECT_GE(most, bounds[attempt - 1] * 95 / 100);
		EXPECT_LE(least, bounds[attempt - 1] * 5 / 100);
	}
	EXPECT_LE(snipe_retry_backoff_us(1000000, rng), 200000);
	EXPECT_LE(snipe_retry_backoff_us(0, rng), 10000);
	g_rand_free(rng);
}

TEST(RetryAllowed, OnlyIfSafeToRepeatAndBeforeDeadline)
{
	EXPECT_TRUE(snipe_retry_is_allowed(1, 0, 100, 50, 151));
	EXPECT_FALSE(snipe_retry_is_allowed(1, 1, 100, 50, 150)) << "no time left";
	EXPECT_TRUE(snipe_retry_is_allowed(0, 1, 100, 50, 151));
	EXPECT_FALSE(snipe_retry_is_allowed(0, 0, 100, 50, 1000)) << "it may have run";
	EXPECT_TRUE(snipe_retry_is_allowed(1, 0, 100, 50, INT64_MAX));
}

} // namespace
