#include "node/node.h"

#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/counters.h"
#include "base/error.h"
#include "base/log.h"
#include "node/admin_task.h"
#include "node/backend_task.h"
#include "node/caller_task.h"
#include "base/clock.h"
#include "node/control_task.h"
#include "node/peer_task.h"
#include "node/task_messages.h"
#include "platform/http_store.h"

/* Gossip tells callers' nodes of the drain; until then their calls are rejected here as not
 * run, which only works while the node is there. */
#define DRAIN_MIN_US 1000000
/* After the last call, so that its response leaves the socket buffers. */
#define FLUSH_US 300000

struct node {
	const struct snipe_settings *settings;
	struct event_base *base;
	struct snipe_counters counters;
	struct snipe_peer_task peers;
	struct snipe_store_client store;
	struct snipe_backend_task *backend;
	struct snipe_caller_task *caller;
	struct snipe_control_task *control;
	struct snipe_admin_task admin;
	struct event *sigterm, *sigint, *tick;
	int64_t drain_us; /* when the drain began; 0: it did not */
	int64_t idle_us;  /* since when nothing has been in flight; 0: something is */
	int has_peers, has_admin, has_store;
};

static void start_drain(struct node *n)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_DRAIN};

	if (n->drain_us)
		return;
	n->drain_us = snipe_now_us();
	snipe_log(SNIPE_LOG_INFO, "drain_started", "callers_in_flight=%d backend_in_flight=%d",
		  snipe_caller_task_in_flight(n->caller),
		  snipe_backend_task_in_flight(n->backend));
	snipe_mailbox_post(snipe_backend_task_mailbox(n->backend), &m);
	snipe_mailbox_post(snipe_caller_task_mailbox(n->caller), &m);
	snipe_mailbox_post(snipe_control_task_mailbox(n->control), &m);
}

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	start_drain(arg);
}

/* Ends the loop when the drain is complete. */
static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct node *n = arg;
	int64_t now = snipe_now_us();

	(void)fd;
	(void)what;
	if (!n->drain_us)
		return;
	if (snipe_caller_task_in_flight(n->caller) > 0 ||
	    snipe_backend_task_in_flight(n->backend) > 0 ||
	    !snipe_control_task_drained(n->control)) {
		n->idle_us = 0;
		return;
	}
	if (!n->idle_us)
		n->idle_us = now;
	if (now - n->drain_us >= DRAIN_MIN_US && now - n->idle_us >= FLUSH_US)
		event_base_loopbreak(n->base);
}

static void dump_state(void *arg, struct snipe_buffer *out)
{
	struct node *n = arg;

	snipe_buffer_printf(out,
			    "{\"node\":\"%s\",\"region\":\"%s\",\"failure_domain\":\"%s\","
			    "\"draining\":%s,\"control\":",
			    n->settings->node_id, n->settings->region,
			    n->settings->failure_domain, n->drain_us ? "true" : "false");
	snipe_control_task_dump(n->control, out);
	snipe_buffer_printf(out, ",\"callers\":");
	snipe_caller_task_dump(n->caller, out);
	snipe_buffer_printf(out, ",\"backend_server\":");
	snipe_backend_task_dump(n->backend, out);
	snipe_buffer_printf(out, "}\n");
}

static void print_metrics(void *arg, struct snipe_buffer *out)
{
	struct node *n = arg;

	snipe_counters_print(&n->counters, out);
}

static void drain(void *arg)
{
	start_drain(arg);
}

static int take_object(void *arg, const char *name, uint64_t version, const char *value,
		       size_t len)
{
	struct node *n = arg;

	if (strcmp(name, "tables") == 0)
		return snipe_control_task_object(n->control, SNIPE_OBJECT_TABLES, version,
						 value, len);
	if (strcmp(name, "keys") == 0)
		return snipe_control_task_object(n->control, SNIPE_OBJECT_KEYS, version, value,
						 len);
	return SNIPE_ERR_NOT_FOUND;
}

static const struct snipe_admin_ops admin_ops = {dump_state, print_metrics, drain, take_object};

static int init_peers(struct node *n, uint64_t process, struct snipe_error_text *err)
{
	struct snipe_peer_config config = {
		.base = n->base,
		.listen = n->settings->peer_listen,
		.node_id = n->settings->node_id,
		.process = process,
		.secret = n->settings->fleet_secret,
	};

	n->has_peers = snipe_peer_task_init(&n->peers, &config, err) == 0;
	return n->has_peers ? 0 : SNIPE_ERR_IO;
}

static int init_call_path(struct node *n, struct snipe_error_text *err)
{
	struct snipe_backend_config backend = {n->base, n->settings, &n->peers, &n->counters};
	struct snipe_caller_config caller = {n->base, n->settings, &n->peers, NULL,
					     &n->counters};

	n->backend = snipe_backend_task_new(&backend);
	caller.backend = n->backend;
	n->caller = snipe_caller_task_new(&caller, err);
	return n->caller ? 0 : SNIPE_ERR_IO;
}

static int init_control(struct node *n, uint64_t process, struct snipe_error_text *err)
{
	struct snipe_control_config config = {
		.base = n->base,
		.settings = n->settings,
		.peers = &n->peers,
		.store = &n->store.store,
		.counters = &n->counters,
		.process = process,
		.caller_box = snipe_caller_task_mailbox(n->caller),
		.backend_box = snipe_backend_task_mailbox(n->backend),
	};

	snipe_http_store_init(&n->store, n->base, &n->settings->platform);
	n->has_store = 1;
	n->control = snipe_control_task_new(&config, err);
	if (!n->control)
		return SNIPE_ERR_IO;
	snipe_backend_task_set_control(n->backend, snipe_control_task_mailbox(n->control));
	snipe_caller_task_set_control(n->caller, snipe_control_task_mailbox(n->control));
	return 0;
}

static int init_tasks(struct node *n, struct snipe_error_text *err)
{
	uint64_t process = (uint64_t)snipe_wall_ms();

	snipe_counters_init(&n->counters);
	if (init_peers(n, process, err) || init_call_path(n, err) ||
	    init_control(n, process, err))
		return SNIPE_ERR_IO;
	n->has_admin =
		snipe_admin_task_init(&n->admin, n->base, &n->settings->admin_listen,
				      n->settings->fleet_secret, &admin_ops, n, err) == 0;
	return n->has_admin ? 0 : SNIPE_ERR_IO;
}

/* The control task sends to the mailboxes of the others, so it goes first. */
static void finish_tasks(struct node *n)
{
	if (n->has_admin)
		snipe_admin_task_finish(&n->admin);
	if (n->control)
		snipe_control_task_free(n->control);
	if (n->caller)
		snipe_caller_task_free(n->caller);
	if (n->backend)
		snipe_backend_task_free(n->backend);
	if (n->has_store && n->store.store.ops)
		n->store.store.ops->finish(&n->store.store);
	if (n->has_peers)
		snipe_peer_task_finish(&n->peers);
}

static void log_listening(struct node *n)
{
	char callers[SNIPE_ADDRESS_TEXT_SIZE], local[SNIPE_ADDRESS_TEXT_SIZE],
		peers[SNIPE_ADDRESS_TEXT_SIZE], admin[SNIPE_ADDRESS_TEXT_SIZE];

	snipe_address_format(snipe_caller_task_address(n->caller), callers);
	snipe_address_format(snipe_caller_task_local_address(n->caller), local);
	snipe_address_format(snipe_peer_address(&n->peers), peers);
	snipe_address_format(snipe_admin_address(&n->admin), admin);
	snipe_log(SNIPE_LOG_INFO, "listening",
		  "node=%s callers=%s local=%s peers=%s admin=%s policy=%s",
		  n->settings->node_id, callers, local, peers, admin, n->settings->policy);
}

static void run_loop(struct node *n)
{
	static const struct timeval tick = {0, 50000};

	signal(SIGPIPE, SIG_IGN);
	n->sigterm = evsignal_new(n->base, SIGTERM, on_signal, n);
	n->sigint = evsignal_new(n->base, SIGINT, on_signal, n);
	n->tick = event_new(n->base, -1, EV_PERSIST, on_tick, n);
	event_add(n->sigterm, NULL);
	event_add(n->sigint, NULL);
	event_add(n->tick, &tick);
	log_listening(n);
	event_base_dispatch(n->base);
	event_free(n->tick);
	event_free(n->sigint);
	event_free(n->sigterm);
}

/*
 * Changes of watched events are passed to epoll once for each turn of the loop: evhttp turns
 * reading off and on for each request, which otherwise costs four system calls.
 */
static struct event_base *new_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

/* Keeps the log to one key=value line for each event. */
static void log_libevent(int severity, const char *msg)
{
	char text[256];

	g_strlcpy(text, msg, sizeof(text));
	g_strdelimit(text, "\"\r\n", '\'');
	snipe_log(severity >= EVENT_LOG_ERR ? SNIPE_LOG_ERROR : SNIPE_LOG_WARNING, "libevent",
		  "msg=\"%s\"", text);
}

int snipe_node_run(const struct snipe_settings *settings, struct snipe_error_text *err)
{
	struct node *n = g_new0(struct node, 1);
	int ret;

	n->settings = settings;
	event_set_log_callback(log_libevent);
	n->base = new_base();
	ret = init_tasks(n, err);
	if (ret == 0) {
		run_loop(n);
		snipe_log(SNIPE_LOG_INFO, "drain_complete", "node=%s", settings->node_id);
	}
	finish_tasks(n);
	event_base_free(n->base);
	g_free(n);
	return ret;
}
