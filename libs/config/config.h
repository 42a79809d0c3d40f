/*
 * libs/config: settings of a node, the operators' tables and the keys of callers, with their
 * checks. It owns no state beyond what the caller loads.
 */
#ifndef SNIPE_CONFIG_H
#define SNIPE_CONFIG_H

#include "config/keys.h"
#include "config/routing.h"
#include "config/settings.h"
#include "config/tables.h"

#endif
