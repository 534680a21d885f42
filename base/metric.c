/* Counters, gauges and histograms, and their Prometheus text. */
#include <stdatomic.h>
#include <string.h>

#include "base/base.h"

/* By metric; of a histogram the sum of its observations in ms. */
static _Atomic int64_t values[M_COUNT];

void metric_add(enum metric_id id, int64_t n)
{
	atomic_fetch_add_explicit(&values[id], n, memory_order_relaxed);
}

void metric_set(enum metric_id id, int64_t n)
{
	atomic_store_explicit(&values[id], n, memory_order_relaxed);
}

int64_t metric_get(enum metric_id id)
{
	return atomic_load_explicit(&values[id], memory_order_relaxed);
}

/* Upper bounds of a histogram's buckets in ms; the last bucket has the rest. */
static const int64_t bounds_ms[] = {2,   5,   10,   20,   50,   100,
				    200, 500, 1000, 2000, 5000, 10000};
#define BUCKETS (G_N_ELEMENTS(bounds_ms) + 1)

static _Atomic int64_t buckets[M_COUNT][BUCKETS];

void metric_observe(enum metric_id id, int64_t ms)
{
	size_t i = 0;

	while (i < BUCKETS - 1 && ms > bounds_ms[i])
		i++;
	atomic_fetch_add_explicit(&buckets[id][i], 1, memory_order_relaxed);
	metric_add(id, ms); /* the sum of observations */
}

static void append_histogram(GString *s, int id)
{
	const char *name = metric_infos[id].name;
	int64_t n = 0;

	for (size_t i = 0; i < BUCKETS; i++) {
		n += atomic_load_explicit(&buckets[id][i],
					  memory_order_relaxed);
		if (i < BUCKETS - 1)
			g_string_append_printf(
				s, "%s_bucket{le=\"%" G_GINT64_FORMAT "\"} ",
				name, bounds_ms[i]);
		else
			g_string_append_printf(s, "%s_bucket{le=\"+Inf\"} ",
					       name);
		g_string_append_printf(s, "%" G_GINT64_FORMAT "\n", n);
	}
	g_string_append_printf(s,
			       "%s_sum %" G_GINT64_FORMAT
			       "\n%s_count %" G_GINT64_FORMAT "\n",
			       name, metric_get((enum metric_id)id), name, n);
}

char *metrics_text(void)
{
	GString *s = g_string_new(NULL);

	for (int i = 0; i < M_COUNT; i++) {
		const struct metric_info *m = &metric_infos[i];

		g_string_append_printf(s, "# HELP %s %s\n# TYPE %s %s\n",
				       m->name, m->help, m->name, m->type);
		if (!strcmp(m->type, "histogram")) {
			append_histogram(s, i);
			continue;
		}
		g_string_append_printf(s, "%s %" G_GINT64_FORMAT "\n", m->name,
				       metric_get((enum metric_id)i));
	}
	return g_string_free(s, FALSE);
}
