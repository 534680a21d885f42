/* Parser of the server-sent events format (text/event-stream). */
#include <string.h>

#include "http/http.h"

/*
 * If the line is "name: value", set the value and return true. The space after
 * the colon is optional.
 */
static bool parse_field(const char *line, size_t len, const char *name,
			struct str *value)
{
	size_t pos = strlen(name);

	if (len < pos + 1 || memcmp(line, name, pos) || line[pos] != ':')
		return false;
	pos++;
	if (pos < len && line[pos] == ' ')
		pos++;
	*value = (struct str){line + pos, len - pos};
	return true;
}

size_t sse_next(const char *buf, size_t n, struct sse_event *out)
{
	size_t pos = 0;
	bool has_field = false;

	memset(out, 0, sizeof(*out));
	while (pos < n) {
		const char *line = buf + pos;
		const char *newline = memchr(line, '\n', n - pos);
		size_t line_len;

		if (!newline)
			return 0;
		line_len = (size_t)(newline - line);
		pos += line_len + 1;
		if (line_len && line[line_len - 1] == '\r')
			line_len--;
		if (!line_len && has_field)
			return pos;
		if (!line_len)
			continue;
		if (parse_field(line, line_len, "id", &out->id) ||
		    parse_field(line, line_len, "data", &out->data))
			has_field = true;
		else
			parse_field(line, line_len, "", &out->comment);
	}
	return 0;
}
