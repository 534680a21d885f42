/* What engines hold of chats: lists by last use, bounded in tokens. */
#include "bench/bench-route.h"

static void list_remove(struct world *w, int32_t k)
{
	struct copy *p = &w->copies[k];
	struct engine *e = &w->engines[p->engine];

	if (p->older >= 0)
		w->copies[p->older].newer = p->newer;
	else
		e->oldest = p->newer;
	if (p->newer >= 0)
		w->copies[p->newer].older = p->older;
	else
		e->newest = p->older;
	e->memory -= p->tokens;
	p->engine = NO_ENGINE;
}

static void list_add(struct world *w, int32_t k, size_t engine, int64_t tokens)
{
	struct engine *e = &w->engines[engine];

	w->copies[k] = (struct copy){engine, tokens, e->newest, -1};
	if (e->newest >= 0)
		w->copies[e->newest].newer = k;
	else
		e->oldest = k;
	e->newest = k;
	e->memory += tokens;
	while (e->memory > w->memory && e->oldest != k)
		list_remove(w, e->oldest);
}

static int32_t find_copy(const struct world *w, const struct chat *c,
			 size_t engine)
{
	int32_t first = (int32_t)(c - w->chats) * COPIES;

	for (int32_t k = first; k < first + COPIES; k++)
		if (w->copies[k].engine == engine)
			return k;
	return -1;
}

int64_t world_cached(const struct world *w, const struct chat *c, size_t engine)
{
	int32_t k = find_copy(w, c, engine);

	return k < 0 ? 0 : MIN(w->copies[k].tokens, c->history);
}

void memory_forget(struct world *w, struct chat *c)
{
	int32_t first = (int32_t)(c - w->chats) * COPIES;

	for (int32_t k = first; k < first + COPIES; k++)
		if (w->copies[k].engine != NO_ENGINE)
			list_remove(w, k);
}

/* The engine holds the whole chat now; the shortest copy makes way. */
void memory_store(struct world *w, struct chat *c, size_t engine,
		  int64_t tokens)
{
	int32_t first = (int32_t)(c - w->chats) * COPIES;
	int32_t k = find_copy(w, c, engine);

	for (int32_t i = first; k < 0 && i < first + COPIES; i++)
		if (w->copies[i].engine == NO_ENGINE)
			k = i;
	if (k < 0)
		k = first;
	for (int32_t i = first; i < first + COPIES; i++)
		if (w->copies[k].engine != NO_ENGINE &&
		    w->copies[k].engine != engine &&
		    w->copies[i].tokens < w->copies[k].tokens)
			k = i;
	if (w->copies[k].engine != NO_ENGINE)
		list_remove(w, k);
	list_add(w, k, engine, tokens);
}

void memory_clear(struct world *w, size_t engine)
{
	while (w->engines[engine].oldest >= 0)
		list_remove(w, w->engines[engine].oldest);
}
