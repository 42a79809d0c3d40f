/*
 * Bytes that buffers take up, counted for an owner and for all owners above it.
 */
#ifndef SNIPE_MEMORY_ACCOUNT_H
#define SNIPE_MEMORY_ACCOUNT_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_memory_account {
	struct snipe_memory_account *parent; /* NULL: none */
	size_t held;			     /* readable; bytes */
	size_t limit;			     /* bytes; 0: none */
	int is_exceeded;		     /* readable; since the limit was passed */
	/* Called once when held passes the limit, with a buffer in use. May be NULL. */
	void (*exceeded)(void *arg);
	void *arg;
};

void snipe_memory_account_init(struct snipe_memory_account *a,
			       struct snipe_memory_account *parent);
/* Add and take off bytes. NULL is ignored. */
void snipe_memory_charge(struct snipe_memory_account *a, size_t bytes);
void snipe_memory_release(struct snipe_memory_account *a, size_t bytes);
/* Sets what the account was charged for one thing, which was charged *charged bytes before. */
void snipe_memory_update(struct snipe_memory_account *a, size_t *charged, size_t bytes);
/* Whether the limit of the account, or of one above it, is exceeded. */
int snipe_memory_is_exceeded(const struct snipe_memory_account *a);
/* Whether this many more bytes keep to the limits. */
int snipe_memory_has_room(const struct snipe_memory_account *a, size_t bytes);
/* The excess has been dealt with: exceeded is called again at the next one. */
void snipe_memory_clear_excess(struct snipe_memory_account *a);

#ifdef __cplusplus
}
#endif

#endif
