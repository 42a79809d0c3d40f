#include <string.h>

#include "base/clock.h"
#include "node/control_internal.h"

#define ASK_TIMEOUT_US 500000
/* Nodes return unused tokens after about 150 ms; an ask waits for them no longer than this. */
#define RETURN_WAIT_US 250000

/* An ask of this node, until its grant comes. */
struct asking {
	struct snipe_control_task *task;
	char workspace[SNIPE_NAME_SIZE];
	int64_t sent_us;
};

/* An ask at the owner that waits for returned tokens. */
struct delayed_ask {
	struct snipe_peer_origin origin;
	struct snipe_msg_quota_ask ask;
	int64_t until_us;
};

static void post_grant(struct snipe_control_task *t, const char *workspace, int64_t sent_us,
		       const struct snipe_msg_quota_grant *g)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_QUOTA_GRANT};

	g_strlcpy(m.u.quota_grant.workspace, workspace, sizeof(m.u.quota_grant.workspace));
	m.u.quota_grant.sent_us = sent_us;
	m.u.quota_grant.failed = !g || g->not_owner;
	if (g) {
		m.u.quota_grant.grant.id = g->grant;
		m.u.quota_grant.grant.tokens = g->tokens;
		m.u.quota_grant.grant.prefetch_tokens = g->ahead;
		m.u.quota_grant.grant.retry_after_us = g->retry_after_us;
	}
	snipe_mailbox_post(t->caller_box, &m);
}

static void on_grant(void *arg, int err, const struct snipe_message *reply, const char *body,
		     size_t body_len)
{
	struct asking *a = arg;

	(void)body;
	(void)body_len;
	post_grant(a->task, a->workspace, a->sent_us,
		   err || reply->type != SNIPE_MSG_QUOTA_GRANT ? NULL : &reply->u.quota_grant);
	g_free(a);
}

void snipe_control_quota_ask(struct snipe_control_task *t, const struct snipe_task_message *m)
{
	const char *workspace = m->u.quota_ask.workspace;
	struct snipe_address owner;
	struct snipe_message msg;
	struct asking *a;

	if (snipe_control_owner(t, snipe_shard_of_workspace(workspace), &owner) < 0) {
		post_grant(t, workspace, m->u.quota_ask.sent_us, NULL);
		return;
	}
	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_QUOTA_ASK;
	memcpy(msg.u.quota_ask.workspace, workspace, sizeof(msg.u.quota_ask.workspace));
	msg.u.quota_ask.want = m->u.quota_ask.want;
	msg.u.quota_ask.ahead = m->u.quota_ask.ahead;
	a = g_new0(struct asking, 1);
	a->task = t;
	memcpy(a->workspace, workspace, sizeof(a->workspace));
	a->sent_us = m->u.quota_ask.sent_us;
	snipe_peer_request(t->peers, &owner, &msg, NULL, 0, ASK_TIMEOUT_US, on_grant, a);
}

void snipe_control_quota_return(struct snipe_control_task *t,
				const struct snipe_task_message *m)
{
	struct snipe_address owner;
	struct snipe_message msg;

	if (snipe_control_owner(t, snipe_shard_of_workspace(m->u.quota_return.workspace),
				&owner) < 0)
		return;
	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_QUOTA_RETURN;
	memcpy(msg.u.quota_return.workspace, m->u.quota_return.workspace,
	       sizeof(msg.u.quota_return.workspace));
	msg.u.quota_return.grant = m->u.quota_return.grant;
	msg.u.quota_return.tokens = m->u.quota_return.tokens;
	snipe_peer_send(t->peers, &owner, &msg);
}

/* Works out a grant; the clock is read immediately before the check of the ownership. */
static void grant(struct snipe_control_task *t, const struct snipe_peer_origin *to,
		  const struct snipe_msg_quota_ask *ask)
{
	int shard = snipe_shard_of_workspace(ask->workspace);
	int64_t now = snipe_now_us();
	const struct snipe_workspace *w = NULL;
	struct snipe_message m;
	struct snipe_grant g;
	int index;

	memset(&m, 0, sizeof(m));
	memset(&g, 0, sizeof(g));
	m.type = SNIPE_MSG_QUOTA_GRANT;
	index = t->tables ? snipe_tables_find_workspace(&t->tables->tables, ask->workspace)
			  : -1;
	if (index >= 0)
		w = &t->tables->tables.workspaces[index];
	if (!w || !snipe_control_may_act(t, shard, now))
		m.u.quota_grant.not_owner = 1;
	else
		snipe_quota_owner_grant(&t->quota, now, ask->workspace, w->rate, w->burst,
					snipe_ownership_acts_from(&t->ownership, shard),
					snipe_ownership_shard(&t->ownership, shard)->epoch == 1,
					ask->want, ask->ahead, &g);
	m.u.quota_grant.grant = g.id;
	m.u.quota_grant.tokens = g.tokens;
	m.u.quota_grant.ahead = g.prefetch_tokens;
	m.u.quota_grant.retry_after_us = g.retry_after_us;
	snipe_counters_add(t->counters, t->count_grants, 1);
	snipe_peer_reply(t->peers, to, &m, NULL, 0);
}

void snipe_control_on_quota_ask(void *arg, const struct snipe_peer_origin *from,
				const struct snipe_message *msg, const char *body,
				size_t body_len)
{
	struct snipe_control_task *t = arg;
	const struct snipe_msg_quota_ask *ask = &msg->u.quota_ask;
	int64_t now = snipe_now_us();
	struct delayed_ask *d;

	(void)body;
	(void)body_len;
	if (!snipe_quota_owner_should_delay(&t->quota, now, ask->workspace, ask->want)) {
		grant(t, from, ask);
		return;
	}
	d = g_new0(struct delayed_ask, 1);
	d->origin = *from;
	d->ask = *ask;
	d->until_us = now + RETURN_WAIT_US;
	g_queue_push_tail(&t->delayed, d);
}

/* Answers delayed asks whose tokens came back, or that waited long enough. */
static void answer_delayed(struct snipe_control_task *t)
{
	int64_t now = snipe_now_us();
	guint n = g_queue_get_length(&t->delayed);

	while (n-- > 0) {
		struct delayed_ask *d = g_queue_pop_head(&t->delayed);

		if (now < d->until_us &&
		    snipe_quota_owner_should_delay(&t->quota, now, d->ask.workspace,
						   d->ask.want)) {
			g_queue_push_tail(&t->delayed, d);
			continue;
		}
		grant(t, &d->origin, &d->ask);
		g_free(d);
	}
}

void snipe_control_on_quota_return(void *arg, const struct snipe_peer_origin *from,
				   const struct snipe_message *msg, const char *body,
				   size_t body_len)
{
	struct snipe_control_task *t = arg;

	(void)from;
	(void)body;
	(void)body_len;
	snipe_quota_owner_return(&t->quota, snipe_now_us(), msg->u.quota_return.grant,
				 msg->u.quota_return.tokens);
	answer_delayed(t);
}

void snipe_control_quota_tick(struct snipe_control_task *t, int64_t now)
{
	answer_delayed(t);
	snipe_quota_owner_tick(&t->quota, now);
}
