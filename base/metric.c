#include <stdatomic.h>

#include "base/base.h"

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

char *metrics_text(void)
{
	GString *s = g_string_new(NULL);

	for (int i = 0; i < M_COUNT; i++) {
		const struct metric_info *m = &metric_infos[i];

		g_string_append_printf(s, "# HELP %s %s\n# TYPE %s %s\n",
				       m->name, m->help, m->name, m->type);
		g_string_append_printf(s, "%s %" G_GINT64_FORMAT "\n", m->name,
				       metric_get((enum metric_id)i));
	}
	return g_string_free(s, FALSE);
}
