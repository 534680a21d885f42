/*
 * Decoding of JSON that other writers have a part in. One value that the JSON
 * library can't represent makes it reject the whole text; this finds where each
 * element of a list begins and ends, and decodes them one by one.
 */
#include <string.h>

#include "base/base.h"

/* The object, its lists, and the objects in these. */
#define LEVELS 3

struct cursor {
	const char *p, *end;
	size_t dropped; /* elements and fields that were unreadable */
};

static json_t *load_level(struct cursor *c, const char *p, size_t n,
			  int levels);

static void skip_space(struct cursor *c)
{
	while (c->p < c->end && *c->p && strchr(" \t\r\n", *c->p))
		c->p++;
}

/* Skip a character if it is the next one. */
static bool accept(struct cursor *c, char expected)
{
	skip_space(c);
	if (c->p == c->end || *c->p != expected)
		return false;
	c->p++;
	return true;
}

/* Skip a string; false when it does not end. */
static bool skip_string(struct cursor *c)
{
	for (c->p++; c->p < c->end; c->p++) {
		if (*c->p == '"') {
			c->p++;
			return true;
		}
		if (*c->p == '\\' && ++c->p == c->end)
			return false;
	}
	return false;
}

/*
 * Skip a value up to the comma, colon or bracket that ends it, without a check
 * of what it is. Counts brackets instead of recursing: it may be nested more
 * deeply than the stack bears.
 */
static bool skip_value(struct cursor *c)
{
	size_t depth = 0;

	while (c->p < c->end) {
		switch (*c->p) {
		case '"':
			if (!skip_string(c))
				return false;
			continue;
		case '[':
		case '{':
			depth++;
			break;
		case ']':
		case '}':
			if (!depth--)
				return true;
			break;
		case ',':
		case ':':
			if (!depth)
				return true;
			break;
		}
		c->p++;
	}
	return false;
}

/* Decode the next value; NULL in *out: it is unreadable. */
static bool next_value(struct cursor *c, int levels, json_t **out)
{
	const char *start;

	skip_space(c);
	start = c->p;
	if (!skip_value(c))
		return false;
	*out = load_level(c, start, (size_t)(c->p - start), levels);
	return true;
}

/* Decode an element of a list, or a field of an object, into into. */
static bool next_part(struct cursor *c, json_t *into, int levels)
{
	json_t *name = NULL, *value = NULL;
	bool ok = true, readable;

	if (json_is_object(into))
		ok = next_value(c, 0, &name) && accept(c, ':');
	ok = ok && next_value(c, levels, &value);
	readable = value && (json_is_array(into) || json_is_string(name));
	if (ok && readable && json_is_array(into))
		json_array_append(into, value);
	else if (ok && readable)
		json_object_set(into, json_string_value(name), value);
	else if (ok)
		c->dropped++;
	json_decref(name);
	json_decref(value);
	/* The fields of the outermost object say how to use the lists. */
	return ok && (readable || levels < LEVELS - 1);
}

/* Decode an object or a list part by part. */
static json_t *load_parts(struct cursor *c, char close, int levels)
{
	json_t *into = close == ']' ? json_array() : json_object();
	bool ok;

	c->p++;
	if (accept(c, close))
		return into;
	do
		ok = next_part(c, into, levels - 1);
	while (ok && accept(c, ','));
	if (ok && accept(c, close))
		return into;
	json_decref(into);
	return NULL;
}

/* Decode a value as a whole, or else part by part down to some levels. */
static json_t *load_level(struct cursor *c, const char *p, size_t n, int levels)
{
	json_t *j = json_loadb(p, n, JSON_DECODE_ANY, NULL);
	struct cursor inner = {p, p + n, 0};

	if (j || !levels)
		return j;
	skip_space(&inner);
	if (inner.p == inner.end || (*inner.p != '{' && *inner.p != '['))
		return NULL;
	j = load_parts(&inner, *inner.p == '[' ? ']' : '}', levels);
	skip_space(&inner);
	if (j && inner.p != inner.end)
		g_clear_pointer(&j, json_decref);
	c->dropped += inner.dropped;
	return j;
}

json_t *json_load_readable(const char *p, size_t n, size_t *dropped)
{
	struct cursor c = {p, p + n, 0};
	json_t *j = load_level(&c, p, n, LEVELS);

	*dropped = c.dropped;
	if (json_is_object(j))
		return j;
	json_decref(j);
	return NULL;
}
