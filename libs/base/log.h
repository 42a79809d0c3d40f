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

/* Installs the writer; program is added to each line. Lines above level are dropped. */
void snipe_log_init(const char *program, enum snipe_log_level level);

/* Lines of one event that may be written each second; the rest is counted. */
#define SNIPE_LOG_LINES_PER_S 40

/*
 * Writes to standard output instead, through a bounded buffer: a line never waits for the
 * reader. Lines that find the buffer full are dropped and counted in the next one. The owner
 * of the loop calls snipe_log_flush a few times a second and at the end.
 */
void snipe_log_use_stdout(void);
void snipe_log_flush(void);

/* Parses "error", "warning", "info" or "debug". Returns 0 or SNIPE_ERR_INVALID. */
int snipe_log_parse_level(const char *name, enum snipe_log_level *level);

/*
 * Writes "event=EVENT " and the formatted pairs. The format must itself be key=value pairs, for
 * example "peer=%s err=%s"; values with spaces are quoted by the caller with %s in "".
 */
void snipe_log(enum snipe_log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Limits lines of an event that can flood: allows `burst` lines each second and counts the
 * rest. Zero-initialize before use.
 */
struct snipe_log_limit {
	int64_t window_us;
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
