#include "node/mailbox.h"

#include <event2/event.h>
#include <glib.h>

#include "node/snapshot.h"
#include "node/task_messages.h"

struct snipe_mailbox_entry {
	struct snipe_mailbox_entry *next;
	struct snipe_task_message msg;
};

static void free_entry(struct snipe_mailbox_entry *entry)
{
	switch (entry->msg.type) {
	case SNIPE_TASK_SNAPSHOT:
		snipe_snapshot_unref(entry->msg.u.snapshot);
		break;
	case SNIPE_TASK_CLAIM_ANSWER:
		g_free(entry->msg.u.claim_answer.answer);
		break;
	case SNIPE_TASK_CLAIM_DONE:
		g_free(entry->msg.u.claim_done.answer);
		break;
	default:
		break;
	}
	g_free(entry);
}

static struct snipe_mailbox_entry *pop(struct snipe_mailbox *box)
{
	struct snipe_mailbox_entry *entry = box->head;

	if (!entry)
		return NULL;
	box->head = entry->next;
	if (!box->head)
		box->tail = NULL;
	return entry;
}

static void deliver(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_mailbox *box = arg;
	struct snipe_mailbox_entry *entry, *last = box->tail;

	(void)fd;
	(void)what;
	/* Messages that handlers post meanwhile wait for the next turn of the loop. */
	while ((entry = pop(box))) {
		int is_last = entry == last;

		box->handler(box->owner, &entry->msg);
		free_entry(entry);
		if (is_last)
			break;
	}
	if (box->head)
		event_active(box->wake, 0, 0);
}

void snipe_mailbox_init(struct snipe_mailbox *box, struct event_base *base,
			snipe_mailbox_handler handler, void *owner)
{
	box->wake = event_new(base, -1, 0, deliver, box);
	box->head = box->tail = NULL;
	box->handler = handler;
	box->owner = owner;
}

void snipe_mailbox_finish(struct snipe_mailbox *box)
{
	struct snipe_mailbox_entry *entry;

	while ((entry = pop(box)))
		free_entry(entry);
	event_free(box->wake);
}

void snipe_mailbox_post(struct snipe_mailbox *box, const struct snipe_task_message *msg)
{
	struct snipe_mailbox_entry *entry = g_new0(struct snipe_mailbox_entry, 1);

	entry->msg = *msg;
	if (msg->type == SNIPE_TASK_SNAPSHOT)
		snipe_snapshot_ref(msg->u.snapshot);
	if (box->tail)
		box->tail->next = entry;
	else
		box->head = entry;
	box->tail = entry;
	event_active(box->wake, 0, 0);
}
