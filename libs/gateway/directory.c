#include "gateway/directory.h"

#include <errno.h>
#include <event2/event.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "wire/confirm.h"

/* A change is reported after this time, in one report with those that follow meanwhile. */
#define COALESCE_US 10000
/* Shortest interval between reports to a silent node. It still gets some, so that after a
 * restart it discovers this node without the store. */
#define SILENT_NODE_REPORT_INTERVAL_US 2000000
/* Interval of the checks for silent nodes and for a report that is due; a sixth of the shortest
 * report interval. */
#define TICK_US 50000
/* Interval at which a node that is not a reader queries one. */
#define QUERY_INTERVAL_US 450000

struct snipe_directory_node {
	char node_id[SNIPE_NAME_SIZE];
	uint64_t id; /* hash of node_id */
	struct snipe_address address;
	struct snipe_node_report report;
	int64_t last_report_us; /* when it was received; 0: never */
	int64_t sent_us;
	struct snipe_service_pool *pool; /* NULL: no backend server was reported */
	int server;			 /* handle in the pool's placement */
	int is_reachable;
};

static void free_pool(gpointer p)
{
	struct snipe_service_pool *pool = p;

	snipe_placement_finish(&pool->placement);
	g_ptr_array_free(pool->nodes, TRUE);
	g_free(pool);
}

struct snipe_service_pool *snipe_directory_pool(struct snipe_directory *d, const char *service)
{
	return g_hash_table_lookup(d->pools, service);
}

const struct snipe_address *snipe_directory_address(const struct snipe_service_pool *pool,
						    int server)
{
	const struct snipe_directory_node *n = g_ptr_array_index(pool->nodes, server);

	return &n->address;
}

const char *snipe_directory_node_id(const struct snipe_service_pool *pool, int server)
{
	const struct snipe_directory_node *n = g_ptr_array_index(pool->nodes, server);

	return n->node_id;
}

static struct snipe_service_pool *get_or_add_pool(struct snipe_directory *d,
						  const char *service)
{
	struct snipe_service_pool *pool = g_hash_table_lookup(d->pools, service);

	if (pool)
		return pool;
	pool = g_new0(struct snipe_service_pool, 1);
	g_strlcpy(pool->service, service, sizeof(pool->service));
	pool->id = snipe_hash64_str(service);
	snipe_placement_init(&pool->placement);
	pool->nodes = g_ptr_array_new();
	g_hash_table_insert(d->pools, pool->service, pool);
	return pool;
}

static struct snipe_directory_node *get_or_add_node(struct snipe_directory *d,
						    const char *node_id)
{
	struct snipe_directory_node *n = g_hash_table_lookup(d->nodes, node_id);

	if (n)
		return n;
	n = g_new0(struct snipe_directory_node, 1);
	g_strlcpy(n->node_id, node_id, sizeof(n->node_id));
	n->id = snipe_hash64_str(node_id);
	g_hash_table_insert(d->nodes, n->node_id, n);
	return n;
}

int snipe_directory_node_count(const struct snipe_directory *d)
{
	return (int)g_hash_table_size(d->nodes);
}

int snipe_directory_reachable_count(const struct snipe_directory *d)
{
	GHashTableIter it;
	gpointer value;
	int count = 0;

	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_directory_node *n = value;

		count += n != d->self && n->is_reachable;
	}
	return count;
}

int64_t snipe_directory_interval_us(const struct snipe_directory *d)
{
	return snipe_report_interval_us(snipe_directory_node_count(d));
}

void snipe_directory_for_each_report(const struct snipe_directory *d,
				     void (*fn)(void *arg, const struct snipe_node_report *r),
				     void *arg)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_directory_node *n = value;

		if (n->is_reachable)
			fn(arg, &n->report);
	}
}

const char *snipe_directory_service_name(const struct snipe_directory *d, uint64_t hash)
{
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, d->pools);
	while (hash && g_hash_table_iter_next(&it, &name, NULL))
		if (snipe_hash64_str(name) == hash)
			return name;
	return "";
}

int snipe_directory_may_be_cold(const struct snipe_directory *d, uint64_t service,
				int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, d->pools);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_service_pool *pool = value;

		if (pool->id == service)
			return snipe_placement_may_be_cold(&pool->placement, now_us);
	}
	return 0;
}

static void leave_pool(struct snipe_directory_node *n)
{
	if (n->pool)
		snipe_placement_remove(&n->pool->placement, n->server);
	n->pool = NULL;
}

static void join_pool(struct snipe_directory *d, struct snipe_directory_node *n)
{
	const struct snipe_node_report *r = &n->report;

	n->pool = get_or_add_pool(d, r->service);
	n->server = snipe_placement_add(
		&n->pool->placement,
		strcmp(r->failure_domain, d->settings->failure_domain) == 0);
	if ((guint)n->server >= n->pool->nodes->len)
		g_ptr_array_set_size(n->pool->nodes, n->server + 1);
	n->pool->nodes->pdata[n->server] = n;
}

/* Updates the placement with the node's last report. */
static void apply_report(struct snipe_directory *d, struct snipe_directory_node *n,
			 int64_t now_us, const char *old_server)
{
	const struct snipe_node_report *r = &n->report;
	struct snipe_placement_load load = {r->limit, r->running, r->waiting, r->service_us};

	if (n->pool && (strcmp(n->pool->service, r->service) != 0 ||
			strcmp(old_server, r->server_id) != 0))
		leave_pool(n);
	if (r->server == SNIPE_SERVER_NONE && !n->pool)
		return;
	if (!n->pool)
		join_pool(d, n);
	snipe_placement_set_usable(&n->pool->placement, n->server,
				   r->server == SNIPE_SERVER_READY && !r->is_stopping &&
					   n->is_reachable);
	snipe_placement_report(&n->pool->placement, n->server, now_us, &load);
	snipe_placement_set_cold(&n->pool->placement, n->server, now_us + r->cold_left_us);
}

static void log_change(const struct snipe_directory_node *n,
		       const struct snipe_node_report *before)
{
	const struct snipe_node_report *r = &n->report;

	if (before->process == r->process && before->server == r->server &&
	    before->is_stopping == r->is_stopping &&
	    strcmp(before->server_id, r->server_id) == 0)
		return;
	snipe_log(SNIPE_LOG_INFO, "node_changed",
		  "node=%s process=%llu sequence=%llu service=%s server=%s server_state=%d "
		  "stopping=%d",
		  n->node_id, (unsigned long long)r->process, (unsigned long long)r->sequence,
		  r->service, r->server_id, r->server, r->is_stopping);
}

/* Whether a report is later than the last one of its node. Processes are ordered by the wall
 * clock time of their start. Because that clock may have been set back, a process that seems to
 * be an earlier one is accepted once the other one is silent. */
static int is_newer(const struct snipe_directory_node *n, const struct snipe_node_report *r)
{
	if (r->process == n->report.process)
		return r->sequence > n->report.sequence;
	return r->process > n->report.process || !n->is_reachable;
}

static void process_report(struct snipe_directory *d, const struct snipe_node_report *r,
			   const struct snipe_address *from)
{
	struct snipe_directory_node *n = get_or_add_node(d, r->node_id);
	struct snipe_node_report before = n->report;
	int64_t now = snipe_now_us();

	if (n == d->self || !is_newer(n, r))
		return;
	if (!n->is_reachable)
		snipe_log(
			SNIPE_LOG_INFO, "node_reachable", "node=%s silent_ms=%lld", n->node_id,
			(long long)(n->last_report_us ? (now - n->last_report_us) / 1000 : -1));
	n->address = *from;
	n->report = *r;
	n->last_report_us = now;
	n->is_reachable = 1;
	log_change(n, &before);
	apply_report(d, n, now, before.server_id);
	d->ops->reported(d->arg, now, r);
	d->ops->newer_tables(d->arg, from, r->routing_version);
	/* A new process does not know the other nodes yet. */
	if (r->process != before.process)
		snipe_directory_publish(d);
}

int snipe_directory_is_reader(const struct snipe_directory *d)
{
	return snipe_readers_contains(&d->readers, d->self->id);
}

static uint64_t rank_hash(const struct snipe_directory_node *n, uint64_t key)
{
	return snipe_hash64_seed(&key, sizeof(key), n->id);
}

int snipe_directory_rank(const struct snipe_directory *d, uint64_t key)
{
	uint64_t own = rank_hash(d->self, key);
	GHashTableIter it;
	gpointer value;
	int rank = 0;

	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_directory_node *n = value;

		rank += n != d->self && n->is_reachable && rank_hash(n, key) < own;
	}
	return rank;
}

static void choose_readers(struct snipe_directory *d)
{
	GHashTableIter it;
	gpointer value;

	snipe_readers_init(&d->readers);
	snipe_readers_add(&d->readers, d->self->id);
	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_directory_node *n = value;

		if (n->is_reachable && !n->report.is_stopping)
			snipe_readers_add(&d->readers, n->id);
	}
}

static void log_role(struct snipe_directory *d)
{
	int is_reader = snipe_directory_is_reader(d);

	if (d->was_reader == is_reader)
		return;
	d->was_reader = is_reader;
	snipe_log(SNIPE_LOG_INFO, "reader_role", "reader=%d readers=%d nodes=%d", is_reader,
		  d->readers.count, snipe_directory_node_count(d));
}

void snipe_directory_send(struct snipe_directory *d, const struct snipe_address *to,
			  const struct snipe_buffer *datagram)
{
	struct sockaddr_storage ss;
	int len = snipe_address_to_sockaddr(to, &ss);

	if (len > 0 &&
	    sendto(d->fd, datagram->data, datagram->len, MSG_DONTWAIT | MSG_NOSIGNAL,
		   (struct sockaddr *)&ss, (socklen_t)len) < 0 &&
	    errno != EAGAIN)
		snipe_log(SNIPE_LOG_DEBUG, "datagram_not_sent", "to=%s err=\"%s\"", to->ip,
			  g_strerror(errno));
}

void snipe_directory_send_to(struct snipe_directory *d, const char *node_id,
			     const struct snipe_buffer *datagram)
{
	const struct snipe_directory_node *n = g_hash_table_lookup(d->nodes, node_id);

	if (n)
		snipe_directory_send(d, &n->address, datagram);
}

void snipe_directory_send_all(struct snipe_directory *d, const struct snipe_buffer *datagram)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_directory_node *n = value;

		if (n != d->self && n->is_reachable)
			snipe_directory_send(d, &n->address, datagram);
	}
}

static void send_confirm(struct snipe_directory *d, const struct snipe_address *to,
			 const struct snipe_confirm *c)
{
	snipe_buffer_clear(&d->datagram);
	snipe_confirm_encode(c, &d->datagram);
	snipe_directory_send(d, to, &d->datagram);
}

static void query_reader(struct snipe_directory *d, int64_t now)
{
	uint64_t reader = d->readers.ids[g_rand_int_range(d->rng, 0, d->readers.count)];
	struct snipe_confirm query = {0, 0, 0, -1};
	GHashTableIter it;
	gpointer value;

	query.nonce = (uint64_t)g_rand_int(d->rng) << 32 | g_rand_int(d->rng) | 1;
	memmove(&d->queries[1], d->queries, sizeof(d->queries) - sizeof(d->queries[0]));
	d->queries[0].nonce = query.nonce;
	d->queries[0].sent_us = now;
	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_directory_node *n = value;

		if (n->id == reader)
			send_confirm(d, &n->address, &query);
	}
}

static void answer_query(struct snipe_directory *d, const struct snipe_address *from,
			 uint64_t nonce)
{
	struct snipe_confirm answer = {1, nonce, 0, -1};

	d->ops->fill_confirm(d->arg, snipe_now_us(), &answer.routing_version, &answer.age_us);
	send_confirm(d, from, &answer);
}

static void process_answer(struct snipe_directory *d, const struct snipe_address *from,
			   const struct snipe_confirm *c)
{
	for (int i = 0; i < SNIPE_DIRECTORY_QUERIES_MAX; i++) {
		if (!c->nonce || d->queries[i].nonce != c->nonce)
			continue;
		d->queries[i].nonce = 0;
		if (c->age_us >= 0)
			d->ops->confirmed(d->arg, from, c->routing_version,
					  d->queries[i].sent_us - c->age_us);
		return;
	}
}

static void process_datagram(struct snipe_directory *d, const struct snipe_address *from,
			     const char *data, size_t len)
{
	struct snipe_node_report report;
	struct snipe_confirm confirm;
	struct snipe_departure_notice notice;
	int ret;

	if (snipe_confirm_decode(data, len, &confirm) == 0) {
		if (confirm.is_answer)
			process_answer(d, from, &confirm);
		else
			answer_query(d, from, confirm.nonce);
		return;
	}
	ret = snipe_report_decode(data, len, &report);
	if (ret == 0)
		process_report(d, &report, from);
	else if (snipe_departure_notice_decode(data, len, &notice) == 0)
		d->ops->noticed(d->arg, from, &notice);
	else
		snipe_log(SNIPE_LOG_WARNING, "report_rejected", "from=%s bytes=%zu err=%s",
			  from->ip, len, snipe_error_name(ret));
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	struct sockaddr_storage ss;
	struct snipe_address from;
	char data[2048];
	socklen_t len = sizeof(ss);
	ssize_t n;

	(void)what;
	while ((n = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT, (struct sockaddr *)&ss,
			     &len)) > 0) {
		len = sizeof(ss);
		snipe_address_from_sockaddr((struct sockaddr *)&ss, &from);
		process_datagram(arg, &from, data, (size_t)n);
	}
}

static void send_report(struct snipe_directory *d, struct snipe_directory_node *n, int64_t now)
{
	int is_silent = n->last_report_us && !n->is_reachable;

	if (n == d->self || (is_silent && now - n->sent_us < SILENT_NODE_REPORT_INTERVAL_US))
		return;
	n->sent_us = now;
	snipe_directory_send(d, &n->address, &d->datagram);
}

static void publish_now(struct snipe_directory *d)
{
	struct snipe_node_report r;
	GHashTableIter it;
	gpointer value;
	int64_t now = snipe_now_us();
	char old_server[SNIPE_NAME_SIZE];

	memset(&r, 0, sizeof(r));
	g_strlcpy(r.node_id, d->settings->node_id, sizeof(r.node_id));
	r.process = d->process;
	r.sequence = ++d->sequence;
	g_strlcpy(r.failure_domain, d->settings->failure_domain, sizeof(r.failure_domain));
	g_strlcpy(r.service, d->settings->service, sizeof(r.service));
	d->ops->fill_report(d->arg, now, &r);
	g_strlcpy(old_server, d->self->report.server_id, sizeof(old_server));
	d->self->report = r;
	d->self->last_report_us = now;
	d->self->is_reachable = 1;
	apply_report(d, d->self, now, old_server);
	snipe_buffer_clear(&d->datagram);
	snipe_report_encode(&r, &d->datagram);
	while (d->datagram.len > SNIPE_REPORT_MAX_BYTES && r.quota_count > 0) {
		r.quota_count /= 2;
		snipe_buffer_clear(&d->datagram);
		snipe_report_encode(&r, &d->datagram);
	}
	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value))
		send_report(d, value, now);
}

static void on_publish_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	publish_now(arg);
}

void snipe_directory_publish(struct snipe_directory *d)
{
	static const struct timeval delay = {0, COALESCE_US};

	if (!event_pending(&d->publish_timer, EV_TIMEOUT, NULL))
		event_add(&d->publish_timer, &delay);
}

/* Marks nodes unreachable that were silent for too long, and their servers unusable. */
static void mark_silent_nodes(struct snipe_directory *d, int64_t now)
{
	int64_t limit =
		(int64_t)(SNIPE_SILENT_INTERVALS * (double)snipe_directory_interval_us(d));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct snipe_directory_node *n = value;

		if (n == d->self || !n->is_reachable || now - n->last_report_us <= limit)
			continue;
		n->is_reachable = 0;
		if (n->pool)
			snipe_placement_set_usable(&n->pool->placement, n->server, 0);
		snipe_log(SNIPE_LOG_WARNING, "node_unreachable", "node=%s silent_ms=%lld",
			  n->node_id, (long long)((now - n->last_report_us) / 1000));
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_directory *d = arg;
	int64_t now = snipe_now_us();

	(void)fd;
	(void)what;
	mark_silent_nodes(d, now);
	choose_readers(d);
	log_role(d);
	if (!snipe_directory_is_reader(d) && now - d->queries[0].sent_us >= QUERY_INTERVAL_US)
		query_reader(d, now);
	if (snipe_report_schedule_is_due(&d->schedule, now, snipe_directory_node_count(d),
					 TICK_US, d->rng))
		publish_now(d);
}

static int open_socket(struct snipe_directory *d, struct snipe_error_text *err)
{
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	struct sockaddr_storage ss;
	int len = snipe_address_to_sockaddr(&d->settings->peer_listen, &ss);

	snipe_address_format(&d->settings->peer_listen, text);
	d->fd = len > 0 ? socket(ss.ss_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)
			: -1;
	if (d->fd < 0 || bind(d->fd, (struct sockaddr *)&ss, (socklen_t)len) < 0)
		return snipe_error_set(
			err, SNIPE_ERR_IO,
			"cannot bind the UDP address %s for reports: %s; choose a "
			"free port in the settings, or stop the process that "
			"uses it",
			text, g_strerror(errno));
	return 0;
}

int snipe_directory_init(struct snipe_directory *d, struct event_base *base,
			 const struct snipe_gateway_settings *settings, uint64_t process,
			 const struct snipe_directory_ops *ops, void *arg,
			 struct snipe_error_text *err)
{
	static const struct timeval tick = {0, TICK_US};
	int ret;

	memset(d, 0, sizeof(*d));
	d->base = base;
	d->settings = settings;
	d->process = process;
	d->ops = ops;
	d->arg = arg;
	ret = open_socket(d, err);
	if (ret < 0) {
		if (d->fd >= 0)
			close(d->fd);
		return ret;
	}
	d->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	d->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	d->self = get_or_add_node(d, settings->node_id);
	d->self->address = settings->peer_listen;
	d->rng = g_rand_new();
	snipe_report_schedule_init(&d->schedule, snipe_now_us());
	choose_readers(d);
	snipe_buffer_init(&d->datagram);
	event_assign(&d->readable, base, d->fd, EV_READ | EV_PERSIST, on_readable, d);
	event_assign(&d->tick, base, -1, EV_PERSIST, on_tick, d);
	event_assign(&d->publish_timer, base, -1, 0, on_publish_timer, d);
	event_add(&d->readable, NULL);
	event_add(&d->tick, &tick);
	return 0;
}

void snipe_directory_finish(struct snipe_directory *d)
{
	if (!d->nodes)
		return;
	event_del(&d->readable);
	event_del(&d->tick);
	event_del(&d->publish_timer);
	close(d->fd);
	g_hash_table_destroy(d->nodes);
	g_hash_table_destroy(d->pools);
	snipe_buffer_finish(&d->datagram);
	g_rand_free(d->rng);
}

void snipe_directory_add_node(struct snipe_directory *d, const char *node_id,
			      const struct snipe_address *address)
{
	struct snipe_directory_node *n = get_or_add_node(d, node_id);

	if (n == d->self || n->is_reachable || snipe_address_equal(&n->address, address))
		return;
	n->address = *address;
	snipe_log(SNIPE_LOG_INFO, "node_found", "node=%s address=%s", node_id, address->ip);
	snipe_directory_publish(d);
}

void snipe_directory_dump(const struct snipe_directory *d, struct snipe_buffer *out)
{
	GHashTableIter it;
	gpointer value;
	int64_t now = snipe_now_us();
	int count = 0;

	snipe_buffer_printf(out, "[");
	g_hash_table_iter_init(&it, d->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct snipe_directory_node *node = value;
		const struct snipe_node_report *r = &node->report;

		snipe_buffer_printf(out,
				    "%s{\"node\":\"%s\",\"failure_domain\":\"%s\",\"service\":"
				    "\"%s\",\"server\":\"%s\",\"state\":%d,\"limit\":%d,"
				    "\"running\":%d,\"waiting\":%d,\"reachable\":%d,"
				    "\"age_ms\":%lld}",
				    count++ ? "," : "", node->node_id, r->failure_domain,
				    r->service, r->server_id, r->server, r->limit, r->running,
				    r->waiting, node->is_reachable,
				    (long long)(node->last_report_us
							? (now - node->last_report_us) / 1000
							: -1));
	}
	snipe_buffer_printf(out, "]");
}
