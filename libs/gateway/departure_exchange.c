#include "gateway/departure_exchange.h"

#include <event2/event.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* The store answers within milliseconds when it is well. */
#define OFFER_DELAY_US 50000

static void encode(struct snipe_departure_exchange *x, const char *node_id,
		   const struct snipe_departure *d, int is_receipt)
{
	struct snipe_departure_notice n = {.is_receipt = is_receipt};

	n.sender_process = x->config.process;
	n.departure = *d;
	g_strlcpy(n.sender, x->config.node_id, sizeof(n.sender));
	g_strlcpy(n.node_id, node_id, sizeof(n.node_id));
	snipe_buffer_clear(&x->datagram);
	snipe_departure_notice_encode(&n, &x->datagram);
}

static void on_offer_timer(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_departure_exchange *x = arg;
	const struct snipe_departure *d = &x->copies.own;

	(void)fd;
	(void)what;
	x->is_offering = 1;
	snipe_log(SNIPE_LOG_WARNING, "departure_copies_offered", "server=%s nodes=%d",
		  d->server_id, snipe_directory_reachable_count(x->config.directory));
	encode(x, x->config.node_id, d, 0);
	snipe_directory_send_all(x->config.directory, &x->datagram);
}

void snipe_departure_exchange_init(struct snipe_departure_exchange *x,
				   const struct snipe_departure_exchange_config *config)
{
	memset(x, 0, sizeof(*x));
	x->config = *config;
	snipe_departure_copies_init(&x->copies);
	snipe_buffer_init(&x->datagram);
	event_assign(&x->offer_timer, config->base, -1, 0, on_offer_timer, x);
}

void snipe_departure_exchange_finish(struct snipe_departure_exchange *x)
{
	if (!x->config.base)
		return;
	event_del(&x->offer_timer);
	snipe_buffer_finish(&x->datagram);
	snipe_departure_copies_finish(&x->copies);
}

void snipe_departure_exchange_begin(struct snipe_departure_exchange *x,
				    const struct snipe_departure *d)
{
	struct timeval tv = snipe_timeval(OFFER_DELAY_US);

	snipe_departure_copies_offer(&x->copies, d);
	x->is_offering = 0;
	event_add(&x->offer_timer, &tv);
}

void snipe_departure_exchange_stored(struct snipe_departure_exchange *x)
{
	event_del(&x->offer_timer);
	x->is_offering = 0;
}

int snipe_departure_exchange_is_copied(const struct snipe_departure_exchange *x)
{
	return snipe_departure_copies_are_enough(
		&x->copies, snipe_directory_reachable_count(x->config.directory));
}

int snipe_departure_exchange_copy_count(const struct snipe_departure_exchange *x)
{
	return snipe_departure_copies_count(&x->copies);
}

/* Counts the copy of the departure of this node's server that the sender has. */
static void count_copy(struct snipe_departure_exchange *x,
		       const struct snipe_departure_notice *n)
{
	snipe_departure_copies_add_receipt(&x->copies, n->sender, n->sender_process,
					   &n->departure);
	if (snipe_departure_exchange_is_copied(x))
		x->config.copied(x->config.arg);
}

void snipe_departure_exchange_on_notice(struct snipe_departure_exchange *x,
					const struct snipe_address *from,
					const struct snipe_departure_notice *n)
{
	int is_own = strcmp(n->node_id, x->config.node_id) == 0;

	if (n->is_receipt) {
		if (is_own)
			count_copy(x, n);
		else
			snipe_departure_copies_set_known(&x->copies, n->node_id,
							 n->sender_process, &n->departure);
		return;
	}
	if (!is_own && !snipe_departure_copies_keep(&x->copies, snipe_now_us(), n->node_id,
						    n->sender_process, &n->departure))
		return;
	encode(x, n->node_id, &n->departure, 1);
	snipe_directory_send(x->config.directory, from, &x->datagram);
	if (is_own) {
		x->config.returned(x->config.arg, &n->departure);
		count_copy(x, n);
	}
}

void snipe_departure_exchange_on_report(struct snipe_departure_exchange *x, int64_t now_us,
					const struct snipe_node_report *r)
{
	const struct snipe_departure *unknown =
		snipe_departure_copies_unknown_to(&x->copies, now_us, r->node_id, r->process);

	if (unknown) {
		encode(x, r->node_id, unknown, 0);
		snipe_directory_send_to(x->config.directory, r->node_id, &x->datagram);
	}
	if (x->is_offering &&
	    !snipe_departure_copies_has_receipt(&x->copies, r->node_id, r->process)) {
		encode(x, x->config.node_id, &x->copies.own, 0);
		snipe_directory_send_to(x->config.directory, r->node_id, &x->datagram);
	}
}
