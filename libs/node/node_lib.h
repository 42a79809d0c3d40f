/*
 * libs/node: the tasks of a node on one libevent loop. A task owns its sockets and state; other
 * tasks reach it only through its mailbox, the peer task's requests, or immutable snapshots.
 */
#ifndef SNIPE_NODE_LIB_H
#define SNIPE_NODE_LIB_H

#include "node/admin_task.h"
#include "node/backend_task.h"
#include "node/caller_task.h"
#include "base/clock.h"
#include "node/control_task.h"
#include "node/mailbox.h"
#include "node/node.h"
#include "node/peer_task.h"
#include "node/snapshot.h"
#include "node/task_messages.h"

#endif
