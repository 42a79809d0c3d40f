#include <string.h>

#include "base/hash.h"
#include "config/writer.h"
#include "node/admin_task.h"
#include "operator.h"

/* Long enough for a platform that is slow or recovers; attempts are 200 ms apart. */
#define COMMIT_SECONDS 12
#define PAUSE_US 200000

static char *secret;

/* Copies UTF-8 text without control characters, cut at the end of a character, because JSON
 * holds only UTF-8 and the history is printed to terminals. */
static void copy_text(char *out, const char *text, size_t size)
{
	char *valid = g_utf8_make_valid(text, -1);
	const char *end;

	g_strlcpy(out, valid, size);
	g_free(valid);
	if (!g_utf8_validate(out, -1, &end))
		out[end - out] = '\0';
	for (; *out; out++) {
		if (g_ascii_iscntrl(*out))
			*out = ' ';
	}
}

void new_write_record(struct snipe_write_record *record)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *text = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
	uint8_t id[16];

	memset(record, 0, sizeof(*record));
	snipe_random_bytes(id, sizeof(id));
	snipe_hex(id, sizeof(id), record->write_id);
	g_strlcpy(record->time, text, sizeof(record->time));
	copy_text(record->operator_name,
		  options.operator_name ? options.operator_name : g_get_user_name(),
		  sizeof(record->operator_name));
	copy_text(record->note, options.note ? options.note : "", sizeof(record->note));
	g_free(text);
	g_date_time_unref(now);
}

/* Reads the history of tables or keys, which have the same form. */
static enum snipe_writer_step read_back(struct snipe_writer *w, const char *name)
{
	struct snipe_tables_document doc;
	struct snipe_keys keys;
	enum snipe_writer_step step;
	uint64_t version;
	char *value;
	gsize len;
	int err = platform_get(name, &version, &value, &len);

	snipe_tables_document_init(&doc);
	snipe_keys_init(&keys);
	if (err == 0)
		err = strcmp(name, "keys") != 0
			      ? snipe_tables_document_parse(&doc, value, len, NULL)
			      : snipe_keys_parse(&keys, value, len, NULL);
	step = snipe_writer_read_done(
		w, err, version, keys.history_count ? keys.history : doc.history,
		keys.history_count ? keys.history_count : doc.history_count);
	snipe_tables_document_finish(&doc);
	snipe_keys_finish(&keys);
	g_free(value);
	return step;
}

int commit(const char *name, uint64_t base_version, const char *base_write_id,
	   const char *write_id, const char *value, uint64_t *version)
{
	gint64 deadline = g_get_monotonic_time() + COMMIT_SECONDS * G_USEC_PER_SEC;
	enum snipe_writer_step step = SNIPE_WRITER_PUT;
	struct snipe_writer w;
	int first = 1;

	snipe_writer_init(&w, base_version, base_write_id, write_id);
	while (step != SNIPE_WRITER_DONE) {
		if (!first && g_get_monotonic_time() >= deadline) {
			snipe_writer_give_up(&w);
			break;
		}
		if (step == SNIPE_WRITER_PUT) {
			uint64_t written;
			int err = platform_put(name, base_version, value, strlen(value),
					       &written);

			step = snipe_writer_put_done(&w, err, written);
		} else {
			step = read_back(&w, name);
			if (step != SNIPE_WRITER_DONE)
				g_usleep(PAUSE_US);
		}
		first = 0;
	}
	*version = w.version;
	return w.result;
}

static int secret_failed(GError *error)
{
	int status = fail(EXIT_USAGE, SNIPE_ERR_IO, "%s; check --secret-file", error->message);

	g_error_free(error);
	return status;
}

int load_secret(void)
{
	GError *error = NULL;

	if (!options.nodes || !*options.nodes)
		return 0;
	if (!options.secret_file)
		return fail(EXIT_USAGE, SNIPE_ERR_INVALID,
			    "--node needs the fleet_secret; give a file that holds it with "
			    "--secret-file FILE");
	if (!g_file_get_contents(options.secret_file, &secret, NULL, &error))
		return secret_failed(error);
	g_strchomp(secret);
	return 0;
}

int hand_over(const char *name, uint64_t version, const char *value)
{
	int status = EXIT_OK;

	for (char **node = options.nodes; node && *node; node++) {
		GString *response = g_string_new(NULL);
		char *path = g_strdup_printf("/object/%s", name);
		uint8_t mac[SNIPE_MAC_SIZE];
		char hex[2 * SNIPE_MAC_SIZE + 1];
		struct snipe_address address;
		int rc = SNIPE_ERR_SYNTAX;

		snipe_admin_object_mac(secret, name, version, value, strlen(value), mac);
		snipe_hex(mac, sizeof(mac), hex);
		if (snipe_address_parse(*node, &address) == 0)
			rc = node_request(&address, "PUT", path, version, hex, value,
					  strlen(value), response);
		if (rc < 200 || rc > 299)
			status = fail(EXIT_NOT_HANDED_OVER, SNIPE_ERR_UNAVAILABLE,
				      "version %" G_GUINT64_FORMAT
				      " is written, but node %s did not take it (%s%.200s); it "
				      "will arrive by the platform",
				      version, *node, rc < 0 ? snipe_error_name(rc) : "",
				      response->str);
		g_free(path);
		g_string_free(response, TRUE);
	}
	return status;
}
