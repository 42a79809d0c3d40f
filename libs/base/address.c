#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"

static int parse_port(const char *text, uint16_t *port)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, 65535, &value, NULL))
		return SNIPE_ERR_SYNTAX;
	*port = (uint16_t)value;
	return 0;
}

int snipe_address_parse(const char *text, struct snipe_address *addr)
{
	const char *colon = strrchr(text, ':');
	const char *start = text, *end = colon;
	struct sockaddr_storage ss;

	if (!colon)
		return SNIPE_ERR_SYNTAX;
	if (*text == '[') {
		if (colon == text || colon[-1] != ']')
			return SNIPE_ERR_SYNTAX;
		start = text + 1;
		end = colon - 1;
	}
	if (end <= start || (size_t)(end - start) >= sizeof(addr->ip))
		return SNIPE_ERR_SYNTAX;
	memset(addr, 0, sizeof(*addr));
	memcpy(addr->ip, start, (size_t)(end - start));
	if (parse_port(colon + 1, &addr->port) < 0)
		return SNIPE_ERR_SYNTAX;
	if ((*text == '[') != (strchr(addr->ip, ':') != NULL))
		return SNIPE_ERR_SYNTAX;
	return snipe_address_to_sockaddr(addr, &ss) < 0 ? SNIPE_ERR_SYNTAX : 0;
}

void snipe_address_format(const struct snipe_address *addr, char out[SNIPE_ADDRESS_TEXT_SIZE])
{
	int is_v6 = strchr(addr->ip, ':') != NULL;

	snprintf(out, SNIPE_ADDRESS_TEXT_SIZE, "%s%s%s:%u", is_v6 ? "[" : "", addr->ip,
		 is_v6 ? "]" : "", addr->port);
}

int snipe_address_equal(const struct snipe_address *a, const struct snipe_address *b)
{
	return a->port == b->port && strcmp(a->ip, b->ip) == 0;
}

int snipe_address_to_sockaddr(const struct snipe_address *addr, struct sockaddr_storage *out)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, addr->ip, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons(addr->port);
		return (int)sizeof(*in4);
	}
	if (inet_pton(AF_INET6, addr->ip, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(addr->port);
		return (int)sizeof(*in6);
	}
	return SNIPE_ERR_SYNTAX;
}

void snipe_address_from_sockaddr(const struct sockaddr *sa, struct snipe_address *addr)
{
	memset(addr, 0, sizeof(*addr));
	if (sa->sa_family == AF_INET) {
		const struct sockaddr_in *in4 = (const struct sockaddr_in *)sa;

		inet_ntop(AF_INET, &in4->sin_addr, addr->ip, sizeof(addr->ip));
		addr->port = ntohs(in4->sin_port);
	} else if (sa->sa_family == AF_INET6) {
		const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)sa;

		inet_ntop(AF_INET6, &in6->sin6_addr, addr->ip, sizeof(addr->ip));
		addr->port = ntohs(in6->sin6_port);
	}
}
