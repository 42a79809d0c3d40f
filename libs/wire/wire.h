/*
 * libs/wire: codec of the TCP frames and UDP datagrams between nodes. No I/O and no state.
 */
#ifndef SNIPE_WIRE_H
#define SNIPE_WIRE_H

#include "wire/confirm.h"
#include "wire/datagram.h"
#include "wire/frame.h"
#include "wire/message.h"
#include "wire/report.h"

#endif
