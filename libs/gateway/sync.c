#include "gateway/sync.h"

#include <event2/event.h>
#include <stddef.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "gateway/backoff.h"

/* Longest wait of a watch. The tables are trusted for a few seconds after the start of the last
 * read that confirmed them. That time must cover two waits, the interval at which other nodes
 * query the readers, and the time for which a node goes on serving without the store. */
#define WATCH_WAIT_MS 600
/* A node that got no confirmation from others for this long reads the store itself. */
#define FALLBACK_AFTER_US 1600000
/* Interval of these reads while they fail; long, because every call to the store has a cost. */
#define FALLBACK_RETRY_US 1500000
/* Interval of the check whether this node must read the store; short compared with
 * FALLBACK_AFTER_US. */
#define ROLE_CHECK_US 200000
/* The list of nodes is read again at this interval, to find entries that were missed. */
#define LIST_INTERVAL_US 15000000
/* Shortest interval between two fetches of tables from other nodes. */
#define FETCH_INTERVAL_MIN_US 200000
/* Two nodes transfer tables of one megabyte in a fraction of this time. */
#define FETCH_TIMEOUT_US 1000000

/* A node that is no reader leaves a read of tables that it lost its place in to the readers for
 * this long. */
#define LOST_PLACE_WAIT_US 200000

static void read_tables(struct snipe_sync *s);
static void register_node(struct snipe_sync *s);

static void set_timer(struct event *timer, int64_t wait_us)
{
	struct timeval tv = snipe_timeval(wait_us);

	event_add(timer, &tv);
}

static void mark_store_reachable(struct snipe_sync *s)
{
	int64_t now = snipe_now_us();

	s->failures = 0;
	if (s->is_reachable)
		return;
	s->is_reachable = 1;
	snipe_counters_set(s->config.counters, s->gauge_reachable, 1);
	snipe_log(SNIPE_LOG_INFO, "store_reachable", "unreachable_ms=%lld",
		  (long long)(s->unreachable_us ? (now - s->unreachable_us) / 1000 : -1));
}

static uint64_t held_version(const struct snipe_sync *s)
{
	return s->routing ? s->routing->version : 0;
}

/* Newer tables exist, but could not be fetched from the node that reported them. */
static int has_unfetched_tables(const struct snipe_sync *s)
{
	return s->failed_fetch_version > held_version(s);
}

/* Milliseconds since the tables held were last known to be the newest; -1: never. */
static long long confirmed_age_ms(const struct snipe_sync *s)
{
	int64_t confirmed = s->config.confirmed_us(s->config.arg);

	return confirmed ? (long long)((snipe_now_us() - confirmed) / 1000) : -1;
}

/* Counts a failed call to the store that was sent at sent_us. */
static void record_store_failure(struct snipe_sync *s, const char *call, int err,
				 int64_t sent_us)
{
	int64_t now = snipe_now_us();
	unsigned suppressed;

	s->failures++;
	snipe_counters_add(s->config.counters, s->count_read_errors, 1);
	if (snipe_log_allow(&s->failure_log_limit, now, SNIPE_LOG_LINES_PER_S, &suppressed))
		snipe_log(SNIPE_LOG_WARNING, "store_call_failed",
			  "call=%s err=%s failures=%d version=%llu took_ms=%lld "
			  "confirmed_age_ms=%lld reader=%d suppressed=%u",
			  call, snipe_error_name(err), s->failures,
			  (unsigned long long)s->version, (long long)((now - sent_us) / 1000),
			  confirmed_age_ms(s), snipe_directory_is_reader(s->config.directory),
			  suppressed);
	if (s->is_reachable)
		s->unreachable_us = now;
	s->is_reachable = 0;
	snipe_counters_set(s->config.counters, s->gauge_reachable, 0);
}

/* Returns handle if the call was started. If handle is an error, schedules a retry on the timer
 * and returns 0. */
static int handle_or_retry(struct snipe_sync *s, const char *call, int handle,
			   struct event *retry)
{
	if (handle > 0)
		return handle;
	record_store_failure(s, call, handle, snipe_now_us());
	set_timer(retry, snipe_backoff_us(s->rng, s->failures));
	return 0;
}

/* Loads tables if they are newer than those held. Returns 0 and sets *version to theirs, or
 * returns an error if they cannot be decoded. */
static int load_tables(struct snipe_sync *s, const char *document, size_t len,
		       const char *source, uint64_t *version)
{
	struct snipe_routing *routing = NULL;
	struct snipe_error_text err;
	int ret = s->config.dialect->ops->decode_tables(s->config.dialect, document, len,
							&routing, &err);

	if (ret < 0) {
		snipe_log(SNIPE_LOG_ERROR, "tables_rejected", "source=%s bytes=%zu err=\"%s\"",
			  source, len, err.text);
		return ret;
	}
	*version = routing->version;
	if (s->routing && routing->version <= s->routing->version) {
		snipe_routing_unref(routing);
		return 0;
	}
	snipe_log(SNIPE_LOG_INFO, "tables_loaded",
		  "version=%llx previous_version=%llx source=%s routes=%d services=%d "
		  "workspaces=%d "
		  "confirmed_age_ms=%lld",
		  (unsigned long long)routing->version, (unsigned long long)held_version(s),
		  source, routing->route_count, routing->service_count,
		  routing->workspace_count, confirmed_age_ms(s));
	snipe_routing_unref(s->routing);
	s->routing = routing;
	s->config.tables_loaded(s->config.arg, routing);
	return 0;
}

/* Schedules a read of the tables after this number of consecutive reads that returned none. The
 * first retry comes soon: a single failure may only mean that the connection to the store was
 * closed meanwhile. */
static void schedule_read_retry(struct snipe_sync *s, int reads)
{
	int is_urgent = snipe_directory_is_reader(s->config.directory) || !s->routing ||
			has_unfetched_tables(s) || reads == 1;

	set_timer(&s->read_timer,
		  is_urgent ? snipe_backoff_us(s->rng, reads) : FALLBACK_RETRY_US);
}

/* Takes over the tables that were read from the store. A store that came back from an older
 * copy may hold older ones than this node until operators have written theirs again. */
static void take_stored_tables(struct snipe_sync *s, const struct snipe_object *object)
{
	uint64_t held = held_version(s), version = 0;

	s->has_decode_error = load_tables(s, object->value, object->len, "store", &version) < 0;
	if (!s->has_decode_error && version < held && version != s->stored_version)
		snipe_log(SNIPE_LOG_WARNING, "tables_older_in_store",
			  "version=%llx held_version=%llx confirmed_age_ms=%lld",
			  (unsigned long long)version, (unsigned long long)held,
			  confirmed_age_ms(s));
	s->stored_version = version;
}

static void on_tables_read(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_sync *s = arg;

	s->read_handle = 0;
	if (err == 0 || err == SNIPE_ERR_STALE) {
		mark_store_reachable(s);
		s->version = object->version;
		s->missing_reads = 0;
		if (err == 0)
			take_stored_tables(s, object);
		/* Tables that cannot be decoded may revoke a key: nothing is confirmed until
		 * they are replaced or decoded after another read. If the store lost the tables
		 * held, it may have lost newer ones too: nothing is confirmed until it has them
		 * again. */
		if (!s->has_decode_error && s->stored_version >= held_version(s))
			s->config.confirmed(s->config.arg, s->read_sent_us);
		else if (s->has_decode_error && err == SNIPE_ERR_STALE)
			s->version = 0;
		read_tables(s);
		return;
	}
	if (err == SNIPE_ERR_NOT_FOUND) {
		/* The store is reachable, but operators have not written the first tables. */
		mark_store_reachable(s);
		if (s->missing_reads++ == 0)
			snipe_log(SNIPE_LOG_INFO, "tables_missing", "version=%llu",
				  (unsigned long long)s->version);
		s->version = 0;
		schedule_read_retry(s, s->missing_reads);
		return;
	}
	if (err == SNIPE_ERR_HISTORY_LOST) {
		snipe_log(SNIPE_LOG_INFO, "store_history_lost", "version=%llu",
			  (unsigned long long)s->version);
		s->version = 0;
		/* All nodes may lose their place at once. The others leave the next read to the
		 * readers, if these confirm the tables meanwhile. */
		if (snipe_directory_is_reader(s->config.directory))
			read_tables(s);
		else
			set_timer(&s->read_timer, LOST_PLACE_WAIT_US);
		return;
	}
	record_store_failure(s, s->version ? "watch" : "get", err, s->read_sent_us);
	schedule_read_retry(s, s->failures);
}

/* Whether this node is not a reader and got no confirmation from other nodes for too long. */
static int needs_fallback_read(const struct snipe_sync *s)
{
	int64_t age = snipe_now_us() - s->config.confirmed_us(s->config.arg);

	return age > FALLBACK_AFTER_US && !snipe_directory_is_reader(s->config.directory);
}

/* Whether this node reads the store instead of relying on the readers. */
static int must_read_store(const struct snipe_sync *s)
{
	return s->is_fallback_reader || has_unfetched_tables(s) ||
	       snipe_directory_is_reader(s->config.directory);
}

static void update_fallback_role(struct snipe_sync *s)
{
	int is_needed = needs_fallback_read(s);

	if (is_needed && !s->is_fallback_reader)
		snipe_log(SNIPE_LOG_INFO, "tables_fallback_read_started",
			  "confirmed_age_ms=%lld store_failures=%d", confirmed_age_ms(s),
			  s->failures);
	s->is_fallback_reader = is_needed;
}

static void read_tables(struct snipe_sync *s)
{
	const struct snipe_dialect *d = s->config.dialect;
	struct snipe_object_store *store = s->config.store;
	int handle;

	update_fallback_role(s);
	if (!must_read_store(s)) {
		set_timer(&s->read_timer, ROLE_CHECK_US);
		return;
	}
	s->read_sent_us = snipe_now_us();
	snipe_counters_add(s->config.counters, s->count_reads, 1);
	if (s->version)
		handle = store->ops->watch(store, d->tables_kind, d->tables_name, s->version,
					   WATCH_WAIT_MS, SNIPE_STORE_TIMEOUT_MS,
					   on_tables_read, s);
	else
		handle = store->ops->get(store, d->tables_kind, d->tables_name,
					 SNIPE_STORE_TIMEOUT_MS, on_tables_read, s);
	s->read_handle =
		handle_or_retry(s, s->version ? "watch" : "get", handle, &s->read_timer);
}

static void on_read_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	read_tables(arg);
}

static void process_node_entry(struct snipe_sync *s, const struct snipe_object_entry *entry,
			       const char *own_address)
{
	struct snipe_address address;
	char text[SNIPE_ADDRESS_TEXT_SIZE];

	if (entry->object.len >= sizeof(text)) {
		snipe_log(SNIPE_LOG_WARNING, "node_entry_ignored", "node=%s reason=too_long",
			  entry->name);
		return;
	}
	memcpy(text, entry->object.value, entry->object.len);
	text[entry->object.len] = '\0';
	if (strcmp(entry->name, s->config.settings->node_id) == 0) {
		s->own_entry_version = entry->object.version;
		s->is_own_entry_current = strcmp(text, own_address) == 0;
	} else if (snipe_address_parse(text, &address) == 0) {
		snipe_directory_add_node(s->config.directory, entry->name, &address);
	} else {
		snipe_log(SNIPE_LOG_WARNING, "node_entry_ignored", "node=%s reason=no_address",
			  entry->name);
	}
}

static void on_list(void *arg, int err, const struct snipe_object_entry *entries, int count)
{
	struct snipe_sync *s = arg;
	char own[SNIPE_ADDRESS_TEXT_SIZE];

	s->node_handle = 0;
	if (err) {
		record_store_failure(s, "list", err, s->node_sent_us);
		set_timer(&s->node_timer, snipe_backoff_us(s->rng, s->failures));
		return;
	}
	snipe_address_format(&s->config.settings->peer_listen, own);
	s->own_entry_version = 0;
	s->is_own_entry_current = 0;
	for (int i = 0; i < count; i++)
		process_node_entry(s, &entries[i], own);
	/* No list is stale until one has this node's current entry: without that entry in the
	 * list, the store lacks it too. Later lists may be stale. */
	if (!s->has_listed_self && !s->is_own_entry_current)
		s->is_registered = 0;
	else
		s->has_listed_self = 1;
	if (s->is_registered)
		set_timer(&s->node_timer, LIST_INTERVAL_US);
	else
		register_node(s);
}

static void on_registered(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_sync *s = arg;

	(void)object;
	s->node_handle = 0;
	/* On a conflict or an unknown outcome, the list shows whether the stored entry has this
	 * address. */
	if (err == 0 || err == SNIPE_ERR_CONFLICT || err == SNIPE_ERR_UNKNOWN) {
		s->is_registered = 1;
		snipe_log(SNIPE_LOG_INFO, "node_registered", "result=%s",
			  err ? snipe_error_name(err) : "written");
		set_timer(&s->node_timer, 0);
		return;
	}
	record_store_failure(s, "put", err, s->node_sent_us);
	set_timer(&s->node_timer, snipe_backoff_us(s->rng, s->failures));
}

static void register_node(struct snipe_sync *s)
{
	struct snipe_object_store *store = s->config.store;
	char own[SNIPE_ADDRESS_TEXT_SIZE];
	int handle;

	snipe_address_format(&s->config.settings->peer_listen, own);
	s->node_sent_us = snipe_now_us();
	snipe_counters_add(s->config.counters, s->count_writes, 1);
	handle = store->ops->put(store, s->config.dialect->nodes_kind,
				 s->config.settings->node_id, s->own_entry_version, own,
				 strlen(own), SNIPE_STORE_TIMEOUT_MS, on_registered, s);
	s->node_handle = handle_or_retry(s, "put", handle, &s->node_timer);
}

static void list_nodes(struct snipe_sync *s)
{
	struct snipe_object_store *store = s->config.store;
	int handle;

	s->node_sent_us = snipe_now_us();
	snipe_counters_add(s->config.counters, s->count_reads, 1);
	handle = store->ops->list(store, s->config.dialect->nodes_kind, s->has_listed_self,
				  SNIPE_STORE_TIMEOUT_MS, on_list, s);
	s->node_handle = handle_or_retry(s, "list", handle, &s->node_timer);
}

static void on_node_timer(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_sync *s = arg;

	(void)fd;
	(void)what;
	if (s->is_registered)
		list_nodes(s);
	else
		register_node(s);
}

static void on_fetch_reply(void *arg, int err, const struct snipe_message *reply,
			   const char *body, size_t body_len)
{
	struct snipe_sync *s = arg;
	const struct snipe_msg_object *o;
	uint64_t version;

	(void)body;
	(void)body_len;
	s->fetch_handle = 0;
	if (!err && reply->type != SNIPE_MSG_OBJECT)
		err = SNIPE_ERR_SYNTAX;
	if (err) {
		snipe_log(SNIPE_LOG_INFO, "tables_fetch_failed",
			  "err=%s took_ms=%lld held_version=%llx", snipe_error_name(err),
			  (long long)((snipe_now_us() - s->fetch_sent_us) / 1000),
			  (unsigned long long)held_version(s));
		/* The store may be reachable even if the other node is not. */
		s->failed_fetch_version = s->fetch_version;
		if (has_unfetched_tables(s) && !s->read_handle)
			set_timer(&s->read_timer, 0);
		return;
	}
	o = &reply->u.object;
	if (o->version && o->value.len)
		load_tables(s, o->value.data, o->value.len, "node", &version);
}

void snipe_sync_fetch_if_newer(struct snipe_sync *s, const struct snipe_address *from,
			       uint64_t version)
{
	struct snipe_message m;
	int64_t now = snipe_now_us();

	if (s->fetch_handle || version <= held_version(s) ||
	    now - s->fetch_sent_us < FETCH_INTERVAL_MIN_US)
		return;
	s->fetch_sent_us = now;
	s->fetch_version = version;
	snipe_log(SNIPE_LOG_INFO, "tables_fetch_started",
		  "version=%llx held_version=%llx from=%s:%u confirmed_age_ms=%lld",
		  (unsigned long long)version, (unsigned long long)held_version(s), from->ip,
		  from->port, confirmed_age_ms(s));
	memset(&m, 0, sizeof(m));
	m.type = SNIPE_MSG_FETCH;
	m.u.fetch.object = SNIPE_OBJECT_TABLES;
	s->fetch_handle = snipe_peer_request(s->config.peers, from, &m, NULL, 0,
					     FETCH_TIMEOUT_US, on_fetch_reply, s);
}

static void on_fetch_request(void *arg, const struct snipe_peer_origin *from,
			     const struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_sync *s = arg;
	struct snipe_message m;

	(void)msg;
	(void)body;
	(void)body_len;
	memset(&m, 0, sizeof(m));
	m.type = SNIPE_MSG_OBJECT;
	if (s->routing) {
		m.u.object.version = s->routing->version;
		m.u.object.value.data = s->routing->document;
		m.u.object.value.len = s->routing->document_len;
	}
	snipe_peer_reply(s->config.peers, from, &m, NULL, 0);
}

/* The entry of this node may be gone, and stale lists may be of the earlier era. */
static void on_era_changed(struct snipe_era_listener *l, uint64_t era)
{
	struct snipe_sync *s =
		(struct snipe_sync *)((char *)l - offsetof(struct snipe_sync, era_listener));

	(void)era;
	snipe_counters_add(s->config.counters, s->count_eras, 1);
	s->has_listed_self = 0;
}

void snipe_sync_init(struct snipe_sync *s, const struct snipe_sync_config *config)
{
	struct snipe_counters *c = config->counters;

	memset(s, 0, sizeof(*s));
	s->config = *config;
	s->rng = g_rand_new();
	s->count_reads = snipe_counters_get(c, "store_reads_total", "");
	s->count_read_errors = snipe_counters_get(c, "store_errors_total", "");
	s->count_writes = snipe_counters_get(c, "store_writes_total", "");
	s->count_eras = snipe_counters_get(c, "store_era_changes_total", "");
	s->gauge_reachable = snipe_counters_get(c, "store_reachable", "");
	event_assign(&s->read_timer, config->base, -1, 0, on_read_timer, s);
	event_assign(&s->node_timer, config->base, -1, 0, on_node_timer, s);
	snipe_peer_on(config->peers, SNIPE_MSG_FETCH, on_fetch_request, s);
	s->era_listener.era_changed = on_era_changed;
	config->store->ops->listen(config->store, &s->era_listener);
	read_tables(s);
	register_node(s);
}

void snipe_sync_finish(struct snipe_sync *s)
{
	struct snipe_object_store *store = s->config.store;

	if (!s->rng)
		return;
	LIST_REMOVE(&s->era_listener, link);
	if (s->read_handle > 0)
		store->ops->cancel(store, s->read_handle);
	if (s->node_handle > 0)
		store->ops->cancel(store, s->node_handle);
	if (s->fetch_handle)
		snipe_peer_cancel(s->config.peers, s->fetch_handle);
	snipe_peer_on(s->config.peers, SNIPE_MSG_FETCH, NULL, NULL);
	event_del(&s->read_timer);
	event_del(&s->node_timer);
	snipe_routing_unref(s->routing);
	g_rand_free(s->rng);
}
