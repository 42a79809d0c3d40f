#include "config/history.h"

#include <glib.h>
#include <string.h>

int snipe_json_copy(const json_t *object, const char *key, char *out, size_t size)
{
	const char *text = json_string_value(json_object_get(object, key));

	if (!text || strlen(text) >= size)
		return SNIPE_ERR_INVALID;
	g_strlcpy(out, text, size);
	return 0;
}

int snipe_history_parse(const json_t *array, struct snipe_write_record *history, int *count)
{
	size_t n = json_array_size(array);

	if (!json_is_array(array) || n > SNIPE_HISTORY_MAX)
		return SNIPE_ERR_INVALID;
	for (size_t i = 0; i < n; i++) {
		const json_t *entry = json_array_get(array, i);
		struct snipe_write_record *r = &history[i];

		if (snipe_json_copy(entry, "write_id", r->write_id, sizeof(r->write_id)) < 0 ||
		    snipe_json_copy(entry, "operator", r->operator_name,
				    sizeof(r->operator_name)) < 0 ||
		    snipe_json_copy(entry, "time", r->time, sizeof(r->time)) < 0 ||
		    snipe_json_copy(entry, "note", r->note, sizeof(r->note)) < 0)
			return SNIPE_ERR_INVALID;
	}
	*count = (int)n;
	return 0;
}

json_t *snipe_history_json(const struct snipe_write_record *history, int count)
{
	json_t *array = json_array();

	for (int i = 0; i < count; i++)
		json_array_append_new(array,
				      json_pack("{s:s, s:s, s:s, s:s}", "write_id",
						history[i].write_id, "operator",
						history[i].operator_name, "time",
						history[i].time, "note", history[i].note));
	return array;
}

void snipe_history_push(struct snipe_write_record *history, int *count,
			const struct snipe_write_record *record)
{
	memmove(history + 1, history, (SNIPE_HISTORY_MAX - 1) * sizeof(*history));
	history[0] = *record;
	*count = MIN(*count + 1, SNIPE_HISTORY_MAX);
}
