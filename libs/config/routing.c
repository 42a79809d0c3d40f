#include "config/routing.h"

#include <string.h>

#include "base/hash.h"

/* Hosts are at most 253 bytes long (RFC 1035, section 2.3.4). */
#define HOST_MAX 256

static guint hash_digest(gconstpointer key)
{
	guint h;

	memcpy(&h, key, sizeof(h));
	return h;
}

static gboolean equal_digest(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, SNIPE_SHA256_SIZE) == 0;
}

static void free_indexes(gpointer p)
{
	g_array_free(p, TRUE);
}

struct snipe_routing *snipe_routing_new(uint64_t version)
{
	struct snipe_routing *r = g_new0(struct snipe_routing, 1);

	r->refs = 1;
	r->version = version;
	r->keys = g_hash_table_new_full(hash_digest, equal_digest, g_free, NULL);
	r->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_indexes);
	return r;
}

struct snipe_routing *snipe_routing_ref(struct snipe_routing *r)
{
	r->refs++;
	return r;
}

void snipe_routing_unref(struct snipe_routing *r)
{
	if (!r || --r->refs > 0)
		return;
	for (int i = 0; i < r->route_count; i++) {
		g_free(r->routes[i].host);
		g_free(r->routes[i].prefix);
		g_free(r->routes[i].targets);
	}
	g_free(r->routes);
	g_free(r->services);
	g_free(r->workspaces);
	g_free(r->document);
	g_hash_table_destroy(r->keys);
	g_hash_table_destroy(r->by_host);
	g_free(r);
}

struct snipe_gateway_route *snipe_routing_add_route(struct snipe_routing *r)
{
	r->routes = g_renew(struct snipe_gateway_route, r->routes, r->route_count + 1);
	memset(&r->routes[r->route_count], 0, sizeof(r->routes[0]));
	return &r->routes[r->route_count++];
}

struct snipe_gateway_service *snipe_routing_add_service(struct snipe_routing *r)
{
	r->services = g_renew(struct snipe_gateway_service, r->services, r->service_count + 1);
	memset(&r->services[r->service_count], 0, sizeof(r->services[0]));
	return &r->services[r->service_count++];
}

struct snipe_gateway_workspace *snipe_routing_add_workspace(struct snipe_routing *r)
{
	r->workspaces =
		g_renew(struct snipe_gateway_workspace, r->workspaces, r->workspace_count + 1);
	memset(&r->workspaces[r->workspace_count], 0, sizeof(r->workspaces[0]));
	return &r->workspaces[r->workspace_count++];
}

void snipe_routing_add_key(struct snipe_routing *r, const char *key, int workspace)
{
	uint8_t *digest = g_malloc(SNIPE_SHA256_SIZE);

	snipe_sha256(key, strlen(key), digest);
	g_hash_table_replace(r->keys, digest, GINT_TO_POINTER(workspace + 1));
}

static int check_route(const struct snipe_routing *r, const struct snipe_gateway_route *route,
		       struct snipe_error_text *err)
{
	size_t len = route->prefix ? strlen(route->prefix) : 0;

	if (!route->host || !*route->host)
		return snipe_error_set(err, SNIPE_ERR_INVALID,
				       "route %s has no host; state the host that callers use",
				       route->name);
	if (len == 0 || route->prefix[0] != '/' || route->prefix[len - 1] != '/')
		return snipe_error_set(err, SNIPE_ERR_INVALID,
				       "route %s has the prefix \"%s\"; begin and end it with "
				       "a slash",
				       route->name, route->prefix ? route->prefix : "");
	if (route->timeout_us <= 0 || route->target_latency_us <= 0 || route->attempts < 1)
		return snipe_error_set(err, SNIPE_ERR_INVALID,
				       "route %s needs a timeout, a target latency and at "
				       "least one attempt",
				       route->name);
	if (route->target_count == 0)
		return snipe_error_set(err, SNIPE_ERR_INVALID,
				       "route %s has no service; name one", route->name);
	for (int i = 0; i < route->target_count; i++) {
		if (!snipe_routing_find_service(r, route->targets[i].service))
			return snipe_error_set(err, SNIPE_ERR_INVALID,
					       "route %s names the service %s, which is not "
					       "in the tables; add it",
					       route->name, route->targets[i].service);
	}
	return 0;
}

static gint longest_first(gconstpointer a, gconstpointer b, gpointer routing)
{
	const struct snipe_routing *r = routing;
	const struct snipe_gateway_route *x = &r->routes[*(const int *)a];
	const struct snipe_gateway_route *y = &r->routes[*(const int *)b];
	size_t len_x = strlen(x->prefix), len_y = strlen(y->prefix);

	return len_x < len_y ? 1 : len_x > len_y ? -1 : 0;
}

int snipe_routing_seal(struct snipe_routing *r, struct snipe_error_text *err)
{
	GHashTableIter it;
	gpointer list;

	for (int i = 0; i < r->route_count; i++) {
		struct snipe_gateway_route *route = &r->routes[i];
		GArray *indexes;
		int ret = check_route(r, route, err);

		if (ret < 0)
			return ret;
		indexes = g_hash_table_lookup(r->by_host, route->host);
		if (!indexes) {
			indexes = g_array_new(FALSE, FALSE, sizeof(int));
			g_hash_table_insert(r->by_host, route->host, indexes);
		}
		g_array_append_val(indexes, i);
	}
	g_hash_table_iter_init(&it, r->by_host);
	while (g_hash_table_iter_next(&it, NULL, &list))
		g_array_sort_with_data(list, longest_first, r);
	return 0;
}

const struct snipe_gateway_route *snipe_routing_match(const struct snipe_routing *r,
						      const char *host, const char *path,
						      size_t path_len)
{
	char name[HOST_MAX];
	size_t len = strcspn(host, ":");
	GArray *indexes;

	if (len >= sizeof(name))
		return NULL;
	for (size_t i = 0; i < len; i++)
		name[i] = g_ascii_tolower(host[i]);
	name[len] = '\0';
	indexes = g_hash_table_lookup(r->by_host, name);
	for (guint i = 0; indexes && i < indexes->len; i++) {
		const struct snipe_gateway_route *route =
			&r->routes[g_array_index(indexes, int, i)];
		size_t prefix_len = strlen(route->prefix);

		if (prefix_len <= path_len && memcmp(route->prefix, path, prefix_len) == 0)
			return route;
	}
	return NULL;
}

int snipe_routing_find_key(const struct snipe_routing *r, const char *key)
{
	uint8_t digest[SNIPE_SHA256_SIZE];
	gpointer found;

	snipe_sha256(key, strlen(key), digest);
	found = g_hash_table_lookup(r->keys, digest);
	return found ? GPOINTER_TO_INT(found) - 1 : SNIPE_ERR_NOT_FOUND;
}

const struct snipe_gateway_service *snipe_routing_find_service(const struct snipe_routing *r,
							       const char *name)
{
	for (int i = 0; i < r->service_count; i++)
		if (strcmp(r->services[i].name, name) == 0)
			return &r->services[i];
	return NULL;
}
