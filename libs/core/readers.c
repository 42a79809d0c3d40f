#include "core/readers.h"

#include <string.h>

void snipe_readers_init(struct snipe_readers *r)
{
	memset(r, 0, sizeof(*r));
}

void snipe_readers_add(struct snipe_readers *r, uint64_t id)
{
	int i = r->count;

	while (i > 0 && r->ids[i - 1] > id)
		i--;
	if (i == SNIPE_READER_COUNT || (i > 0 && r->ids[i - 1] == id))
		return;
	if (r->count < SNIPE_READER_COUNT)
		r->count++;
	memmove(&r->ids[i + 1], &r->ids[i], (size_t)(r->count - 1 - i) * sizeof(r->ids[0]));
	r->ids[i] = id;
}

int snipe_readers_contains(const struct snipe_readers *r, uint64_t id)
{
	for (int i = 0; i < r->count; i++)
		if (r->ids[i] == id)
			return 1;
	return 0;
}
