/*
 * What the stand-ins and their clients must agree on: the text of a prompt, its
 * number of tokens and the words of its answer. Also a response that breaks
 * off, which several stand-ins simulate.
 */
#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

#define BYTES_PER_TOKEN 4

char *prompt_text(const json_t *messages)
{
	GString *text = g_string_new(NULL);
	size_t i;
	json_t *message;

	json_array_foreach (messages, i, message) {
		const char *role =
			json_string_value(json_object_get(message, "role"));
		const char *content =
			json_string_value(json_object_get(message, "content"));

		g_string_append_printf(text, "%s:%s\n", role ? role : "",
				       content ? content : "");
	}
	return g_string_free(text, FALSE);
}

int64_t prompt_tokens(size_t n)
{
	return (int64_t)((n + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}

void answer_word(const char *prompt, int64_t i, char *buf, size_t n)
{
	uint64_t hash = str_hash(str_c(prompt), (uint64_t)i + 1);

	snprintf(buf, n, "w%" G_GINT64_FORMAT "-%04x ", i,
		 (unsigned)(hash & 0xffff));
}

static ssize_t fail_stream(void *ctx, uint64_t off, char *buf, size_t max)
{
	(void)ctx;
	(void)off;
	(void)buf;
	(void)max;
	return U_STREAM_ERROR;
}

int abort_response(struct _u_response *r)
{
	/* Announce a body of one byte, which fail_stream never sends. */
	ulfius_set_stream_response(r, 200, fail_stream, NULL, 1, 1, NULL);
	return U_CALLBACK_COMPLETE;
}
