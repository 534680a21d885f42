#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "soak/soak.h"

#define SHOWN_MAX 20

struct entry_of {
	bool once;
	bool not_run;
	int runs;
};

struct ledger {
	GMutex lock;
	GHashTable *requests; /* id -> struct entry_of */
	unsigned next;
	int served;
	int broken;
};

struct ledger *ledger_new(void)
{
	struct ledger *l = g_new0(struct ledger, 1);

	l->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

void ledger_free(struct ledger *l)
{
	g_hash_table_unref(l->requests);
	g_free(l);
}

void ledger_ask(struct ledger *l, bool once, char id[32])
{
	struct entry_of *e = g_new0(struct entry_of, 1);

	e->once = once;
	g_mutex_lock(&l->lock);
	snprintf(id, 32, "q%u", ++l->next);
	g_hash_table_insert(l->requests, g_strdup(id), e);
	g_mutex_unlock(&l->lock);
}

void ledger_broken(struct ledger *l, const char *fmt, ...)
{
	char text[256];
	va_list ap;
	int n;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	g_mutex_lock(&l->lock);
	n = l->broken++;
	g_mutex_unlock(&l->lock);
	if (n < SHOWN_MAX)
		printf("# broken: %s\n", text);
}

void ledger_run(struct ledger *l, const char *id)
{
	struct entry_of *e;

	g_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->requests, id);
	if (e)
		e->runs++;
	g_mutex_unlock(&l->lock);
	if (!e)
		ledger_broken(l, "%s: runs and nobody asked for it", id);
}

void ledger_not_run(struct ledger *l, const char *id)
{
	struct entry_of *e;

	g_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->requests, id);
	e->not_run = true;
	g_mutex_unlock(&l->lock);
}

void ledger_served(struct ledger *l)
{
	g_mutex_lock(&l->lock);
	l->served++;
	g_mutex_unlock(&l->lock);
}

int ledger_served_count(const struct ledger *l)
{
	return l->served;
}

int ledger_close(struct ledger *l)
{
	GHashTableIter it;
	gpointer id, v;

	g_hash_table_iter_init(&it, l->requests);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		const struct entry_of *e = v;

		if (e->once && e->runs > 1)
			ledger_broken(l, "%s: may run once and ran %d times",
				      (char *)id, e->runs);
		if (e->once && e->not_run && e->runs)
			ledger_broken(l, "%s: \"not run\" and ran", (char *)id);
	}
	return l->broken;
}
