#include "gateway/sync.h"

#include <event2/event.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "gateway/backoff.h"

/* Wait of a watch. The tables are trusted for a few seconds after the start of the last read
 * that found nothing newer. Two waits, the interval at which other nodes ask, and the time that
 * a node without the store goes on serving must fit into that. */
#define WATCH_WAIT_MS 600
/* A node that learned nothing from others for this long reads by itself, and while that fails
 * it tries again at this interval: every call to the store has its price. */
#define ALONE_US 1600000
#define ALONE_PAUSE_US 1500000
/* Interval of the check whether this node has to read; short against ALONE_US. */
#define ROLE_CHECK_US 200000
/* The list of nodes is read again at this interval, against entries that were missed. */
#define LIST_INTERVAL_US 15000000
/* Pause between two fetches of tables from other nodes. */
#define FETCH_PAUSE_US 200000
/* Tables of a megabyte pass between two nodes in a small part of this time. */
#define FETCH_TIMEOUT_US 1000000

static void read_tables(struct snipe_sync *s);
static void register_node(struct snipe_sync *s);

static void set_timer(struct event *timer, int64_t wait_us)
{
	struct timeval tv = snipe_timeval(wait_us);

	event_add(timer, &tv);
}

static void store_answered(struct snipe_sync *s)
{
	int64_t now = snipe_now_us();

	s->failures = 0;
	if (s->is_reachable)
		return;
	s->is_reachable = 1;
	snipe_counters_set(s->config.counters, s->gauge_reachable, 1);
	snipe_log(SNIPE_LOG_INFO, "store_reachable", "lost_ms=%lld",
		  (long long)(s->lost_us ? (now - s->lost_us) / 1000 : -1));
}

static uint64_t held_version(const struct snipe_sync *s)
{
	return s->routing ? s->routing->version : 0;
}

/* Newer tables exist, and could not be fetched from the node that told of them. */
static int is_behind(const struct snipe_sync *s)
{
	return s->missed_version > held_version(s);
}

/* Milliseconds since the tables held were known to be the newest; -1: never. */
static long long confirmed_age_ms(const struct snipe_sync *s)
{
	int64_t confirmed = s->config.confirmed_us(s->config.arg);

	return confirmed ? (long long)((snipe_now_us() - confirmed) / 1000) : -1;
}

/* sent_us is when the call was sent. */
static void store_failed(struct snipe_sync *s, const char *call, int err, int64_t sent_us)
{
	int64_t now = snipe_now_us();
	unsigned suppressed;

	s->failures++;
	snipe_counters_add(s->config.counters, s->count_read_errors, 1);
	if (snipe_log_allow(&s->failure_lines, now, SNIPE_LOG_LINES_PER_S, &suppressed))
		snipe_log(SNIPE_LOG_WARNING, "store_call_failed",
			  "call=%s err=%s failures=%d version=%llu took_ms=%lld "
			  "confirmed_age_ms=%lld reader=%d suppressed=%u",
			  call, snipe_error_name(err), s->failures,
			  (unsigned long long)s->version, (long long)((now - sent_us) / 1000),
			  confirmed_age_ms(s), snipe_directory_is_reader(s->config.directory),
			  suppressed);
	if (s->is_reachable)
		s->lost_us = now;
	s->is_reachable = 0;
	snipe_counters_set(s->config.counters, s->gauge_reachable, 0);
}

/* Returns the handle of a call that was started, or 0 if it could not be: then it is tried
 * again when the timer runs out. */
static int started(struct snipe_sync *s, const char *call, int handle, struct event *retry)
{
	if (handle > 0)
		return handle;
	store_failed(s, call, handle, snipe_now_us());
	set_timer(retry, snipe_backoff_us(s->rng, s->failures));
	return 0;
}

/* Loads a document. Returns 0, or an error if it cannot be used. */
static int load(struct snipe_sync *s, const char *document, size_t len, const char *source)
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
	if (s->routing && routing->version <= s->routing->version) {
		snipe_routing_unref(routing);
		return 0;
	}
	snipe_log(SNIPE_LOG_INFO, "tables_in_force",
		  "version=%llx before=%llx source=%s routes=%d services=%d workspaces=%d "
		  "confirmed_age_ms=%lld",
		  (unsigned long long)routing->version, (unsigned long long)held_version(s),
		  source, routing->route_count, routing->service_count,
		  routing->workspace_count, confirmed_age_ms(s));
	snipe_routing_unref(s->routing);
	s->routing = routing;
	s->config.tables(s->config.arg, routing);
	return 0;
}

/* Reads the tables again after the given number of reads in a row that brought none. The first
 * failure says little of the store: its connection may have been closed meanwhile. */
static void retry_tables(struct snipe_sync *s, int reads)
{
	int is_urgent = snipe_directory_is_reader(s->config.directory) || !s->routing ||
			is_behind(s) || reads == 1;

	set_timer(&s->retry, is_urgent ? snipe_backoff_us(s->rng, reads) : ALONE_PAUSE_US);
}

static void on_tables(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_sync *s = arg;

	s->handle = 0;
	if (err == 0 || err == SNIPE_ERR_STALE) {
		store_answered(s);
		s->version = object->version;
		s->missing_reads = 0;
		if (err == 0)
			s->is_unread = load(s, object->value, object->len, "store") < 0;
		/* Tables that cannot be read may withdraw a key: nothing is confirmed until
		 * they are replaced or a new read of them succeeds. */
		if (!s->is_unread)
			s->config.confirmed(s->config.arg, s->sent_us);
		else if (err == SNIPE_ERR_STALE)
			s->version = 0;
		read_tables(s);
		return;
	}
	if (err == SNIPE_ERR_NOT_FOUND) {
		/* The store is reachable; operators have yet to write the first tables. */
		store_answered(s);
		if (s->missing_reads++ == 0)
			snipe_log(SNIPE_LOG_INFO, "tables_not_written", "version=%llu",
				  (unsigned long long)s->version);
		s->version = 0;
		retry_tables(s, s->missing_reads);
		return;
	}
	if (err == SNIPE_ERR_HISTORY_LOST) {
		snipe_log(SNIPE_LOG_INFO, "store_history_lost", "version=%llu",
			  (unsigned long long)s->version);
		s->version = 0;
		read_tables(s);
		return;
	}
	store_failed(s, s->version ? "watch" : "get", err, s->sent_us);
	retry_tables(s, s->failures);
}

/* Whether the nodes that read for others have not been heard for too long. */
static int misses_readers(const struct snipe_sync *s)
{
	int64_t age = snipe_now_us() - s->config.confirmed_us(s->config.arg);

	return age > ALONE_US && !snipe_directory_is_reader(s->config.directory);
}

/* Whether this node has to ask the store itself. */
static int has_to_read(const struct snipe_sync *s)
{
	return s->is_alone || is_behind(s) || snipe_directory_is_reader(s->config.directory);
}

static void check_alone(struct snipe_sync *s)
{
	int alone = misses_readers(s);

	if (alone && !s->is_alone)
		snipe_log(SNIPE_LOG_INFO, "tables_read_alone",
			  "confirmed_age_ms=%lld store_failures=%d", confirmed_age_ms(s),
			  s->failures);
	s->is_alone = alone;
}

static void read_tables(struct snipe_sync *s)
{
	const struct snipe_dialect *d = s->config.dialect;
	struct snipe_object_store *store = s->config.store;
	int handle;

	check_alone(s);
	if (!has_to_read(s)) {
		set_timer(&s->retry, ROLE_CHECK_US);
		return;
	}
	s->sent_us = snipe_now_us();
	snipe_counters_add(s->config.counters, s->count_reads, 1);
	if (s->version)
		handle = store->ops->watch(store, d->tables_kind, d->tables_name, s->version,
					   WATCH_WAIT_MS, SNIPE_STORE_TIMEOUT_MS, on_tables, s);
	else
		handle = store->ops->get(store, d->tables_kind, d->tables_name,
					 SNIPE_STORE_TIMEOUT_MS, on_tables, s);
	s->handle = started(s, s->version ? "watch" : "get", handle, &s->retry);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	read_tables(arg);
}

static void take_entry(struct snipe_sync *s, const struct snipe_object_entry *entry,
		       const char *own_address)
{
	struct snipe_address address;
	char text[SNIPE_ADDRESS_TEXT];

	if (entry->object.len >= sizeof(text)) {
		snipe_log(SNIPE_LOG_WARNING, "node_entry_ignored", "node=%s reason=too_long",
			  entry->name);
		return;
	}
	memcpy(text, entry->object.value, entry->object.len);
	text[entry->object.len] = '\0';
	if (strcmp(entry->name, s->config.settings->node_id) == 0) {
		s->own_version = entry->object.version;
		s->own_is_current = strcmp(text, own_address) == 0;
	} else if (snipe_address_parse(text, &address) == 0) {
		snipe_directory_learn(s->config.directory, entry->name, &address);
	} else {
		snipe_log(SNIPE_LOG_WARNING, "node_entry_ignored", "node=%s reason=no_address",
			  entry->name);
	}
}

static void on_list(void *arg, int err, const struct snipe_object_entry *entries, int count)
{
	struct snipe_sync *s = arg;
	char own[SNIPE_ADDRESS_TEXT];

	s->node_handle = 0;
	if (err) {
		store_failed(s, "list", err, s->node_sent_us);
		set_timer(&s->node_timer, snipe_backoff_us(s->rng, s->failures));
		return;
	}
	snipe_address_format(&s->config.settings->peer_listen, own);
	s->own_version = 0;
	s->own_is_current = 0;
	for (int i = 0; i < count; i++)
		take_entry(s, &entries[i], own);
	/* A stale list may miss the own entry. */
	if (!s->has_listed && !s->own_is_current)
		s->is_registered = 0;
	else
		s->has_listed = 1;
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
	/* The list shows whether the entry that is there has this address. */
	if (err == 0 || err == SNIPE_ERR_CONFLICT || err == SNIPE_ERR_UNKNOWN) {
		s->is_registered = 1;
		snipe_log(SNIPE_LOG_INFO, "node_registered", "result=%s",
			  err ? snipe_error_name(err) : "written");
		set_timer(&s->node_timer, 0);
		return;
	}
	store_failed(s, "put", err, s->node_sent_us);
	set_timer(&s->node_timer, snipe_backoff_us(s->rng, s->failures));
}

static void register_node(struct snipe_sync *s)
{
	struct snipe_object_store *store = s->config.store;
	char own[SNIPE_ADDRESS_TEXT];
	int handle;

	snipe_address_format(&s->config.settings->peer_listen, own);
	s->node_sent_us = snipe_now_us();
	snipe_counters_add(s->config.counters, s->count_writes, 1);
	handle = store->ops->put(store, s->config.dialect->nodes_kind,
				 s->config.settings->node_id, s->own_version, own, strlen(own),
				 SNIPE_STORE_TIMEOUT_MS, on_registered, s);
	s->node_handle = started(s, "put", handle, &s->node_timer);
}

static void list_nodes(struct snipe_sync *s)
{
	struct snipe_object_store *store = s->config.store;
	int handle;

	s->node_sent_us = snipe_now_us();
	snipe_counters_add(s->config.counters, s->count_reads, 1);
	handle = store->ops->list(store, s->config.dialect->nodes_kind, s->has_listed,
				  SNIPE_STORE_TIMEOUT_MS, on_list, s);
	s->node_handle = started(s, "list", handle, &s->node_timer);
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

static void on_fetched(void *arg, int err, const struct snipe_message *reply, const char *body,
		       size_t body_len)
{
	struct snipe_sync *s = arg;
	const struct snipe_msg_object *o;

	(void)body;
	(void)body_len;
	s->fetch = 0;
	if (!err && reply->type != SNIPE_MSG_OBJECT)
		err = SNIPE_ERR_SYNTAX;
	if (err) {
		snipe_log(SNIPE_LOG_INFO, "tables_not_fetched", "err=%s took_ms=%lld held=%llx",
			  snipe_error_name(err),
			  (long long)((snipe_now_us() - s->fetched_us) / 1000),
			  (unsigned long long)held_version(s));
		/* The way to the store may be better. */
		s->missed_version = s->offered_version;
		if (is_behind(s) && !s->handle)
			set_timer(&s->retry, 0);
		return;
	}
	o = &reply->u.object;
	if (o->version && o->value.len)
		load(s, o->value.data, o->value.len, "node");
}

void snipe_sync_offer(struct snipe_sync *s, const struct snipe_address *from, uint64_t version)
{
	struct snipe_message m;
	int64_t now = snipe_now_us();

	if (s->fetch || version <= held_version(s) || now - s->fetched_us < FETCH_PAUSE_US)
		return;
	s->fetched_us = now;
	s->offered_version = version;
	snipe_log(SNIPE_LOG_INFO, "tables_offered",
		  "version=%llx held=%llx from=%s:%u confirmed_age_ms=%lld",
		  (unsigned long long)version, (unsigned long long)held_version(s), from->ip,
		  from->port, confirmed_age_ms(s));
	memset(&m, 0, sizeof(m));
	m.type = SNIPE_MSG_FETCH;
	m.u.fetch.object = SNIPE_OBJECT_TABLES;
	s->fetch = snipe_peer_request(s->config.peers, from, &m, NULL, 0, FETCH_TIMEOUT_US,
				      on_fetched, s);
}

static void on_fetch(void *arg, const struct snipe_peer_origin *from,
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

void snipe_sync_init(struct snipe_sync *s, const struct snipe_sync_config *config)
{
	struct snipe_counters *c = config->counters;

	memset(s, 0, sizeof(*s));
	s->config = *config;
	s->rng = g_rand_new();
	s->count_reads = snipe_counters_get(c, "store_reads_total", "");
	s->count_read_errors = snipe_counters_get(c, "store_errors_total", "");
	s->count_writes = snipe_counters_get(c, "store_writes_total", "");
	s->gauge_reachable = snipe_counters_get(c, "store_reachable", "");
	event_assign(&s->retry, config->base, -1, 0, on_retry, s);
	event_assign(&s->node_timer, config->base, -1, 0, on_node_timer, s);
	snipe_peer_on(config->peers, SNIPE_MSG_FETCH, on_fetch, s);
	read_tables(s);
	register_node(s);
}

void snipe_sync_finish(struct snipe_sync *s)
{
	struct snipe_object_store *store = s->config.store;

	if (!s->rng)
		return;
	if (s->handle > 0)
		store->ops->cancel(store, s->handle);
	if (s->node_handle > 0)
		store->ops->cancel(store, s->node_handle);
	if (s->fetch)
		snipe_peer_cancel(s->config.peers, s->fetch);
	snipe_peer_on(s->config.peers, SNIPE_MSG_FETCH, NULL, NULL);
	event_del(&s->retry);
	event_del(&s->node_timer);
	snipe_routing_unref(s->routing);
	g_rand_free(s->rng);
}
