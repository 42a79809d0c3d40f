// Guards against identifiers that are granted twice and against records that exceed their
// memory limit.
#include <gtest/gtest.h>

#include <string>

#include "base/error.h"
#include "core/dedup.h"
#include "core/ownership.h"

static const int64_t now_ms = 1764840000000;

static std::string make_id(int64_t wall_ms, int n)
{
	uint8_t random[10] = {};
	char out[40];

	memcpy(random + 4, &n, sizeof(n));
	snipe_identifier_make(wall_ms, random, out);
	return out;
}

class Dedup : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		snipe_dedup_init(&d, 1000);
	}
	void TearDown() override
	{
		snipe_dedup_finish(&d);
	}
	snipe_claim_result claim(const std::string &id, int64_t wall = now_ms,
				 int64_t since = 0, uint64_t fp = 7, const char *ws = "salon")
	{
		snipe_claim_result a;
		snipe_dedup_claim(&d, wall, since, ws, id.c_str(), fp, &a);
		return a;
	}
	struct snipe_dedup d;
};

TEST(Identifier, TimeAndSyntax)
{
	int64_t ms = 0;

	EXPECT_EQ(snipe_identifier_time(make_id(now_ms, 3).c_str(), &ms), 0);
	EXPECT_EQ(ms, now_ms);
	// The example of RFC 9562, appendix A.6.
	EXPECT_EQ(snipe_identifier_time("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", &ms), 0);
	EXPECT_EQ(ms, 1645557742000);
	for (const char *bad :
	     {"", "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
	      "017F22E2-79B0-7CC3-58C4-DC0C0C07398F", "017F22E2-79B0-7CC3-98C4-DC0C0C07398",
	      "017F22E2-79B0-7CC3-98C4-DC0C0C07398FF", "017F22E2x79B0-7CC3-98C4-DC0C0C07398F",
	      "017F22E2-79B0-7CC3-98C4-DC0C0C07398G"})
		EXPECT_EQ(snipe_identifier_time(bad, &ms), SNIPE_ERR_SYNTAX) << bad;
}

TEST_F(Dedup, SecondClaimIsNotGranted)
{
	std::string id = make_id(now_ms, 1), upper = id;

	for (char &c : upper)
		c = (char)toupper(c);
	EXPECT_EQ(claim(id).verdict, SNIPE_CLAIM_GRANTED);
	EXPECT_EQ(claim(id).verdict, SNIPE_CLAIM_IN_PROGRESS);
	EXPECT_EQ(claim(upper).verdict, SNIPE_CLAIM_IN_PROGRESS);
	EXPECT_EQ(claim(id, now_ms, 0, 8).verdict, SNIPE_CLAIM_INVALID);
	EXPECT_EQ(claim(id, now_ms, 0, 7, "other").verdict, SNIPE_CLAIM_GRANTED);
}

TEST_F(Dedup, DuplicateGetsTheOutcomeOfTheClaim)
{
	std::string done = make_id(now_ms, 1), unknown = make_id(now_ms, 2),
		    large = make_id(now_ms, 3);
	std::string big(SNIPE_DEDUP_MAX_RESPONSE_BYTES + 1, 'x');

	snipe_dedup_done(&d, claim(done).claim, 1, "ok", 2);
	snipe_dedup_done(&d, claim(unknown).claim, 0, nullptr, 0);
	snipe_dedup_done(&d, claim(large).claim, 1, big.data(), big.size());
	snipe_claim_result a = claim(done);
	ASSERT_EQ(a.verdict, SNIPE_CLAIM_DONE);
	EXPECT_EQ(std::string((const char *)a.response, a.response_len), "ok");
	EXPECT_EQ(claim(unknown).verdict, SNIPE_CLAIM_UNKNOWN);
	EXPECT_EQ(claim(large).verdict, SNIPE_CLAIM_DONE_NO_RESPONSE);
}

TEST_F(Dedup, ReleaseAllowsOneMoreClaimAndEndsOfTheOldOneAreIgnored)
{
	std::string id = make_id(now_ms, 1);
	uint64_t first = claim(id).claim;

	snipe_dedup_release(&d, first);
	uint64_t second = claim(id).claim;
	EXPECT_NE(first, second);
	snipe_dedup_release(&d, first); // delayed duplicate
	EXPECT_EQ(claim(id).verdict, SNIPE_CLAIM_IN_PROGRESS);
	snipe_dedup_done(&d, second, 1, "x", 1);
	snipe_dedup_release(&d, second); // after the end
	EXPECT_EQ(claim(id).verdict, SNIPE_CLAIM_DONE);
}

TEST_F(Dedup, IdentifierTimesAtTheLimits)
{
	EXPECT_EQ(claim(make_id(now_ms + SNIPE_DEDUP_MAX_SKEW_MS, 1)).verdict,
		  SNIPE_CLAIM_GRANTED);
	EXPECT_EQ(claim(make_id(now_ms + SNIPE_DEDUP_MAX_SKEW_MS + 1, 2)).verdict,
		  SNIPE_CLAIM_INVALID);
	EXPECT_EQ(claim(make_id(now_ms - SNIPE_DEDUP_WINDOW_MS, 3)).verdict,
		  SNIPE_CLAIM_GRANTED);
	EXPECT_EQ(claim(make_id(now_ms - SNIPE_DEDUP_WINDOW_MS - 1, 4)).verdict,
		  SNIPE_CLAIM_TOO_OLD);
	int64_t since = now_ms - 10000;
	EXPECT_EQ(claim(make_id(since + SNIPE_DEDUP_TAKEOVER_MS, 5), now_ms, since).verdict,
		  SNIPE_CLAIM_OWNER_CHANGED);
	EXPECT_EQ(claim(make_id(since + SNIPE_DEDUP_TAKEOVER_MS + 1, 6), now_ms, since).verdict,
		  SNIPE_CLAIM_GRANTED);
}

TEST_F(Dedup, IdentifierStaysTooOldAfterAClockStepBack)
{
	std::string id = make_id(now_ms, 1);

	claim(id);
	snipe_dedup_tick(&d, now_ms + SNIPE_DEDUP_WINDOW_MS + 1);
	EXPECT_EQ(claim(id).verdict, SNIPE_CLAIM_TOO_OLD);
}

TEST_F(Dedup, FullStoreEvictsResponsesThenRejectsClaims)
{
	std::string response(SNIPE_DEDUP_MAX_RESPONSE_BYTES, 'b'), first = make_id(now_ms, 0);
	int i = 0;

	snipe_dedup_done(&d, claim(first).claim, 1, response.data(), response.size());
	for (i = 1; claim(first).verdict == SNIPE_CLAIM_DONE; i++)
		snipe_dedup_done(&d, claim(make_id(now_ms, i)).claim, 1, response.data(),
				 response.size());
	EXPECT_EQ(claim(first).verdict, SNIPE_CLAIM_DONE_NO_RESPONSE);
	while (claim(make_id(now_ms, i)).verdict == SNIPE_CLAIM_GRANTED)
		i++;
	EXPECT_EQ(claim(make_id(now_ms, i)).verdict, SNIPE_CLAIM_FULL);
	EXPECT_LE(d.bytes, (size_t)SNIPE_DEDUP_MAX_BYTES);
	EXPECT_EQ(claim(first).verdict, SNIPE_CLAIM_DONE_NO_RESPONSE);
	// Rejected claims are not recorded: after the window there is room again.
	int64_t later = now_ms + SNIPE_DEDUP_WINDOW_MS + 1;
	EXPECT_EQ(claim(make_id(later, i), later).verdict, SNIPE_CLAIM_GRANTED);
	EXPECT_LT(d.bytes, 1000u);
}

TEST_F(Dedup, DropShardDropsOnlyThatShard)
{
	std::string id = make_id(now_ms, 1), other = make_id(now_ms, 2);
	int shard = snipe_shard_of_identifier("salon", id.c_str());

	for (int i = 3; snipe_shard_of_identifier("salon", other.c_str()) == shard; i++)
		other = make_id(now_ms, i);
	uint64_t c = claim(id).claim;
	claim(other);
	snipe_dedup_drop_shard(&d, shard);
	EXPECT_EQ(claim(other).verdict, SNIPE_CLAIM_IN_PROGRESS);
	snipe_dedup_done(&d, c, 1, "x", 1); // of the dropped record
	EXPECT_EQ(claim(id, now_ms, now_ms).verdict, SNIPE_CLAIM_OWNER_CHANGED);
}
