// Guards against fields lost or swapped in the codec and against accepting malformed frames.
#include <gtest/gtest.h>

#include <string>

#include "base/error.h"
#include "wire/frame.h"
#include "wire/message.h"

namespace
{

struct Encoded {
	struct snipe_buffer buf;
	Encoded(const struct snipe_message &m)
	{
		snipe_buffer_init(&buf);
		snipe_message_encode(&m, &buf);
	}
	~Encoded()
	{
		snipe_buffer_finish(&buf);
	}
	const char *payload() const
	{
		return buf.data + SNIPE_FRAME_HEADER_BYTES;
	}
	size_t payload_len() const
	{
		return buf.len - SNIPE_FRAME_HEADER_BYTES;
	}
};

struct snipe_message make_call()
{
	struct snipe_message m = {};

	m.type = SNIPE_MSG_CALL;
	m.stream = 77;
	auto &c = m.u.call;
	strcpy(c.route, "book-infill");
	strcpy(c.pool, "bookings");
	strcpy(c.method, "POST");
	c.path = {"/bookings?x=1", 13};
	strcpy(c.workspace, "salon-kowhai");
	c.importance = SNIPE_IMPORTANCE_CRITICAL;
	c.timeout_us = 1500000;
	c.depth = 3;
	c.attempt = 1;
	strcpy(c.root_address.ip, "127.0.0.1");
	c.root_address.port = 7001;
	c.root_request = 99;
	c.fingerprint = 0xfeedfacecafebeefull;
	c.headers[0] = {{"Accept", 6}, {"*/*", 3}};
	c.header_count = 1;
	c.body_len = 5;
	c.body_hash = 42;
	c.chunk = {"hello", 5};
	return m;
}

} // namespace

TEST(Message, CallRoundTrip)
{
	struct snipe_message m = make_call();
	Encoded e(m);
	struct snipe_decoded d;

	ASSERT_EQ(snipe_frame_peek(e.buf.data, e.buf.len), (int)e.payload_len());
	ASSERT_EQ(snipe_message_decode(e.payload(), e.payload_len(), &d), 0);
	const auto &c = d.message.u.call;
	EXPECT_EQ(d.message.stream, 77u);
	EXPECT_STREQ(c.route, "book-infill");
	EXPECT_EQ(std::string(c.path.data, c.path.len), "/bookings?x=1");
	EXPECT_EQ(c.importance, SNIPE_IMPORTANCE_CRITICAL);
	EXPECT_EQ(c.idempotent, 0);
	EXPECT_EQ(c.depth, 3);
	EXPECT_EQ(c.root_address.port, 7001);
	EXPECT_EQ(c.fingerprint, 0xfeedfacecafebeefull);
	ASSERT_EQ(c.header_count, 1);
	EXPECT_EQ(std::string(c.headers[0].value.data, c.headers[0].value.len), "*/*");
	EXPECT_EQ(std::string(c.chunk.data, c.chunk.len), "hello");
	snipe_decoded_finish(&d);
}

TEST(Message, AnAnswerStatesTheCostOfItsRoute)
{
	struct snipe_message m = {};
	struct snipe_decoded d;

	m.type = SNIPE_MSG_ANSWER;
	m.u.answer.cost = {{{UINT64_MAX, 250000.0}, {3, 1.0}}, 2, 1};
	Encoded e(m);
	ASSERT_EQ(snipe_message_decode(e.payload(), e.payload_len(), &d), 0);
	ASSERT_EQ(d.message.u.answer.cost.count, 2);
	EXPECT_EQ(d.message.u.answer.cost.services[0].service, UINT64_MAX);
	EXPECT_EQ(d.message.u.answer.cost.services[0].slot_us, 250000.0);
	EXPECT_EQ(d.message.u.answer.cost.services[1].service, 3u);
	EXPECT_TRUE(d.message.u.answer.cost.is_rough);
	snipe_decoded_finish(&d);
}

// During an update of a fleet, answers of earlier builds lack the last one or two fields.
TEST(Message, AnswersOfEarlierBuildsAreAccepted)
{
	for (int missing : {1, 2}) {
		struct snipe_message m = {};
		struct snipe_decoded d;

		m.type = SNIPE_MSG_ANSWER;
		m.u.answer.status = 200;
		Encoded e(m);
		// The array header is 0xdc and two bytes of length; the last fields are an
		// empty array and a zero.
		ASSERT_EQ((uint8_t)e.buf.data[SNIPE_FRAME_HEADER_BYTES], 0xdc);
		e.buf.data[SNIPE_FRAME_HEADER_BYTES + 2] -= missing;
		ASSERT_EQ(snipe_message_decode(e.payload(), e.payload_len() - missing, &d), 0);
		EXPECT_EQ(d.message.u.answer.status, 200);
		EXPECT_EQ(d.message.u.answer.cost.count, 0);
		EXPECT_FALSE(d.message.u.answer.cost.is_rough);
		snipe_decoded_finish(&d);
	}
}

TEST(Message, EveryTruncationIsRejected)
{
	struct snipe_message m = make_call();
	Encoded e(m);
	struct snipe_decoded d;

	for (size_t n = 0; n < e.payload_len(); n++)
		ASSERT_EQ(snipe_message_decode(e.payload(), n, &d), SNIPE_ERR_SYNTAX) << n;
}

TEST(Message, NewerVersionIsReported)
{
	struct snipe_message m = {};
	m.type = SNIPE_MSG_PING;
	Encoded e(m);
	struct snipe_decoded d;

	e.buf.data[SNIPE_FRAME_HEADER_BYTES + 1] = SNIPE_PROTOCOL_VERSION + 1;
	EXPECT_EQ(snipe_message_decode(e.payload(), e.payload_len(), &d), SNIPE_ERR_VERSION);
}

TEST(Message, EveryTypeRoundTrips)
{
	struct snipe_member members[2] = {};
	strcpy(members[0].node_id, "a");
	strcpy(members[1].node_id, "b");

	for (int type = SNIPE_MSG_HELLO; type < SNIPE_MSG_TYPE_COUNT; type++) {
		struct snipe_message m = {};
		struct snipe_decoded d;

		m.type = (enum snipe_message_type)type;
		if (type == SNIPE_MSG_MEMBERS) {
			m.u.members.members = members;
			m.u.members.count = 2;
		}
		Encoded e(m);
		ASSERT_EQ(snipe_message_decode(e.payload(), e.payload_len(), &d), 0)
			<< snipe_message_type_name(type);
		EXPECT_EQ(d.message.type, type);
		snipe_decoded_finish(&d);
	}
}

TEST(Frame, OversizedLengthIsRejected)
{
	uint8_t head[4];

	snipe_frame_write_length(head, SNIPE_FRAME_MAX_BYTES + 1);
	EXPECT_EQ(snipe_frame_peek(head, 4), SNIPE_ERR_TOO_LARGE);
	snipe_frame_write_length(head, 0);
	EXPECT_EQ(snipe_frame_peek(head, 4), SNIPE_ERR_TOO_LARGE);
	snipe_frame_write_length(head, 10);
	EXPECT_EQ(snipe_frame_peek(head, 4), SNIPE_ERR_TRUNCATED);
}
