/*
 * libs/base: errors, logging, hashing, byte buffers, histograms and counters.
 * It holds no product state and is the only library that every other library may include.
 */
#ifndef SNIPE_BASE_H
#define SNIPE_BASE_H

#include "base/address.h"
#include "base/buffer.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/histogram.h"
#include "base/log.h"
#include "base/socket.h"

#endif
