/* Which target should hold what; pure. */
#include <string.h>

#include "state/order.h"

bool order_load_equal(const struct order_load *a, const struct order_load *b)
{
	return !strcmp(a->model, b->model) && !strcmp(a->adapter, b->adapter) &&
	       !strcmp(a->version, b->version);
}

static const char *text(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s ? s : "";
}

struct order_load order_held(const json_t *orders)
{
	struct order_load l = {"", "", ""};
	size_t i;
	json_t *o;

	json_array_foreach (orders, i, o) {
		if (strcmp(text(o, "order"), "load_model"))
			continue;
		l = (struct order_load){text(o, "model"), text(o, "adapter"),
					text(o, "version")};
	}
	return l;
}

static size_t copies(const struct order_target *t, size_t n, const char *model,
		     size_t except)
{
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		count += i != except && t[i].alive &&
			 !strcmp(t[i].held.model, model);
	return count;
}

static bool is_wanted(const char *model, const struct order_load *wants,
		      size_t wanted)
{
	for (size_t w = 0; w < wanted; w++) {
		if (!strcmp(wants[w].model, model))
			return true;
	}
	return false;
}

/* Whether target i holds the only copy of a model that is wanted. */
static bool is_last(const struct order_target *t, size_t n, size_t i,
		    const struct order_load *wants, size_t wanted)
{
	return is_wanted(t[i].held.model, wants, wanted) &&
	       !copies(t, n, t[i].held.model, i);
}

static bool others_are_last(const struct order_target *t, size_t n, size_t i,
			    const struct order_load *wants, size_t wanted)
{
	for (size_t k = 0; k < n; k++) {
		if (k != i && t[k].alive && !is_last(t, n, k, wants, wanted))
			return false;
	}
	return true;
}

static bool may_replace(const struct order_target *t, size_t n, size_t i,
			const struct order_load *load,
			const struct order_load *wants, size_t wanted)
{
	if (!is_last(t, n, i, wants, wanted))
		return true;
	return !strcmp(t[i].held.model, load->model) &&
	       others_are_last(t, n, i, wants, wanted);
}

static size_t held_exactly(const struct order_target *t, size_t n,
			   const struct order_load *load)
{
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		count += t[i].alive && order_load_equal(&t[i].held, load);
	return count;
}

/* The want that is short of copies; false when all have their share. */
static bool shortest(const struct order_target *t, size_t n, size_t alive,
		     const struct order_load *wants, size_t wanted,
		     size_t *want)
{
	size_t best = SIZE_MAX;

	for (size_t w = 0; w < wanted; w++) {
		size_t have = held_exactly(t, n, &wants[w]);
		size_t share = alive / wanted + (w < alive % wanted);

		if (have >= share || have >= best)
			continue;
		best = have;
		*want = w;
	}
	return best != SIZE_MAX;
}

/* Whether a target may give up what it holds for another want. */
static bool is_spare(const struct order_target *t, size_t n, size_t alive,
		     size_t i, const struct order_load *wants, size_t wanted)
{
	for (size_t w = 0; w < wanted; w++) {
		size_t share = alive / wanted + (w < alive % wanted);

		if (order_load_equal(&t[i].held, &wants[w]))
			return held_exactly(t, n, &wants[w]) > share;
	}
	return true;
}

bool order_next(const struct order_target *t, size_t n,
		const struct order_load *wants, size_t wanted,
		struct order *out)
{
	size_t alive = 0;
	size_t w;

	for (size_t i = 0; i < n; i++)
		alive += t[i].alive;
	if (!wanted || !shortest(t, n, alive, wants, wanted, &w))
		return false;
	for (size_t i = 0; i < n; i++) {
		if (!t[i].alive || !is_spare(t, n, alive, i, wants, wanted) ||
		    !may_replace(t, n, i, &wants[w], wants, wanted))
			continue;
		*out = (struct order){i, wants[w]};
		return true;
	}
	return false;
}
