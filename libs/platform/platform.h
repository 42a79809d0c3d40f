/*
 * libs/platform: client of the platform's object API. It owns its connections and open calls.
 */
#ifndef SNIPE_PLATFORM_H
#define SNIPE_PLATFORM_H

#include "platform/object_store.h"

#endif
