// A TCP relay in the test process that can delay, silence, cut one way or reset what passes.
#ifndef SNIPE_TESTS_RELAY_H
#define SNIPE_TESTS_RELAY_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <memory>
#include <set>

#include "support/loop.h"

class Relay
{
      public:
	enum Mode { Pass, Delay, Silent, OneWay };

	Relay(Loop &loop, const struct snipe_address &target) : loop_(loop), target_(target)
	{
		struct sockaddr_storage ss;
		int len;

		address = free_address();
		len = snipe_address_to_sockaddr(&address, &ss);
		listener_ = evconnlistener_new_bind(loop.base, OnAccept, this,
						    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
						    -1, (struct sockaddr *)&ss, len);
		if (!listener_)
			give_up("relay");
	}
	~Relay()
	{
		Reset();
		evconnlistener_free(listener_);
	}
	// Silence holds for the connections of now: new ones pass again.
	void SetMode(Mode mode)
	{
		mode_ = mode;
		for (auto *p : pairs_)
			p->mode = mode;
	}
	void SilenceOpen()
	{
		for (auto *p : pairs_)
			p->mode = Silent;
	}
	void Reset()
	{
		while (!pairs_.empty())
			(*pairs_.begin())->Close(true);
	}
	struct snipe_address address;

      private:
	struct Pair {
		Relay *relay;
		struct bufferevent *side[2];
		struct event *timer;
		Mode mode;

		void Close(bool reset)
		{
			for (auto *b : side) {
				struct linger l = {1, 0};
				if (reset)
					setsockopt(bufferevent_getfd(b), SOL_SOCKET, SO_LINGER,
						   &l, sizeof(l));
				bufferevent_free(b);
			}
			event_free(timer);
			relay->pairs_.erase(this);
			delete this;
		}
		void Move()
		{
			for (int i = 0; i < 2; i++) {
				if (mode == Silent || (mode == OneWay && i == 1))
					continue;
				bufferevent_write_buffer(side[1 - i],
							 bufferevent_get_input(side[i]));
			}
		}
	};
	static void OnRead(struct bufferevent *, void *arg)
	{
		auto *p = static_cast<Pair *>(arg);
		static const struct timeval wait = {0, 120000};

		if (p->mode == Delay)
			event_add(p->timer, &wait);
		else
			p->Move();
	}
	static void OnTimer(evutil_socket_t, short, void *arg)
	{
		static_cast<Pair *>(arg)->Move();
	}
	static void OnEvent(struct bufferevent *, short what, void *arg)
	{
		if (what & BEV_EVENT_CONNECTED)
			return;
		static_cast<Pair *>(arg)->Move();
		static_cast<Pair *>(arg)->Close(what & BEV_EVENT_ERROR);
	}
	static void OnAccept(struct evconnlistener *, evutil_socket_t fd, struct sockaddr *,
			     int, void *arg)
	{
		auto *r = static_cast<Relay *>(arg);
		struct sockaddr_storage ss;
		int len = snipe_address_to_sockaddr(&r->target_, &ss);
		auto *p = new Pair{r, {nullptr, nullptr}, nullptr, r->mode_};

		p->timer = event_new(r->loop_.base, -1, 0, OnTimer, p);
		for (int i = 0; i < 2; i++) {
			p->side[i] = bufferevent_socket_new(r->loop_.base, i ? -1 : fd,
							    BEV_OPT_CLOSE_ON_FREE |
								    BEV_OPT_DEFER_CALLBACKS);
			bufferevent_setcb(p->side[i], OnRead, nullptr, OnEvent, p);
			bufferevent_enable(p->side[i], EV_READ | EV_WRITE);
		}
		r->pairs_.insert(p);
		bufferevent_socket_connect(p->side[1], (struct sockaddr *)&ss, len);
	}
	Loop &loop_;
	struct snipe_address target_;
	struct evconnlistener *listener_;
	std::set<Pair *> pairs_;
	Mode mode_ = Pass;
};

#endif
