#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

#define BYTES_PER_TOKEN 4

char *prompt_text(const json_t *messages)
{
	GString *s = g_string_new(NULL);
	size_t i;
	json_t *m;

	json_array_foreach (messages, i, m) {
		const char *role =
			json_string_value(json_object_get(m, "role"));
		const char *text =
			json_string_value(json_object_get(m, "content"));

		g_string_append_printf(s, "%s:%s\n", role ? role : "",
				       text ? text : "");
	}
	return g_string_free(s, FALSE);
}

int64_t prompt_tokens(size_t n)
{
	return (int64_t)((n + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}

void answer_word(const char *prompt, int64_t i, char *buf, size_t n)
{
	uint64_t h = str_hash(str_c(prompt), (uint64_t)i + 1);

	snprintf(buf, n, "w%" G_GINT64_FORMAT "-%04x ", i,
		 (unsigned)(h & 0xffff));
}

static ssize_t break_off(void *ctx, uint64_t off, char *buf, size_t max)
{
	(void)ctx;
	(void)off;
	(void)buf;
	(void)max;
	return U_STREAM_ERROR;
}

int answer_lost(struct _u_response *r)
{
	/* One byte is promised and never sent. */
	ulfius_set_stream_response(r, 200, break_off, NULL, 1, 1, NULL);
	return U_CALLBACK_COMPLETE;
}
