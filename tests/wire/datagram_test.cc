// Guards against accepting forged or corrupted datagrams and losing updates at the size limit.
#include <gtest/gtest.h>

#include <string>

#include "base/error.h"
#include "wire/datagram.h"

static struct snipe_datagram make_probe(int updates, size_t name_len)
{
	struct snipe_datagram d = {};

	d.type = SNIPE_DATAGRAM_PROBE;
	strcpy(d.from_id, "node-1");
	strcpy(d.from_domain, "tauranga");
	d.u.probe.sequence = 5;
	d.u.probe.update_count = updates;
	for (int i = 0; i < updates; i++) {
		std::string name(name_len, 'x');
		strcpy(d.u.probe.updates[i].node_id, name.c_str());
		strcpy(d.u.probe.updates[i].pool, name.c_str());
		strcpy(d.u.probe.updates[i].region, name.c_str());
		strcpy(d.u.probe.updates[i].failure_domain, name.c_str());
	}
	return d;
}

TEST(Datagram, ProbeRoundTrip)
{
	struct snipe_datagram in = make_probe(3, 10), out;
	struct snipe_buffer buf;

	snipe_buffer_init(&buf);
	ASSERT_EQ(snipe_datagram_encode(&in, "secret", &buf), 0);
	ASSERT_EQ(snipe_datagram_decode(buf.data, buf.len, "secret", &out), 0);
	EXPECT_EQ(out.u.probe.sequence, 5u);
	EXPECT_EQ(out.u.probe.update_count, 3);
	EXPECT_STREQ(out.u.probe.from_id, "node-1");
	EXPECT_EQ(snipe_datagram_decode(buf.data, buf.len, "other", &out), SNIPE_ERR_AUTH);
	buf.data[buf.len - 1] ^= 1;
	EXPECT_EQ(snipe_datagram_decode(buf.data, buf.len, "secret", &out), SNIPE_ERR_AUTH);
	snipe_buffer_finish(&buf);
}

TEST(Datagram, UpdatesThatDoNotFitAreOmittedAndCounted)
{
	struct snipe_datagram in = make_probe(6, 63), out;
	struct snipe_buffer buf;

	snipe_buffer_init(&buf);
	int omitted = snipe_datagram_encode(&in, "secret", &buf);
	EXPECT_GT(omitted, 0);
	EXPECT_LE(buf.len, (size_t)SNIPE_DATAGRAM_MAX_BYTES);
	ASSERT_EQ(snipe_datagram_decode(buf.data, buf.len, "secret", &out), 0);
	EXPECT_EQ(out.u.probe.update_count, 6 - omitted);
	snipe_buffer_finish(&buf);
}

TEST(Datagram, DigestRoundTripsNeverConfirmedAge)
{
	struct snipe_datagram in = {}, out;
	struct snipe_buffer buf;

	in.type = SNIPE_DATAGRAM_DIGEST;
	strcpy(in.from_id, "n");
	in.u.digest.versions[SNIPE_OBJECT_KEYS] = 9;
	in.u.digest.age_us = INT64_MAX;
	in.u.digest.echo = UINT64_MAX;
	in.u.digest.reply_delay_us = 300;
	in.u.digest.is_caught_up = 1;
	snipe_buffer_init(&buf);
	snipe_datagram_encode(&in, "secret", &buf);
	ASSERT_EQ(snipe_datagram_decode(buf.data, buf.len, "secret", &out), 0);
	EXPECT_EQ(out.u.digest.versions[SNIPE_OBJECT_KEYS], 9u);
	EXPECT_EQ(out.u.digest.age_us, INT64_MAX);
	EXPECT_EQ(out.u.digest.echo, UINT64_MAX);
	EXPECT_EQ(out.u.digest.reply_delay_us, 300);
	EXPECT_EQ(out.u.digest.is_caught_up, 1);
	snipe_buffer_finish(&buf);
}
