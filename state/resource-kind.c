/* Kinds of resources: their names, and the keys of resource rows. */
#include <string.h>

#include "state/state.h"

static const struct {
	const char *name, *plural;
} kinds[KIND_COUNT] = {
	[KIND_ORGANISATION] = {"organisation", "organisations"},
	[KIND_SERVICE] = {"service", "services"},
	[KIND_INTENT] = {"intent", "intents"},
};

const char *kind_name(enum resource_kind k)
{
	return kinds[k].name;
}

const char *kind_plural(enum resource_kind k)
{
	return kinds[k].plural;
}

enum resource_kind kind_from_name(const char *name)
{
	for (int k = 0; k < KIND_COUNT; k++) {
		if (!strcmp(name, kinds[k].name) ||
		    !strcmp(name, kinds[k].plural))
			return (enum resource_kind)k;
	}
	return KIND_COUNT;
}

char *resource_key(enum resource_kind k, const char *name)
{
	return g_strdup_printf("res/%s/%s", kinds[k].name, name);
}

bool resource_from_key(const char *key, enum resource_kind *k,
		       const char **name)
{
	if (!g_str_has_prefix(key, "res/"))
		return false;
	key += strlen("res/");
	for (int i = 0; i < KIND_COUNT; i++) {
		size_t n = strlen(kinds[i].name);

		if (strncmp(key, kinds[i].name, n) || key[n] != '/' ||
		    !key[n + 1])
			continue;
		*k = (enum resource_kind)i;
		*name = key + n + 1;
		return true;
	}
	return false;
}
