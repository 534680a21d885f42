/* Length-counted strings. */
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/base.h"

struct str str_c(const char *s)
{
	if (!s)
		return STR_LIT("");
	return (struct str){s, strlen(s)};
}

bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

struct str str_dup(void *arena, struct str s)
{
	char *p = talloc_size(arena, s.len + 1);

	if (s.len)
		memcpy(p, s.data, s.len);
	p[s.len] = '\0';
	return (struct str){p, s.len};
}

uint64_t str_hash(struct str s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.data, s.len, seed);
}

unsigned str_key_hash(const void *key)
{
	return (unsigned)str_hash(*(const struct str *)key, 0);
}

int str_key_equal(const void *a, const void *b)
{
	return str_eq(*(const struct str *)a, *(const struct str *)b);
}
