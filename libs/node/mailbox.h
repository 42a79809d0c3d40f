/*
 * Mailbox of a task: a queue of messages that the event loop delivers in order.
 */
#ifndef SNIPE_MAILBOX_H
#define SNIPE_MAILBOX_H

#ifdef __cplusplus
extern "C" {
#endif

struct event;
struct event_base;
struct snipe_task_message;

typedef void (*snipe_mailbox_handler)(void *owner, const struct snipe_task_message *msg);

/* Fields are private. */
struct snipe_mailbox {
	struct event *wake;
	struct snipe_mailbox_entry *head, *tail;
	snipe_mailbox_handler handler;
	void *owner;
};

void snipe_mailbox_init(struct snipe_mailbox *box, struct event_base *base,
			snipe_mailbox_handler handler, void *owner);
/* Drops what was not delivered. */
void snipe_mailbox_finish(struct snipe_mailbox *box);

/*
 * Queues a copy of msg; the handler runs later from the loop, never inside this call. A
 * snapshot in msg gets a reference of its own, which the mailbox drops after the handler; a
 * handler that keeps the snapshot takes another one.
 */
void snipe_mailbox_post(struct snipe_mailbox *box, const struct snipe_task_message *msg);

#ifdef __cplusplus
}
#endif

#endif
