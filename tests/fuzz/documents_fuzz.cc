// Guards against crashes on values that the platform could return for config/tables and
// config/keys.
#include <glib.h>

#include <cstddef>
#include <cstdint>

#include "config/keys.h"
#include "config/tables.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = reinterpret_cast<const char *>(data);
	struct snipe_tables_document doc;
	struct snipe_error_text err;
	struct snipe_keys keys;

	snipe_tables_document_init(&doc);
	if (snipe_tables_document_parse(&doc, text, size, &err) == 0)
		g_free(snipe_tables_document_print(&doc));
	snipe_tables_document_finish(&doc);
	snipe_keys_init(&keys);
	if (snipe_keys_parse(&keys, text, size, &err) == 0) {
		snipe_keys_lookup(&keys, text, size);
		g_free(snipe_keys_print(&keys));
	}
	snipe_keys_finish(&keys);
	return 0;
}
