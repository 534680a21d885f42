/*
 * Choice of the next order of a pool, from what its targets have loaded and
 * what its services need. Free of side effects.
 */
#include <string.h>

#include "state/order.h"

bool order_load_equal(const struct order_load *a, const struct order_load *b)
{
	return !strcmp(a->model, b->model) && !strcmp(a->adapter, b->adapter) &&
	       !strcmp(a->version, b->version);
}

static const char *string_or_empty(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s ? s : "";
}

/* The last order to load a model is the one in effect. */
struct order_load order_load_from_list(const json_t *orders)
{
	struct order_load l = {"", "", ""};
	size_t i;
	json_t *o;

	json_array_foreach (orders, i, o) {
		if (strcmp(string_or_empty(o, "order"), "load_model"))
			continue;
		l = (struct order_load){string_or_empty(o, "model"),
					string_or_empty(o, "adapter"),
					string_or_empty(o, "version")};
	}
	return l;
}

/* Count the alive targets that hold a model, in any version, but one. */
static size_t count_copies(const struct order_target *t, size_t n,
			   const char *model, size_t except)
{
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		count += i != except && t[i].alive &&
			 !strcmp(t[i].held.model, model);
	return count;
}

static bool is_desired(const char *model, const struct order_load *desired,
		       size_t desired_count)
{
	for (size_t d = 0; d < desired_count; d++) {
		if (!strcmp(desired[d].model, model))
			return true;
	}
	return false;
}

/* Return whether target i holds the only copy of a desired model. */
static bool is_last_copy(const struct order_target *t, size_t n, size_t i,
			 const struct order_load *desired, size_t desired_count)
{
	return is_desired(t[i].held.model, desired, desired_count) &&
	       !count_copies(t, n, t[i].held.model, i);
}

static bool others_are_last_copies(const struct order_target *t, size_t n,
				   size_t i, const struct order_load *desired,
				   size_t desired_count)
{
	for (size_t j = 0; j < n; j++) {
		if (j != i && t[j].alive &&
		    !is_last_copy(t, n, j, desired, desired_count))
			return false;
	}
	return true;
}

/*
 * Return whether target i may replace what it holds by load. The last copy of
 * a model may only be upgraded in place, and only if each other target holds a
 * last copy too and so can't take the new version first.
 */
static bool may_replace(const struct order_target *t, size_t n, size_t i,
			const struct order_load *load,
			const struct order_load *desired, size_t desired_count)
{
	if (!is_last_copy(t, n, i, desired, desired_count))
		return true;
	return !strcmp(t[i].held.model, load->model) &&
	       others_are_last_copies(t, n, i, desired, desired_count);
}

static size_t count_exact_copies(const struct order_target *t, size_t n,
				 const struct order_load *load)
{
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		count += t[i].alive && order_load_equal(&t[i].held, load);
	return count;
}

/*
 * Find the desired load with the fewest copies of those below their quota,
 * which is an even share of the alive targets. Return false if none is below.
 */
static bool find_underserved(const struct order_target *t, size_t n,
			     size_t alive, const struct order_load *desired,
			     size_t desired_count, size_t *index)
{
	size_t fewest = SIZE_MAX;

	for (size_t d = 0; d < desired_count; d++) {
		size_t copies = count_exact_copies(t, n, &desired[d]);
		size_t quota =
			alive / desired_count + (d < alive % desired_count);

		if (copies >= quota || copies >= fewest)
			continue;
		fewest = copies;
		*index = d;
	}
	return fewest != SIZE_MAX;
}

/* Return whether target i holds no desired load, or one above its quota. */
static bool is_surplus(const struct order_target *t, size_t n, size_t alive,
		       size_t i, const struct order_load *desired,
		       size_t desired_count)
{
	for (size_t d = 0; d < desired_count; d++) {
		size_t quota =
			alive / desired_count + (d < alive % desired_count);

		if (order_load_equal(&t[i].held, &desired[d]))
			return count_exact_copies(t, n, &desired[d]) > quota;
	}
	return true;
}

bool order_next(const struct order_target *t, size_t n,
		const struct order_load *desired, size_t desired_count,
		struct order *out)
{
	size_t alive = 0;
	size_t d;

	for (size_t i = 0; i < n; i++)
		alive += t[i].alive;
	if (!desired_count ||
	    !find_underserved(t, n, alive, desired, desired_count, &d))
		return false;
	for (size_t i = 0; i < n; i++) {
		if (!t[i].alive ||
		    !is_surplus(t, n, alive, i, desired, desired_count) ||
		    !may_replace(t, n, i, &desired[d], desired, desired_count))
			continue;
		*out = (struct order){i, desired[d]};
		return true;
	}
	return false;
}
