/*
 * Schedule of a planned stop, from its signal to the exit of the process.
 *
 * A request that the node accepts is answered before the grace time ends; one that may take
 * longer is rejected before it is passed on.
 *
 * All bounds of a stop, in seconds after the signal or before the end of the grace time:
 *
 *   0          Readiness checks fail. Connections end with the response to their last request.
 *   2.2        Calls of other nodes are rejected. They know of the stop from the first report
 *              on, but a restart should cost little of the server's capacity.
 *   2.6        Idle connections are closed, and the process exits once it has been idle for
 *              0.2. Clients stop sending when readiness checks a second apart have failed
 *              twice; requests that cross the second one are still served.
 *   3.0        Requests that may not end in time are rejected. Earlier ones come from clients
 *              that could not know of the stop. How long a request takes is known from recent
 *              requests of its route at servers that were as cold or as warm; without those,
 *              it may take until its deadline. A server that has just started gets a request
 *              only if it would still end in time there: a rejection can be repeated at
 *              another node, a request that is broken off cannot.
 *   end - 0.4  Nothing is accepted. Unanswered requests get an answer of the node's own where
 *              ready responses wait behind them. Until the exit, clients receive what was
 *              written.
 *   end - 0.2  All other unanswered requests get that answer. They have the time between
 *              because nothing waits for them, and their server may still answer: the client
 *              then has less time to receive a long response.
 *   end - 0.1  The process exits in any case; at the end of the grace time it would be killed.
 */
#ifndef SNIPE_STOP_SCHEDULE_H
#define SNIPE_STOP_SCHEDULE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* All times in microseconds, "now" is that of the monotonic clock. Zeroed: no stop. */
struct snipe_stop_schedule {
	int64_t begin_us; /* 0: no stop */
	int64_t grace_us;
	int64_t idle_us; /* since when the process has been idle; 0: it is not */
};

/* Begins a stop; returns 0 if one has begun before, which continues. */
int snipe_stop_schedule_begin(struct snipe_stop_schedule *s, int64_t now_us, int64_t grace_us);
/* Applies another grace time. A longer one is ignored: it may not hold for this stop. */
void snipe_stop_schedule_set_grace(struct snipe_stop_schedule *s, int64_t grace_us);
int snipe_stop_schedule_has_begun(const struct snipe_stop_schedule *s);

int snipe_stop_schedule_rejects_calls(const struct snipe_stop_schedule *s, int64_t now_us);
int snipe_stop_schedule_closes_idle(const struct snipe_stop_schedule *s, int64_t now_us);
/* Whether requests are accepted however long they take. */
int snipe_stop_schedule_admits_all(const struct snipe_stop_schedule *s, int64_t now_us);
/* Whether a request that takes up to takes_us may be accepted. */
int snipe_stop_schedule_admits(const struct snipe_stop_schedule *s, int64_t now_us,
			       int64_t takes_us);
/* Whether unanswered requests with ready responses behind them are to be answered now. */
int snipe_stop_schedule_is_ending(const struct snipe_stop_schedule *s, int64_t now_us);
/* Whether all unanswered requests are to be answered now. */
int snipe_stop_schedule_is_last_answer(const struct snipe_stop_schedule *s, int64_t now_us);
/* Whether the process exits now. Call it regularly, since it records how long the process has
 * been idle: nothing is in flight and clients have received all responses. */
int snipe_stop_schedule_is_over(struct snipe_stop_schedule *s, int64_t now_us, int is_idle);

#ifdef __cplusplus
}
#endif

#endif
