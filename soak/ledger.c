/* Records of the soak's requests. One mutex guards all of a ledger. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "soak/soak.h"

#define BROKEN_PRINTED_MAX 20

struct request_record {
	bool at_most_once;
	bool reported_not_run; /* to the caller */
	int runs;              /* begun at targets */
};

struct ledger {
	GMutex lock;
	GHashTable *requests; /* id -> struct request_record */
	unsigned last_number; /* of a request; part of its id */
	int served_count;
	int take_up_count, gone_on_count;
	int broken_count;
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

void ledger_add_request(struct ledger *l, bool at_most_once, char id[32])
{
	struct request_record *r = g_new0(struct request_record, 1);

	r->at_most_once = at_most_once;
	g_mutex_lock(&l->lock);
	snprintf(id, 32, "q%u", ++l->last_number);
	g_hash_table_insert(l->requests, g_strdup(id), r);
	g_mutex_unlock(&l->lock);
}

void ledger_record_broken(struct ledger *l, const char *fmt, ...)
{
	char text[256];
	va_list args;
	int n;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	g_mutex_lock(&l->lock);
	n = l->broken_count++;
	g_mutex_unlock(&l->lock);
	if (n < BROKEN_PRINTED_MAX)
		printf("# broken: %s\n", text);
}

void ledger_record_run(struct ledger *l, const char *id)
{
	struct request_record *r;

	g_mutex_lock(&l->lock);
	r = g_hash_table_lookup(l->requests, id);
	if (r)
		r->runs++;
	g_mutex_unlock(&l->lock);
	if (!r)
		ledger_record_broken(
			l, "%s: a target ran a request that no caller sent",
			id);
}

void ledger_record_not_run(struct ledger *l, const char *id)
{
	struct request_record *r;

	g_mutex_lock(&l->lock);
	r = g_hash_table_lookup(l->requests, id);
	r->reported_not_run = true;
	g_mutex_unlock(&l->lock);
}

void ledger_record_served(struct ledger *l)
{
	g_mutex_lock(&l->lock);
	l->served_count++;
	g_mutex_unlock(&l->lock);
}

void ledger_record_take_up(struct ledger *l, bool went_on)
{
	g_mutex_lock(&l->lock);
	l->take_up_count++;
	l->gone_on_count += went_on;
	g_mutex_unlock(&l->lock);
}

void ledger_count_take_ups(struct ledger *l, int *taken_up, int *gone_on)
{
	g_mutex_lock(&l->lock);
	*taken_up = l->take_up_count;
	*gone_on = l->gone_on_count;
	g_mutex_unlock(&l->lock);
}

int ledger_served_count(const struct ledger *l)
{
	return l->served_count;
}

int ledger_check(struct ledger *l)
{
	GHashTableIter it;
	gpointer id, v;

	g_hash_table_iter_init(&it, l->requests);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		const struct request_record *r = v;

		if (r->at_most_once && r->runs > 1)
			ledger_record_broken(
				l, "%s: may run once but ran %d times",
				(char *)id, r->runs);
		if (r->at_most_once && r->reported_not_run && r->runs)
			ledger_record_broken(l,
					     "%s: reported as not run but ran",
					     (char *)id);
	}
	return l->broken_count;
}
