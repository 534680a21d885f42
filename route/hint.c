/* Text form of the cache hint: two hexadecimal numbers, target and time. */
#include <inttypes.h>
#include <stdio.h>

#include "route/route.h"

#define DIGITS     16 /* of each number */
#define HINT_CHARS (2 * DIGITS + 1)

void hint_encode(const struct hint *h, char out[HINT_SIZE])
{
	snprintf(out, HINT_SIZE, "%016" PRIx64 "-%016" PRIx64, h->target,
		 (uint64_t)h->at_ms);
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static bool parse_hex(const char *s, uint64_t *out)
{
	*out = 0;
	for (int i = 0; i < DIGITS; i++) {
		int d = hex_digit(s[i]);

		if (d < 0)
			return false;
		*out = *out << 4 | (uint64_t)d;
	}
	return true;
}

bool hint_decode(const char *s, size_t len, struct hint *out)
{
	uint64_t at;

	if (len != HINT_CHARS || s[DIGITS] != '-')
		return false;
	if (!parse_hex(s, &out->target) || !parse_hex(s + DIGITS + 1, &at) ||
	    at > INT64_MAX)
		return false;
	out->at_ms = (int64_t)at;
	return true;
}
