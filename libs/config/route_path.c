#include "config/route_path.h"

#include <glib.h>
#include <string.h>

#include "base/error.h"

#define PATH_CHARACTERS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789/._~-!$&'()+,;=:@"

/* path begins with a slash. Returns nonzero if one segment is "." or "..". */
static int has_dot_segment(const char *path)
{
	const char *slash;

	for (slash = path; slash; slash = strchr(slash + 1, '/')) {
		const char *segment = slash + 1;

		if (*segment == '.')
			segment += segment[1] == '.' ? 2 : 1;
		if (segment > slash + 1 && (*segment == '/' || *segment == '\0'))
			return 1;
	}
	return 0;
}

const char *snipe_route_path_check(const char *text)
{
	size_t len = strlen(text);
	size_t literal = g_str_has_suffix(text, "/*") ? len - 1 : len;

	if (*text != '/')
		return "does not begin with \"/\"; write the path without host and query";
	if (len > SNIPE_ROUTE_PATH_MAX)
		return "is longer than 512 bytes; use a prefix that ends in \"/*\"";
	if (strspn(text, PATH_CHARACTERS) < literal)
		return "holds a character that is not allowed; use letters, digits and "
		       "/._~-!$&'()+,;=:@, and \"*\" only as a last segment";
	if (strstr(text, "//") || has_dot_segment(text))
		return "holds an empty, \".\" or \"..\" segment; remove it";
	if (g_str_has_prefix(text, "/.snipescale/"))
		return "is reserved for the node; use a path outside of /.snipescale/";
	return NULL;
}

int snipe_route_path_compare(int is_prefix, const char *path, size_t len, const char *method,
			     const struct snipe_route *route)
{
	size_t route_len = strlen(route->path);
	int order = is_prefix - route->is_prefix;

	if (order == 0)
		order = memcmp(path, route->path, MIN(len, route_len));
	if (order == 0)
		order = len < route_len ? -1 : len > route_len;
	return order ? order : strcmp(method, route->method);
}

static int decode_byte(const char **path)
{
	int hi, lo;

	if (**path != '%')
		return (unsigned char)*(*path)++;
	hi = g_ascii_xdigit_value((*path)[1]);
	lo = hi < 0 ? -1 : g_ascii_xdigit_value((*path)[2]);
	if (lo < 0)
		return SNIPE_ERR_SYNTAX;
	*path += 3;
	return hi << 4 | lo;
}

int snipe_route_path_decode(const char *path, char *out)
{
	size_t len = 0;

	if (*path != '/')
		return SNIPE_ERR_SYNTAX;
	while (*path) {
		int c = decode_byte(&path);

		/* Some servers read a backslash as a slash. */
		if (c <= 0 || c == '\\')
			return SNIPE_ERR_SYNTAX;
		if (c == '/' && len > 0 && out[len - 1] == '/')
			continue;
		out[len++] = (char)c;
	}
	out[len] = '\0';
	return has_dot_segment(out) ? SNIPE_ERR_SYNTAX : (int)len;
}

static int find(const struct snipe_tables *tables, int is_prefix, const char *path, size_t len,
		const char *method)
{
	int low = 0, high = tables->route_count - 1;

	while (low <= high) {
		int middle = low + (high - low) / 2;
		int order = snipe_route_path_compare(is_prefix, path, len, method,
						     &tables->routes[middle]);

		if (order == 0)
			return middle;
		if (order < 0)
			high = middle - 1;
		else
			low = middle + 1;
	}
	return SNIPE_ERR_NOT_FOUND;
}

int snipe_tables_match(const struct snipe_tables *tables, const char *method, const char *path)
{
	char fixed[1024], *decoded = fixed;
	size_t size = strlen(path) + 1;
	int len, route = SNIPE_ERR_NOT_FOUND;

	if (size > sizeof(fixed))
		decoded = g_malloc(size);
	len = snipe_route_path_decode(path, decoded);
	if (len > 0)
		route = find(tables, 0, decoded, (size_t)len, method);
	/* No route's path is longer, so that longer requests need not be tried at full length.
	 */
	len = MIN(len, SNIPE_ROUTE_PATH_MAX);
	for (; route < 0 && len > 0; len--) {
		if (decoded[len - 1] == '/')
			route = find(tables, 1, decoded, (size_t)len, method);
	}
	if (decoded != fixed)
		g_free(decoded);
	return route;
}
