#include <stdio.h>
#include <string.h>

#include "node/caller_state.h"
#include "base/clock.h"

static void ask(struct snipe_caller_task *t, const char *workspace, int want, int ahead)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_QUOTA_ASK};

	if (want <= 0 && ahead <= 0)
		return;
	snprintf(m.u.quota_ask.workspace, SNIPE_NAME_SIZE, "%s", workspace);
	m.u.quota_ask.want = want;
	m.u.quota_ask.ahead = ahead;
	m.u.quota_ask.sent_us = snipe_now_us();
	snipe_mailbox_post(t->control, &m);
}

static GQueue *queue_of(struct snipe_caller_task *t, const char *workspace)
{
	GQueue *q = g_hash_table_lookup(t->token_queues, workspace);

	if (!q) {
		q = g_queue_new();
		g_hash_table_insert(t->token_queues, g_strdup(workspace), q);
	}
	return q;
}

void snipe_call_take_token(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;
	int want = 0, ahead = 0;
	int64_t retry_after_us = 0;
	enum snipe_quota_verdict verdict = snipe_quota_cache_take(
		&t->quota, snipe_now_us(), call->workspace, &want, &ahead, &retry_after_us);

	ask(t, call->workspace, want, ahead);
	switch (verdict) {
	case SNIPE_QUOTA_TAKEN:
		snipe_call_send(call);
		break;
	case SNIPE_QUOTA_WAIT:
		call->state = SNIPE_CALL_WAIT_TOKEN;
		g_queue_push_tail(queue_of(t, call->workspace), call);
		snipe_call_set_timer(call, call->deadline_us);
		break;
	case SNIPE_QUOTA_EXHAUSTED:
		call->retry_after_us = retry_after_us;
		snipe_call_reject(call, SNIPE_REASON_OVER_RATE);
		break;
	}
}

void snipe_call_leave_token_queue(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;

	if (g_queue_remove(queue_of(t, call->workspace), call))
		snipe_quota_cache_cancel_wait(&t->quota, call->workspace);
}

static struct snipe_call *pop(GQueue *q)
{
	struct snipe_call *call = g_queue_pop_head(q);

	if (call)
		call->state = SNIPE_CALL_CHECKING;
	return call;
}

void snipe_caller_on_quota_grant(struct snipe_caller_task *t,
				 const struct snipe_task_message *m)
{
	const char *workspace = m->u.quota_grant.workspace;
	int failed = m->u.quota_grant.failed;
	GQueue *q = queue_of(t, workspace);
	int serve = 0, refuse = 0, want = 0, ahead = 0;
	struct snipe_call *call;
	guint waiting;

	snipe_quota_cache_on_grant(&t->quota, snipe_now_us(), workspace,
				   m->u.quota_grant.sent_us, &m->u.quota_grant.grant, failed,
				   &serve, &refuse, &want, &ahead);
	while (serve-- > 0 && (call = pop(q)))
		snipe_call_send(call);
	/* Only calls that wait now; rejecting one never adds another. */
	waiting = refuse ? g_queue_get_length(q) : 0;
	while (waiting-- > 0 && (call = pop(q))) {
		call->retry_after_us = m->u.quota_grant.grant.retry_after_us;
		snipe_call_reject(call, failed ? SNIPE_REASON_QUOTA_OWNER_UNAVAILABLE
					       : SNIPE_REASON_OVER_RATE);
	}
	ask(t, workspace, want, ahead);
}

void snipe_caller_return_tokens(struct snipe_caller_task *t)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_QUOTA_RETURN};
	const char *workspace;

	while (snipe_quota_cache_next_return(&t->quota, snipe_now_us(), &workspace,
					     &m.u.quota_return.grant,
					     &m.u.quota_return.tokens)) {
		snprintf(m.u.quota_return.workspace, SNIPE_NAME_SIZE, "%s", workspace);
		snipe_mailbox_post(t->control, &m);
	}
}
