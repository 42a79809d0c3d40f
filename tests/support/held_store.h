// An object store that records each call until the test answers it.
#ifndef SNIPE_TESTS_HELD_STORE_H
#define SNIPE_TESTS_HELD_STORE_H

#include <string>
#include <vector>

#include "platform/object_store.h"

struct HeldStore {
	struct snipe_object_store store = {&ops}; // first member: the vtable
	struct Call {
		std::string what, kind, value;
		uint64_t version; // that a put replaces or a watch starts from
		snipe_object_cb cb;
		snipe_object_list_cb list_cb;
		void *arg;

		void answer(int err, uint64_t new_version = 0,
			    const std::string &text = "") const
		{
			struct snipe_object o = {new_version, text.data(), text.size()};

			// A failed call passes no object to its callback.
			cb(arg, err, err && err != SNIPE_ERR_STALE ? nullptr : &o);
		}
	};
	std::vector<Call> calls;
	int cancelled = 0;
	int start_error = 0; // returned instead of starting a call; 0: none
	LIST_HEAD(snipe_era_listeners, snipe_era_listener)
	listeners = LIST_HEAD_INITIALIZER(listeners);

	uint64_t current_era = 0;

	void change_era(uint64_t era)
	{
		current_era = era;
		struct snipe_era_listener *l, *next;

		for (l = LIST_FIRST(&listeners); l; l = next) {
			next = LIST_NEXT(l, link);
			l->era_changed(l, era);
		}
	}

	// The calls for objects of one kind, in order.
	std::vector<Call> calls_of(const std::string &kind) const
	{
		std::vector<Call> list;

		for (const auto &c : calls)
			if (c.kind == kind)
				list.push_back(c);
		return list;
	}

      private:
	static int record(struct snipe_object_store *s, Call call)
	{
		auto *self = reinterpret_cast<HeldStore *>(s);

		if (self->start_error)
			return self->start_error;
		self->calls.push_back(std::move(call));
		return (int)self->calls.size();
	}
	static int get(struct snipe_object_store *s, const char *kind, const char *, int,
		       snipe_object_cb cb, void *arg)
	{
		return record(s, {"get", kind, "", 0, cb, nullptr, arg});
	}
	static int watch(struct snipe_object_store *s, const char *kind, const char *,
			 uint64_t after, int, int, snipe_object_cb cb, void *arg)
	{
		return record(s, {"watch", kind, "", after, cb, nullptr, arg});
	}
	static int put(struct snipe_object_store *s, const char *kind, const char *,
		       uint64_t if_version, const char *value, size_t len, int,
		       snipe_object_cb cb, void *arg)
	{
		return record(s, {"put", kind, std::string(value, len), if_version, cb, nullptr,
				  arg});
	}
	static int list(struct snipe_object_store *s, const char *kind, int allow_stale, int,
			snipe_object_list_cb cb, void *arg)
	{
		return record(s, {allow_stale ? "stale list" : "list", kind, "", 0, nullptr, cb,
				  arg});
	}
	static void cancel(struct snipe_object_store *s, int)
	{
		reinterpret_cast<HeldStore *>(s)->cancelled++;
	}
	static uint64_t era(struct snipe_object_store *s)
	{
		return reinterpret_cast<HeldStore *>(s)->current_era;
	}
	static void listen(struct snipe_object_store *s, struct snipe_era_listener *l)
	{
		LIST_INSERT_HEAD(&reinterpret_cast<HeldStore *>(s)->listeners, l, link);
	}
	static constexpr struct snipe_object_store_ops ops = {
		get, watch, put, cancel, nullptr, list, get, listen, era};
};

#endif
