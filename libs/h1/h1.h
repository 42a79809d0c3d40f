/*
 * libs/h1: HTTP/1.1 on bufferevents, for listeners that need pipelining and cancellation:
 * evhttp reads one request at a time and reports late that a client has disconnected.
 */
#ifndef SNIPE_H1_H
#define SNIPE_H1_H

#include "h1/message.h"
#include "h1/pool.h"
#include "h1/server.h"

#endif
