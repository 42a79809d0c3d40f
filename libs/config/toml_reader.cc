#include "config/toml_reader.h"

#include <cstdio>
#include <cstring>
#include <exception>
#include <string>

#include <glib.h>
#include <toml++/toml.h>

#include "base/error.h"

// Copies a string, or returns NULL if a null byte would cut it short.
static char *copy_string(const std::string &s)
{
	return s.find('\0') == std::string::npos ? g_strndup(s.data(), s.size()) : nullptr;
}

static void read_array(const toml::array &array, snipe_toml_value &out)
{
	char **strings = g_new0(char *, array.size() + 1);
	size_t n = 0;

	for (const toml::node &element : array) {
		const auto *s = element.as_string();

		strings[n] = s ? copy_string(s->get()) : nullptr;
		if (!strings[n]) {
			g_strfreev(strings);
			return;
		}
		n++;
	}
	out.type = SNIPE_TOML_STRINGS;
	out.strings = strings;
}

static void read_value(const toml::key &key, const toml::node &node, snipe_toml_value &out)
{
	out.key = g_strndup(key.str().data(), key.str().size());
	out.line = (int)key.source().begin.line;
	out.column = (int)key.source().begin.column;
	out.type = SNIPE_TOML_OTHER;
	if (const auto *s = node.as_string()) {
		out.string = copy_string(s->get());
		if (out.string)
			out.type = SNIPE_TOML_STRING;
	} else if (const auto *i = node.as_integer()) {
		out.type = SNIPE_TOML_INTEGER;
		out.integer = i->get();
		out.number = (double)i->get();
	} else if (const auto *f = node.as_floating_point()) {
		out.type = SNIPE_TOML_FLOAT;
		out.number = f->get();
	} else if (const auto *b = node.as_boolean()) {
		out.type = SNIPE_TOML_BOOLEAN;
		out.boolean = b->get();
	} else if (const auto *a = node.as_array()) {
		read_array(*a, out);
	}
}

static snipe_toml_section &add_section(snipe_toml *doc, const toml::key &key,
				       const toml::node &node, snipe_toml_section_kind kind)
{
	doc->sections = g_renew(snipe_toml_section, doc->sections, doc->count + 1);
	snipe_toml_section &section = doc->sections[doc->count++];

	memset(&section, 0, sizeof(section));
	section.name = g_strndup(key.str().data(), key.str().size());
	section.kind = kind;
	section.line = (int)node.source().begin.line;
	section.column = (int)node.source().begin.column;
	return section;
}

static void read_table(const toml::table &table, snipe_toml_section &section)
{
	section.values = g_new0(snipe_toml_value, table.size());
	for (const auto &[key, node] : table)
		read_value(key, node, section.values[section.count++]);
}

static void read_document(const toml::table &root, snipe_toml *doc)
{
	for (const auto &[key, node] : root) {
		if (const auto *table = node.as_table()) {
			read_table(*table, add_section(doc, key, node, SNIPE_TOML_TABLE));
		} else if (node.is_array_of_tables()) {
			for (const toml::node &element : *node.as_array())
				read_table(*element.as_table(),
					   add_section(doc, key, element, SNIPE_TOML_ENTRY));
		} else {
			add_section(doc, key, node, SNIPE_TOML_LOOSE);
		}
	}
}

extern "C" int snipe_toml_read(struct snipe_toml *doc, const char *text, size_t len,
			       struct snipe_toml_error *err)
{
	memset(doc, 0, sizeof(*doc));
	memset(err, 0, sizeof(*err));
	try {
		read_document(toml::parse(std::string_view(text, len)), doc);
		return 0;
	} catch (const toml::parse_error &e) {
		err->line = (int)e.source().begin.line;
		err->column = (int)e.source().begin.column;
		snprintf(err->text, sizeof(err->text), "%s",
			 std::string(e.description()).c_str());
	} catch (const std::exception &e) {
		snprintf(err->text, sizeof(err->text), "%s", e.what());
	}
	snipe_toml_finish(doc);
	return SNIPE_ERR_SYNTAX;
}

extern "C" void snipe_toml_finish(struct snipe_toml *doc)
{
	for (int i = 0; i < doc->count; i++) {
		snipe_toml_section &section = doc->sections[i];

		for (int j = 0; j < section.count; j++) {
			g_free(section.values[j].key);
			g_free(section.values[j].string);
			g_strfreev(section.values[j].strings);
		}
		g_free(section.values);
		g_free(section.name);
	}
	g_free(doc->sections);
	memset(doc, 0, sizeof(*doc));
}
