/*
 * Record of the departure of a backend server. It identifies announcements that were sent
 * before the departure and arrive after it, also at a node process that started in between.
 */
#ifndef SNIPE_DEPARTURE_H
#define SNIPE_DEPARTURE_H

#include <stddef.h>
#include <stdint.h>

#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Sequence number of a departure after which the process sends no announcements. */
#define SNIPE_DEPARTURE_FINAL UINT64_MAX
/* Announcements that a departure covers are ignored for this long after it, in microseconds.
 * Delayed ones have arrived by then; a server that announces itself later is serving. */
#define SNIPE_DEPARTURE_VALID_US 15000000
/* Size of the text form: id, two numbers, separators and terminating null. */
#define SNIPE_DEPARTURE_TEXT_SIZE (SNIPE_NAME_SIZE + 48)

struct snipe_departure {
	char server_id[SNIPE_NAME_SIZE]; /* empty: no departure */
	int64_t started_ms; /* start of the process, wall time; a later start is another process
			     */
	uint64_t sequence;  /* of the announcement of it, or SNIPE_DEPARTURE_FINAL */
};

/* Returns nonzero if the announcement was sent before the departure or announced it. */
int snipe_departure_covers(const struct snipe_departure *d, const char *server_id,
			   int64_t started_ms, uint64_t sequence);

int snipe_departure_equal(const struct snipe_departure *a, const struct snipe_departure *b);
/* Whether a is the departure of a process that started after that of b, or a later one of the
 * same process. */
int snipe_departure_is_later(const struct snipe_departure *a, const struct snipe_departure *b);

/* Writes the text form that is kept in the store. */
void snipe_departure_format(const struct snipe_departure *d,
			    char text[SNIPE_DEPARTURE_TEXT_SIZE]);
/* Reads the text form; it needs no terminating null. Returns 0, or SNIPE_ERR_SYNTAX with *d
 * unchanged. */
int snipe_departure_parse(const char *text, size_t len, struct snipe_departure *d);

#ifdef __cplusplus
}
#endif

#endif
