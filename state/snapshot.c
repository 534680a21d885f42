/*
 * Encoding of snapshots: a header line "auburnramp-config FORMAT LENGTH HASH",
 * then a JSON object of LENGTH bytes. Bytes that don't match their header
 * exactly are rejected, which detects a truncated write.
 */
#include <string.h>

#include "state/learn.h"

#define MAGIC            "auburnramp-config 1 "
#define HASH_SEED        0x61756275726eULL /* "auburn" */
#define HEADER_MAX_BYTES 80

char *snapshot_encode(const struct snapshot *s, size_t *len)
{
	json_t *j = json_pack("{s:I,s:O,s:O}", "revision", s->revision, "rows",
			      s->rows, "before", s->last_valid);
	char *body = json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS);
	char *out = g_strdup_printf(MAGIC "%zu %016" G_GINT64_MODIFIER "x\n%s",
				    strlen(body),
				    str_hash(str_c(body), HASH_SEED), body);

	*len = strlen(out);
	free(body);
	json_decref(j);
	return out;
}

/* Return the JSON after the header, or "" if they don't match. */
static struct str find_body(struct str bytes)
{
	const char *end = memchr(bytes.data, '\n', bytes.len);
	char header[HEADER_MAX_BYTES];
	char expected[HEADER_MAX_BYTES];
	struct str body;

	if (!end || end - bytes.data >= HEADER_MAX_BYTES)
		return str_c(NULL);
	body.data = end + 1;
	body.len = bytes.len - (size_t)(body.data - bytes.data);
	g_strlcpy(header, bytes.data, (gsize)(end - bytes.data) + 1);
	g_snprintf(expected, sizeof(expected),
		   MAGIC "%zu %016" G_GINT64_MODIFIER "x", body.len,
		   str_hash(body, HASH_SEED));
	return strcmp(header, expected) ? str_c(NULL) : body;
}

bool snapshot_decode(struct str bytes, struct snapshot *out)
{
	struct str body = bytes.len ? find_body(bytes) : bytes;
	json_t *j = body.len ? json_loadb(body.data, body.len, 0, NULL) : NULL;
	bool ok;

	*out = (struct snapshot){0};
	ok = j && !json_unpack(j, "{s:I,s:O,s:O}", "revision", &out->revision,
			       "rows", &out->rows, "before", &out->last_valid);
	ok = ok && json_is_object(out->rows) && json_is_object(out->last_valid);
	json_decref(j);
	if (!ok)
		snapshot_clear(out);
	return ok;
}

void snapshot_clear(struct snapshot *s)
{
	json_decref(s->rows);
	json_decref(s->last_valid);
	*s = (struct snapshot){0};
}
