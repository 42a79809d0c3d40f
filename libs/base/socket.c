#include "base/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void snipe_socket_set_nodelay(int fd)
{
	int one = 1;

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}
