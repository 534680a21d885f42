/* Evacuated zones: the order of statements, restored stores, and restarts. */
#include "route/evacuations.h"

#define NODES 3

/* A node, and what it told others and logged. */
struct node {
	struct evacuations *e;
	struct evacuation told; /* the last statement */
	int tells, changes;
};

static void on_changed(void *ctx, const struct evacuation *v, const char *name)
{
	(void)v;
	(void)name;
	((struct node *)ctx)->changes++;
}

static void publish(void *ctx, const struct evacuation *v)
{
	struct node *n = ctx;

	n->told = *v;
	n->tells++;
}

static void node_init(struct node *n)
{
	static const struct evacuation_ops ops = {on_changed, publish};

	*n = (struct node){.e = evacuations_new(&ops, n)};
}

static uint64_t id_of(const char *zone)
{
	return g_str_hash(zone);
}

/* A whole read in which the zones of a list, separated by spaces, have rows. */
static void read_all(struct node *n, const char *zones, int64_t sent_ms,
		     int64_t now_ms)
{
	char **v = g_strsplit(zones, " ", -1);

	evacuations_begin_read(n->e);
	for (char **z = v; *z; z++)
		if (**z)
			evacuations_add_row(n->e, id_of(*z), *z);
	evacuations_finish_read(n->e, sent_ms, now_ms);
	g_strfreev(v);
}

static bool receive(struct node *n, const char *zone, bool evacuated,
		    int64_t at_ms, int64_t now_ms)
{
	struct evacuation v = {id_of(zone), evacuated, at_ms, EVACUATION_NODE};

	return evacuations_receive(n->e, &v, now_ms);
}

/* A node that is past the hold after its start. */
static void start_node(struct node *n)
{
	node_init(n);
	read_all(n, "", 1000, 1010);
}

/* An idle deployment sends messages, or logs. */
static void test_idle(void)
{
	struct node n;

	start_node(&n);
	for (int64_t now = 10000; now < 100000; now += 2100)
		read_all(&n, "", now, now + 10);
	g_assert_cmpint(n.tells, ==, 0);
	g_assert_cmpint(n.changes, ==, 0);
	g_assert_false(evacuations_has(n.e, id_of("a")));
	evacuations_free(n.e);
}

/* A row, its removal or its absence is missed; others are not told. */
static void test_reads(void)
{
	struct node n;

	start_node(&n);
	evacuations_row_changed(n.e, id_of("a"), "a", true, 9000, 9500);
	g_assert_true(evacuations_has(n.e, id_of("a")));
	g_assert_false(evacuations_has(n.e, id_of("b")));
	g_assert_cmpint(n.tells, ==, 1);
	g_assert_cmpint(n.told.at_ms, ==, 9000);
	g_assert_cmpint(evacuations_ended_ms(n.e, id_of("a")), ==, 0);
	evacuations_row_changed(n.e, id_of("a"), "a", false, 9600, 9900);
	g_assert_false(evacuations_has(n.e, id_of("a")));
	g_assert_cmpint(evacuations_ended_ms(n.e, id_of("a")), ==, 9900);
	g_assert_false(n.told.evacuated);
	read_all(&n, "b a", 10000, 10010);
	g_assert_cmpuint(evacuations_count(n.e), ==, 2);
	read_all(&n, "b", 12000, 12010);
	g_assert_false(evacuations_has(n.e, id_of("a")));
	g_assert_true(evacuations_has(n.e, id_of("b")));
	g_assert_cmpint(evacuations_ended_ms(n.e, id_of("a")), ==, 12010);
	/* One log line for each change, not for each read. */
	read_all(&n, "b", 14000, 14010);
	g_assert_cmpint(n.changes, ==, 5);
	evacuations_free(n.e);
}

/* A late statement of an older read undoes a newer one. */
static void test_late_statements(void)
{
	struct node n;

	start_node(&n);
	g_assert_true(receive(&n, "a", true, 9000, 9100));
	g_assert_false(receive(&n, "a", false, 8900, 9200));
	g_assert_true(evacuations_has(n.e, id_of("a")));
	/* A read that was sent before, and is answered later. */
	read_all(&n, "", 8950, 9300);
	g_assert_true(evacuations_has(n.e, id_of("a")));
	evacuations_row_changed(n.e, id_of("a"), "a", false, 8960, 9300);
	g_assert_true(evacuations_has(n.e, id_of("a")));
	g_assert_true(receive(&n, "a", false, 9400, 9500));
	g_assert_false(receive(&n, "a", true, 9300, 9600));
	g_assert_false(evacuations_has(n.e, id_of("a")));
	/* The one that is behind is told what it missed. */
	g_assert_false(n.told.evacuated);
	g_assert_cmpint(n.told.at_ms, ==, 9400);
	/* Of the same time, that one counts which keeps requests away. */
	g_assert_true(receive(&n, "a", true, 9400, 9600));
	g_assert_false(receive(&n, "a", false, 9400, 9600));
	g_assert_true(evacuations_has(n.e, id_of("a")));
	evacuations_free(n.e);
}

/* An evacuation lapses while nobody can read the store. */
static void test_never_expires(void)
{
	struct node n;

	start_node(&n);
	receive(&n, "a", true, 9000, 9100);
	g_assert_true(receive(&n, "a", true, 9000, 90000000));
	g_assert_true(evacuations_has(n.e, id_of("a")));
	evacuations_free(n.e);
}

/*
 * A node that has started takes over an evacuation that had ended before, from
 * one that does not know it yet.
 */
static void test_ended_before_start(void)
{
	struct node n;

	start_node(&n);
	g_assert_false(receive(&n, "a", true, 900, 2000));
	g_assert_false(evacuations_has(n.e, id_of("a")));
	g_assert_cmpint(n.told.at_ms, ==, 1000);
	g_assert_true(receive(&n, "a", true, 1001, 2000));
	evacuations_free(n.e);
}

/* A node that started after the end does not know that the zone is cold. */
static void test_end_before_start(void)
{
	struct node n;

	start_node(&n);
	g_assert_true(receive(&n, "a", false, 1500, 2000));
	g_assert_cmpint(evacuations_ended_ms(n.e, id_of("a")), ==, 2000);
	/* Stated again it is not another end. */
	g_assert_true(receive(&n, "a", false, 2500, 3000));
	read_all(&n, "", 9000, 9010);
	g_assert_cmpint(evacuations_ended_ms(n.e, id_of("a")), ==, 2000);
	g_assert_cmpint(n.changes, ==, 0);
	evacuations_free(n.e);
}

/* The first read after a start ends what other nodes say of a lost row. */
static void test_hold_after_start(void)
{
	struct node n;

	start_node(&n);
	receive(&n, "a", true, 2000, 2010);
	read_all(&n, "", 3000, 3010);
	g_assert_true(evacuations_has(n.e, id_of("a")));
	/* An explicit removal counts at once. */
	receive(&n, "b", true, 3000, 3010);
	evacuations_row_changed(n.e, id_of("b"), "b", false, 3100, 3110);
	g_assert_false(evacuations_has(n.e, id_of("b")));
	read_all(&n, "", 6100, 6110);
	g_assert_false(evacuations_has(n.e, id_of("a")));
	evacuations_free(n.e);
}

/* The store comes back from a copy without the row: the zone is used at once.
 */
static void test_new_era(void)
{
	struct node n;

	start_node(&n);
	read_all(&n, "a", 9000, 9010);
	evacuations_new_era(n.e, 10000);
	read_all(&n, "", 10000, 10010);
	read_all(&n, "", 14900, 14990);
	g_assert_true(evacuations_has(n.e, id_of("a")));
	/* Nor does the copy refute others, who know more. */
	g_assert_true(receive(&n, "b", true, 9500, 14991));
	g_assert_true(evacuations_has(n.e, id_of("b")));
	/* The operator has written one of them again. */
	read_all(&n, "b", 15000, 15010);
	g_assert_false(evacuations_has(n.e, id_of("a")));
	g_assert_true(evacuations_has(n.e, id_of("b")));
	evacuations_free(n.e);
}

/* A page of a read that was broken off counts in the next. */
static void test_broken_read(void)
{
	struct node n;

	start_node(&n);
	evacuations_begin_read(n.e);
	evacuations_add_row(n.e, id_of("a"), "a");
	read_all(&n, "b", 9000, 9010);
	g_assert_false(evacuations_has(n.e, id_of("a")));
	g_assert_true(evacuations_has(n.e, id_of("b")));
	evacuations_free(n.e);
}

/*
 * Nodes that hear of each other's statements late, and take them for up to 50
 * ms newer than they are, disagree for good. The operator changes his mind at
 * random; each node reads now and then.
 */
static void test_agreement(void)
{
	GRand *r = g_rand_new_with_seed(7);
	struct node nodes[NODES];
	bool wanted = false;
	int64_t now = 10000;

	for (size_t i = 0; i < NODES; i++)
		start_node(&nodes[i]);
	for (int step = 1; step <= 20000; step++) {
		struct node *n = &nodes[g_rand_int_range(r, 0, NODES)];
		struct node *from = &nodes[g_rand_int_range(r, 0, NODES)];

		now += g_rand_int_range(r, 1, 50);
		if (!g_rand_int_range(r, 0, 20))
			wanted = !wanted;
		if (!g_rand_int_range(r, 0, 4))
			read_all(n, wanted ? "a" : "",
				 now - g_rand_int_range(r, 0, 5), now);
		if (from->tells)
			receive(n, "a", from->told.evacuated,
				MIN(from->told.at_ms +
					    g_rand_int_range(r, 0, 50),
				    now),
				now);
		if (step % 200)
			continue;
		/* One reads once more, and the others hear of it. */
		now++;
		read_all(&nodes[0], wanted ? "a" : "", now, now);
		for (size_t i = 1; i < NODES; i++) {
			if (nodes[0].tells)
				receive(&nodes[i], "a", nodes[0].told.evacuated,
					nodes[0].told.at_ms, now);
			g_assert_cmpint(evacuations_has(nodes[i].e, id_of("a")),
					==, wanted);
		}
	}
	for (size_t i = 0; i < NODES; i++)
		evacuations_free(nodes[i].e);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuations/idle", test_idle);
	g_test_add_func("/evacuations/reads", test_reads);
	g_test_add_func("/evacuations/late-statements", test_late_statements);
	g_test_add_func("/evacuations/never-expires", test_never_expires);
	g_test_add_func("/evacuations/ended-before-start",
			test_ended_before_start);
	g_test_add_func("/evacuations/end-before-start", test_end_before_start);
	g_test_add_func("/evacuations/hold-after-start", test_hold_after_start);
	g_test_add_func("/evacuations/new-era", test_new_era);
	g_test_add_func("/evacuations/broken-read", test_broken_read);
	g_test_add_func("/evacuations/agreement", test_agreement);
	return g_test_run();
}
