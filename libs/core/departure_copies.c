#include "core/departure_copies.h"

#include <string.h>

struct kept_departure {
	struct snipe_departure departure;
	uint64_t process; /* of the node, the last one that knows the departure */
	int64_t kept_us;
};

void snipe_departure_copies_init(struct snipe_departure_copies *c)
{
	memset(c, 0, sizeof(*c));
	c->holders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void snipe_departure_copies_finish(struct snipe_departure_copies *c)
{
	if (!c->holders)
		return;
	g_hash_table_destroy(c->holders);
	g_hash_table_destroy(c->kept);
	memset(c, 0, sizeof(*c));
}

void snipe_departure_copies_offer(struct snipe_departure_copies *c,
				  const struct snipe_departure *d)
{
	c->own = *d;
	g_hash_table_remove_all(c->holders);
}

void snipe_departure_copies_add_receipt(struct snipe_departure_copies *c, const char *node_id,
					uint64_t process, const struct snipe_departure *d)
{
	if (*c->own.server_id && snipe_departure_equal(&c->own, d))
		g_hash_table_insert(c->holders, g_strdup(node_id),
				    g_memdup2(&process, sizeof(process)));
}

int snipe_departure_copies_has_receipt(struct snipe_departure_copies *c, const char *node_id,
				       uint64_t process)
{
	const uint64_t *holder = g_hash_table_lookup(c->holders, node_id);

	if (holder && *holder == process)
		return 1;
	g_hash_table_remove(c->holders, node_id);
	return 0;
}

int snipe_departure_copies_count(const struct snipe_departure_copies *c)
{
	return (int)g_hash_table_size(c->holders);
}

int snipe_departure_copies_are_enough(const struct snipe_departure_copies *c, int other_nodes)
{
	int count = snipe_departure_copies_count(c);

	return count > 0 && 2 * count >= other_nodes;
}

static gboolean is_expired(gpointer node_id, gpointer value, gpointer arg)
{
	const struct kept_departure *kept = value;
	const int64_t *now_us = arg;

	(void)node_id;
	return *now_us - kept->kept_us >= SNIPE_DEPARTURE_VALID_US;
}

int snipe_departure_copies_keep(struct snipe_departure_copies *c, int64_t now_us,
				const char *node_id, uint64_t process,
				const struct snipe_departure *d)
{
	struct kept_departure *kept;

	g_hash_table_foreach_remove(c->kept, is_expired, &now_us);
	kept = g_hash_table_lookup(c->kept, node_id);
	if (kept && snipe_departure_equal(&kept->departure, d)) {
		kept->process = process;
		return 1;
	}
	if (kept && !snipe_departure_is_later(d, &kept->departure))
		return 0;
	kept = g_new0(struct kept_departure, 1);
	kept->departure = *d;
	kept->process = process;
	kept->kept_us = now_us;
	g_hash_table_insert(c->kept, g_strdup(node_id), kept);
	return 1;
}

const struct snipe_departure *
snipe_departure_copies_unknown_to(const struct snipe_departure_copies *c, int64_t now_us,
				  const char *node_id, uint64_t process)
{
	struct kept_departure *kept = g_hash_table_lookup(c->kept, node_id);

	if (!kept || kept->process == process || is_expired(NULL, kept, &now_us))
		return NULL;
	return &kept->departure;
}

void snipe_departure_copies_set_known(struct snipe_departure_copies *c, const char *node_id,
				      uint64_t process, const struct snipe_departure *d)
{
	struct kept_departure *kept = g_hash_table_lookup(c->kept, node_id);

	if (kept && snipe_departure_equal(&kept->departure, d))
		kept->process = process;
}
