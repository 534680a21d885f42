/*
 * Difference between two versions of a text that share most of their parts, as
 * configurations do: operations that copy a range of the old text or insert new
 * bytes. A part ends before each opening brace.
 */
#include <string.h>

#include "entry/text-delta.h"

/* An operation begins with its kind and one or two 32-bit numbers. */
enum op {
	OP_COPY = 'C',   /* offset in the old text, length */
	OP_INSERT = 'I', /* length, bytes */
};

/* Length of the part that begins at p. */
static size_t part_length(const char *p, const char *end)
{
	const char *brace = memchr(p + 1, '{', (size_t)(end - p - 1));

	return (size_t)((brace ? brace : end) - p);
}

/* Index the parts of a text: key -> offset + 1 of its first occurrence. */
static GHashTable *index_parts(struct str text)
{
	GHashTable *h = g_hash_table_new_full(str_key_hash, str_key_equal,
					      g_free, NULL);
	const char *end = text.data + text.len;

	for (const char *p = text.data; p < end;) {
		struct str part = {p, part_length(p, end)};

		if (!g_hash_table_contains(h, &part))
			g_hash_table_insert(
				h, g_memdup2(&part, sizeof(part)),
				GSIZE_TO_POINTER((size_t)(p - text.data) + 1));
		p += part.len;
	}
	return h;
}

static void put_number(GString *out, size_t n)
{
	uint32_t v = g_htonl((uint32_t)n);

	g_string_append_len(out, (const char *)&v, sizeof(v));
}

static void put_insert(GString *out, const char *p, size_t n)
{
	if (!n)
		return;
	g_string_append_c(out, OP_INSERT);
	put_number(out, n);
	g_string_append_len(out, p, (gssize)n);
}

static void put_copy(GString *out, size_t offset, size_t n)
{
	g_string_append_c(out, OP_COPY);
	put_number(out, offset);
	put_number(out, n);
}

/* Return how many bytes of new from p on are those of old from offset on. */
static size_t common_length(struct str old, size_t offset, const char *p,
			    const char *end)
{
	size_t max = MIN(old.len - offset, (size_t)(end - p)), n = 0;

	while (n < max && old.data[offset + n] == p[n])
		n++;
	return n;
}

GString *text_delta_make(struct str old, struct str new)
{
	GHashTable *parts = index_parts(old);
	GString *out = g_string_new(NULL);
	const char *end = new.data + new.len, *pending = new.data;

	for (const char *p = new.data; p < end;) {
		struct str part = {p, part_length(p, end)};
		size_t found =
			GPOINTER_TO_SIZE(g_hash_table_lookup(parts, &part));
		size_t n;

		if (!found) {
			p += part.len;
			continue;
		}
		n = common_length(old, found - 1, p, end);
		put_insert(out, pending, (size_t)(p - pending));
		put_copy(out, found - 1, n);
		p += n;
		pending = p;
	}
	put_insert(out, pending, (size_t)(end - pending));
	g_hash_table_unref(parts);
	return out;
}

/* Read a number; false when the delta ends before. */
static bool take_number(struct str *delta, size_t *n)
{
	uint32_t v;

	if (delta->len < sizeof(v))
		return false;
	memcpy(&v, delta->data, sizeof(v));
	*n = g_ntohl(v);
	delta->data += sizeof(v);
	delta->len -= sizeof(v);
	return true;
}

/* Apply the first operation of the delta; false when it is malformed. */
static bool apply_op(struct str old, struct str *delta, size_t max,
		     GString *out)
{
	char op = delta->data[0];
	size_t offset = 0, n;

	delta->data++;
	delta->len--;
	if (op == OP_COPY && !take_number(delta, &offset))
		return false;
	if (!take_number(delta, &n) || n > max - out->len)
		return false;
	if (op == OP_COPY) {
		if (offset > old.len || n > old.len - offset)
			return false;
		g_string_append_len(out, old.data + offset, (gssize)n);
		return true;
	}
	if (op != OP_INSERT || n > delta->len)
		return false;
	g_string_append_len(out, delta->data, (gssize)n);
	delta->data += n;
	delta->len -= n;
	return true;
}

GString *text_delta_apply(struct str old, struct str delta, size_t max)
{
	GString *out = g_string_new(NULL);

	while (delta.len)
		if (!apply_op(old, &delta, max, out)) {
			g_string_free(out, TRUE);
			return NULL;
		}
	return out;
}
