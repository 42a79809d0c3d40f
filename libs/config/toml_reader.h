/*
 * Reads TOML into sections and plain values. It knows the syntax only; the meaning is checked
 * with section.h.
 */
#ifndef SNIPE_TOML_READER_H
#define SNIPE_TOML_READER_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_toml_type {
	SNIPE_TOML_STRING,
	SNIPE_TOML_INTEGER,
	SNIPE_TOML_FLOAT,
	SNIPE_TOML_BOOLEAN,
	SNIPE_TOML_STRINGS, /* an array that holds only strings, or nothing */
	SNIPE_TOML_OTHER,   /* dates, nested tables, other arrays, strings with a null byte */
};

struct snipe_toml_value {
	char *key;
	enum snipe_toml_type type;
	int line, column;
	int used; /* set by the checks; values left over are unknown keys */
	char *string;
	int64_t integer;
	double number;
	int boolean;
	char **strings; /* terminated by NULL */
};

enum snipe_toml_section_kind {
	SNIPE_TOML_TABLE, /* [name] */
	SNIPE_TOML_ENTRY, /* one [[name]] */
	SNIPE_TOML_LOOSE, /* a key outside of any section */
};

struct snipe_toml_section {
	char *name;
	struct snipe_toml_value *values;
	int count;
	enum snipe_toml_section_kind kind;
	int line, column;
};

struct snipe_toml {
	struct snipe_toml_section *sections; /* entries of one name keep their order */
	int count;
};

struct snipe_toml_error {
	int line, column; /* 1 is the first */
	char text[160];
};

/* Returns 0, or SNIPE_ERR_SYNTAX with the place in err; doc is then empty. */
int snipe_toml_read(struct snipe_toml *doc, const char *text, size_t len,
		    struct snipe_toml_error *err);
void snipe_toml_finish(struct snipe_toml *doc);

#ifdef __cplusplus
}
#endif

#endif
