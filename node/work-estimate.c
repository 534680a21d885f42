/* Estimates the work of a chat completion from the size of its messages. */
#include <string.h>

#include "node/node.h"

#define BYTES_PER_TOKEN       4
#define OUTPUT_TOKENS_DEFAULT 256 /* without a limit from the caller */

static int64_t content_bytes(const json_t *m)
{
	const json_t *c = json_object_get(m, "content");
	int64_t sum = 0;
	size_t i;
	json_t *part;

	if (json_is_string(c))
		return (int64_t)json_string_length(c);
	json_array_foreach (c, i, part)
		sum += (int64_t)json_string_length(
			json_object_get(part, "text"));
	return sum;
}

static int64_t output_limit(const json_t *body)
{
	static const char *const names[] = {"max_completion_tokens",
					    "max_tokens"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const json_t *v = json_object_get(body, names[i]);

		if (json_is_integer(v) && json_integer_value(v) > 0)
			return json_integer_value(v);
	}
	return OUTPUT_TOKENS_DEFAULT;
}

/*
 * Hash the messages up to the first one of the user. They identify the chat if
 * the caller doesn't, because each turn repeats them.
 */
static uint64_t hash_first_messages(const json_t *messages, uint64_t seed)
{
	size_t i;
	json_t *m;

	json_array_foreach (messages, i, m) {
		const char *role =
			json_string_value(json_object_get(m, "role"));
		char *text = json_dumps(json_object_get(m, "content"),
					JSON_COMPACT | JSON_ENCODE_ANY);

		seed = str_hash(str_c(text), seed);
		free(text);
		if (role && !strcmp(role, "user"))
			break;
	}
	return seed;
}

struct work_estimate estimate_work(const json_t *body, const char *organisation,
				   const char *chat)
{
	const json_t *messages = json_object_get(body, "messages");
	uint64_t seed = str_hash(str_c(organisation), 0);
	int64_t bytes = 0, last_bytes = 0;
	size_t i;
	json_t *m;

	json_array_foreach (messages, i, m) {
		last_bytes = content_bytes(m);
		bytes += last_bytes;
	}
	return (struct work_estimate){
		.prompt_tokens = bytes / BYTES_PER_TOKEN + 1,
		.history_tokens = (bytes - last_bytes) / BYTES_PER_TOKEN,
		.output_tokens = output_limit(body),
		.chat_hash = chat ? str_hash(str_c(chat), seed)
				  : hash_first_messages(messages, seed),
	};
}
