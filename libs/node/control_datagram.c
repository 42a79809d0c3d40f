#include <errno.h>
#include <event2/event.h>
#include <event2/util.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/clock.h"
#include "node/control_internal.h"

/* IP and UDP headers count as control traffic too. */
#define PACKET_OVERHEAD 28
/* Other events of the loop get their turn after this many datagrams. */
#define DATAGRAMS_PER_TURN 64

void snipe_control_send(struct snipe_control_task *t, struct snipe_datagram *d,
			const struct snipe_address *to)
{
	struct sockaddr_storage ss;
	int size = snipe_address_to_sockaddr(to, &ss);
	int left_out;

	if (size < 0 || to->port == 0)
		return;
	memcpy(d->from_id, t->settings->node_id, sizeof(d->from_id));
	memcpy(d->from_domain, t->settings->failure_domain, sizeof(d->from_domain));
	left_out = snipe_datagram_encode(d, t->settings->fleet_secret, &t->datagram);
	if (left_out > 0)
		snipe_membership_requeue(&t->members, &d->u.probe, left_out);
	/* A datagram that cannot be sent now counts as lost; the protocols repeat theirs. */
	(void)!sendto(t->fd, t->datagram.data, t->datagram.len, 0, (struct sockaddr *)&ss,
		      (socklen_t)size);
	snipe_counters_add(t->counters, t->count_sent,
			   (int64_t)t->datagram.len + PACKET_OVERHEAD);
}

void snipe_control_send_probes(struct snipe_control_task *t,
			       struct snipe_membership_actions *actions)
{
	struct snipe_datagram d;

	for (int i = 0; i < actions->send_count; i++) {
		memset(&d, 0, offsetof(struct snipe_datagram, u));
		d.type = SNIPE_DATAGRAM_PROBE;
		d.u.probe = actions->sends[i];
		snipe_control_send(t, &d, &actions->sends[i].to);
	}
	t->members_changed |= actions->changed;
}

void snipe_control_send_strikes(struct snipe_control_task *t,
				const struct snipe_task_message *m)
{
	struct snipe_datagram d;

	memset(&d, 0, sizeof(d));
	d.type = SNIPE_DATAGRAM_STRIKE;
	d.u.strike.count = m->u.strikes.count;
	d.u.strike.crash_id = m->u.strikes.death;
	memcpy(d.u.strike.fingerprints, m->u.strikes.fingerprints,
	       sizeof(d.u.strike.fingerprints));
	for (int i = 0; i < snipe_membership_count(&t->members); i++) {
		const struct snipe_member *member = snipe_membership_at(&t->members, i);

		if (snipe_member_is_live(member) &&
		    !strcmp(member->pool, t->members.self.pool) &&
		    strcmp(member->node_id, t->settings->node_id) != 0)
			snipe_control_send(t, &d, &member->address);
	}
}

static void on_strike(struct snipe_control_task *t, const struct snipe_datagram *d)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_STRIKES};

	m.u.strikes.count = d->u.strike.count;
	m.u.strikes.death = d->u.strike.crash_id;
	memcpy(m.u.strikes.fingerprints, d->u.strike.fingerprints,
	       sizeof(m.u.strikes.fingerprints));
	snipe_mailbox_post(t->backend_box, &m);
}

static void receive(struct snipe_control_task *t, struct snipe_datagram *d,
		    const struct snipe_address *from)
{
	struct snipe_membership_actions actions;

	switch (d->type) {
	case SNIPE_DATAGRAM_PROBE:
		d->u.probe.to = *from;
		memset(&actions, 0, sizeof(actions));
		snipe_membership_receive(&t->members, snipe_now_us(), &d->u.probe, &actions);
		snipe_control_send_probes(t, &actions);
		break;
	case SNIPE_DATAGRAM_SUBSCRIBE:
		snipe_control_on_subscribe(t, from, d);
		break;
	case SNIPE_DATAGRAM_DIGEST:
		snipe_control_on_digest(t, from, d);
		break;
	case SNIPE_DATAGRAM_STRIKE:
		on_strike(t, d);
		break;
	}
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	static struct snipe_log_limit limit;
	struct snipe_control_task *t = arg;
	char data[SNIPE_DATAGRAM_MAX_BYTES + 1];
	struct sockaddr_storage ss;
	struct snipe_address from;
	struct snipe_datagram d;

	(void)what;
	for (int i = 0; i < DATAGRAMS_PER_TURN; i++) {
		socklen_t size = sizeof(ss);
		ssize_t n = recvfrom(fd, data, sizeof(data), 0, (struct sockaddr *)&ss, &size);
		int err;

		if (n < 0)
			return;
		snipe_counters_add(t->counters, t->count_received, n + PACKET_OVERHEAD);
		snipe_address_from_sockaddr((struct sockaddr *)&ss, &from);
		err = snipe_datagram_decode(data, (size_t)n, t->settings->fleet_secret, &d);
		if (err == 0)
			receive(t, &d, &from);
		else if (snipe_log_allow(&limit, snipe_now_us(), 1, NULL))
			snipe_log(SNIPE_LOG_WARNING, "datagram_refused",
				  "from=%s err=%s remedy=\"give all nodes the same "
				  "fleet_secret and version\"",
				  from.ip, snipe_error_name(err));
	}
}

int snipe_control_socket_open(struct snipe_control_task *t, struct snipe_error_text *err)
{
	const struct snipe_address *self = snipe_peer_address(t->peers);
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	struct sockaddr_storage ss;
	int size = snipe_address_to_sockaddr(self, &ss);

	snipe_address_format(self, text);
	t->fd = socket(ss.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (t->fd < 0 || bind(t->fd, (struct sockaddr *)&ss, (socklen_t)size) < 0) {
		snipe_error_set(err, SNIPE_ERR_IO,
				"cannot bind UDP %s: %s; choose a port in [listen] peers that "
				"is free for TCP and UDP",
				text, g_strerror(errno));
		if (t->fd >= 0)
			close(t->fd);
		return SNIPE_ERR_IO;
	}
	event_assign(&t->readable, t->base, t->fd, EV_READ | EV_PERSIST, on_readable, t);
	event_add(&t->readable, NULL);
	return 0;
}

void snipe_control_socket_close(struct snipe_control_task *t)
{
	event_del(&t->readable);
	close(t->fd);
}
