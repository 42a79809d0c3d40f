/*
 * Packs msgpack fields and reads them back with bounds checks.
 */
#ifndef SNIPE_PACK_H
#define SNIPE_PACK_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/buffer.h"
#include "core/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

void snipe_pack_init(msgpack_packer *pk, struct snipe_buffer *out);
void snipe_pack_str(msgpack_packer *pk, const char *s);
void snipe_pack_bytes(msgpack_packer *pk, const void *data, size_t len);
void snipe_pack_address(msgpack_packer *pk, const struct snipe_address *addr);
void snipe_pack_member(msgpack_packer *pk, const struct snipe_member *m);

/*
 * Reads the fields of an array in order. At the first field that is missing or of another type
 * has_error is set, and it and all later reads return zero values, or min for a range.
 */
struct snipe_reader {
	const msgpack_object_array *array;
	uint32_t next;
	int has_error;
};

/* Returns a reader over an object, with has_error set if it is not an array. */
struct snipe_reader snipe_reader_from_object(const msgpack_object *obj);
/*
 * Decodes data that consists of exactly one array. read must copy the fields into out, as the
 * decoded array is freed afterwards. Returns the result of read, or SNIPE_ERR_SYNTAX.
 */
int snipe_unpack(const void *data, size_t len, int (*read)(struct snipe_reader *r, void *out),
		 void *out);
uint64_t snipe_read_uint(struct snipe_reader *r);
int64_t snipe_read_int(struct snipe_reader *r);
/* Reads an integer in [min, max]. */
int snipe_read_int_range(struct snipe_reader *r, int min, int max);
/* Copies a string; it must contain no null bytes and fit into size with its terminator. */
void snipe_read_str(struct snipe_reader *r, char *out, size_t size);
/* Returns a pointer to a string or byte string in the decoded data; NULL on an error. */
const char *snipe_read_bytes(struct snipe_reader *r, size_t *len);
struct snipe_reader snipe_read_array(struct snipe_reader *r);
void snipe_read_address(struct snipe_reader *r, struct snipe_address *addr);
void snipe_read_member(struct snipe_reader *r, struct snipe_member *m);

#ifdef __cplusplus
}
#endif

#endif
