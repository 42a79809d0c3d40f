/*
 * When a connection to a node is checked, suspected and given up.
 *
 * While an answer is awaited and nothing comes, the peer is asked for a sign of life. If that
 * does not come within a few round trips, a second connection is tried beside the first one,
 * and whichever carries something first is used. A peer whose kernel accepts connections, but
 * which does not greet, is slow and not lost. New connections to one peer become rarer.
 *
 * Load pattern: many connections fall silent at the same moment while new ones work; or a peer
 * is slow or frozen for a while, and must not be stormed with connections.
 */
#ifndef SNIPE_LINK_WATCH_H
#define SNIPE_LINK_WATCH_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_link_action {
	SNIPE_LINK_NOTHING,
	SNIPE_LINK_PING,      /* ask for a sign of life */
	SNIPE_LINK_RECONNECT, /* try a second connection */
	SNIPE_LINK_SLOW,      /* no answer in time, but the peer's kernel is there */
	SNIPE_LINK_LOST,      /* no answer, and no new connection: give up */
};

/* What is known of the link when it is checked. */
struct snipe_link_state {
	int is_awaiting;      /* an answer is awaited */
	int has_connection;   /* the present connection is open */
	int is_trying;	      /* a second connection is under way */
	int has_accepted_try; /* which the peer's kernel has accepted */
};

/* Fields are private. */
struct snipe_link_watch {
	int64_t heard_us;     /* last sign of life, or when an answer began to be awaited */
	int64_t ping_us;      /* last ping; 0: none since the last sign of life */
	int64_t try_us;	      /* last second connection */
	int64_t try_wait_us;  /* time until the next one may be tried */
	int64_t check_us;     /* a check was demanded at this time; 0: none is open */
	double round_trip_us; /* moving average; 0: unknown */
};

void snipe_link_watch_init(struct snipe_link_watch *w, int64_t now_us);
/* An answer begins to be awaited. */
void snipe_link_watch_await(struct snipe_link_watch *w, int64_t now_us);
/* Something came in on the link. */
void snipe_link_watch_heard(struct snipe_link_watch *w, int64_t now_us);
/* The answer to the last ping came in. */
void snipe_link_watch_ponged(struct snipe_link_watch *w, int64_t now_us);
/* Checks the link also if no answer is awaited, since one that shares a cause fell silent. */
void snipe_link_watch_demand_check(struct snipe_link_watch *w, int64_t now_us);
/* A second connection is tried; also without a former SNIPE_LINK_RECONNECT. */
void snipe_link_watch_tried(struct snipe_link_watch *w, int64_t now_us);
/* The link works again: connections may be tried at once. */
void snipe_link_watch_restored(struct snipe_link_watch *w, int64_t now_us);

/* Returns what to do now. Call it every few tens of milliseconds; the action is due once. */
enum snipe_link_action snipe_link_watch_check(struct snipe_link_watch *w, int64_t now_us,
					      const struct snipe_link_state *state);

#ifdef __cplusplus
}
#endif

#endif
