#include "config/writer.h"

#include <glib.h>
#include <string.h>

void snipe_writer_init(struct snipe_writer *w, uint64_t base_version, const char *base_write_id,
		       const char *write_id)
{
	memset(w, 0, sizeof(*w));
	w->base_version = base_version;
	g_strlcpy(w->base_write_id, base_write_id, sizeof(w->base_write_id));
	g_strlcpy(w->write_id, write_id, sizeof(w->write_id));
}

static enum snipe_writer_step done(struct snipe_writer *w, int result, uint64_t version)
{
	w->result = result;
	w->version = version;
	return SNIPE_WRITER_DONE;
}

enum snipe_writer_step snipe_writer_put_done(struct snipe_writer *w, int err, uint64_t version)
{
	if (err == 0)
		return done(w, 0, version);
	if (err == SNIPE_ERR_UNKNOWN)
		w->lost = 1;
	/* A conflict may be with the own earlier attempt. */
	if (w->lost || err == SNIPE_ERR_CONFLICT)
		return SNIPE_WRITER_READ;
	return done(w, err, 0);
}

static int find(const struct snipe_write_record *history, int count, const char *write_id)
{
	for (int i = 0; i < count; i++) {
		if (!strcmp(history[i].write_id, write_id))
			return i;
	}
	return SNIPE_ERR_NOT_FOUND;
}

/* Returns nonzero if the history holds every write since the base version. */
static int covers_base(const struct snipe_writer *w, const struct snipe_write_record *history,
		       int count)
{
	return count < SNIPE_HISTORY_MAX ||
	       (*w->base_write_id && find(history, count, w->base_write_id) >= 0);
}

enum snipe_writer_step snipe_writer_read_done(struct snipe_writer *w, int err, uint64_t version,
					      const struct snipe_write_record *history,
					      int count)
{
	if (err == SNIPE_ERR_NOT_FOUND)
		return w->base_version == 0 ? SNIPE_WRITER_PUT
					    : done(w, w->lost ? SNIPE_ERR_UNKNOWN : err, 0);
	if (err < 0 || version < w->base_version)
		return SNIPE_WRITER_READ;
	if (find(history, count, w->write_id) >= 0)
		return done(w, 0, version);
	if (version == w->base_version)
		return SNIPE_WRITER_PUT;
	/* A newer version: no attempt on the base version can take effect any more. */
	if (w->lost && !covers_base(w, history, count))
		return done(w, SNIPE_ERR_UNKNOWN, version);
	return done(w, SNIPE_ERR_CONFLICT, version);
}

int snipe_writer_give_up(struct snipe_writer *w)
{
	w->result = w->lost ? SNIPE_ERR_UNKNOWN : SNIPE_ERR_UNAVAILABLE;
	return w->result;
}
