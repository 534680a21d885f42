/* Private to state: the table of resource fields, from schema/resources.tbl. */
#ifndef STATE_SCHEMA_H
#define STATE_SCHEMA_H

#include "state/state.h"

enum field_type {
	FIELD_STRING,
	FIELD_STRINGS,
	FIELD_INT,
	FIELD_NUMBER,
	FIELD_BOOL,
	FIELD_ENUM, /* extra: the names, separated by commas */
	FIELD_REF,  /* extra: the kind referred to */
	FIELD_KEYS, /* list of objects with "hash" and "role" */
};

/* One field of a kind of resource. */
struct field_info {
	enum resource_kind kind;
	const char *name;
	enum field_type type;
	const char *extra; /* depends on type; "" if unused */
	bool required;
	double min; /* of the value, or of a string's or list's length */
	double max; /* likewise, inclusive */
	const char *doc;
};

extern const struct field_info field_infos[];
extern const size_t field_count;

#endif
