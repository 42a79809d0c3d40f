#include "core/departure.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"

int snipe_departure_covers(const struct snipe_departure *d, const char *server_id,
			   int64_t started_ms, uint64_t sequence)
{
	if (!*d->server_id || strcmp(d->server_id, server_id) != 0)
		return 0;
	return started_ms < d->started_ms ||
	       (started_ms == d->started_ms && sequence <= d->sequence);
}

int snipe_departure_equal(const struct snipe_departure *a, const struct snipe_departure *b)
{
	return strcmp(a->server_id, b->server_id) == 0 && a->started_ms == b->started_ms &&
	       a->sequence == b->sequence;
}

int snipe_departure_is_later(const struct snipe_departure *a, const struct snipe_departure *b)
{
	if (a->started_ms != b->started_ms)
		return a->started_ms > b->started_ms;
	return strcmp(a->server_id, b->server_id) == 0 && a->sequence > b->sequence;
}

void snipe_departure_format(const struct snipe_departure *d,
			    char text[SNIPE_DEPARTURE_TEXT_SIZE])
{
	snprintf(text, SNIPE_DEPARTURE_TEXT_SIZE, "%" PRId64 " %" PRIu64 " %s", d->started_ms,
		 d->sequence, d->server_id);
}

int snipe_departure_parse(const char *text, size_t len, struct snipe_departure *d)
{
	struct snipe_departure parsed = {"", 0, 0};
	char line[SNIPE_DEPARTURE_TEXT_SIZE];
	int id_at = 0;
	size_t id_len;

	if (len >= sizeof(line))
		return SNIPE_ERR_SYNTAX;
	memcpy(line, text, len);
	line[len] = '\0';
	if (sscanf(line, "%" SCNd64 " %" SCNu64 " %n", &parsed.started_ms, &parsed.sequence,
		   &id_at) < 2 ||
	    id_at == 0)
		return SNIPE_ERR_SYNTAX;
	id_len = strlen(line + id_at);
	if (id_len == 0 || id_len >= sizeof(parsed.server_id) || strlen(line) != len)
		return SNIPE_ERR_SYNTAX;
	memcpy(parsed.server_id, line + id_at, id_len + 1);
	*d = parsed;
	return 0;
}
