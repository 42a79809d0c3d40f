#include "node/server_table.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"

/* Servers found in the first seconds of a node's life were there before it, so they are warm.
 */
#define WARM_US 3000000

static void free_pool(gpointer data)
{
	struct snipe_server_pool *p = data;

	snipe_balancer_finish(&p->balancer);
	g_hash_table_destroy(p->by_handle);
	g_hash_table_destroy(p->by_id);
	g_free(p);
}

static int domain_id(struct snipe_server_table *t, const char *name)
{
	gpointer id = g_hash_table_lookup(t->domains, name);

	if (!id) {
		id = GINT_TO_POINTER((int)g_hash_table_size(t->domains) + 1);
		g_hash_table_insert(t->domains, g_strdup(name), id);
	}
	return GPOINTER_TO_INT(id);
}

void snipe_server_table_init(struct snipe_server_table *t, const char *failure_domain,
			     int64_t now_us)
{
	memset(t, 0, sizeof(*t));
	t->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	t->domains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	snprintf(t->failure_domain, sizeof(t->failure_domain), "%s", failure_domain);
	t->started_us = now_us;
}

void snipe_server_table_finish(struct snipe_server_table *t)
{
	g_hash_table_destroy(t->pools);
	g_hash_table_destroy(t->domains);
}

struct snipe_server_pool *snipe_server_table_pool(const struct snipe_server_table *t,
						  const char *name)
{
	return g_hash_table_lookup(t->pools, name);
}

static void update_pools(struct snipe_server_table *t, const struct snipe_tables *tables)
{
	for (int i = 0; i < tables->pool_count; i++) {
		const struct snipe_pool *row = &tables->pools[i];
		struct snipe_server_pool *p = snipe_server_table_pool(t, row->name);

		if (p) {
			snipe_balancer_set_connections(&p->balancer, row->connections);
			continue;
		}
		p = g_new0(struct snipe_server_pool, 1);
		memcpy(p->name, row->name, sizeof(p->name));
		snipe_balancer_init(&p->balancer, domain_id(t, t->failure_domain),
				    row->connections);
		p->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
		p->by_handle = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(t->pools, p->name, p);
	}
}

static void remove_server(struct snipe_server_pool *p, struct snipe_server *s)
{
	snipe_balancer_remove(&p->balancer, s->handle);
	g_hash_table_remove(p->by_handle, GINT_TO_POINTER(s->handle));
	g_hash_table_remove(p->by_id, s->node_id);
}

/* Returns NULL if the balancer has no room. */
static struct snipe_server *add_server(struct snipe_server_table *t,
				       struct snipe_server_pool *p,
				       const struct snipe_member *m, int64_t now_us)
{
	int handle = snipe_balancer_add(&p->balancer, now_us, domain_id(t, m->failure_domain),
					now_us - t->started_us > WARM_US);
	struct snipe_server *s;

	if (handle < 0)
		return NULL;
	s = g_new0(struct snipe_server, 1);
	s->handle = handle;
	memcpy(s->node_id, m->node_id, sizeof(s->node_id));
	s->process = m->process;
	s->is_usable = 1;
	g_hash_table_insert(p->by_id, s->node_id, s);
	g_hash_table_insert(p->by_handle, GINT_TO_POINTER(handle), s);
	return s;
}

static void update_member(struct snipe_server_table *t, const struct snipe_member *m,
			  int64_t now_us)
{
	struct snipe_server_pool *p = snipe_server_table_pool(t, m->pool);
	int is_ready = m->state == SNIPE_MEMBER_READY;
	struct snipe_server *s;

	if (!p || m->state == SNIPE_MEMBER_DEAD || m->state == SNIPE_MEMBER_LEFT)
		return;
	s = g_hash_table_lookup(p->by_id, m->node_id);
	if (s && s->process != m->process) {
		remove_server(p, s);
		s = NULL;
	}
	/* The balancer takes ready servers only. */
	if (!s && is_ready)
		s = add_server(t, p, m, now_us);
	if (!s)
		return;
	s->address = m->address;
	s->mark = t->mark;
	/* A suspected member keeps its last state: the suspicion may be false, and the balancer
	 * ejects a server that fails. */
	if (m->state == SNIPE_MEMBER_SUSPECT)
		return;
	if (s->is_usable != is_ready)
		snipe_balancer_set_usable(&p->balancer, s->handle, is_ready);
	s->is_usable = is_ready;
}

static void remove_unseen(struct snipe_server_table *t, struct snipe_server_pool *p)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct snipe_server *s = value;

		if (s->mark == t->mark)
			continue;
		snipe_balancer_remove(&p->balancer, s->handle);
		g_hash_table_remove(p->by_handle, GINT_TO_POINTER(s->handle));
		g_hash_table_iter_remove(&it);
	}
}

void snipe_server_table_update(struct snipe_server_table *t, const struct snipe_snapshot *s,
			       int64_t now_us)
{
	GHashTableIter it;
	gpointer pool;

	t->mark++;
	if (s->tables)
		update_pools(t, &s->tables->tables);
	for (int i = 0; i < s->member_count; i++)
		update_member(t, &s->members[i], now_us);
	g_hash_table_iter_init(&it, t->pools);
	while (g_hash_table_iter_next(&it, NULL, &pool))
		remove_unseen(t, pool);
}

int snipe_server_pool_choose(struct snipe_server_pool *p, int64_t now_us, GRand *rng,
			     enum snipe_importance importance, const int *exclude,
			     int exclude_count, struct snipe_address *address)
{
	int handle = snipe_balancer_choose(&p->balancer, now_us, rng, importance, exclude,
					   exclude_count);
	const struct snipe_server *s;

	if (handle < 0)
		return handle;
	s = g_hash_table_lookup(p->by_handle, GINT_TO_POINTER(handle));
	*address = s->address;
	return handle;
}

static void dump_pool(const struct snipe_server_pool *p, int64_t now_us,
		      struct snipe_buffer *out)
{
	GHashTableIter it;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&it, p->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_server *s = value;
		char address[SNIPE_ADDRESS_TEXT_SIZE];
		struct snipe_balancer_view v;

		if (snipe_balancer_get_view(&p->balancer, s->handle, now_us, &v) != 0)
			continue;
		snipe_address_format(&s->address, address);
		snipe_buffer_printf(out,
				    "%s{\"node\":\"%s\",\"address\":\"%s\",\"in_flight\":%d,"
				    "\"latency_us\":%lld,\"usable\":%s,\"ejected\":%s,"
				    "\"limit\":%d,\"running\":%d,\"waiting\":%d,\"floor\":%d}",
				    n++ ? "," : "", s->node_id, address, v.in_flight,
				    (long long)v.latency_us, v.is_usable ? "true" : "false",
				    v.is_ejected ? "true" : "false", v.report.limit,
				    v.report.running, v.report.waiting, v.report.floor);
	}
}

void snipe_server_table_dump(const struct snipe_server_table *t, int64_t now_us,
			     struct snipe_buffer *out)
{
	GHashTableIter it;
	gpointer value;
	int n = 0;

	snipe_buffer_printf(out, "{");
	g_hash_table_iter_init(&it, t->pools);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_server_pool *p = value;

		snipe_buffer_printf(out, "%s\"%s\":[", n++ ? "," : "", p->name);
		dump_pool(p, now_us, out);
		snipe_buffer_printf(out, "]");
	}
	snipe_buffer_printf(out, "}");
}
