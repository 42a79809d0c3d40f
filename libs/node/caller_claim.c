#include <event2/buffer.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/dedup.h"
#include "node/caller_state.h"
#include "base/clock.h"
#include "wire/frame.h"

void snipe_call_ask_claim(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;
	struct snipe_task_message m = {.type = SNIPE_TASK_CLAIM_ASK};

	m.u.claim_ask.call = call->id;
	memcpy(m.u.claim_ask.workspace, call->workspace, SNIPE_NAME_SIZE);
	snprintf(m.u.claim_ask.identifier, sizeof(m.u.claim_ask.identifier), "%s",
		 call->identifier);
	m.u.claim_ask.fingerprint = call->fingerprint;
	call->state = SNIPE_CALL_WAIT_CLAIM;
	g_hash_table_insert(t->claim_waits, &call->id, call);
	snipe_call_set_timer(call, call->deadline_us);
	snipe_mailbox_post(t->control, &m);
}

static enum snipe_reason verdict_reason(enum snipe_claim_verdict verdict)
{
	switch (verdict) {
	case SNIPE_CLAIM_IN_PROGRESS:
		return SNIPE_REASON_DUPLICATE_IN_PROGRESS;
	case SNIPE_CLAIM_OWNER_CHANGED:
		return SNIPE_REASON_OWNER_CHANGED;
	case SNIPE_CLAIM_TOO_OLD:
		return SNIPE_REASON_IDENTIFIER_TOO_OLD;
	case SNIPE_CLAIM_INVALID:
		return SNIPE_REASON_IDENTIFIER_INVALID;
	case SNIPE_CLAIM_FULL:
		return SNIPE_REASON_IDENTIFIER_STORE_FULL;
	default:
		return SNIPE_REASON_DUPLICATE_UNKNOWN;
	}
}

/* Gives the stored response of the first attempt, an encoded ANSWER. */
static void replay(struct snipe_call *call, const char *answer, size_t len)
{
	struct snipe_decoded d;
	int n = answer ? snipe_frame_peek(answer, len) : SNIPE_ERR_TRUNCATED;

	if (n < 0 || snipe_message_decode(answer + SNIPE_FRAME_HEADER_BYTES, (size_t)n, &d)) {
		snipe_call_reject(call, SNIPE_REASON_DUPLICATE_UNKNOWN);
		return;
	}
	if (d.message.type == SNIPE_MSG_ANSWER)
		snipe_call_complete(call, &d.message.u.answer, d.message.u.answer.chunk.data,
				    d.message.u.answer.chunk.len, 1);
	else
		snipe_call_reject(call, SNIPE_REASON_DUPLICATE_UNKNOWN);
	snipe_decoded_finish(&d);
}

static void post_release(struct snipe_caller_task *t, const struct snipe_claim_handle *claim)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_CLAIM_RELEASE};

	m.u.claim_done.claim = *claim;
	snipe_mailbox_post(t->control, &m);
}

void snipe_caller_on_claim_answer(struct snipe_caller_task *t,
				  const struct snipe_task_message *m)
{
	uint64_t id = m->u.claim_answer.call;
	struct snipe_call *call = g_hash_table_lookup(t->claim_waits, &id);
	int granted =
		!m->u.claim_answer.failed && m->u.claim_answer.verdict == SNIPE_CLAIM_GRANTED;

	if (!call) {
		/* The call ended meanwhile and was not sent. */
		if (granted)
			post_release(t, &m->u.claim_answer.claim);
		return;
	}
	g_hash_table_remove(t->claim_waits, &id);
	call->state = SNIPE_CALL_CHECKING;
	if (m->u.claim_answer.failed) {
		snipe_call_reject(call, SNIPE_REASON_IDENTIFIER_OWNER_UNAVAILABLE);
	} else if (granted) {
		call->claim = g_memdup2(&m->u.claim_answer.claim, sizeof(*call->claim));
		snipe_call_choose_server(call);
	} else if (m->u.claim_answer.verdict == SNIPE_CLAIM_DONE) {
		replay(call, m->u.claim_answer.answer, m->u.claim_answer.answer_len);
	} else {
		snipe_call_reject(call, verdict_reason(m->u.claim_answer.verdict));
	}
}

static void post_done(struct snipe_call *call, int known, char *answer, size_t len)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_CLAIM_DONE};

	m.u.claim_done.claim = *call->claim;
	m.u.claim_done.known = known;
	m.u.claim_done.answer = answer;
	m.u.claim_done.answer_len = len;
	snipe_mailbox_post(call->task->control, &m);
	g_free(call->claim);
	call->claim = NULL;
}

void snipe_call_claim_done(struct snipe_call *call, const struct snipe_msg_answer *answer,
			   const char *body, size_t body_len)
{
	struct snipe_message msg = {.type = SNIPE_MSG_ANSWER};
	struct snipe_buffer out;

	if (body_len > SNIPE_DEDUP_MAX_RESPONSE_BYTES) {
		post_done(call, 1, NULL, 0);
		return;
	}
	msg.u.answer = *answer;
	msg.u.answer.chunk.data = body;
	msg.u.answer.chunk.len = body_len;
	msg.u.answer.body_len = body_len;
	snipe_buffer_init(&out);
	snipe_message_encode(&msg, &out);
	if (out.len > SNIPE_DEDUP_MAX_RESPONSE_BYTES)
		post_done(call, 1, NULL, 0);
	else
		post_done(call, 1, g_memdup2(out.data, out.len), out.len);
	snipe_buffer_finish(&out);
}

void snipe_call_claim_unknown(struct snipe_call *call)
{
	post_done(call, 0, NULL, 0);
}

void snipe_call_claim_release(struct snipe_call *call)
{
	post_release(call->task, call->claim);
	g_free(call->claim);
	call->claim = NULL;
}

void snipe_caller_send_identifier(struct evhttp_request *req)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(req);
	uint8_t random[10];
	char text[40];

	if (snipe_random_bytes(random, sizeof(random))) {
		evhttp_send_error(req, HTTP_SERVUNAVAIL, NULL);
		return;
	}
	snipe_identifier_make(snipe_wall_ms(), random, text);
	evbuffer_add_printf(out, "%s\n", text);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", "text/plain");
	evhttp_send_reply(req, HTTP_OK, NULL, NULL);
}
