#include "base/counters.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"

void snipe_counters_init(struct snipe_counters *c)
{
	memset(c, 0, sizeof(*c));
}

int snipe_counters_get(struct snipe_counters *c, const char *name, const char *label)
{
	if (!label)
		label = "";
	for (int i = 0; i < c->count; i++) {
		if (!strcmp(c->entries[i].name, name) && !strcmp(c->entries[i].label, label))
			return i;
	}
	if (c->count == SNIPE_COUNTERS_MAX)
		return SNIPE_ERR_FULL;
	snprintf(c->entries[c->count].name, sizeof(c->entries[0].name), "%s", name);
	snprintf(c->entries[c->count].label, sizeof(c->entries[0].label), "%s", label);
	return c->count++;
}

void snipe_counters_add(struct snipe_counters *c, int handle, int64_t delta)
{
	if (handle >= 0 && handle < c->count)
		c->entries[handle].value += delta;
}

void snipe_counters_set(struct snipe_counters *c, int handle, int64_t value)
{
	if (handle < 0 || handle >= c->count)
		return;
	c->entries[handle].value = value;
	c->entries[handle].is_gauge = 1;
}

int64_t snipe_counters_value(const struct snipe_counters *c, int handle)
{
	return handle >= 0 && handle < c->count ? c->entries[handle].value : 0;
}

static int is_first_of_name(const struct snipe_counters *c, int index)
{
	for (int i = 0; i < index; i++) {
		if (!strcmp(c->entries[i].name, c->entries[index].name))
			return 0;
	}
	return 1;
}

static void print_counter(const struct snipe_counters *c, int i, struct snipe_buffer *out)
{
	const char *label = c->entries[i].label;

	snipe_buffer_printf(out, "snipescale_%s%s%s%s %lld\n", c->entries[i].name,
			    *label ? "{" : "", label, *label ? "}" : "",
			    (long long)c->entries[i].value);
}

void snipe_counters_print(const struct snipe_counters *c, struct snipe_buffer *out)
{
	for (int i = 0; i < c->count; i++) {
		if (!is_first_of_name(c, i))
			continue;
		snipe_buffer_printf(out, "# TYPE snipescale_%s %s\n", c->entries[i].name,
				    c->entries[i].is_gauge ? "gauge" : "counter");
		for (int j = i; j < c->count; j++) {
			if (!strcmp(c->entries[j].name, c->entries[i].name))
				print_counter(c, j, out);
		}
	}
}
