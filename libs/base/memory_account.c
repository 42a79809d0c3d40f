#include "base/memory_account.h"

#include <string.h>

void snipe_memory_account_init(struct snipe_memory_account *a,
			       struct snipe_memory_account *parent)
{
	memset(a, 0, sizeof(*a));
	a->parent = parent;
}

void snipe_memory_charge(struct snipe_memory_account *a, size_t bytes)
{
	for (; a; a = a->parent) {
		a->held += bytes;
		if (!a->limit || a->held <= a->limit || a->is_exceeded)
			continue;
		a->is_exceeded = 1;
		if (a->exceeded)
			a->exceeded(a->arg);
	}
}

void snipe_memory_release(struct snipe_memory_account *a, size_t bytes)
{
	for (; a; a = a->parent)
		a->held -= bytes;
}

void snipe_memory_update(struct snipe_memory_account *a, size_t *charged, size_t bytes)
{
	if (bytes > *charged)
		snipe_memory_charge(a, bytes - *charged);
	else if (bytes < *charged)
		snipe_memory_release(a, *charged - bytes);
	*charged = bytes;
}

int snipe_memory_is_exceeded(const struct snipe_memory_account *a)
{
	for (; a; a = a->parent)
		if (a->is_exceeded)
			return 1;
	return 0;
}

int snipe_memory_has_room(const struct snipe_memory_account *a, size_t bytes)
{
	for (; a; a = a->parent)
		if (a->limit && a->held + bytes > a->limit)
			return 0;
	return 1;
}

void snipe_memory_clear_excess(struct snipe_memory_account *a)
{
	a->is_exceeded = 0;
}
