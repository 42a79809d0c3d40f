// Runs random commands at successive owners of a shard and records the granted identifiers.
// Guards against an identifier that is granted twice, with clocks within 1 s of true time that
// step, owners that restart, lose and regain the shard, and late or duplicate ends of claims.
#include <gtest/gtest.h>

#include <set>

#include "core/dedup.h"
#include "simulation.h"

static const int owner_count = 3;
static long commands_run, granted, rejected_owner_changed, released, takeovers;

struct Claim {
	std::string id;
	int owner;
	uint64_t process, claim;
	bool ended, release;
};

struct Owner {
	snipe_dedup d;
	int64_t offset = 0; // of its wall clock, in ms, at most 1 s
	uint64_t process = 1;
};

class Shard
{
      public:
	explicit Shard(unsigned seed) : e(seed)
	{
		for (Owner &o : owners) {
			snipe_dedup_init(&o.d, (uint64_t)e.uniform(1, INT64_MAX));
			o.offset = e.uniform(-1000, 1000);
		}
	}
	~Shard()
	{
		for (Owner &o : owners)
			snipe_dedup_finish(&o.d);
	}
	int64_t wall(const Owner &o) const
	{
		return true_ms + o.offset;
	}
	void claim(const std::string &id)
	{
		Owner &o = owners[active];
		snipe_claim_result a;

		snipe_dedup_claim(&o.d, wall(o), since, "w", id.c_str(), 1, &a);
		RC_ASSERT(o.d.bytes <= (size_t)SNIPE_DEDUP_MAX_BYTES);
		rejected_owner_changed += a.verdict == SNIPE_CLAIM_OWNER_CHANGED;
		if (a.verdict != SNIPE_CLAIM_GRANTED)
			return;
		granted++;
		RC_ASSERT(granted_ids.insert(id).second);
		claims.push_back({id, active, o.process, a.claim, false, false});
	}
	std::string new_id(int64_t offset)
	{
		uint8_t random[10];
		char out[40];

		for (uint8_t &b : random)
			b = (uint8_t)e.uniform(0, 255);
		snipe_identifier_make(true_ms + offset, random, out);
		ids.push_back(out);
		return out;
	}
	// The end of a claim goes to the owner that granted it, also if it is late or a
	// duplicate.
	void end(Claim &c, bool release)
	{
		Owner &o = owners[c.owner];

		if (release && !c.ended) {
			granted_ids.erase(c.id);
			released++;
		}
		// The caller ends a claim once; a duplicate is the same message again.
		if (!c.ended)
			c.release = release;
		c.ended = true;
		if (c.release)
			snipe_dedup_release(&o.d, c.claim);
		else
			snipe_dedup_done(&o.d, c.claim, 1, "ok", 2);
	}
	void takeover(int to)
	{
		for (int i = 0; i < 64; i++)
			snipe_dedup_drop_shard(&owners[active].d, i);
		active = to;
		since = wall(owners[to]);
		takeovers++;
	}
	void restart(int i)
	{
		Owner &o = owners[i];

		snipe_dedup_finish(&o.d);
		snipe_dedup_init(&o.d, (uint64_t)e.uniform(1, INT64_MAX));
		o.process++;
		o.offset = e.uniform(-1000, 1000);
		if (i == active)
			takeover((i + 1) % owner_count);
	}

	EventQueue e;
	Owner owners[owner_count];
	int active = 0;
	int64_t since = 0, true_ms = 1764840000000;
	std::set<std::string> granted_ids;
	std::vector<std::string> ids;
	std::vector<Claim> claims;
};

enum {
	CLAIM_NEW,
	CLAIM_AGAIN,
	DONE,
	RELEASE,
	DUPLICATE_END,
	WAIT,
	LONG_WAIT,
	STEP,
	TAKEOVER,
	RESTART
};

static void run_command(Shard &s, const Command &c)
{
	Owner &o = s.owners[c.node];

	commands_run++;
	switch (c.op) {
	case CLAIM_NEW:
		// Most client clocks are within 1 s as well; some are off, up to the limits.
		s.claim(s.new_id(c.n < 30   ? s.e.uniform(-1000, 1000)
				 : c.n < 45 ? s.e.uniform(1000, 3100)
				 : c.n < 55 ? s.e.uniform(-602000, -598000)
					    : s.e.uniform(-700000, 10000)));
		break;
	case CLAIM_AGAIN:
		for (int i = 0; i < 3 && !s.ids.empty(); i++)
			s.claim(s.ids[s.ids.size() - 1 -
				      (size_t)s.e.uniform(
					      0, std::min<int64_t>((int64_t)s.ids.size() - 1,
								   c.n))]);
		break;
	case DONE:
	case RELEASE:
	case DUPLICATE_END:
		if (s.claims.empty())
			break;
		for (int i = 0; i < 2; i++) {
			Claim &claim =
				s.claims[(size_t)s.e.uniform(0, (int64_t)s.claims.size() - 1)];
			if (claim.ended == (c.op == DUPLICATE_END))
				s.end(claim, c.op == RELEASE);
		}
		break;
	case WAIT:
		s.true_ms += c.ms;
		break;
	case LONG_WAIT:
		s.true_ms += 100 * c.ms;
		snipe_dedup_tick(&s.owners[s.active].d, s.wall(s.owners[s.active]));
		break;
	case STEP:
		o.offset = s.e.uniform(-1000, 1000);
		break;
	case TAKEOVER:
		s.takeover(c.node);
		break;
	case RESTART:
		s.restart(c.node);
		break;
	default:
		break;
	}
}

TEST(DedupState, NoIdentifierIsGrantedTwice)
{
	bool ok = rc::check([] {
		auto list = *commands({30, 40, 8, 8, 8, 30, 2, 8, 6, 2}, owner_count, 600);
		Shard s(*rc::gen::arbitrary<unsigned>());

		for (const Command &c : list)
			run_command(s, c);
	});
	EXPECT_TRUE(ok);
	printf("commands=%ld granted=%ld owner_changed=%ld released=%ld takeovers=%ld\n",
	       commands_run, granted, rejected_owner_changed, released, takeovers);
	EXPECT_GT(granted, 1000);
	EXPECT_GT(rejected_owner_changed, 0);
}
