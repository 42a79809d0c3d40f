#include "node/snapshot.h"

#include <glib.h>
#include <string.h>

struct snipe_snapshot *snipe_snapshot_new(const uint64_t versions[SNIPE_OBJECT_COUNT],
					  struct snipe_loaded_tables *tables,
					  struct snipe_loaded_keys *keys,
					  const struct snipe_membership *members)
{
	struct snipe_snapshot *s = g_new0(struct snipe_snapshot, 1);
	int n = snipe_membership_count(members);

	s->refs = 1;
	memcpy(s->versions, versions, sizeof(s->versions));
	s->tables = tables;
	if (tables)
		tables->refs++;
	s->keys = keys;
	if (keys)
		keys->refs++;
	s->members = g_new0(struct snipe_member, n + 1);
	s->member_count = n;
	for (int i = 0; i < n; i++)
		s->members[i] = *snipe_membership_at(members, i);
	return s;
}

struct snipe_snapshot *snipe_snapshot_ref(struct snipe_snapshot *s)
{
	s->refs++;
	return s;
}

void snipe_snapshot_unref(struct snipe_snapshot *s)
{
	if (!s || --s->refs > 0)
		return;
	snipe_loaded_tables_unref(s->tables);
	snipe_loaded_keys_unref(s->keys);
	g_free(s->members);
	g_free(s);
}

struct snipe_loaded_tables *snipe_loaded_tables_new(void)
{
	struct snipe_loaded_tables *t = g_new0(struct snipe_loaded_tables, 1);

	t->refs = 1;
	return t;
}

void snipe_loaded_tables_unref(struct snipe_loaded_tables *t)
{
	if (!t || --t->refs > 0)
		return;
	snipe_tables_finish(&t->tables);
	g_free(t);
}

struct snipe_loaded_keys *snipe_loaded_keys_new(void)
{
	struct snipe_loaded_keys *k = g_new0(struct snipe_loaded_keys, 1);

	k->refs = 1;
	snipe_keys_init(&k->keys);
	return k;
}

void snipe_loaded_keys_unref(struct snipe_loaded_keys *k)
{
	if (!k || --k->refs > 0)
		return;
	snipe_keys_finish(&k->keys);
	g_free(k);
}
