/*
 * At which version of a service's software streams began.
 *
 * A node records each stream that it begins and may have to resume. While one
 * version of a service serves, and none other has lately, that version is the
 * answer for every stream and no record is sent. As soon as several do, nodes
 * send their records to others, those of earlier streams included. A node
 * without a record asks the nodes that should hold it; when none does, the
 * stream goes on only if these nodes know of a single version as well: a node
 * whose list of targets is out of date can't tell by itself. Streams begin at
 * a version only once all nodes know of it; see version-gate.h.
 */
#include <jansson.h>
#include <string.h>

#include "entry/origins.h"

/* Limit of the records; the oldest are dropped. Some 100 bytes each. */
#define RECORDS_MAX 65536
/* A question without an answer is sent again after this time. */
#define RESEND_MS 100
/*
 * The result of a look-up is kept this long, for the requests that wait for it.
 * It is out of date once another version serves.
 */
#define LOOKUP_KEPT_MS 100
/* Nodes that a question goes to, at most. */
#define ASKED_MAX 32

struct record {
	uint64_t request;
	uint64_t version;
	int64_t expires_ms;
};

/* A version of a service's software. */
struct version {
	uint64_t id;
	bool listed;
	int64_t expires_ms; /* when not listed: forgotten from then on */
};

struct service {
	uint64_t id;
	GArray *versions; /* struct version: listed, or not yet forgotten */
	GQueue unsent;    /* struct stream_origin of this node */
};

struct lookup {
	struct origin_question question;
	int64_t ends_ms; /* no reply counts from then on */
	int64_t send_at_ms;
	int64_t forget_ms;
	uint64_t asked[ASKED_MAX]; /* ids of nodes */
	bool replied[ASKED_MAX];
	size_t asked_count, reply_count;
	uint64_t version; /* found, or concluded; 0: none */
	uint64_t sole;    /* that the replies name; 0: none */
	bool several;     /* a reply, or two of them, know of several */
	unsigned rounds;  /* of questions sent */
	bool settled;
};

struct origins {
	GMutex lock;
	GHashTable *records; /* request -> struct record */
	GQueue by_age;       /* struct record, oldest first */
	GHashTable *services;
	GHashTable *lookups; /* struct origin_question -> struct lookup */
	uint64_t changes;
	/* Versions that served before are all known from then on; 0: no list */
	int64_t history_complete_ms;
	bool lacks_history;        /* see origins_lacks_history */
	bool has_settled;          /* a look-up, since origins_take_settled */
	int64_t list_confirmed_ms; /* the targets were the newest then */
	bool outage;               /* see origins_set_list_time */
	struct version_gate *gate;
};

uint64_t software_version_id(struct str service, struct str version)
{
	uint64_t id = str_hash(version, str_hash(service, 0));

	return id ? id : 1;
}

static void service_free(void *p)
{
	struct service *s = p;

	g_array_unref(s->versions);
	g_queue_clear_full(&s->unsent, g_free);
	g_free(s);
}

static guint question_hash(gconstpointer p)
{
	const struct origin_question *q = p;

	return (guint)(q->request ^ q->service);
}

static gboolean question_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct origin_question));
}

struct origins *origins_new(void)
{
	struct origins *o = g_new0(struct origins, 1);

	o->records = g_hash_table_new(g_int64_hash, g_int64_equal);
	o->services = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    service_free);
	o->lookups = g_hash_table_new_full(question_hash, question_equal, NULL,
					   g_free);
	o->gate = version_gate_new();
	return o;
}

void origins_free(struct origins *o)
{
	g_hash_table_unref(o->records);
	g_queue_clear_full(&o->by_age, g_free);
	g_hash_table_unref(o->services);
	g_hash_table_unref(o->lookups);
	version_gate_free(o->gate);
	g_free(o);
}

/* Versions. The functions below are called with the lock held. */

static struct service *service_of(struct origins *o, uint64_t id)
{
	struct service *s = g_hash_table_lookup(o->services, &id);

	if (s)
		return s;
	s = g_new0(struct service, 1);
	s->id = id;
	s->versions = g_array_new(FALSE, FALSE, sizeof(struct version));
	g_hash_table_insert(o->services, &s->id, s);
	return s;
}

static struct version *find_version(struct service *s, uint64_t id)
{
	for (guint i = 0; i < s->versions->len; i++) {
		struct version *v =
			&g_array_index(s->versions, struct version, i);

		if (v->id == id)
			return v;
	}
	return NULL;
}

/* Return the number of versions that served lately, and one of them. */
static guint recent_versions(const struct service *s, int64_t now_ms,
			     uint64_t *one)
{
	guint n = 0;

	for (guint i = 0; i < s->versions->len; i++) {
		const struct version *v =
			&g_array_index(s->versions, struct version, i);

		if (!v->listed && now_ms >= v->expires_ms)
			continue;
		*one = v->id;
		n++;
	}
	return n;
}

static bool is_history_known(const struct origins *o, int64_t now_ms)
{
	return o->history_complete_ms && now_ms >= o->history_complete_ms;
}

/* Return the only version that has served lately; 0: not known. */
static uint64_t sole_version(const struct origins *o, const struct service *s,
			     int64_t now_ms)
{
	uint64_t one = 0;

	return recent_versions(s, now_ms, &one) == 1 &&
			       is_history_known(o, now_ms)
		       ? one
		       : 0;
}

static bool has_several(const struct service *s, int64_t now_ms)
{
	uint64_t one;

	return recent_versions(s, now_ms, &one) > 1;
}

/* Drop the versions that have expired; return whether there were any. */
static bool drop_expired(struct origins *o, struct service *s, int64_t now_ms)
{
	bool dropped = false;

	for (guint i = s->versions->len; i-- > 0;) {
		const struct version *v =
			&g_array_index(s->versions, struct version, i);

		if (v->listed || now_ms < v->expires_ms)
			continue;
		version_gate_drop(o->gate, v->id);
		g_array_remove_index_fast(s->versions, i);
		dropped = true;
	}
	return dropped;
}

/* Take out the marks of the last list. */
static void unlist_all(struct origins *o, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, o->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct service *s = p;

		for (guint i = 0; i < s->versions->len; i++) {
			struct version *v =
				&g_array_index(s->versions, struct version, i);

			if (v->listed)
				v->expires_ms = now_ms + ORIGIN_TTL_MS;
			v->listed = false;
		}
	}
}

/*
 * Tell the gate which versions the list has. One that has served alone is known
 * to all nodes.
 */
static void update_gate(struct origins *o, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, o->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct service *s = p;
		uint64_t sole = sole_version(o, s, now_ms);

		for (guint i = 0; i < s->versions->len; i++) {
			const struct version *v =
				&g_array_index(s->versions, struct version, i);

			version_gate_set_listed(o->gate, v->id, v->listed,
						now_ms);
		}
		if (sole)
			o->changes += version_gate_open(o->gate, sole);
	}
}

/* What was concluded of a service may be wrong now. */
static void forget_conclusions(struct origins *o, uint64_t service,
			       int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, o->lookups);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct lookup *l = p;

		if (l->settled && l->question.service == service)
			l->forget_ms = now_ms;
	}
}

static void append_version(struct origins *o, struct service *s,
			   const struct version *added, int64_t now_ms)
{
	g_array_append_val(s->versions, *added);
	version_gate_add(o->gate, s->id, added->id, now_ms);
}

/* Add a version that is not saved yet. */
static void add_version(struct origins *o, struct service *s,
			const struct version *added, int64_t now_ms)
{
	append_version(o, s, added, now_ms);
	o->changes++;
	forget_conclusions(o, s->id, now_ms);
}

bool origins_set_targets(struct origins *o, const struct target_list *l,
			 int64_t now_ms)
{
	bool news;

	g_mutex_lock(&o->lock);
	if (!o->history_complete_ms)
		o->history_complete_ms = now_ms + ORIGIN_TTL_MS;
	unlist_all(o, now_ms);
	for (size_t i = 0; i < l->n; i++) {
		const struct target_info *t = &l->v[i];
		struct version added = {
			.id = software_version_id(t->service, t->version),
			.listed = true};
		struct service *s = service_of(o, str_hash(t->service, 0));
		struct version *v = find_version(s, added.id);

		if (v) {
			v->listed = true;
			continue;
		}
		add_version(o, s, &added, now_ms);
		log_event(EV_VERSION_SERVES,
			  "service=" STR_FMT " version=" STR_FMT " versions=%u",
			  STR_ARG(t->service), STR_ARG(t->version),
			  s->versions->len);
	}
	update_gate(o, now_ms);
	news = version_gate_has_due(o->gate, now_ms);
	g_mutex_unlock(&o->lock);
	return news;
}

json_t *origins_versions(struct origins *o, int64_t now_ms)
{
	json_t *rows = json_array();
	GHashTableIter it;
	gpointer p;

	g_mutex_lock(&o->lock);
	g_hash_table_iter_init(&it, o->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct service *s = p;

		for (guint i = 0; i < s->versions->len; i++) {
			const struct version *v =
				&g_array_index(s->versions, struct version, i);

			if (v->listed || now_ms < v->expires_ms)
				json_array_append_new(
					rows,
					json_pack("[I,I,b]", (json_int_t)s->id,
						  (json_int_t)v->id,
						  version_gate_is_open(o->gate,
								       v->id)));
		}
	}
	g_mutex_unlock(&o->lock);
	return rows;
}

uint64_t origins_versions_changes(struct origins *o)
{
	uint64_t n;

	g_mutex_lock(&o->lock);
	n = o->changes;
	g_mutex_unlock(&o->lock);
	return n;
}

void origins_load_versions(struct origins *o, const json_t *rows,
			   int64_t now_ms)
{
	const json_t *row;
	size_t i;

	g_mutex_lock(&o->lock);
	json_array_foreach (rows, i, row) {
		struct version added = {.id = (uint64_t)json_integer_value(
						json_array_get(row, 1)),
					.expires_ms = now_ms + ORIGIN_TTL_MS};
		struct service *s = service_of(
			o,
			(uint64_t)json_integer_value(json_array_get(row, 0)));

		if (!find_version(s, added.id))
			append_version(o, s, &added, now_ms);
		if (json_is_true(json_array_get(row, 2)))
			version_gate_open(o->gate, added.id);
	}
	o->history_complete_ms = now_ms;
	o->lacks_history = false;
	update_gate(o, now_ms);
	g_mutex_unlock(&o->lock);
}

bool origins_lacks_history(struct origins *o)
{
	bool lacks;

	g_mutex_lock(&o->lock);
	lacks = o->lacks_history;
	g_mutex_unlock(&o->lock);
	return lacks;
}

/* Versions that other nodes know of. */

bool origins_may_begin(struct origins *o, uint64_t version)
{
	bool may;

	g_mutex_lock(&o->lock);
	may = version_gate_is_open(o->gate, version);
	g_mutex_unlock(&o->lock);
	return may;
}

bool origins_check_versions(struct origins *o, const uint64_t *nodes, size_t n,
			    int64_t now_ms)
{
	bool opened;

	g_mutex_lock(&o->lock);
	opened = version_gate_check(o->gate, nodes, n, o->list_confirmed_ms,
				    now_ms);
	o->changes += opened;
	g_mutex_unlock(&o->lock);
	return opened;
}

size_t origins_take_news(struct origins *o, const uint64_t *nodes, size_t n,
			 int64_t now_ms, struct version_news *out, size_t max)
{
	g_mutex_lock(&o->lock);
	n = version_gate_take_due(o->gate, nodes, n, now_ms, out, max);
	g_mutex_unlock(&o->lock);
	return n;
}

size_t origins_news_for(struct origins *o, const struct version_news *v,
			size_t n, uint64_t node, struct version_notice *out)
{
	size_t count = 0;

	g_mutex_lock(&o->lock);
	for (size_t i = 0; i < n; i++)
		if (v[i].to_all ||
		    !version_gate_has_confirmed(o->gate, v[i].version, node))
			out[count++] = (struct version_notice){
				v[i].service, v[i].version, v[i].open};
	g_mutex_unlock(&o->lock);
	return count;
}

/* Note that another node knows of a version; called with the lock held. */
static void note_version(struct origins *o, const struct version_notice *v,
			 int64_t now_ms)
{
	struct version added = {.id = v->software,
				.expires_ms = now_ms + ORIGIN_TTL_MS};
	struct service *s = service_of(o, v->service);
	struct version *known = find_version(s, v->software);

	if (!known)
		add_version(o, s, &added, now_ms);
	else if (!known->listed)
		known->expires_ms = added.expires_ms;
}

/*
 * Apply a notice; return whether streams may begin at its version and could not
 * before. Called with the lock held.
 */
static bool apply_notice(struct origins *o, uint64_t node,
			 const struct version_notice *v, int64_t now_ms)
{
	bool opened;

	note_version(o, v, now_ms);
	opened = version_gate_confirm(o->gate, v->software, node, v->open,
				      now_ms);
	o->changes += opened;
	return opened;
}

bool origins_apply_notices(struct origins *o, uint64_t node,
			   const struct version_notice *v, size_t n,
			   int64_t now_ms, struct version_notice *answer)
{
	bool opened = false;

	g_mutex_lock(&o->lock);
	for (size_t i = 0; i < n; i++) {
		if (v[i].software)
			opened |= apply_notice(o, node, &v[i], now_ms);
		answer[i] = (struct version_notice){
			v[i].service, v[i].software,
			version_gate_is_open(o->gate, v[i].software)};
	}
	g_mutex_unlock(&o->lock);
	return opened;
}

/* Records. */

/* Called with the lock held. */
static void drop_oldest_record(struct origins *o)
{
	struct record *r = g_queue_pop_head(&o->by_age);

	g_hash_table_remove(o->records, &r->request);
	g_free(r);
}

/* Called with the lock held. A stream's first record stays. */
static bool add_record(struct origins *o, uint64_t request, uint64_t version,
		       int64_t now_ms)
{
	struct record *r;

	if (g_hash_table_contains(o->records, &request))
		return false;
	if (g_hash_table_size(o->records) >= RECORDS_MAX)
		drop_oldest_record(o);
	r = g_new(struct record, 1);
	*r = (struct record){request, version, now_ms + ORIGIN_TTL_MS};
	g_hash_table_insert(o->records, &r->request, r);
	g_queue_push_tail(&o->by_age, r);
	return true;
}

/* Whether other nodes need the records of a service's streams. */
static bool sends_records(const struct origins *o, const struct service *s,
			  int64_t now_ms)
{
	/* Until the history is known there may have been other versions. */
	return has_several(s, now_ms) || !is_history_known(o, now_ms);
}

bool origins_record(struct origins *o, struct str request_id,
		    struct str service, uint64_t version, int64_t now_ms)
{
	struct stream_origin origin = {str_hash(request_id, 0), version};
	bool needed = false;
	struct service *s;

	g_mutex_lock(&o->lock);
	s = service_of(o, str_hash(service, 0));
	if (add_record(o, origin.request, version, now_ms)) {
		g_queue_push_tail(&s->unsent,
				  g_memdup2(&origin, sizeof(origin)));
		needed = sends_records(o, s, now_ms);
	}
	g_mutex_unlock(&o->lock);
	return needed;
}

/* Forget the unsent records that have expired; called with the lock held. */
static void drop_unsent(struct origins *o, struct service *s)
{
	struct stream_origin *first;

	while ((first = g_queue_peek_head(&s->unsent)) &&
	       !g_hash_table_contains(o->records, &first->request))
		g_free(g_queue_pop_head(&s->unsent));
}

/* Called with the lock held. */
static void settle(struct origins *o, struct lookup *l, uint64_t version,
		   int64_t now_ms)
{
	o->has_settled = true;
	l->version = version;
	l->settled = true;
	l->forget_ms = now_ms + LOOKUP_KEPT_MS;
}

/* Whether the list shows all versions at which streams began lately. */
static bool is_list_fresh(const struct origins *o, int64_t now_ms)
{
	return now_ms - o->list_confirmed_ms <= LIST_FRESH_MS;
}

/*
 * Return the version at which a stream without a record began; 0: not known.
 * Without another node that agrees, this node's own list counts if it is fresh;
 * without a fresh list most of the nodes that were asked have to agree. Called
 * with the lock held.
 */
static uint64_t infer(struct origins *o, const struct lookup *l, int64_t now_ms)
{
	const struct service *s = service_of(o, l->question.service);
	uint64_t own = sole_version(o, s, now_ms);
	bool fresh = is_list_fresh(o, now_ms);
	uint64_t sole = l->sole || !fresh ? l->sole : own, one = sole;

	if (l->several || has_several(s, now_ms))
		return 0;
	if (!fresh && 2 * l->reply_count <= l->asked_count)
		return 0;
	recent_versions(s, now_ms, &one);
	return one == sole ? sole : 0;
}

/* Settle a look-up of which no node has a record; the lock is held. */
static void conclude(struct origins *o, struct lookup *l, int64_t now_ms)
{
	settle(o, l, infer(o, l, now_ms), now_ms);
}

/* Settle the look-ups that are over; called with the lock held. */
static void settle_ended(struct origins *o, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, o->lookups);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct lookup *l = p;

		if (!l->settled && now_ms >= l->ends_ms)
			conclude(o, l, now_ms);
	}
}

static gboolean is_forgotten(gpointer key, gpointer p, gpointer now_ms)
{
	const struct lookup *l = p;

	(void)key;
	return *(const int64_t *)now_ms >= l->forget_ms;
}

void origins_sweep(struct origins *o, int64_t now_ms)
{
	const struct record *oldest;
	GHashTableIter it;
	gpointer p;

	g_mutex_lock(&o->lock);
	settle_ended(o, now_ms);
	while ((oldest = g_queue_peek_head(&o->by_age)) &&
	       now_ms >= oldest->expires_ms)
		drop_oldest_record(o);
	g_hash_table_iter_init(&it, o->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (drop_expired(o, p, now_ms))
			o->changes++;
		drop_unsent(o, p);
	}
	g_hash_table_foreach_remove(o->lookups, is_forgotten, &now_ms);
	g_mutex_unlock(&o->lock);
}

size_t origins_take_unsent(struct origins *o, int64_t now_ms,
			   struct stream_origin *out, size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_mutex_lock(&o->lock);
	g_hash_table_iter_init(&it, o->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct service *s = p;
		struct stream_origin *v;

		if (!sends_records(o, s, now_ms))
			continue;
		while (n < max && (v = g_queue_pop_head(&s->unsent))) {
			out[n++] = *v;
			g_free(v);
		}
	}
	g_mutex_unlock(&o->lock);
	return n;
}

void origins_receive(struct origins *o, const struct stream_origin *v, size_t n,
		     int64_t now_ms)
{
	g_mutex_lock(&o->lock);
	for (size_t i = 0; i < n; i++)
		add_record(o, v[i].request, v[i].software, now_ms);
	g_mutex_unlock(&o->lock);
	metric_add(M_ORIGINS_RECEIVED_TOTAL, (int64_t)n);
}

/* Look-ups. */

static struct lookup *lookup_of(struct origins *o,
				const struct origin_question *q, int64_t now_ms)
{
	struct lookup *l = g_hash_table_lookup(o->lookups, q);

	if (l && !is_forgotten(NULL, l, &now_ms))
		return l;
	if (l)
		g_hash_table_remove(o->lookups, q);
	l = g_new0(struct lookup, 1);
	l->question = *q;
	l->ends_ms = now_ms + ORIGIN_LOOKUP_MS;
	l->send_at_ms = now_ms;
	l->forget_ms = INT64_MAX;
	g_hash_table_insert(o->lookups, &l->question, l);
	return l;
}

enum origin_status origins_find(struct origins *o, struct str request_id,
				struct str service, int64_t now_ms,
				uint64_t *version)
{
	struct origin_question q = {str_hash(request_id, 0),
				    str_hash(service, 0)};
	const struct record *r;
	struct lookup *l;
	bool settled;

	g_mutex_lock(&o->lock);
	r = g_hash_table_lookup(o->records, &q.request);
	if (r) {
		*version = r->version;
		g_mutex_unlock(&o->lock);
		return ORIGIN_FOUND;
	}
	l = lookup_of(o, &q, now_ms);
	if (!l->settled && now_ms >= l->ends_ms)
		conclude(o, l, now_ms);
	settled = l->settled;
	*version = l->version;
	g_mutex_unlock(&o->lock);
	if (!settled)
		return ORIGIN_ASKED;
	return *version ? ORIGIN_FOUND : ORIGIN_UNKNOWN;
}

enum origin_status origins_find_known(struct origins *o, struct str request_id,
				      struct str service, int64_t now_ms,
				      uint64_t *version)
{
	struct origin_question q = {str_hash(request_id, 0),
				    str_hash(service, 0)};
	enum origin_status status = ORIGIN_ASKED;
	const struct record *r;
	struct lookup *l;

	g_mutex_lock(&o->lock);
	r = g_hash_table_lookup(o->records, &q.request);
	l = g_hash_table_lookup(o->lookups, &q);
	if (l && is_forgotten(NULL, l, &now_ms))
		l = NULL;
	*version = r ? r->version : l && l->settled ? l->version : 0;
	if (*version)
		status = ORIGIN_FOUND;
	else if (l && l->settled)
		status = ORIGIN_UNKNOWN;
	g_mutex_unlock(&o->lock);
	return status;
}

size_t origin_holders(uint64_t request, const uint64_t *nodes, size_t n,
		      unsigned rounds, uint64_t *out)
{
	struct rendezvous_candidate *r, top[ORIGIN_SMALL_FLEET];
	size_t k = n <= ORIGIN_SMALL_FLEET
			   ? n
			   : MIN(ORIGIN_HOLDERS * rounds, ORIGIN_SMALL_FLEET);

	r = g_new(struct rendezvous_candidate, n + 1);
	for (size_t i = 0; i < n; i++)
		r[i] = (struct rendezvous_candidate){nodes[i], i, 0};
	k = rendezvous_top(request, r, n, top, k);
	for (size_t i = 0; i < k; i++)
		out[i] = top[i].id;
	g_free(r);
	return k;
}

bool origins_next_question(struct origins *o, int64_t now_ms,
			   struct origin_question *out, unsigned *rounds)
{
	GHashTableIter it;
	bool found = false;
	gpointer p;

	g_mutex_lock(&o->lock);
	g_hash_table_iter_init(&it, o->lookups);
	while (!found && g_hash_table_iter_next(&it, NULL, &p)) {
		struct lookup *l = p;

		/* A node that is late may be dead, and the others agree. */
		if (!l->settled && l->sole && now_ms >= l->send_at_ms &&
		    infer(o, l, now_ms))
			conclude(o, l, now_ms);
		if (l->settled || now_ms < l->send_at_ms ||
		    now_ms >= l->ends_ms)
			continue;
		l->send_at_ms = now_ms + RESEND_MS;
		*out = l->question;
		*rounds = ++l->rounds;
		/* A record may have arrived there since the last reply. */
		memset(l->replied, 0, sizeof(l->replied));
		l->reply_count = 0;
		found = true;
	}
	g_mutex_unlock(&o->lock);
	return found;
}

void origins_asked(struct origins *o, const struct origin_question *q,
		   uint64_t node)
{
	struct lookup *l;

	g_mutex_lock(&o->lock);
	l = g_hash_table_lookup(o->lookups, q);
	for (size_t i = 0; l && i < l->asked_count; i++)
		if (l->asked[i] == node)
			l = NULL;
	if (l && l->asked_count < ASKED_MAX)
		l->asked[l->asked_count++] = node;
	g_mutex_unlock(&o->lock);
}

void origins_settle_alone(struct origins *o, const struct origin_question *q,
			  int64_t now_ms)
{
	struct lookup *l;

	g_mutex_lock(&o->lock);
	l = g_hash_table_lookup(o->lookups, q);
	/* Else the list, or the versions before it, may still be read. */
	if (l && !l->settled &&
	    (infer(o, l, now_ms) ||
	     has_several(service_of(o, q->service), now_ms)))
		conclude(o, l, now_ms);
	g_mutex_unlock(&o->lock);
}

void origins_set_list_time(struct origins *o, int64_t confirmed_ms, bool outage,
			   int64_t now_ms)
{
	g_mutex_lock(&o->lock);
	if (o->list_confirmed_ms &&
	    confirmed_ms - o->list_confirmed_ms > LIST_FRESH_MS) {
		o->history_complete_ms = now_ms + ORIGIN_TTL_MS;
		o->lacks_history = true;
	}
	o->list_confirmed_ms = confirmed_ms;
	/* A list that was too old before may lack what joined until then. */
	o->outage = outage && (o->outage || is_list_fresh(o, now_ms));
	g_mutex_unlock(&o->lock);
}

void origins_answer(struct origins *o, const struct origin_question *q,
		    int64_t now_ms, struct origin_reply *out)
{
	const struct record *r;
	const struct service *s;
	bool current;

	g_mutex_lock(&o->lock);
	r = g_hash_table_lookup(o->records, &q->request);
	s = service_of(o, q->service);
	current = is_list_fresh(o, now_ms) || o->outage;
	*out = (struct origin_reply){
		.request = q->request,
		.service = q->service,
		.software = r ? r->version : 0,
		.sole = current ? sole_version(o, s, now_ms) : 0,
		.several = has_several(s, now_ms),
	};
	g_mutex_unlock(&o->lock);
}

/* Whether only a record would help, and none has come up to now. */
static bool is_hopeless(struct origins *o, const struct lookup *l,
			int64_t now_ms)
{
	return l->rounds > 1 &&
	       (l->several ||
		has_several(service_of(o, l->question.service), now_ms));
}

/* Note the first reply of a node; false for any other. */
static bool note_reply(struct lookup *l, uint64_t node)
{
	for (size_t i = 0; i < l->asked_count; i++) {
		if (l->asked[i] != node || l->replied[i])
			continue;
		l->replied[i] = true;
		l->reply_count++;
		return true;
	}
	return false;
}

void origins_apply_reply(struct origins *o, uint64_t node,
			 const struct origin_reply *reply, int64_t now_ms)
{
	struct origin_question q = {reply->request, reply->service};
	struct lookup *l;

	g_mutex_lock(&o->lock);
	l = g_hash_table_lookup(o->lookups, &q);
	if (l && !l->settled && note_reply(l, node)) {
		l->several |= reply->several || (l->sole && reply->sole &&
						 l->sole != reply->sole);
		if (reply->sole)
			l->sole = reply->sole;
		if (reply->software) {
			add_record(o, q.request, reply->software, now_ms);
			settle(o, l, reply->software, now_ms);
		} else if (l->reply_count == l->asked_count &&
			   (is_hopeless(o, l, now_ms) || infer(o, l, now_ms))) {
			conclude(o, l, now_ms);
		}
	}
	g_mutex_unlock(&o->lock);
}

bool origins_take_settled(struct origins *o)
{
	bool settled;

	g_mutex_lock(&o->lock);
	settled = o->has_settled;
	o->has_settled = false;
	g_mutex_unlock(&o->lock);
	return settled;
}
