#include <string.h>

#include "base/clock.h"
#include "node/control_internal.h"

#define CLAIM_TIMEOUT_US 1000000

/* A claim that this node asked for. */
struct claiming {
	struct snipe_control_task *task;
	uint64_t call;
	struct snipe_claim_handle handle;
};

static void post_answer(struct claiming *c, const struct snipe_msg_dedup_answer *a)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_CLAIM_ANSWER};

	m.u.claim_answer.call = c->call;
	m.u.claim_answer.failed = !a || a->not_owner;
	m.u.claim_answer.claim = c->handle;
	if (a) {
		m.u.claim_answer.verdict = (enum snipe_claim_verdict)a->verdict;
		m.u.claim_answer.claim.claim = a->claim;
		m.u.claim_answer.answer = g_memdup2(a->answer.data, a->answer.len);
		m.u.claim_answer.answer_len = a->answer.len;
	}
	snipe_mailbox_post(c->task->caller_box, &m);
}

static void on_claim_answer(void *arg, int err, const struct snipe_message *reply,
			    const char *body, size_t body_len)
{
	struct claiming *c = arg;

	(void)body;
	(void)body_len;
	post_answer(c, err || reply->type != SNIPE_MSG_DEDUP_ANSWER ? NULL
								    : &reply->u.dedup_answer);
	g_free(c);
}

void snipe_control_claim_ask(struct snipe_control_task *t, const struct snipe_task_message *m)
{
	int shard =
		snipe_shard_of_identifier(m->u.claim_ask.workspace, m->u.claim_ask.identifier);
	const struct snipe_shard *s = snipe_ownership_shard(&t->ownership, shard);
	struct claiming *c = g_new0(struct claiming, 1);
	struct snipe_address owner;
	struct snipe_message msg;

	c->task = t;
	c->call = m->u.claim_ask.call;
	memcpy(c->handle.workspace, m->u.claim_ask.workspace, SNIPE_NAME_SIZE);
	memcpy(c->handle.identifier, m->u.claim_ask.identifier, sizeof(c->handle.identifier));
	memcpy(c->handle.owner, s->owner, sizeof(c->handle.owner));
	c->handle.owner_process = s->process;
	if (snipe_control_owner(t, shard, &owner) < 0) {
		post_answer(c, NULL);
		g_free(c);
		return;
	}
	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_DEDUP_CLAIM;
	memcpy(msg.u.dedup_claim.workspace, c->handle.workspace, SNIPE_NAME_SIZE);
	memcpy(msg.u.dedup_claim.identifier, c->handle.identifier,
	       sizeof(msg.u.dedup_claim.identifier));
	msg.u.dedup_claim.fingerprint = m->u.claim_ask.fingerprint;
	snipe_peer_request(t->peers, &owner, &msg, NULL, 0, CLAIM_TIMEOUT_US, on_claim_answer,
			   c);
}

/* Tells the process that granted the claim how the request ended. */
void snipe_control_claim_end(struct snipe_control_task *t, const struct snipe_task_message *m)
{
	const struct snipe_claim_handle *h = &m->u.claim_done.claim;
	const struct snipe_member *owner = snipe_membership_find(&t->members, h->owner);
	struct snipe_message msg;

	if (!owner || owner->process != h->owner_process)
		return;
	memset(&msg, 0, sizeof(msg));
	if (m->type == SNIPE_TASK_CLAIM_RELEASE) {
		msg.type = SNIPE_MSG_DEDUP_RELEASE;
		msg.u.dedup_release.claim = h->claim;
	} else {
		msg.type = SNIPE_MSG_DEDUP_DONE;
		msg.u.dedup_done.claim = h->claim;
		msg.u.dedup_done.is_known = m->u.claim_done.known;
		msg.u.dedup_done.answer.data = m->u.claim_done.answer;
		msg.u.dedup_done.answer.len = m->u.claim_done.answer_len;
	}
	snipe_peer_send(t->peers, &owner->address, &msg);
}

/* Wall time when this process began to act on the shard; 0 at the very first epoch. */
static int64_t owner_since_wall_ms(const struct snipe_control_task *t, int shard)
{
	int64_t acts_from = snipe_ownership_acts_from(&t->ownership, shard);

	if (snipe_ownership_shard(&t->ownership, shard)->epoch == 1)
		return 0;
	return snipe_wall_ms() - (snipe_now_us() - acts_from) / 1000;
}

void snipe_control_on_claim(void *arg, const struct snipe_peer_origin *from,
			    const struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_control_task *t = arg;
	const struct snipe_msg_dedup_claim *c = &msg->u.dedup_claim;
	int shard = snipe_shard_of_identifier(c->workspace, c->identifier);
	struct snipe_claim_result answer;
	struct snipe_message m;

	(void)body;
	(void)body_len;
	memset(&m, 0, sizeof(m));
	m.type = SNIPE_MSG_DEDUP_ANSWER;
	if (!snipe_control_may_act(t, shard, snipe_now_us())) {
		m.u.dedup_answer.not_owner = 1;
	} else {
		memset(&answer, 0, sizeof(answer));
		snipe_dedup_claim(&t->dedup, snipe_wall_ms(), owner_since_wall_ms(t, shard),
				  c->workspace, c->identifier, c->fingerprint, &answer);
		m.u.dedup_answer.verdict = answer.verdict;
		m.u.dedup_answer.claim = answer.claim;
		m.u.dedup_answer.answer.data = answer.response;
		m.u.dedup_answer.answer.len = answer.response_len;
	}
	snipe_counters_add(t->counters, t->count_claims, 1);
	snipe_peer_reply(t->peers, from, &m, NULL, 0);
}

void snipe_control_on_claim_end(void *arg, const struct snipe_peer_origin *from,
				const struct snipe_message *msg, const char *body,
				size_t body_len)
{
	struct snipe_control_task *t = arg;

	(void)from;
	(void)body;
	(void)body_len;
	if (msg->type == SNIPE_MSG_DEDUP_RELEASE)
		snipe_dedup_release(&t->dedup, msg->u.dedup_release.claim);
	else
		snipe_dedup_done(&t->dedup, msg->u.dedup_done.claim, msg->u.dedup_done.is_known,
				 msg->u.dedup_done.answer.data, msg->u.dedup_done.answer.len);
}
