/*
 * Hashes: xxhash64 for stable placement, SHA-256 for keys, HMAC-SHA256 for frames.
 */
#ifndef SNIPE_HASH_H
#define SNIPE_HASH_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_SHA256_SIZE 32
#define SNIPE_MAC_SIZE 16 /* HMAC-SHA256 truncated, RFC 2104 section 5 */

/* xxhash64 with seed 0; the result is the same on all hosts. */
uint64_t snipe_hash64(const void *data, size_t len);
uint64_t snipe_hash64_str(const char *s);

/* xxhash64 with a seed; with an earlier hash as the seed, the result depends on both. */
uint64_t snipe_hash64_seed(const void *data, size_t len, uint64_t seed);

void snipe_sha256(const void *data, size_t len, uint8_t out[SNIPE_SHA256_SIZE]);

/* HMAC-SHA256 of data, truncated to SNIPE_MAC_SIZE bytes; secret is a string. */
void snipe_mac(const char *secret, const void *data, size_t len, uint8_t out[SNIPE_MAC_SIZE]);

/* Compares len bytes in constant time. Returns nonzero if they are equal. */
int snipe_equal_constant_time(const void *a, const void *b, size_t len);

/* Fills buf with cryptographically secure random bytes from the kernel. Returns 0 or
 * SNIPE_ERR_IO. */
int snipe_random_bytes(void *buf, size_t len);

/* Writes 2 * len hexadecimal digits and a terminating null. */
void snipe_hex(const void *data, size_t len, char *out);

/* Parses 2 * len hexadecimal digits. Returns 0 or SNIPE_ERR_SYNTAX. */
int snipe_unhex(const char *hex, void *out, size_t len);

#ifdef __cplusplus
}
#endif

#endif
