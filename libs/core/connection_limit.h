/*
 * How many client connections a node keeps open, out of the descriptors that its process may
 * have.
 *
 * Load pattern: clients whose requests are rejected repeat them at once on new connections and
 * leave the old ones idle. Without a limit these connections take all descriptors, and the node
 * can open none to its server, to other nodes and to the store.
 */
#ifndef SNIPE_CONNECTION_LIMIT_H
#define SNIPE_CONNECTION_LIMIT_H

#ifdef __cplusplus
extern "C" {
#endif

/* Numbers of open client connections. */
struct snipe_connection_limit {
	int max;    /* the other descriptors are for the node itself */
	int scarce; /* above it, the connection of a rejected request ends with the answer */
};

void snipe_connection_limit_init(struct snipe_connection_limit *l, int descriptors);

#ifdef __cplusplus
}
#endif

#endif
