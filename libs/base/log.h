/*
 * Logging: one line of key=value pairs for each event, through GLib; on standard error unless
 * snipe_log_use_stdout was called.
 */
#ifndef SNIPE_LOG_H
#define SNIPE_LOG_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_log_level {
	SNIPE_LOG_ERROR,
	SNIPE_LOG_WARNING,
	SNIPE_LOG_INFO,
	SNIPE_LOG_DEBUG,
};

/* Installs the log writer; program is added to each line. Lines less severe than level are
 * dropped. */
void snipe_log_init(const char *program, enum snipe_log_level level);

/* Maximum lines of one event per second; the others are counted. */
#define SNIPE_LOG_LINES_PER_S 40

/*
 * Writes to standard output instead, through a bounded buffer, so that a slow reader never
 * blocks the process. Lines that do not fit are dropped, and a later line gives their number.
 * The user of the module calls snipe_log_flush a few times a second and before it exits.
 */
void snipe_log_use_stdout(void);
void snipe_log_flush(void);

/* Parses "error", "warning", "info" or "debug". Returns 0 or SNIPE_ERR_INVALID. */
int snipe_log_parse_level(const char *name, enum snipe_log_level *level);

/*
 * Writes one line: time, level, program, event and the formatted pairs. The format consists of
 * key=value pairs, for example "peer=%s err=%s"; the caller puts \"%s\" for values with spaces.
 */
void snipe_log(enum snipe_log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Rate limit for the lines of an event that can be frequent: allows `burst` lines per second
 * and counts the others. Zero-initialize before use.
 */
struct snipe_log_limit {
	int64_t interval_start_us;
	unsigned written;
	unsigned suppressed;
};

/*
 * Returns nonzero if a line may be written now. *suppressed, if not NULL, receives the number
 * of lines dropped since the last line that was allowed.
 */
int snipe_log_allow(struct snipe_log_limit *limit, int64_t now_us, unsigned burst,
		    unsigned *suppressed);

#ifdef __cplusplus
}
#endif

#endif
