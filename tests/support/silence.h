/*
 * Makes open TCP connections of a child process silent, as when a switch forgets them: they
 * stay open and carry no byte any more, while new connections work. Used for links between
 * nodes, which advertise their own addresses, so that no relay can stand between them.
 */
#ifndef SNIPE_TEST_SILENCE_H
#define SNIPE_TEST_SILENCE_H

#include <sys/types.h>

namespace snipe_test
{

/* Silences the established connections of the process from or to a port, listening sockets
 * excepted. Returns how many, or -1 with errno set if the kernel does not allow it. */
int SilenceConnections(pid_t pid, int port);

/* Closes them instead, without a word to the process that owns them. */
int CutConnections(pid_t pid, int port);

} // namespace snipe_test

#endif
