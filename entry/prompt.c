/* Reads the parts of a prompt from a request's header. */
#include <string.h>
#include <talloc.h>

#include "entry/internal.h"

/* Parts of a prompt that a log line names; the last ones are left out. */
#define LOGGED_PARTS_MAX 8

/*
 * Insert a part, which is longer than those so far, at the front. The shortest
 * is dropped when there is no room.
 */
static void prepend_part(struct prompt *p, struct str part)
{
	memmove(&p->parts[1], &p->parts[0],
		(PROMPT_PARTS_MAX - 1) * sizeof(p->parts[0]));
	p->parts[0] = str_hash(part, 0);
	p->part_count = MIN(p->part_count + 1, PROMPT_PARTS_MAX);
}

struct prompt prompt_parse(struct str text, struct prompt_parts *parts)
{
	const char *p = text.data, *end = text.data + text.len;
	struct prompt out = {0};
	struct str last = {NULL, 0};
	int64_t tokens = 0;

	while (p && p < end) {
		const char *comma = memchr(p, ',', (size_t)(end - p));
		const char *stop = comma ? comma : end;
		const char *colon = memchr(p, ':', (size_t)(stop - p));
		int64_t n = 0;

		if (last.len) {
			prepend_part(&out, last);
			if (parts->n < PROMPT_SHARED_MAX)
				parts->shared[parts->n++] = out.parts[0];
		}
		out.shared_tokens = tokens;
		if (colon)
			n = str_parse_number((struct str){
				colon + 1, (size_t)(stop - colon - 1)});
		last = (struct str){p, (size_t)((colon ? colon : stop) - p)};
		tokens += MAX(n, 0);
		p = stop + 1;
	}
	if (last.len)
		parts->own = str_hash(last, 0);
	if (!out.part_count && last.len)
		prepend_part(&out, last);
	return out;
}

const char *prompt_parts_text(void *arena, const struct prompt_parts *parts)
{
	char *s = talloc_strdup(arena, "");

	for (size_t i = 0; parts && i < MIN(parts->n, LOGGED_PARTS_MAX); i++)
		s = talloc_asprintf_append(s, "%s%x", i ? "," : "",
					   (unsigned)parts->shared[i]);
	return s;
}
