/*
 * Typed reading of one TOML section. Each problem goes into the list with file, line, key and
 * remedy, and reading continues, so that an operator sees all problems in one go.
 */
#ifndef SNIPE_SECTION_H
#define SNIPE_SECTION_H

#include <stddef.h>
#include <stdint.h>

#include "config/tables.h"
#include "config/toml_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Memory of the document and of the problem list stays with the caller. */
struct snipe_section {
	const char *file;
	struct snipe_toml_section *toml;
	struct snipe_problems *problems;
};

enum snipe_presence {
	SNIPE_REQUIRED,
	SNIPE_OPTIONAL, /* the caller's default stays when the key is absent */
};

/* Adds "FILE:LINE: SECTION.KEY: message"; the line is that of the key, or of the section. */
void snipe_section_problem(const struct snipe_section *s, const char *key, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Each returns nonzero and stores the value if the key is present and valid. */
int snipe_section_integer(const struct snipe_section *s, const char *key,
			  enum snipe_presence presence, int min, int max, int *out);
/* Refuses NaN and infinities too. */
int snipe_section_number(const struct snipe_section *s, const char *key,
			 enum snipe_presence presence, double min, double max, double *out);
int snipe_section_boolean(const struct snipe_section *s, const char *key,
			  enum snipe_presence presence, int *out);
/* The string lives as long as the document. */
int snipe_section_string(const struct snipe_section *s, const char *key,
			 enum snipe_presence presence, const char **out);
int snipe_section_strings(const struct snipe_section *s, const char *key,
			  enum snipe_presence presence, char ***out);
/* A name of letters, digits, '.', '_' and '-', copied to out. */
int snipe_section_name(const struct snipe_section *s, const char *key,
		       enum snipe_presence presence, char out[SNIPE_NAME_SIZE]);
/* One of count words; stores its index. */
int snipe_section_word(const struct snipe_section *s, const char *key,
		       enum snipe_presence presence, const char *const *words, int count,
		       int *out);

/* Reports every key that was not read. */
void snipe_section_unknown(const struct snipe_section *s);

/* Returns nonzero for 1 to 63 letters, digits, '.', '_' and '-'. */
int snipe_name_is_valid(const char *name);

#ifdef __cplusplus
}
#endif

#endif
