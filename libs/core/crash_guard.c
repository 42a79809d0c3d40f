#include "core/crash_guard.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"

/* One crash has many possible causes; two crashes while the same request ran have few. */
#define STRIKES_TO_SUSPECT 2
/* Ten minutes: time for operators to repair the server or the caller. */
#define SUSPECT_TTL_US 600000000
/* Delay of the first trial after the strike that made a request suspect. Each further strike
 * quadruples it, at most three times, so that a request that does crash servers crashes few. */
#define FIRST_TRIAL_DELAY_US 5000000
#define TRIAL_DELAY_GROWTH_BITS 2
#define MAX_TRIAL_DELAY_GROWTH 3
/* Time until the result of a trial at one node reaches the others, with some reports lost. */
#define TRIAL_TURN_US 5000000
/* A few crashing requests and the harmless ones that ran beside them on busy servers. */
#define MAX_PRINTED_SUSPECTS 64
#define WAYS 8 /* entries of a set, in any of which a fingerprint can be */
#define SETS (SNIPE_CRASH_GUARD_ENTRIES / WAYS)

void snipe_crash_guard_init(struct snipe_crash_guard *g)
{
	memset(g, 0, sizeof(*g));
}

uint64_t snipe_crash_fingerprint(const struct snipe_crash_request *r)
{
	uint64_t h = snipe_hash64_str(r->host);

	/* Each hash is the seed of the next, so that the boundaries of the fields count. */
	h = snipe_hash64_seed(r->caller, strlen(r->caller), h);
	h = snipe_hash64_seed(r->method, strlen(r->method), h);
	h = snipe_hash64_seed(r->path, strlen(r->path), h);
	h = snipe_hash64_seed(r->body_len ? r->body : "", r->body_len, h);
	return h ? h : 1;
}

static const struct snipe_crash_entry *look_up(const struct snipe_crash_guard *g,
					       uint64_t fingerprint)
{
	const struct snipe_crash_entry *set = &g->entries[fingerprint % SETS * WAYS];

	for (int i = 0; i < WAYS; i++)
		if (set[i].fingerprint == fingerprint && fingerprint != 0)
			return &set[i];
	return NULL;
}

static struct snipe_crash_entry *find_entry(struct snipe_crash_guard *g, uint64_t fingerprint)
{
	return (struct snipe_crash_entry *)look_up(g, fingerprint);
}

static int has_counted(const struct snipe_crash_entry *e, uint64_t crash_id)
{
	for (int i = 0; i < SNIPE_CRASH_IDS_PER_ENTRY; i++)
		if (e->crash_ids[i] == crash_id)
			return 1;
	return 0;
}

static int is_expired(const struct snipe_crash_entry *e, int64_t now_us)
{
	return now_us - e->last_strike_us >= SUSPECT_TTL_US;
}

/* Whether to evict a rather than b: free and expired entries first, then entries that are not
 * suspect, then the oldest. */
static int is_better_victim(const struct snipe_crash_entry *a,
			    const struct snipe_crash_entry *b, int64_t now_us)
{
	int is_free_a = a->fingerprint == 0 || is_expired(a, now_us);
	int is_free_b = b->fingerprint == 0 || is_expired(b, now_us);
	int is_suspect_a = a->strikes >= STRIKES_TO_SUSPECT;
	int is_suspect_b = b->strikes >= STRIKES_TO_SUSPECT;

	if (is_free_a != is_free_b)
		return is_free_a;
	if (is_suspect_a != is_suspect_b)
		return is_suspect_b;
	return a->last_strike_us < b->last_strike_us;
}

static struct snipe_crash_entry *replace_entry(struct snipe_crash_guard *g, int64_t now_us,
					       uint64_t fingerprint)
{
	struct snipe_crash_entry *set = &g->entries[fingerprint % SETS * WAYS],
				 *victim = &set[0];

	for (int i = 1; i < WAYS; i++)
		if (is_better_victim(&set[i], victim, now_us))
			victim = &set[i];
	memset(victim, 0, sizeof(*victim));
	victim->fingerprint = fingerprint;
	return victim;
}

/* is_local: the server that crashed is the one beside this node. */
static int count_strike(struct snipe_crash_guard *g, int64_t at_us, uint64_t fingerprint,
			uint64_t crash_id, int is_local)
{
	struct snipe_crash_entry *e = find_entry(g, fingerprint);

	if (fingerprint == 0) /* marks a free entry, but may come from the network */
		return 0;
	if (!e)
		e = replace_entry(g, at_us, fingerprint);
	else if (is_expired(e, at_us))
		e->strikes = 0;
	else if (has_counted(e, crash_id))
		return 0;
	e->strikes++;
	e->crash_ids[e->next_crash_id] = crash_id;
	e->next_crash_id = (e->next_crash_id + 1) % SNIPE_CRASH_IDS_PER_ENTRY;
	if (at_us > e->last_strike_us) {
		e->last_strike_us = at_us;
		e->has_run_trial = 0;
	}
	e->is_local |= is_local;
	if (e->is_local && e->strikes >= STRIKES_TO_SUSPECT)
		g->changes++;
	return 1;
}

int snipe_crash_guard_record_strike(struct snipe_crash_guard *g, int64_t now_us,
				    uint64_t fingerprint, uint64_t crash_id)
{
	return count_strike(g, now_us, fingerprint, crash_id, 0);
}

int snipe_crash_guard_record_local_strike(struct snipe_crash_guard *g, int64_t now_us,
					  uint64_t fingerprint, uint64_t crash_id)
{
	return count_strike(g, now_us, fingerprint, crash_id, 1);
}

int snipe_crash_guard_record_reported_strike(struct snipe_crash_guard *g, int64_t now_us,
					     const struct snipe_strike *s)
{
	if (s->age_us < 0 || s->age_us >= SUSPECT_TTL_US)
		return 0;
	return snipe_crash_guard_record_strike(g, now_us - s->age_us, s->fingerprint,
					       s->crash_id);
}

static int is_suspect(const struct snipe_crash_entry *e, int64_t now_us)
{
	return e->strikes >= STRIKES_TO_SUSPECT && !is_expired(e, now_us);
}

/* Lists the last strikes of an entry since its last success, latest first. Returns their
 * number. */
static int list_strikes(const struct snipe_crash_entry *e, int64_t now_us,
			struct snipe_strike *out)
{
	int n = MIN(e->strikes, SNIPE_CRASH_MAX_REPORTED_STRIKES);

	for (int i = 0; i < n; i++) {
		int at = (e->next_crash_id + SNIPE_CRASH_IDS_PER_ENTRY - 1 - i) %
			 SNIPE_CRASH_IDS_PER_ENTRY;

		out[i].fingerprint = e->fingerprint;
		out[i].crash_id = e->crash_ids[at];
		out[i].age_us = now_us - e->last_strike_us;
	}
	return n;
}

int snipe_crash_guard_list_strikes(struct snipe_crash_guard *g, int64_t now_us,
				   struct snipe_strike *strikes, int max)
{
	int first = g->next_reported, n = 0;

	for (int i = 0; i < SNIPE_CRASH_GUARD_ENTRIES; i++) {
		int at = (first + i) % SNIPE_CRASH_GUARD_ENTRIES;

		if (!is_suspect(&g->entries[at], now_us))
			continue;
		g->next_reported = at;
		if (n + SNIPE_CRASH_MAX_REPORTED_STRIKES > max)
			break;
		n += list_strikes(&g->entries[at], now_us, strikes + n);
		g->next_reported = (at + 1) % SNIPE_CRASH_GUARD_ENTRIES;
	}
	return n;
}

static int clear_entry(struct snipe_crash_entry *e)
{
	if (!e || e->strikes == 0)
		return 0;
	/* The crash ids stay: later reports of these crashes must not count again. */
	e->strikes = 0;
	return 1;
}

int snipe_crash_guard_clear(struct snipe_crash_guard *g, uint64_t fingerprint)
{
	return clear_entry(find_entry(g, fingerprint));
}

unsigned snipe_crash_guard_changes(const struct snipe_crash_guard *g)
{
	return g->changes;
}

static void print_entry(const struct snipe_crash_entry *e, int64_t now_us, int64_t wall_ms,
			struct snipe_buffer *out)
{
	struct snipe_strike strikes[SNIPE_CRASH_MAX_REPORTED_STRIKES];
	int n = list_strikes(e, now_us, strikes);

	snipe_buffer_printf(out, "%016" PRIx64 " %" PRId64, e->fingerprint,
			    wall_ms - (now_us - e->last_strike_us) / 1000);
	for (int i = 0; i < n; i++)
		snipe_buffer_printf(out, " %016" PRIx64, strikes[i].crash_id);
	snipe_buffer_printf(out, "\n");
}

static gint latest_first(gconstpointer a, gconstpointer b)
{
	const struct snipe_crash_entry *x = *(struct snipe_crash_entry *const *)a;
	const struct snipe_crash_entry *y = *(struct snipe_crash_entry *const *)b;

	return (x->last_strike_us < y->last_strike_us) -
	       (x->last_strike_us > y->last_strike_us);
}

void snipe_crash_guard_print(const struct snipe_crash_guard *g, int64_t now_us, int64_t wall_ms,
			     struct snipe_buffer *out)
{
	GPtrArray *suspects = g_ptr_array_new();

	for (int i = 0; i < SNIPE_CRASH_GUARD_ENTRIES; i++)
		if (is_suspect(&g->entries[i], now_us))
			g_ptr_array_add(suspects, (gpointer)&g->entries[i]);
	g_ptr_array_sort(suspects, latest_first);
	for (guint i = 0; i < MIN(suspects->len, MAX_PRINTED_SUSPECTS); i++)
		print_entry(g_ptr_array_index(suspects, i), now_us, wall_ms, out);
	g_ptr_array_free(suspects, TRUE);
}

/* Returns the number of strikes in the line that were counted, or SNIPE_ERR_SYNTAX. */
static int load_line(struct snipe_crash_guard *g, int64_t now_us, int64_t wall_ms,
		     const char *line)
{
	struct snipe_strike s;
	int64_t at_ms;
	char *end;
	int n = 0;

	s.fingerprint = g_ascii_strtoull(line, &end, 16);
	if (end == line || s.fingerprint == 0)
		return SNIPE_ERR_SYNTAX;
	line = end;
	at_ms = g_ascii_strtoll(line, &end, 10);
	if (end == line || at_ms < 0)
		return SNIPE_ERR_SYNTAX;
	/* at_ms may be in the future: clocks differ between machines. */
	s.age_us = MAX(wall_ms - at_ms, 0) * 1000;
	for (line = end; *line; line = end) {
		s.crash_id = g_ascii_strtoull(line, &end, 16);
		if (end == line)
			return SNIPE_ERR_SYNTAX;
		n += snipe_crash_guard_record_reported_strike(g, now_us, &s);
	}
	return n;
}

int snipe_crash_guard_load(struct snipe_crash_guard *g, int64_t now_us, int64_t wall_ms,
			   const char *text, size_t len)
{
	char *copy = g_strndup(text, len), **lines = g_strsplit(copy, "\n", -1);
	int n = 0, ret = 0;

	for (int i = 0; lines[i] && ret >= 0; i++) {
		ret = *lines[i] ? load_line(g, now_us, wall_ms, lines[i]) : 0;
		n += MAX(ret, 0);
	}
	g_strfreev(lines);
	g_free(copy);
	return ret < 0 ? ret : n;
}

int snipe_crash_guard_record_success(struct snipe_crash_guard *g, int64_t now_us,
				     uint64_t fingerprint)
{
	struct snipe_crash_entry *e = find_entry(g, fingerprint);
	struct snipe_crash_cleared *oldest = &g->cleared[0];
	int was_suspect = e && is_suspect(e, now_us);

	if (!clear_entry(e))
		return 0;
	g->changes += was_suspect;
	for (int i = 0; i < SNIPE_CRASH_MAX_CLEARED; i++)
		if (g->cleared[i].at_us < oldest->at_us || !g->cleared[i].fingerprint)
			oldest = &g->cleared[i];
	oldest->fingerprint = fingerprint;
	oldest->at_us = now_us;
	return 1;
}

int snipe_crash_guard_list_cleared(const struct snipe_crash_guard *g, int64_t since_us,
				   uint64_t *fingerprints, int max)
{
	int n = 0;

	for (int i = 0; i < SNIPE_CRASH_MAX_CLEARED && n < max; i++)
		if (g->cleared[i].fingerprint && g->cleared[i].at_us >= since_us)
			fingerprints[n++] = g->cleared[i].fingerprint;
	return n;
}

int snipe_crash_guard_is_suspect(const struct snipe_crash_guard *g, int64_t now_us,
				 uint64_t fingerprint)
{
	const struct snipe_crash_entry *e = look_up(g, fingerprint);

	return e && is_suspect(e, now_us);
}

void snipe_crash_guard_view(const struct snipe_crash_guard *g, uint64_t fingerprint,
			    struct snipe_crash_view *view)
{
	const struct snipe_crash_entry *e = look_up(g, fingerprint);

	view->strikes = e ? e->strikes : 0;
	view->last_strike_us = e ? e->last_strike_us : 0;
}

int64_t snipe_crash_guard_trial_due(struct snipe_crash_guard *g, uint64_t fingerprint)
{
	const struct snipe_crash_entry *e = find_entry(g, fingerprint);
	int growth;

	if (!e || e->strikes < STRIKES_TO_SUSPECT || e->has_run_trial)
		return INT64_MAX;
	growth = TRIAL_DELAY_GROWTH_BITS *
		 MIN(e->strikes - STRIKES_TO_SUSPECT, MAX_TRIAL_DELAY_GROWTH);
	return e->last_strike_us + ((int64_t)FIRST_TRIAL_DELAY_US << growth);
}

int snipe_crash_guard_start_trial(struct snipe_crash_guard *g, int64_t now_us,
				  uint64_t fingerprint, int turn)
{
	int64_t due = snipe_crash_guard_trial_due(g, fingerprint);

	if (due == INT64_MAX || now_us < due + (int64_t)turn * TRIAL_TURN_US)
		return 0;
	find_entry(g, fingerprint)->has_run_trial = 1;
	return 1;
}
