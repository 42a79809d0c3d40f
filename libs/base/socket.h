/*
 * Options of stream sockets.
 */
#ifndef SNIPE_SOCKET_H
#define SNIPE_SOCKET_H

#ifdef __cplusplus
extern "C" {
#endif

/* Disables the delay of small writes (TCP_NODELAY). A negative fd is ignored. */
void snipe_socket_set_nodelay(int fd);

#ifdef __cplusplus
}
#endif

#endif
