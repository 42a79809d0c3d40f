#include "core/session.h"

#include <string.h>

#include "base/error.h"

void snipe_session_init(struct snipe_session *s)
{
	memset(s, 0, sizeof(*s));
	g_queue_init(&s->unacked);
}

static void free_message(gpointer p)
{
	struct snipe_session_message *m = p;

	g_free(m->data);
	g_free(m);
}

void snipe_session_finish(struct snipe_session *s)
{
	snipe_memory_release(s->account, s->unacked_bytes);
	g_queue_clear_full(&s->unacked, free_message);
}

int snipe_session_push(struct snipe_session *s, const void *data, size_t len)
{
	struct snipe_session_message *m;

	if (s->unacked_bytes + len > SNIPE_SESSION_MAX_BYTES)
		return SNIPE_ERR_TOO_LARGE;
	m = g_new0(struct snipe_session_message, 1);
	m->number = ++s->sent;
	m->data = g_memdup2(data, len);
	m->len = len;
	g_queue_push_tail(&s->unacked, m);
	if (!s->first_unwritten)
		s->first_unwritten = s->unacked.tail;
	s->unacked_bytes += len;
	snipe_memory_charge(s->account, len);
	return 0;
}

const struct snipe_session_message *snipe_session_next(struct snipe_session *s, uint64_t offset)
{
	struct snipe_session_message *m;

	if (!s->first_unwritten)
		return NULL;
	m = s->first_unwritten->data;
	s->first_unwritten = s->first_unwritten->next;
	m->is_written = 1;
	m->offset = offset;
	return m;
}

void snipe_session_connection_lost(struct snipe_session *s, uint64_t left_bytes)
{
	for (GList *l = s->unacked.head; l; l = l->next) {
		struct snipe_session_message *m = l->data;

		m->may_have_left |= m->is_written && m->offset < left_bytes;
		m->is_written = 0;
	}
	s->first_unwritten = s->unacked.head;
}

int snipe_session_may_have_left(const struct snipe_session *s, uint64_t number)
{
	if (number <= s->acked)
		return 1;
	for (const GList *l = s->unacked.head; l; l = l->next) {
		const struct snipe_session_message *m = l->data;

		if (m->number == number)
			return m->may_have_left;
	}
	return 0;
}

int snipe_session_acknowledge(struct snipe_session *s, uint64_t number)
{
	if (number > s->sent)
		return SNIPE_ERR_SYNTAX;
	while (s->acked < number) {
		struct snipe_session_message *m = s->unacked.head->data;

		if (s->first_unwritten == s->unacked.head)
			s->first_unwritten = s->unacked.head->next;
		g_queue_pop_head(&s->unacked);
		s->acked = m->number;
		s->unacked_bytes -= m->len;
		snipe_memory_release(s->account, m->len);
		free_message(m);
	}
	return 0;
}

int snipe_session_resume(struct snipe_session *s, uint64_t received)
{
	if (received < s->acked || received > s->sent)
		return SNIPE_ERR_SYNTAX;
	snipe_session_acknowledge(s, received);
	for (GList *l = s->unacked.head; l; l = l->next)
		((struct snipe_session_message *)l->data)->is_written = 0;
	s->first_unwritten = s->unacked.head;
	return 0;
}

int snipe_session_accept(struct snipe_session *s, uint64_t number, size_t len)
{
	if (number <= s->received)
		return 0;
	if (number != s->received + 1)
		return SNIPE_ERR_SYNTAX;
	s->received = number;
	s->unstated_bytes += len;
	return 1;
}

void snipe_session_state_received(struct snipe_session *s)
{
	s->stated = s->received;
	s->unstated_bytes = 0;
}
