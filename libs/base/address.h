/*
 * An IP address and a port.
 */
#ifndef SNIPE_ADDRESS_H
#define SNIPE_ADDRESS_H

#include <stdint.h>
#include <sys/socket.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_ADDRESS_TEXT_SIZE 64

struct snipe_address {
	char ip[46]; /* IPv4 or IPv6 address as text, without brackets */
	uint16_t port;
};

/* Parses "IP:PORT" or "[IP6]:PORT". Returns 0 or SNIPE_ERR_SYNTAX; host names are not
 * accepted. */
int snipe_address_parse(const char *text, struct snipe_address *addr);

/* Writes the format that snipe_address_parse reads. */
void snipe_address_format(const struct snipe_address *addr, char out[SNIPE_ADDRESS_TEXT_SIZE]);

int snipe_address_equal(const struct snipe_address *a, const struct snipe_address *b);

/* Fills a socket address. Returns its length, or SNIPE_ERR_SYNTAX if ip is invalid. */
int snipe_address_to_sockaddr(const struct snipe_address *addr, struct sockaddr_storage *out);

/* The result is all zero unless sa is an AF_INET or AF_INET6 address. */
void snipe_address_from_sockaddr(const struct sockaddr *sa, struct snipe_address *addr);

#ifdef __cplusplus
}
#endif

#endif
