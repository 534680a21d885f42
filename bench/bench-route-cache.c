/* Prefix caches of the simulated engines: LRU lists bounded in tokens. */
#include "bench/bench-route.h"

static void lru_remove(struct route_sim *sim, int32_t k)
{
	struct cached_prefix *entry = &sim->cache_entries[k];
	struct engine *e = &sim->engines[entry->engine];

	if (entry->older >= 0)
		sim->cache_entries[entry->older].newer = entry->newer;
	else
		e->oldest = entry->newer;
	if (entry->newer >= 0)
		sim->cache_entries[entry->newer].older = entry->older;
	else
		e->newest = entry->older;
	e->cached_tokens -= entry->tokens;
	entry->engine = ENGINE_NONE;
}

static void lru_append(struct route_sim *sim, int32_t k, size_t engine,
		       int64_t tokens)
{
	struct engine *e = &sim->engines[engine];

	sim->cache_entries[k] =
		(struct cached_prefix){engine, tokens, e->newest, -1};
	if (e->newest >= 0)
		sim->cache_entries[e->newest].newer = k;
	else
		e->oldest = k;
	e->newest = k;
	e->cached_tokens += tokens;
	while (e->cached_tokens > sim->cache_capacity && e->oldest != k)
		lru_remove(sim, e->oldest);
}

static int32_t find_entry(const struct route_sim *sim, const struct chat *c,
			  size_t engine)
{
	int32_t first = (int32_t)(c - sim->chats) * CACHE_ENTRIES_PER_CHAT;

	for (int32_t k = first; k < first + CACHE_ENTRIES_PER_CHAT; k++)
		if (sim->cache_entries[k].engine == engine)
			return k;
	return -1;
}

int64_t route_sim_cached_tokens(const struct route_sim *sim,
				const struct chat *c, size_t engine)
{
	int32_t k = find_entry(sim, c, engine);

	return k < 0 ? 0 : MIN(sim->cache_entries[k].tokens, c->history);
}

void engine_cache_remove_chat(struct route_sim *sim, struct chat *c)
{
	int32_t first = (int32_t)(c - sim->chats) * CACHE_ENTRIES_PER_CHAT;

	for (int32_t k = first; k < first + CACHE_ENTRIES_PER_CHAT; k++)
		if (sim->cache_entries[k].engine != ENGINE_NONE)
			lru_remove(sim, k);
}

/*
 * A chat has a fixed number of entries; when all are in use by other engines,
 * reuse the one with the fewest tokens.
 */
void engine_cache_store(struct route_sim *sim, struct chat *c, size_t engine,
			int64_t tokens)
{
	int32_t first = (int32_t)(c - sim->chats) * CACHE_ENTRIES_PER_CHAT;
	int32_t k = find_entry(sim, c, engine);

	for (int32_t i = first; k < 0 && i < first + CACHE_ENTRIES_PER_CHAT;
	     i++)
		if (sim->cache_entries[i].engine == ENGINE_NONE)
			k = i;
	if (k < 0)
		k = first;
	for (int32_t i = first; i < first + CACHE_ENTRIES_PER_CHAT; i++)
		if (sim->cache_entries[k].engine != ENGINE_NONE &&
		    sim->cache_entries[k].engine != engine &&
		    sim->cache_entries[i].tokens < sim->cache_entries[k].tokens)
			k = i;
	if (sim->cache_entries[k].engine != ENGINE_NONE)
		lru_remove(sim, k);
	lru_append(sim, k, engine, tokens);
}

void engine_cache_clear(struct route_sim *sim, size_t engine)
{
	while (sim->engines[engine].oldest >= 0)
		lru_remove(sim, sim->engines[engine].oldest);
}
