/*
 * Error codes.
 *
 * Functions that can fail return 0 or one of these negative values. Functions whose errors are
 * shown to an operator also fill a struct snipe_error_text, whose message gives the place and
 * the remedy.
 */
#ifndef SNIPE_ERROR_H
#define SNIPE_ERROR_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_error {
	SNIPE_OK = 0,
	SNIPE_ERR_INVALID = -1,	      /* an argument or a document violates a rule */
	SNIPE_ERR_SYNTAX = -2,	      /* a document cannot be parsed */
	SNIPE_ERR_NOT_FOUND = -3,     /* no such object, name or handle */
	SNIPE_ERR_CONFLICT = -4,      /* the object of a conditional update was changed */
	SNIPE_ERR_TOO_LARGE = -5,     /* a size limit is exceeded */
	SNIPE_ERR_TRUNCATED = -6,     /* input ends before its declared length */
	SNIPE_ERR_VERSION = -7,	      /* the peer uses a newer protocol version */
	SNIPE_ERR_AUTH = -8,	      /* an authentication code or key does not match */
	SNIPE_ERR_UNAVAILABLE = -9,   /* the platform or a peer cannot be reached */
	SNIPE_ERR_RATE_LIMITED = -10, /* the platform rejects calls above its rate limit */
	SNIPE_ERR_UNKNOWN = -11,      /* the response was lost: the effect is unknown */
	SNIPE_ERR_IO = -12,	      /* a system call failed */
	SNIPE_ERR_FULL = -13,	      /* a fixed capacity is used up */
	SNIPE_ERR_STALE = -14,	      /* older than the data already present */
	SNIPE_ERR_HISTORY_LOST = -15, /* changes since a version are no longer stored */
};

/* Text for an operator: what is wrong, where, and what to do. */
struct snipe_error_text {
	char text[512];
};

/* Returns the name of an error code, for example "conflict". */
const char *snipe_error_name(int err);

/* Formats a message into text and returns err, so that callers can write
 * "return snipe_error_set(...)". text may be NULL. */
int snipe_error_set(struct snipe_error_text *text, int err, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif

#endif
