#include <string.h>

#include "http/http.h"

/* If the line is "name: value", set the value and return true. */
static bool field(const char *line, size_t n, const char *name,
		  struct str *value)
{
	size_t k = strlen(name);

	if (n < k + 1 || memcmp(line, name, k) || line[k] != ':')
		return false;
	k++;
	if (k < n && line[k] == ' ')
		k++;
	*value = (struct str){line + k, n - k};
	return true;
}

size_t sse_next(const char *buf, size_t n, struct sse_event *out)
{
	size_t at = 0;
	bool any = false;

	memset(out, 0, sizeof(*out));
	while (at < n) {
		const char *line = buf + at;
		const char *nl = memchr(line, '\n', n - at);
		size_t len;

		if (!nl)
			return 0;
		len = (size_t)(nl - line);
		at += len + 1;
		if (len && line[len - 1] == '\r')
			len--;
		if (!len && any)
			return at;
		if (!len)
			continue;
		if (field(line, len, "id", &out->id) ||
		    field(line, len, "data", &out->data))
			any = true;
		else
			field(line, len, "", &out->comment);
	}
	return 0;
}
