/*
 * Decides the outcome of one conditional write whose response may be lost.
 *
 * Every attempt carries the same value, write_id and condition, so at most one attempt can take
 * effect. An attempt is repeated only after a read showed that the base version is still in
 * force. The owner performs the steps; this module has no I/O and no clock.
 */
#ifndef SNIPE_WRITER_H
#define SNIPE_WRITER_H

#include <stdint.h>

#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_writer_step {
	SNIPE_WRITER_PUT,  /* send the write, then call snipe_writer_put_done */
	SNIPE_WRITER_READ, /* read the object, then call snipe_writer_read_done */
	SNIPE_WRITER_DONE, /* result holds the outcome */
};

struct snipe_writer {
	uint64_t base_version; /* 0: the object must not exist */
	char base_write_id[40];
	char write_id[40];
	int lost; /* an attempt may have taken effect, or may still do so */
	/* 0; SNIPE_ERR_CONFLICT: certainly not written; SNIPE_ERR_UNKNOWN: cannot be
	 * determined; or the error of an attempt that had no effect. */
	int result;
	uint64_t version; /* written or, on a conflict, in force */
};

/* The first step is SNIPE_WRITER_PUT. */
void snipe_writer_init(struct snipe_writer *w, uint64_t base_version, const char *base_write_id,
		       const char *write_id);
enum snipe_writer_step snipe_writer_put_done(struct snipe_writer *w, int err, uint64_t version);
/* history is that of the value that was read; unused if err is not 0. */
enum snipe_writer_step snipe_writer_read_done(struct snipe_writer *w, int err, uint64_t version,
					      const struct snipe_write_record *history,
					      int count);
/* No time is left. Returns the result. */
int snipe_writer_give_up(struct snipe_writer *w);

#ifdef __cplusplus
}
#endif

#endif
