/*
 * libs/core: the decision logic. No module here does I/O or reads a clock: time, random
 * numbers and events are arguments, actions are results. Time is CLOCK_BOOTTIME in microseconds
 * (now_us), which also counts suspended time; wall time is in milliseconds since 1970
 * (wall_ms).
 */
#ifndef SNIPE_CORE_H
#define SNIPE_CORE_H

#include "core/admission.h"
#include "core/balancer.h"
#include "core/call_profile.h"
#include "core/chain_limit.h"
#include "core/control_state.h"
#include "core/crash_guard.h"
#include "core/dedup.h"
#include "core/departure.h"
#include "core/entry_limit.h"
#include "core/fleet_quota.h"
#include "core/limiter.h"
#include "core/membership.h"
#include "core/ownership.h"
#include "core/placement.h"
#include "core/quota.h"
#include "core/readers.h"
#include "core/retry.h"
#include "core/work_queue.h"

#endif
