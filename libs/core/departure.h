/*
 * The departure of a backend server: proof against announcements that were sent before it and
 * arrive after it, also at a node process that started in between.
 */
#ifndef SNIPE_DEPARTURE_H
#define SNIPE_DEPARTURE_H

#include <stddef.h>
#include <stdint.h>

#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Sequence of a departure after which the server announces nothing more. */
#define SNIPE_DEPARTURE_FINAL UINT64_MAX
/* Room for a departure as text: id, two numbers and separators. */
#define SNIPE_DEPARTURE_TEXT (SNIPE_NAME_SIZE + 48)

struct snipe_departure {
	char server_id[SNIPE_NAME_SIZE]; /* empty: no departure */
	int64_t born_ms;   /* wall time; processes that started later are others */
	uint64_t sequence; /* of the announcement that told it, or SNIPE_DEPARTURE_FINAL */
};

/* Nonzero if an announcement was made before the departure, or tells that same departure. */
int snipe_departure_covers(const struct snipe_departure *d, const char *server_id,
			   int64_t born_ms, uint64_t sequence);

/* The text form that is kept in the store. */
void snipe_departure_format(const struct snipe_departure *d, char text[SNIPE_DEPARTURE_TEXT]);
/* Returns 0 or SNIPE_ERR_SYNTAX; *d is then unchanged. text needs no terminating null. */
int snipe_departure_parse(const char *text, size_t len, struct snipe_departure *d);

#ifdef __cplusplus
}
#endif

#endif
