/*
 * Relays TCP connections from a listen port to a target, to bring about network failures.
 *
 *   tcp_relay --target IP:PORT [--port 0] [--control-port 0]
 *
 * Prints "event=listening port=N control_port=M". PUT /control takes a JSON object; members
 * that are not named keep their value:
 *   "cut": true         closes every open connection once
 *   "silent": true      open connections stay open and carry no byte any more, for good; with
 *                       "silent": false only connections opened from then on work again
 *   "silent_new": true  the same for connections opened from now on
 *   "refuse": true      new connections are closed at once
 *   "delay_ms": N       each piece of data is passed on N ms later
 *   "drop_replies": true  what the target sends is dropped and the connection closed, so that
 *                       requests take effect and their responses are lost
 *   "lose_requests": "PREFIX"  data from the caller that begins with PREFIX is dropped and the
 *                       connection closed; "" turns it off
 *   "lose_replies": "PREFIX"   the same for what the target sends after such data
 *   "target": "IP:PORT" for connections opened from now on
 * GET /state returns the number of connections made and open, and bytes passed each way.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/address.h"
#include "support/fake_http.h"

struct pair {
	struct pair *next, *prev;
	struct bufferevent *side[2]; /* 0: from the listen port, 1: to the target */
	struct event *timer[2];
	struct evbuffer *held[2]; /* read from side i, to be written to the other */
	int silent;
	int lose_reply; /* the last data from the caller began with lose_replies */
};

static struct {
	struct event_base *base;
	struct pair pairs; /* head of the ring of open pairs */
	struct sockaddr_storage target;
	int target_len, refuse, delay_ms, silent_new, drop_replies;
	int made, open;
	int64_t bytes[2];
	char lose_requests[32], lose_replies[32];
} g;

static void close_pair(struct pair *p)
{
	p->next->prev = p->prev;
	p->prev->next = p->next;
	for (int i = 0; i < 2; i++) {
		bufferevent_free(p->side[i]);
		event_free(p->timer[i]);
		evbuffer_free(p->held[i]);
	}
	g.open--;
	g_free(p);
}

static int side_of(const struct pair *p, const struct bufferevent *bev)
{
	return p->side[1] == bev;
}

static void pass_on(struct pair *p, int from)
{
	if (p->silent)
		return;
	g.bytes[from] += (int64_t)evbuffer_get_length(p->held[from]);
	bufferevent_write_buffer(p->side[!from], p->held[from]);
}

static void on_delay0(evutil_socket_t fd, short events, void *arg)
{
	(void)fd;
	(void)events;
	pass_on(arg, 0);
}

static void on_delay1(evutil_socket_t fd, short events, void *arg)
{
	(void)fd;
	(void)events;
	pass_on(arg, 1);
}

static int begins_with(struct bufferevent *bev, const char *prefix)
{
	size_t len = strlen(prefix);
	char start[sizeof(g.lose_requests)];

	return len > 0 &&
	       evbuffer_copyout(bufferevent_get_input(bev), start, len) == (ev_ssize_t)len &&
	       memcmp(start, prefix, len) == 0;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct pair *p = arg;
	int from = side_of(p, bev);
	struct timeval tv = {.tv_sec = g.delay_ms / 1000,
			     .tv_usec = (suseconds_t)(g.delay_ms % 1000) * 1000};

	if (p->silent)
		return;
	if (from == 0)
		p->lose_reply = begins_with(bev, g.lose_replies);
	if ((from == 0 && begins_with(bev, g.lose_requests)) ||
	    (from == 1 && (g.drop_replies || p->lose_reply))) {
		close_pair(p);
		return;
	}
	bufferevent_read_buffer(bev, p->held[from]);
	if (g.delay_ms == 0 && !evtimer_pending(p->timer[from], NULL))
		pass_on(p, from);
	else if (!evtimer_pending(p->timer[from], NULL))
		evtimer_add(p->timer[from], &tv);
}

static void on_flushed(struct bufferevent *bev, void *arg)
{
	(void)bev;
	close_pair(arg);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct pair *p = arg;
	int from = side_of(p, bev);
	struct bufferevent *other = p->side[!from];

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (p->silent)
		return;
	pass_on(p, from);
	if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
		close_pair(p);
		return;
	}
	bufferevent_setcb(bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(bev, EV_READ | EV_WRITE);
	bufferevent_setcb(other, NULL, on_flushed, on_event, p);
}

static void silence(struct pair *p)
{
	p->silent = 1;
	bufferevent_disable(p->side[0], EV_READ | EV_WRITE);
	bufferevent_disable(p->side[1], EV_READ | EV_WRITE);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
		      int len, void *arg)
{
	struct pair *p;

	(void)l;
	(void)sa;
	(void)len;
	(void)arg;
	if (g.refuse) {
		evutil_closesocket(fd);
		return;
	}
	p = g_new0(struct pair, 1);
	p->side[0] = bufferevent_socket_new(g.base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->side[1] = bufferevent_socket_new(g.base, -1, BEV_OPT_CLOSE_ON_FREE);
	p->timer[0] = evtimer_new(g.base, on_delay0, p);
	p->timer[1] = evtimer_new(g.base, on_delay1, p);
	p->next = &g.pairs;
	p->prev = g.pairs.prev;
	p->prev->next = p;
	p->next->prev = p;
	g.made++;
	g.open++;
	for (int i = 0; i < 2; i++) {
		p->held[i] = evbuffer_new();
		bufferevent_setcb(p->side[i], on_read, NULL, on_event, p);
		bufferevent_enable(p->side[i], EV_READ | EV_WRITE);
	}
	if (bufferevent_socket_connect(p->side[1], (struct sockaddr *)&g.target, g.target_len) <
	    0) {
		close_pair(p);
		return;
	}
	if (g.silent_new)
		silence(p);
}

static int set_target(const char *text)
{
	struct snipe_address a;

	if (snipe_address_parse(text, &a))
		return -1;
	g.target_len = snipe_address_to_sockaddr(&a, &g.target);
	return 0;
}

static void set_prefix(const json_t *doc, const char *name, char out[32])
{
	const char *s = json_string_value(json_object_get(doc, name));

	if (s)
		snprintf(out, 32, "%s", s);
}

static void apply_control(const json_t *doc)
{
	const char *target = json_string_value(json_object_get(doc, "target"));
	int cut = 0, silent = 0;

	fake_json_bool(doc, "cut", &cut);
	fake_json_bool(doc, "silent", &silent);
	fake_json_bool(doc, "silent_new", &g.silent_new);
	fake_json_bool(doc, "refuse", &g.refuse);
	fake_json_bool(doc, "drop_replies", &g.drop_replies);
	fake_json_int(doc, "delay_ms", &g.delay_ms);
	set_prefix(doc, "lose_requests", g.lose_requests);
	set_prefix(doc, "lose_replies", g.lose_replies);
	if (target)
		set_target(target);
	while (cut && g.pairs.next != &g.pairs)
		close_pair(g.pairs.next);
	for (struct pair *p = g.pairs.next; silent && p != &g.pairs; p = p->next)
		silence(p);
}

static void on_control(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_request_get_uri(req);
	json_t *doc;

	(void)arg;
	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT &&
	    strcmp(path, "/control") == 0) {
		doc = fake_body_json(req);
		if (!doc)
			return;
		apply_control(doc);
		json_decref(doc);
		fake_reply_json(req, 200, json_object());
	} else if (strcmp(path, "/state") == 0) {
		fake_reply_json(req, 200,
				json_pack("{s:i,s:i,s:I,s:I}", "made", g.made, "open", g.open,
					  "bytes_to_target", (json_int_t)g.bytes[0],
					  "bytes_from_target", (json_int_t)g.bytes[1]));
	} else {
		fake_reply_json(req, 404, json_pack("{s:s}", "error", "no such path"));
	}
}

int main(int argc, char **argv)
{
	int port = 0, control_port = 0, orphan = 0;
	char *target = NULL;
	const GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &port, "Listen port", "N"},
		{"control-port", 0, 0, G_OPTION_ARG_INT, &control_port, "Control port", "N"},
		{"target", 0, 0, G_OPTION_ARG_STRING, &target, "Target", "IP:PORT"},
		{"orphan", 0, 0, G_OPTION_ARG_NONE, &orphan, "Outlive the parent", NULL},
		{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
	GOptionContext *context = g_option_context_new("- relay for network failures");
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(addr);
	struct evconnlistener *listener;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !target ||
	    set_target(target) < 0) {
		fprintf(stderr, "usage: tcp_relay --target IP:PORT [--port N]\n");
		return 2;
	}
	g_option_context_free(context);
	if (!orphan)
		fake_die_with_parent();
	g.base = event_base_new();
	fake_handle_signals(g.base);
	g.pairs.next = g.pairs.prev = &g.pairs;
	addr.sin_port = htons((uint16_t)port);
	listener = evconnlistener_new_bind(g.base, on_accept, NULL,
					   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
					   (struct sockaddr *)&addr, sizeof(addr));
	if (!listener) {
		fprintf(stderr, "port %d cannot be opened; choose another or 0\n", port);
		return 1;
	}
	getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&addr, &len);
	fake_http_listen(g.base, control_port, on_control, NULL, &control_port);
	printf("event=listening port=%d control_port=%d\n", ntohs(addr.sin_port), control_port);
	fflush(stdout);
	event_base_dispatch(g.base);
	return 0;
}
