/*
 * Settings of a node (TOML). Checked as a whole: every problem is reported with line, key and
 * remedy, and unknown keys are refused. Port 0 lets the kernel choose; the node logs
 * event=listening with the port that it got.
 */
#ifndef SNIPE_SETTINGS_H
#define SNIPE_SETTINGS_H

#include "base/address.h"
#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_MAX_SEEDS 16

struct snipe_settings {
	char node_id[SNIPE_NAME_SIZE];	      /* [node] id */
	char region[SNIPE_NAME_SIZE];	      /* [node] region */
	char failure_domain[SNIPE_NAME_SIZE]; /* [node] failure_domain */
	char fleet_secret[128];		      /* [node] fleet_secret, at least 16 characters */
	char log_level[16];		      /* [node] log_level, default "info" */
	struct snipe_address caller_listen;   /* [listen] callers: requests from outside */
	struct snipe_address
		local_listen; /* [listen] local: the backend server beside the node */
	struct snipe_address peer_listen;  /* [listen] peers: TCP and UDP */
	struct snipe_address admin_listen; /* [listen] admin: counters, state dump, drain */
	struct snipe_address platform;	   /* [platform] address */
	struct snipe_address seeds[SNIPE_MAX_SEEDS]; /* [join] seeds */
	int seed_count;
	char policy[16]; /* [overload] policy: "adaptive" (default), "fixed" or "none", for
			    comparisons in benchmarks */
	int fixed_limit; /* [overload] fixed_limit: running calls for policy "fixed" */
};

/* Returns 0, SNIPE_ERR_IO, SNIPE_ERR_SYNTAX, SNIPE_ERR_TOO_LARGE (over 64 KB) or
 * SNIPE_ERR_INVALID, with all problems listed. */
int snipe_settings_load_file(struct snipe_settings *s, const char *path,
			     struct snipe_problems *problems);
int snipe_settings_load(struct snipe_settings *s, const char *toml, const char *name,
			struct snipe_problems *problems);

#ifdef __cplusplus
}
#endif

#endif
