#include "gateway/crash_log.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"

void snipe_crash_log_strike(const struct snipe_crash_guard *guard, uint64_t fingerprint,
			    uint64_t crash, const char *node_id)
{
	static struct snipe_log_limit limit;
	struct snipe_crash_view v;
	unsigned suppressed;

	if (!snipe_log_allow(&limit, snipe_now_us(), SNIPE_LOG_LINES_PER_S, &suppressed))
		return;
	snipe_crash_guard_view(guard, fingerprint, &v);
	snipe_log(SNIPE_LOG_INFO, "crash_strike",
		  "fingerprint=%016" PRIx64 " crash_id=%016" PRIx64
		  " strikes=%d reported_by=%s suppressed=%u",
		  fingerprint, crash, v.strikes, node_id, suppressed);
}

void snipe_crash_log_cleared(uint64_t fingerprint, const char *node_id)
{
	static struct snipe_log_limit limit;
	unsigned suppressed;

	if (snipe_log_allow(&limit, snipe_now_us(), SNIPE_LOG_LINES_PER_S, &suppressed))
		snipe_log(SNIPE_LOG_INFO, "crash_strikes_cleared",
			  "fingerprint=%016" PRIx64 " reported_by=%s suppressed=%u",
			  fingerprint, node_id, suppressed);
}

void snipe_crash_log_suspect(const struct snipe_crash_guard *guard, int64_t now_us,
			     uint64_t fingerprint, const char *request_id, int is_trial)
{
	static struct snipe_log_limit limit;
	struct snipe_crash_view v;
	unsigned suppressed;

	if (!snipe_log_allow(&limit, now_us, SNIPE_LOG_LINES_PER_S, &suppressed))
		return;
	snipe_crash_guard_view(guard, fingerprint, &v);
	snipe_log(SNIPE_LOG_INFO, "crash_suspect",
		  "request=%s fingerprint=%016" PRIx64
		  " strikes=%d strike_age_ms=%lld trial=%d suppressed=%u",
		  request_id, fingerprint, v.strikes,
		  (long long)((now_us - v.last_strike_us) / 1000), is_trial, suppressed);
}
