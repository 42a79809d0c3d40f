#include <string.h>

#include "base/log.h"
#include "base/clock.h"
#include "node/control_internal.h"

#define FETCH_TIMEOUT_US 2000000

static const char *const object_kinds[] = {"config", "config", "fleet"};
static const char *const object_names[] = {"tables", "keys", "shards"};

static int load_tables(struct snipe_control_task *t, const char *value, size_t len,
		       struct snipe_error_text *err)
{
	struct snipe_loaded_tables *loaded = snipe_loaded_tables_new();
	struct snipe_tables_document doc;
	struct snipe_problems problems;
	int rc;

	snipe_tables_document_init(&doc);
	snipe_problems_init(&problems);
	rc = snipe_tables_document_parse(&doc, value, len, err);
	if (rc == 0) {
		rc = snipe_tables_load(&loaded->tables, doc.routes_toml, "routes.toml",
				       doc.pools_toml, "pools.toml", &problems);
		if (rc < 0)
			snipe_error_set(err, rc, "%s",
					problems.count ? problems.lines[0] : "invalid tables");
	}
	snipe_problems_finish(&problems);
	snipe_tables_document_finish(&doc);
	if (rc < 0) {
		snipe_loaded_tables_unref(loaded);
		return rc;
	}
	snipe_loaded_tables_unref(t->tables);
	t->tables = loaded;
	return 0;
}

static int load_keys(struct snipe_control_task *t, const char *value, size_t len,
		     struct snipe_error_text *err)
{
	struct snipe_loaded_keys *loaded = snipe_loaded_keys_new();
	int rc = snipe_keys_parse(&loaded->keys, value, len, err);

	if (rc < 0) {
		snipe_loaded_keys_unref(loaded);
		return rc;
	}
	snipe_loaded_keys_unref(t->keys);
	t->keys = loaded;
	return 0;
}

static int load_value(struct snipe_control_task *t, enum snipe_object_id id, uint64_t version,
		      const char *value, size_t len, struct snipe_error_text *err)
{
	switch (id) {
	case SNIPE_OBJECT_TABLES:
		return load_tables(t, value, len, err);
	case SNIPE_OBJECT_KEYS:
		return load_keys(t, value, len, err);
	default:
		err->text[0] = '\0';
		return snipe_control_load_shards(t, version, value, len);
	}
}

/* Loads a value without touching versions. Returns 0 or a negative error. */
int snipe_control_load(struct snipe_control_task *t, enum snipe_object_id id, uint64_t version,
		       const char *value, size_t len)
{
	static struct snipe_log_limit limit;
	struct snipe_error_text err;
	int rc;

	if (version <= t->state.versions[id])
		return SNIPE_ERR_STALE;
	rc = load_value(t, id, version, value, len, &err);
	if (rc < 0) {
		if (snipe_log_allow(&limit, snipe_now_us(), 1, NULL))
			snipe_log(SNIPE_LOG_ERROR, "object_refused",
				  "object=%s version=%llu err=%s msg=\"%s\" remedy=\"write a "
				  "correct version with snipescale apply\"",
				  object_names[id], (unsigned long long)version,
				  snipe_error_name(rc), err.text);
		return rc;
	}
	g_clear_pointer(&t->values[id], g_bytes_unref);
	t->values[id] = g_bytes_new(value, len);
	t->snapshot_changed |= id != SNIPE_OBJECT_SHARDS;
	snipe_log(SNIPE_LOG_INFO, "object_in_force", "object=%s version=%llu bytes=%zu",
		  object_names[id], (unsigned long long)version, len);
	return 0;
}

/* A read of the platform ended. */
static void on_read(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_object_reader *r = arg;
	struct snipe_control_task *t = r->task;
	int64_t now = snipe_now_us();

	r->handle = 0;
	r->next_us = now;
	if (err == SNIPE_ERR_NOT_FOUND) {
		snipe_control_state_record_read(&t->state, r->id, 0, r->sent_us);
		r->next_us = now + SNIPE_READ_RETRY_US;
	} else if (err == SNIPE_ERR_STALE) {
		snipe_control_state_record_read(&t->state, r->id, object->version, r->sent_us);
	} else if (err) {
		/* Jitter keeps the readers of a fleet apart after an outage. */
		r->next_us = now + SNIPE_READ_RETRY_US +
			     g_rand_int_range(t->rng, 0, SNIPE_READ_RETRY_US);
	} else if (object->version <= t->state.versions[r->id] ||
		   snipe_control_load(t, r->id, object->version, object->value, object->len) ==
			   0) {
		if (snipe_control_state_record_read(&t->state, r->id, object->version,
						    r->sent_us))
			snipe_control_push(t);
	} else {
		snipe_control_state_record_known(&t->state, r->id, object->version);
		r->next_us = now + SNIPE_READ_RETRY_US;
	}
	snipe_control_advance(t);
}

static void start_read(struct snipe_object_reader *r, int64_t now)
{
	struct snipe_control_task *t = r->task;
	const char *kind = object_kinds[r->id], *name = object_names[r->id];
	uint64_t version = t->state.versions[r->id];

	r->sent_us = now;
	if (version == 0)
		r->handle = t->store->ops->get(t->store, kind, name, SNIPE_STORE_TIMEOUT_MS,
					       on_read, r);
	else
		r->handle = t->store->ops->watch(
			t->store, kind, name, version, SNIPE_WATCH_WAIT_MS,
			SNIPE_WATCH_WAIT_MS + SNIPE_STORE_TIMEOUT_MS, on_read, r);
	if (r->handle < 0) {
		r->handle = 0;
		r->next_us = now + SNIPE_READ_RETRY_US;
	}
}

void snipe_control_objects_tick(struct snipe_control_task *t, int64_t now)
{
	if (!t->has_joined)
		return;
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
		struct snipe_object_reader *r = &t->readers[i];

		if (t->role.is_reader && !r->handle && now >= r->next_us)
			start_read(r, now);
	}
}

void snipe_control_objects_finish(struct snipe_control_task *t)
{
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
		if (t->readers[i].handle)
			t->store->ops->cancel(t->store, t->readers[i].handle);
		if (t->values[i])
			g_bytes_unref(t->values[i]);
	}
}

static void on_object(void *arg, int err, const struct snipe_message *reply, const char *body,
		      size_t body_len)
{
	struct snipe_object_reader *r = arg;
	struct snipe_control_task *t = r->task;
	const struct snipe_msg_object *o;

	(void)body;
	(void)body_len;
	r->is_fetching = 0;
	if (err || reply->type != SNIPE_MSG_OBJECT)
		return;
	o = &reply->u.object;
	snipe_counters_add(t->counters, t->count_received, (int64_t)o->value.len);
	if (o->object == (int)r->id && o->version > t->state.versions[r->id] &&
	    snipe_control_load(t, r->id, o->version, o->value.data, o->value.len) == 0) {
		snipe_control_state_accept_object(&t->state, r->id, o->version);
		snipe_control_push(t);
	}
}

void snipe_control_fetch(struct snipe_control_task *t, enum snipe_object_id id,
			 const struct snipe_address *from)
{
	struct snipe_object_reader *r = &t->readers[id];
	struct snipe_message m;

	if (r->is_fetching)
		return;
	memset(&m, 0, sizeof(m));
	m.type = SNIPE_MSG_FETCH;
	m.u.fetch.object = id;
	r->is_fetching = 1;
	snipe_peer_request(t->peers, from, &m, NULL, 0, FETCH_TIMEOUT_US, on_object, r);
}

void snipe_control_on_fetch(void *arg, const struct snipe_peer_origin *from,
			    const struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_control_task *t = arg;
	int id = msg->u.fetch.object;
	struct snipe_message m;
	gsize len = 0;

	(void)body;
	(void)body_len;
	memset(&m, 0, sizeof(m));
	m.type = SNIPE_MSG_OBJECT;
	m.u.object.object = id;
	if (t->values[id]) {
		m.u.object.version = t->state.versions[id];
		m.u.object.value.data = g_bytes_get_data(t->values[id], &len);
		m.u.object.value.len = len;
	}
	snipe_counters_add(t->counters, t->count_sent, (int64_t)len);
	snipe_peer_reply(t->peers, from, &m, NULL, 0);
}

int snipe_control_task_object(struct snipe_control_task *t, enum snipe_object_id id,
			      uint64_t version, const char *value, size_t len)
{
	int rc = snipe_control_load(t, id, version, value, len);

	if (rc == SNIPE_ERR_STALE)
		return version == t->state.versions[id] ? 0 : rc;
	if (rc < 0)
		return rc;
	snipe_control_state_accept_object(&t->state, id, version);
	snipe_control_push(t);
	return 0;
}
