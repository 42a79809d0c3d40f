#include "h1/stream.h"

#include <errno.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Received at a time: a request with a small body. */
#define RECEIVE_BYTES (16 * 1024)
/* Input kept while it cannot be consumed; beyond it, the peer has to wait. */
#define MAX_UNREAD_BYTES (64 * 1024)

static void remove_prefix(struct snipe_buffer *buf, size_t len)
{
	buf->len -= len;
	memmove(buf->data, buf->data + len, buf->len);
}

/* Receives only while there is room for input that cannot be consumed. */
static void update_reading(struct snipe_h1_stream *s)
{
	int has_room = s->unread.len < MAX_UNREAD_BYTES;

	if (s->unread.len == 0)
		snipe_buffer_finish(&s->unread);
	if (has_room == !!event_pending(&s->read, EV_READ, NULL))
		return;
	if (has_room)
		event_add(&s->read, NULL);
	else
		event_del(&s->read);
	snipe_memory_update(s->account, &s->charged,
			    has_room ? 0 : SNIPE_H1_STREAM_WINDOW_BYTES);
}

/* Passes bytes on. Returns the number that was consumed, or -1 if the stream was finished. */
static ssize_t pass_on(struct snipe_h1_stream *s, const char *data, size_t len)
{
	ssize_t consumed;

	s->is_reading = 1;
	consumed = s->ops->received(s->arg, data, len);
	if (consumed >= 0)
		s->is_reading = 0;
	return consumed;
}

void snipe_h1_stream_resume(struct snipe_h1_stream *s)
{
	ssize_t consumed;

	if (s->is_reading || s->unread.len == 0)
		return;
	consumed = pass_on(s, s->unread.data, s->unread.len);
	if (consumed < 0)
		return;
	remove_prefix(&s->unread, (size_t)consumed);
	update_reading(s);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	static char data[RECEIVE_BYTES];
	struct snipe_h1_stream *s = arg;
	ssize_t len, consumed = 0;

	(void)what;
	if (snipe_memory_is_exceeded(s->account))
		return;
	len = recv(fd, data, sizeof(data), 0);
	if (len <= 0) {
		if (len == 0 || (errno != EAGAIN && errno != EINTR))
			s->ops->ended(s->arg);
		return;
	}
	if (s->unread.len > 0) {
		snipe_buffer_append(&s->unread, data, (size_t)len);
		snipe_h1_stream_resume(s);
		return;
	}
	consumed = pass_on(s, data, (size_t)len);
	if (consumed < 0 || consumed == len)
		return;
	snipe_buffer_append(&s->unread, data + consumed, (size_t)(len - consumed));
	update_reading(s);
}

/* Hands bytes to the kernel. Returns how many it took; on an error of the connection none, and
 * the event that reports it follows. */
static size_t hand_over(struct snipe_h1_stream *s, const char *data, size_t len)
{
	ssize_t n = send(s->fd, data, len, MSG_NOSIGNAL);

	return n > 0 ? (size_t)n : 0;
}

static void on_writable(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_h1_stream *s = arg;
	size_t n = hand_over(s, s->unsent.data + s->sent_len, snipe_h1_stream_unsent(s));

	(void)fd;
	(void)what;
	if (n == 0 && errno != EAGAIN && errno != EINTR) {
		s->ops->ended(s->arg);
		return;
	}
	s->sent_len += n;
	if (snipe_h1_stream_unsent(s) > 0)
		return;
	event_del(&s->write);
	snipe_buffer_finish(&s->unsent);
	s->sent_len = 0;
	s->ops->drained(s->arg);
}

void snipe_h1_stream_init(struct snipe_h1_stream *s, struct event_base *base, int fd,
			  const struct snipe_h1_stream_ops *ops, void *arg)
{
	memset(s, 0, sizeof(*s));
	s->ops = ops;
	s->arg = arg;
	s->fd = fd;
	snipe_buffer_init(&s->unread);
	snipe_buffer_init(&s->unsent);
	event_assign(&s->read, base, fd, EV_READ | EV_PERSIST, on_readable, s);
	event_assign(&s->write, base, fd, EV_WRITE | EV_PERSIST, on_writable, s);
	event_add(&s->read, NULL);
}

void snipe_h1_stream_set_account(struct snipe_h1_stream *s,
				 struct snipe_memory_account *account)
{
	s->account = s->unread.account = s->unsent.account = account;
}

void snipe_h1_stream_finish(struct snipe_h1_stream *s)
{
	snipe_memory_update(s->account, &s->charged, 0);
	event_del(&s->read);
	event_del(&s->write);
	close(s->fd);
	snipe_buffer_finish(&s->unread);
	snipe_buffer_finish(&s->unsent);
}

void snipe_h1_stream_send(struct snipe_h1_stream *s, const char *data, size_t len)
{
	size_t n = snipe_h1_stream_unsent(s) > 0 ? 0 : hand_over(s, data, len);

	if (n == len)
		return;
	/* Output of a slow peer may never be drained completely. */
	if (s->sent_len > s->unsent.len / 2) {
		remove_prefix(&s->unsent, s->sent_len);
		s->sent_len = 0;
	}
	snipe_buffer_append(&s->unsent, data + n, len - n);
	event_add(&s->write, NULL);
}

void snipe_h1_stream_send_buffer(struct snipe_h1_stream *s, struct snipe_buffer *buf)
{
	size_t n;

	if (snipe_h1_stream_unsent(s) > 0) {
		snipe_h1_stream_send(s, buf->data, buf->len);
	} else if ((n = hand_over(s, buf->data, buf->len)) < buf->len) {
		snipe_buffer_move(buf, &s->unsent);
		s->sent_len = n;
		event_add(&s->write, NULL);
	}
	snipe_buffer_finish(buf);
}

size_t snipe_h1_stream_unsent(const struct snipe_h1_stream *s)
{
	return s->unsent.len - s->sent_len;
}

size_t snipe_h1_stream_unreceived(const struct snipe_h1_stream *s)
{
	int queued = 0;

	if (ioctl(s->fd, SIOCOUTQ, &queued) < 0 || queued < 0)
		queued = 0;
	return snipe_h1_stream_unsent(s) + (size_t)queued;
}

void snipe_h1_stream_shutdown(struct snipe_h1_stream *s)
{
	shutdown(s->fd, SHUT_WR);
}

int snipe_h1_stream_is_peer_closed(const struct snipe_h1_stream *s)
{
	struct pollfd p = {s->fd, POLLRDHUP, 0};

	return poll(&p, 1, 0) > 0;
}
