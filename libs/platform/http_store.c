#include "platform/object_store.h"

#include <string.h>

void snipe_http_store_init(struct snipe_http_store *s, struct event_base *base,
			   const struct snipe_address *address)
{
	memset(s, 0, sizeof(*s));
	s->base = base;
	s->address = *address;
}
