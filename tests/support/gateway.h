// Fixtures shared by the tests of the gateway.
#ifndef SNIPE_TESTS_GATEWAY_H
#define SNIPE_TESTS_GATEWAY_H

#include <gtest/gtest.h>

#include <cstring>

#include "gateway/dialect.h"
#include "node/peer_task.h"

// A wire format of no particular platform.
inline const struct snipe_dialect DIALECT = {
	nullptr,
	{"Id", "Left", "Workspace", "Expect-Server", "Not-Run", "Caller", "Signature", "Token"},
	"/ready",
	"tables",
	"main",
	"nodes",
	"departures",
	"suspects",
	"costs",
	"{}",
};

// Starts the peer task of a node on a free port of the loopback interface.
inline void init_peer(struct snipe_peer_task *t, struct event_base *base, const char *id)
{
	struct snipe_peer_config config = {};
	struct snipe_error_text err;

	config.base = base;
	strcpy(config.listen.ip, "127.0.0.1");
	config.node_id = id;
	config.process = 1;
	config.secret = "";
	ASSERT_EQ(snipe_peer_task_init(t, &config, &err), 0) << err.text;
}

#endif
