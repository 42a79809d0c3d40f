// An object store whose calls the test answers.
#ifndef SNIPE_TESTS_HELD_STORE_H
#define SNIPE_TESTS_HELD_STORE_H

#include <string>
#include <vector>

#include "platform/object_store.h"

struct HeldStore {
	struct snipe_object_store store = {&ops}; // first member: the vtable
	struct Call {
		std::string what, kind, value;
		uint64_t version; // that a put replaces or a watch knows
		snipe_object_cb cb;
		snipe_object_list_cb list_cb;
		void *arg;

		void answer(int err, uint64_t new_version = 0,
			    const std::string &text = "") const
		{
			struct snipe_object o = {new_version, text.data(), text.size()};

			// Nothing may be read of an object that did not come.
			cb(arg, err, err && err != SNIPE_ERR_STALE ? nullptr : &o);
		}
	};
	std::vector<Call> calls;
	int cancelled = 0;
	int refusal = 0; // error with which calls are not started

	// The calls for one kind of objects, in order.
	std::vector<Call> of(const std::string &kind) const
	{
		std::vector<Call> list;

		for (const auto &c : calls)
			if (c.kind == kind)
				list.push_back(c);
		return list;
	}

      private:
	static int hold(struct snipe_object_store *s, Call call)
	{
		auto *self = reinterpret_cast<HeldStore *>(s);

		if (self->refusal)
			return self->refusal;
		self->calls.push_back(std::move(call));
		return (int)self->calls.size();
	}
	static int get(struct snipe_object_store *s, const char *kind, const char *, int,
		       snipe_object_cb cb, void *arg)
	{
		return hold(s, {"get", kind, "", 0, cb, nullptr, arg});
	}
	static int watch(struct snipe_object_store *s, const char *kind, const char *,
			 uint64_t after, int, int, snipe_object_cb cb, void *arg)
	{
		return hold(s, {"watch", kind, "", after, cb, nullptr, arg});
	}
	static int put(struct snipe_object_store *s, const char *kind, const char *,
		       uint64_t if_version, const char *value, size_t len, int,
		       snipe_object_cb cb, void *arg)
	{
		return hold(s, {"put", kind, std::string(value, len), if_version, cb, nullptr,
				arg});
	}
	static int list(struct snipe_object_store *s, const char *kind, int allow_stale, int,
			snipe_object_list_cb cb, void *arg)
	{
		return hold(s, {allow_stale ? "stale list" : "list", kind, "", 0, nullptr, cb,
				arg});
	}
	static void cancel(struct snipe_object_store *s, int)
	{
		reinterpret_cast<HeldStore *>(s)->cancelled++;
	}
	static constexpr struct snipe_object_store_ops ops = {get,     watch, put, cancel,
							      nullptr, list,  get};
};

#endif
