/*
 * Claims of identifiers of non-idempotent requests, recorded at the owner of the identifier's
 * shard. Guards against a second execution of a request.
 */
#ifndef SNIPE_DEDUP_H
#define SNIPE_DEDUP_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Clocks are assumed to be within 1 s of true time, so two of them differ by at most 2 s. */
#define SNIPE_DEDUP_MAX_SKEW_MS 2000
/* A former owner accepts identifiers with times up to 3 s after it stopped; the clock of the
 * new owner may be 1 s behind. */
#define SNIPE_DEDUP_TAKEOVER_MS 4000
#define SNIPE_DEDUP_WINDOW_MS (10 * 60 * 1000)
#define SNIPE_DEDUP_MAX_BYTES (16 * 1024 * 1024)
#define SNIPE_DEDUP_MAX_RESPONSE_BYTES (16 * 1024)

/* Reads the time of a UUID version 7 (RFC 9562), in ms since 1970. Returns 0 or
 * SNIPE_ERR_SYNTAX. */
int snipe_identifier_time(const char *identifier, int64_t *wall_ms);

/* Makes a UUID version 7; random holds 10 random bytes. */
void snipe_identifier_make(int64_t wall_ms, const uint8_t random[10], char out[40]);

enum snipe_claim_verdict {
	SNIPE_CLAIM_GRANTED,	      /* the caller may send the request, once */
	SNIPE_CLAIM_IN_PROGRESS,      /* claimed and not finished */
	SNIPE_CLAIM_DONE,	      /* finished, the response is stored */
	SNIPE_CLAIM_DONE_NO_RESPONSE, /* finished, the response is not stored */
	SNIPE_CLAIM_UNKNOWN,	      /* ended with an unknown outcome */
	SNIPE_CLAIM_OWNER_CHANGED,    /* from before this ownership: may have run */
	SNIPE_CLAIM_TOO_OLD,	      /* older than the window */
	SNIPE_CLAIM_INVALID, /* malformed, too far in the future, or of another request */
	SNIPE_CLAIM_FULL,    /* no room; not claimed */
};

struct snipe_claim_result {
	enum snipe_claim_verdict verdict;
	uint64_t claim;	      /* id of a granted claim */
	const void *response; /* with SNIPE_CLAIM_DONE: valid until the next call */
	size_t response_len;
};

/* Fields are private. */
struct snipe_dedup {
	GHashTable *records; /* workspace and identifier -> record */
	GHashTable *claims;  /* claim id -> record */
	GSequence *expiry;   /* records by the time of their identifier */
	GQueue responses;    /* records with a stored response, oldest first */
	size_t bytes;	     /* of records and responses */
	uint64_t next_claim;
	int64_t oldest_wall_ms; /* lower limit of the times of identifiers; never falls */
};

/* first_claim is a random number, so that a message that ends a claim of another owner matches
 * no claim here. */
void snipe_dedup_init(struct snipe_dedup *d, uint64_t first_claim);
void snipe_dedup_finish(struct snipe_dedup *d);

/*
 * Claims the identifier, so that its request may run. owner_since_wall_ms is the wall time when
 * this process began to act as the owner of the shard, 0 in the shard's first epoch.
 * fingerprint is a hash of the request's content, by which another request with the same
 * identifier is recognized.
 */
void snipe_dedup_claim(struct snipe_dedup *d, int64_t wall_ms, int64_t owner_since_wall_ms,
		       const char *workspace, const char *identifier, uint64_t fingerprint,
		       struct snipe_claim_result *result);

/* Ends a claim whose request ended; is_known is zero if its outcome is not known. A response of
 * more than SNIPE_DEDUP_MAX_RESPONSE_BYTES bytes is not stored. */
void snipe_dedup_done(struct snipe_dedup *d, uint64_t claim, int is_known, const void *response,
		      size_t len);

/* Ends a claim whose request certainly did not run and will not: the identifier may be claimed
 * again. */
void snipe_dedup_release(struct snipe_dedup *d, uint64_t claim);

/* Drops records older than the window. */
void snipe_dedup_tick(struct snipe_dedup *d, int64_t wall_ms);

/* Drops the records of a shard that went to another owner. */
void snipe_dedup_drop_shard(struct snipe_dedup *d, int shard);

#ifdef __cplusplus
}
#endif

#endif
