/*
 * Targets that fall over when they have to reject too much, and come back empty
 * under a new name, at the size of a fleet and in virtual time. The nodes are
 * those of pool.c; the targets and what nodes tell each other are played here.
 */
#include <string.h>

#include "entry/brittle.h"
#include "entry/test-pool-node.h"
#include "entry/evacuations.h"
#include "entry/test-virtual.h"

/* From so long after targets first said that they are brittle falls count. */
#define CONTACT_MS 4000
#define BRITTLE_MS 6000
#define PLAY_MS    30000
/* Rejections that a target bears in a second, and requests that may wait. */
#define BEARS   4
#define WAITS   2
#define BACK_MS 4000
/* Time after its return in which a target's being empty makes it fall. */
#define YOUNG_MS 1500
/* What nodes hear of each other's loads and notices is so old, at least. */
#define EXCHANGE_MS 100
#define LAG_MS      250
#define KEYS        200
#define SENDS_MAX   4
#define RETRY_RATIO 0.2
/* A node learns of a change to the list of targets within this time. */
#define LIST_LAG_MS 1000
#define SEED        1
/* Falls that operators allow. */
#define FALLS_MAX(site) (2 + (site)->targets / 10)

struct site {
	const char *name;
	int nodes, targets, slots;
	int work_ms;    /* mean */
	double load;    /* requests at a time, as a share of all slots */
	double burst;   /* the same for a second of every six */
	double unkeyed; /* share of the requests without a prompt */
};

struct stand_in {
	uint64_t id;
	int running, waiting;
	int64_t down_until_ms;       /* 0: it is up */
	int64_t back_ms;             /* when it last came back; 0: never fell */
	int rejected[PLAY_MS / 100]; /* by tenth of a second */
	GQueue *queue;               /* requests that wait */
};

struct node {
	struct entry e;
	int64_t list_at_ms; /* when it takes the newest list */
	int list_version;
};

struct request {
	int64_t at_ms; /* of its next event */
	struct node *node;
	int place;   /* of the target's stand-in */
	uint64_t id; /* of the target */
	uint64_t tried[SENDS_MAX];
	int sends;
	struct prompt prompt;
	bool arrived, runs, was_rejected, broke;
};

struct play {
	const struct site *site;
	GRand *rand;
	int64_t now_ms; /* from the beginning */
	struct node *nodes;
	struct stand_in *targets;
	struct entry_service service;
	int list_version;
	uint64_t next_id;
	GQueue *due[PLAY_MS + 10000]; /* requests, by at_ms */
	int offered, served, refused, lost, retries, falls, early_falls;
	/* Of the falls: of targets that were back for less than YOUNG_MS. */
	int young_falls;
	int last_falls; /* in the last third */
};

static void schedule(struct play *p, struct request *r, int64_t in_ms)
{
	GQueue **q;

	r->at_ms = p->now_ms + in_ms;
	if (r->at_ms >= (int64_t)G_N_ELEMENTS(p->due)) {
		g_free(r);
		return;
	}
	q = &p->due[r->at_ms];
	if (!*q)
		*q = g_queue_new();
	g_queue_push_tail(*q, r);
}

static bool is_brittle(const struct play *p)
{
	return p->now_ms >= BRITTLE_MS;
}

static struct target_list *make_list(const struct play *p)
{
	struct target_list *l = target_list_new((size_t)p->site->targets);

	atomic_store(&l->until_ms, INT64_MAX);
	for (int i = 0; i < p->site->targets; i++)
		l->v[l->n++] = (struct target_info){
			.id = p->targets[i].id,
			.name = STR_LIT("t"),
			.service = p->service.name,
			.slots = p->site->slots,
		};
	return l;
}

static void take_list(struct play *p, struct node *v)
{
	pool_node_take_list(&v->e, make_list(p));
	v->list_version = p->list_version;
}

static void node_init(struct play *p, int i, struct peer_list *peers)
{
	pool_node_init(&p->nodes[i].e, i, peers);
	loads_set_send_interval(p->nodes[i].e.loads, EXCHANGE_MS);
	take_list(p, &p->nodes[i]);
}

/* Tell each node the requests of all others, and notices. */
static void exchange(struct play *p)
{
	int n = p->site->nodes, t = p->site->targets;
	int *sums = g_new0(int, t);
	struct load_entry *entries = g_new0(struct load_entry, t);
	struct notice v[64];
	size_t count;

	for (int i = 0; i < n; i++)
		for (int k = 0; k < t; k++) {
			struct target *x = g_hash_table_lookup(
				p->nodes[i].e.tr.targets, &p->targets[k].id);

			sums[k] += x ? x->running : 0;
		}
	for (int i = 0; i < n; i++) {
		struct loads_report r = {.node = 1,
					 .seq = (uint64_t)p->now_ms + 1,
					 .start = 1,
					 .serving = true};

		for (int k = 0; k < t; k++) {
			struct target *x = g_hash_table_lookup(
				p->nodes[i].e.tr.targets, &p->targets[k].id);

			entries[k].target = p->targets[k].id;
			entries[k].running =
				(u_int)(sums[k] - (x ? x->running : 0));
		}
		r.entries.entries_val = entries;
		r.entries.entries_len = (u_int)t;
		loads_receive(p->nodes[i].e.loads, virtual_ms, &r);
		while ((count = notices_take_updates(p->nodes[i].e.notices, v,
						     G_N_ELEMENTS(v))))
			for (int k = 0; k < n; k++)
				for (size_t m = 0; k != i && m < count; m++)
					notices_receive(p->nodes[k].e.notices,
							&v[m]);
	}
	g_free(entries);
	g_free(sums);
}

/* A pool's target that the request was sent to, if the node still has it. */
static struct target *find(const struct request *r)
{
	return g_hash_table_lookup(r->node->e.tr.targets, &r->id);
}

static void end(struct request *r, int *count)
{
	++*count;
	g_free(r);
}

static void send_request(struct play *p, struct request *r)
{
	struct target *source;
	struct target *t = pool_choose_target(
		&r->node->e.tr, &p->service, &r->prompt, 0, r->tried,
		(size_t)r->sends, rank_of(false, 1), &source);

	if (!t) {
		end(r, &p->refused);
		return;
	}
	pool_add_running(t, 1);
	r->id = t->info.id;
	r->tried[r->sends++] = r->id;
	r->arrived = r->runs = r->was_rejected = r->broke = false;
	r->place = -1;
	for (int i = 0; i < p->site->targets; i++)
		if (p->targets[i].id == r->id)
			r->place = i;
	schedule(p, r, 1 + g_rand_int_range(p->rand, 0, 3));
}

static void retry(struct play *p, struct request *r, int *failed)
{
	/* What has reached no target is charged to no budget. */
	if (r->sends == SENDS_MAX ||
	    (!r->broke && p->retries + 1 > RETRY_RATIO * p->offered + 20)) {
		end(r, failed);
		return;
	}
	p->retries += !r->broke;
	send_request(p, r);
}

static void run(struct play *p, struct stand_in *s, struct request *r)
{
	s->running++;
	r->runs = true;
	schedule(p, r,
		 (int64_t)(p->site->work_ms *
			   g_rand_double_range(p->rand, 0.5, 1.5)));
}

/* Break off the requests that the target runs, which are due later. */
static void break_running(struct play *p, const struct stand_in *s)
{
	size_t last = MIN((size_t)p->now_ms + 2 * (size_t)p->site->work_ms,
			  G_N_ELEMENTS(p->due) - 1);

	for (size_t at = (size_t)p->now_ms + 2; at <= last; at++) {
		GList *next, *l = p->due[at] ? p->due[at]->head : NULL;

		for (; l; l = next) {
			struct request *r = l->data;

			next = l->next;
			if (!r->runs || r->id != s->id)
				continue;
			g_queue_delete_link(p->due[at], l);
			schedule(p, r, 1);
		}
	}
}

/* It falls over; what it holds is broken off. */
static void fall(struct play *p, struct stand_in *s)
{
	struct request *r;

	if (p->now_ms >= BRITTLE_MS + CONTACT_MS)
		p->falls++;
	else
		p->early_falls++;
	p->young_falls += s->back_ms && p->now_ms - s->back_ms < YOUNG_MS;
	p->last_falls += p->now_ms > PLAY_MS * 2 / 3;
	s->down_until_ms = p->now_ms + BACK_MS;
	memset(s->rejected, 0, sizeof(s->rejected));
	while ((r = g_queue_pop_head(s->queue)))
		schedule(p, r, 1);
	break_running(p, s);
	s->running = 0;
}

static int rejected_lately(const struct stand_in *s, int64_t now_ms)
{
	int n = 0;

	for (int64_t i = MAX(now_ms / 100 - 9, 0); i <= now_ms / 100; i++)
		n += s->rejected[i];
	return n;
}

static void arrive(struct play *p, struct request *r)
{
	struct stand_in *s = r->place < 0 ? NULL : &p->targets[r->place];

	if (!s || s->id != r->id || s->down_until_ms) {
		/* The connection is refused. */
		r->broke = true;
		schedule(p, r, 1);
		return;
	}
	if (s->running < p->site->slots) {
		run(p, s, r);
	} else if (s->waiting < WAITS) {
		s->waiting++;
		g_queue_push_tail(s->queue, r);
	} else {
		r->was_rejected = true;
		s->rejected[p->now_ms / 100]++;
		schedule(p, r, 1);
		if (is_brittle(p) && rejected_lately(s, p->now_ms) > BEARS)
			fall(p, s);
	}
}

/* The response reaches the node, or its connection breaks. */
static void respond(struct play *p, struct request *r)
{
	struct stand_in *s = r->place < 0 ? NULL : &p->targets[r->place];
	bool fell = !s || s->id != r->id || s->down_until_ms;
	struct target *t = find(r);
	struct request *next;

	if (t)
		pool_add_running(t, -1);
	if (r->was_rejected || (r->runs && !fell)) {
		if (t && is_brittle(p))
			pool_record_brittle(t, BEARS * 1000);
		if (t && r->was_rejected)
			pool_record_rejection(t);
	} else {
		if (t)
			pool_record_fault(t);
		retry(p, r, &p->lost);
		return;
	}
	if (t)
		t->last_received_ms = virtual_ms;
	if (r->was_rejected) {
		retry(p, r, &p->refused);
		return;
	}
	if (t)
		pool_record_response(t, true);
	s->running--;
	next = g_queue_pop_head(s->queue);
	if (next) {
		s->waiting--;
		run(p, s, next);
	}
	end(r, &p->served);
}

static void handle(struct play *p, struct request *r)
{
	if (!r->arrived) {
		r->arrived = true;
		arrive(p, r);
		return;
	}
	respond(p, r);
}

/* Targets that have fallen come back under new names, and lists follow. */
static void update_targets(struct play *p)
{
	for (int i = 0; i < p->site->targets; i++) {
		struct stand_in *s = &p->targets[i];

		if (!s->down_until_ms || p->now_ms < s->down_until_ms)
			continue;
		s->down_until_ms = 0;
		s->back_ms = p->now_ms;
		s->waiting = 0;
		s->id = ++p->next_id;
		p->list_version++;
	}
	for (int i = 0; i < p->site->nodes; i++) {
		struct node *v = &p->nodes[i];

		if (v->list_version == p->list_version)
			continue;
		if (!v->list_at_ms)
			v->list_at_ms =
				p->now_ms +
				g_rand_int_range(p->rand, 50, LIST_LAG_MS);
		if (p->now_ms < v->list_at_ms)
			continue;
		v->list_at_ms = 0;
		take_list(p, v);
	}
}

static void call(struct play *p)
{
	const struct site *s = p->site;
	bool burst = p->now_ms % 6000 >= 5000;
	double per_ms = (burst ? s->burst : s->load) * s->targets * s->slots /
			s->work_ms;

	while (per_ms > 0) {
		struct request *r;

		if (g_rand_double(p->rand) < per_ms) {
			r = g_new0(struct request, 1);
			r->node = &p->nodes[g_rand_int_range(p->rand, 0,
							     s->nodes)];
			if (g_rand_double(p->rand) >= s->unkeyed) {
				double x = g_rand_double(p->rand);

				r->prompt.parts[0] =
					1 + (uint64_t)(KEYS * x * x * x);
				r->prompt.part_count = 1;
				r->prompt.shared_tokens = 2000;
			}
			p->offered++;
			retry_window_add_request(
				pool_retry_window(&r->node->e.tr,
						  p->service.name),
				virtual_ms);
			send_request(p, r);
		}
		per_ms -= 1;
	}
}

static struct play *play(const struct site *s, guint32 seed)
{
	struct play *p = g_new0(struct play, 1);
	struct peer_list *peers = pool_node_peers(s->nodes);

	virtual_ms = VIRTUAL_START_MS;
	p->site = s;
	p->rand = g_rand_new_with_seed(seed);
	p->service.name = (struct str)STR_LIT("pool");
	p->service.model = s->unkeyed < 1;
	p->nodes = g_new0(struct node, s->nodes);
	p->targets = g_new0(struct stand_in, s->targets);
	for (int i = 0; i < s->targets; i++) {
		p->targets[i].id = ++p->next_id;
		p->targets[i].queue = g_queue_new();
	}
	for (int i = 0; i < s->nodes; i++)
		node_init(p, i, peers);
	for (; p->now_ms < PLAY_MS; p->now_ms++, virtual_ms++) {
		struct request *r;

		update_targets(p);
		if (p->now_ms % LAG_MS == 0)
			exchange(p);
		call(p);
		while (p->due[p->now_ms] &&
		       (r = g_queue_pop_head(p->due[p->now_ms])))
			handle(p, r);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(p->due); i++)
		if (p->due[i])
			g_queue_free_full(p->due[i], g_free);
	for (int i = 0; i < s->targets; i++)
		g_queue_free_full(p->targets[i].queue, g_free);
	for (int i = 0; i < s->nodes; i++)
		pool_node_clear(&p->nodes[i].e);
	peer_list_unref(peers);
	g_rand_free(p->rand);
	g_free(p->nodes);
	g_free(p->targets);
	virtual_ms = 0;
	return p;
}

/* Each site is played once, for both tests. */
static const struct play *played(const struct site *s)
{
	static const struct site *last;
	static struct play *p;

	if (last == s)
		return p;
	g_free(p);
	last = s;
	p = play(s, SEED);
	g_test_message(
		"falls %d, at most %d (%d before they count, %d of "
		"targets just back, %d in the last third); offered %d, "
		"served %.3f, refused %.3f, lost %.4f, retries %.3f",
		p->falls, FALLS_MAX(s), p->early_falls, p->young_falls,
		p->last_falls, p->offered, (double)p->served / p->offered,
		(double)p->refused / p->offered, (double)p->lost / p->offered,
		(double)p->retries / p->offered);
	return p;
}

/* Brittle targets fall over again and again. */
static void test_falls(const void *site)
{
	g_assert_cmpint(played(site)->falls, <=,
			FALLS_MAX((const struct site *)site));
}

/* Callers are refused though the targets have room for them. */
static void test_room(const void *site)
{
	const struct site *s = site;
	const struct play *p = played(s);
	double asked = (5 * s->load + s->burst) / 6;

	/* Half of what the targets can do, or of what is asked for. */
	g_assert_cmpfloat((double)p->served / p->offered, >=,
			  0.5 / MAX(asked, 1));
}

static const struct site sites[] = {
	{"/entry/brittle-fleet/models", 73, 140, 12, 800, 0.4, 0.9, 0.1},
	{"/entry/brittle-fleet/models-full", 73, 140, 12, 800, 0.7, 1.5, 0.1},
	{"/entry/brittle-fleet/few-targets", 73, 4, 6, 40, 0.3, 0.8, 1},
	{"/entry/brittle-fleet/few-targets-full", 73, 4, 6, 40, 0.7, 1.5, 1},
	{"/entry/brittle-fleet/small", 8, 12, 64, 800, 0.5, 1.2, 0.1},
	{"/entry/brittle-fleet/callers-wait", 24, 3, 12, 40, 2, 3, 1},
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	for (size_t i = 0; i < G_N_ELEMENTS(sites); i++) {
		char *falls = g_strconcat(sites[i].name, "/falls", NULL);
		char *room = g_strconcat(sites[i].name, "/room", NULL);

		g_test_add_data_func(falls, &sites[i], test_falls);
		g_test_add_data_func(room, &sites[i], test_room);
		g_free(falls);
		g_free(room);
	}
	return g_test_run();
}
