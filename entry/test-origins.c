/* Tests of origins: records, inference of the version, and loss of nodes. */
#include "entry/origins.h"

#define NODES    370
#define STREAMS  4000
#define KEPT_MS  60000 /* records and versions are kept that long */
#define START_MS 1000000

static const struct str service = STR_LIT("pool");

static uint64_t service_id(void)
{
	return str_hash(service, 0);
}

static uint64_t version_id(const char *version)
{
	return software_version_id(service, str_c(version));
}

/* Apply a list of targets with the given versions, each as a target. */
static void set_versions(struct origins *o, int64_t now_ms, const char *first,
			 const char *second)
{
	struct target_list *l = target_list_new(2);

	l->v[l->n++] = (struct target_info){
		.id = 1, .service = service, .version = str_c(first)};
	if (second)
		l->v[l->n++] = (struct target_info){
			.id = 2, .service = service, .version = str_c(second)};
	origins_set_targets(o, l, now_ms);
	origins_set_list_time(o, now_ms, false, now_ms);
	target_list_unref(l);
}

/* A node of a fleet whose earlier versions are known. */
static struct origins *node_new(const char *first, const char *second)
{
	struct origins *o = origins_new();

	origins_load_versions(o, NULL, START_MS);
	set_versions(o, START_MS, first, second);
	return o;
}

static enum origin_status find(struct origins *o, const char *id,
			       int64_t now_ms, uint64_t *version)
{
	*version = 0;
	return origins_find(o, str_c(id), service, now_ms, version);
}

/* Let a node ask another one about all that it looks up. */
static void ask(struct origins *o, struct origins *other, uint64_t other_id,
		int64_t now_ms)
{
	struct origin_question q;
	struct origin_reply reply;
	unsigned rounds;

	while (origins_next_question(o, now_ms, &q, &rounds)) {
		origins_asked(o, &q, other_id);
		if (!other)
			continue;
		origins_answer(other, &q, now_ms, &reply);
		origins_apply_reply(o, other_id, &reply, now_ms);
	}
}

/* Send all of a node's records to another one; return their number. */
static size_t send_records(struct origins *from, struct origins *to,
			   int64_t now_ms)
{
	struct stream_origin v[STREAM_ORIGINS_MAX];
	size_t n, sum = 0;

	while ((n = origins_take_unsent(from, now_ms, v, G_N_ELEMENTS(v)))) {
		origins_receive(to, v, n, now_ms);
		sum += n;
	}
	return sum;
}

/* A stream that began before the second version serves goes on at any. */
static void test_began_before_second(void)
{
	struct origins *a = node_new("v1", NULL), *b = node_new("v1", NULL);
	uint64_t version;

	origins_record(a, str_c("s"), service, version_id("v1"), START_MS);
	g_assert_cmpuint(send_records(a, b, START_MS), ==, 0);
	set_versions(a, START_MS + 10, "v1", "v2");
	set_versions(b, START_MS + 10, "v1", "v2");
	g_assert_cmpuint(send_records(a, b, START_MS + 20), ==, 1);
	g_assert_cmpint(find(b, "s", START_MS + 30, &version), ==,
			ORIGIN_FOUND);
	g_assert_cmpuint(version, ==, version_id("v1"));
	origins_free(a);
	origins_free(b);
}

/* A stream is refused while its record is on the way to the node asked. */
static void test_record_on_the_way(void)
{
	struct origins *a = node_new("v1", "v2"), *b = node_new("v1", "v2");
	struct origins *began = node_new("v1", "v2");
	int64_t now = START_MS;
	uint64_t version;

	find(a, "s", now, &version);
	ask(a, b, 7, now);
	g_assert_cmpint(find(a, "s", now, &version), ==, ORIGIN_ASKED);
	origins_record(began, str_c("s"), service, version_id("v2"), now);
	send_records(began, b, now + 50);
	ask(a, b, 7, now + 100);
	g_assert_cmpint(find(a, "s", now + 100, &version), ==, ORIGIN_FOUND);
	g_assert_cmpuint(version, ==, version_id("v2"));
	/* No node has the record the second time either. */
	find(a, "t", now, &version);
	ask(a, b, 7, now);
	ask(a, b, 7, now + 100);
	g_assert_cmpint(find(a, "t", now + 100, &version), ==, ORIGIN_UNKNOWN);
	origins_free(a);
	origins_free(b);
	origins_free(began);
}

/* A node that has not heard of the second version trusts its own list. */
static void test_list_out_of_date(void)
{
	struct origins *stale = node_new("v1", NULL);
	struct origins *current = node_new("v1", "v2");
	uint64_t version;

	g_assert_cmpint(find(stale, "s", START_MS, &version), ==, ORIGIN_ASKED);
	ask(stale, current, 7, START_MS);
	ask(stale, current, 7, START_MS + 100);
	g_assert_cmpint(find(stale, "s", START_MS + 100, &version), ==,
			ORIGIN_UNKNOWN);
	/* Cut off from all, it goes by its list only while that is fresh. */
	find(stale, "t", START_MS + 5000, &version);
	ask(stale, NULL, 7, START_MS + 5000);
	g_assert_cmpint(
		find(stale, "t", START_MS + 5000 + ORIGIN_LOOKUP_MS, &version),
		==, ORIGIN_UNKNOWN);
	origins_free(stale);
	origins_free(current);
}

/* Streams are refused though only one version has served. */
static void test_sole_version(void)
{
	struct origins *a = node_new("v1", NULL), *b = node_new("v1", NULL);
	uint64_t version;

	g_assert_cmpint(find(a, "s", START_MS, &version), ==, ORIGIN_ASKED);
	ask(a, b, 7, START_MS);
	g_assert_cmpint(find(a, "s", START_MS, &version), ==, ORIGIN_FOUND);
	g_assert_cmpuint(version, ==, version_id("v1"));
	/* One of the nodes that it asks is dead. */
	find(a, "u", START_MS, &version);
	ask(a, NULL, 8, START_MS);
	ask(a, b, 7, START_MS + 100);
	ask(a, b, 7, START_MS + 200);
	g_assert_cmpint(find(a, "u", START_MS + 200, &version), ==,
			ORIGIN_FOUND);
	/* All nodes that it asks are dead. */
	find(a, "t", START_MS, &version);
	ask(a, NULL, 7, START_MS);
	g_assert_cmpint(find(a, "t", START_MS + ORIGIN_LOOKUP_MS, &version), ==,
			ORIGIN_FOUND);
	origins_free(a);
	origins_free(b);
}

/* Go on reading lists that don't change. */
static void confirm_lists(struct origins *a, struct origins *b, int64_t from_ms,
			  int64_t to_ms)
{
	for (int64_t now = from_ms; now <= to_ms; now += 1000) {
		origins_set_list_time(a, now, false, now);
		origins_set_list_time(b, now, false, now);
	}
}

/* A version is forgotten while its streams may be taken up, or never. */
static void test_version_expires(void)
{
	struct origins *a = node_new("v1", "v2"), *b = node_new("v1", "v2");
	int64_t gone_ms = START_MS + 10;
	uint64_t version;

	set_versions(a, gone_ms, "v2", NULL);
	set_versions(b, gone_ms, "v2", NULL);
	confirm_lists(a, b, gone_ms, gone_ms + KEPT_MS - 2000);
	find(a, "s", gone_ms + KEPT_MS - 2000, &version);
	ask(a, b, 7, gone_ms + KEPT_MS - 2000);
	ask(a, b, 7, gone_ms + KEPT_MS - 1900);
	g_assert_cmpint(find(a, "s", gone_ms + KEPT_MS - 1900, &version), ==,
			ORIGIN_UNKNOWN);
	origins_sweep(a, gone_ms + KEPT_MS);
	confirm_lists(a, b, gone_ms + KEPT_MS - 2000, gone_ms + KEPT_MS);
	find(a, "s", gone_ms + KEPT_MS, &version);
	ask(a, b, 7, gone_ms + KEPT_MS);
	g_assert_cmpint(find(a, "s", gone_ms + KEPT_MS, &version), ==,
			ORIGIN_FOUND);
	g_assert_cmpuint(version, ==, version_id("v2"));
	origins_free(a);
	origins_free(b);
}

/* A node that has just started takes the only version for the first one. */
static void test_history_unknown(void)
{
	struct origins *o = origins_new(), *other = node_new("v1", "v2");
	json_t *saved;
	uint64_t version;

	set_versions(o, START_MS, "v2", NULL);
	find(o, "s", START_MS, &version);
	origins_settle_alone(o,
			     &(struct origin_question){
				     str_hash(STR_LIT("s"), 0), service_id()},
			     START_MS);
	/* What was saved may still be read. */
	g_assert_cmpint(find(o, "s", START_MS, &version), ==, ORIGIN_ASKED);
	g_assert_cmpint(find(o, "s", START_MS + ORIGIN_LOOKUP_MS, &version), ==,
			ORIGIN_UNKNOWN);
	saved = origins_versions(other, START_MS);
	origins_load_versions(o, saved, START_MS);
	find(o, "t", START_MS, &version);
	ask(o, NULL, 7, START_MS);
	g_assert_cmpint(find(o, "t", START_MS + ORIGIN_LOOKUP_MS, &version), ==,
			ORIGIN_UNKNOWN);
	json_decref(saved);
	origins_free(o);
	origins_free(other);
}

/* A second record of a stream replaces the first, or records are kept on. */
static void test_first_record_stays(void)
{
	struct origins *o = node_new("v1", "v2");
	uint64_t version;

	origins_record(o, str_c("s"), service, version_id("v1"), START_MS);
	origins_record(o, str_c("s"), service, version_id("v2"), START_MS);
	find(o, "s", START_MS, &version);
	g_assert_cmpuint(version, ==, version_id("v1"));
	origins_sweep(o, START_MS + KEPT_MS);
	g_assert_cmpint(find(o, "s", START_MS + KEPT_MS, &version), ==,
			ORIGIN_ASKED);
	origins_free(o);
}

/*
 * Return the share of the streams of dead nodes of which a live node that is
 * asked holds a record. detected: the dead are no longer listed.
 */
static double share_found(size_t nodes, double dead_share, bool detected)
{
	GRand *rand = g_rand_new_with_seed(28);
	uint64_t ids[NODES], listed[NODES], holders[ORIGIN_SMALL_FLEET];
	uint64_t asked[ORIGIN_SMALL_FLEET];
	size_t live = 0, found = 0;
	GHashTable *dead = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (size_t i = 0; i < nodes; i++)
		ids[i] = str_hash(STR_LIT("node"), i);
	for (size_t i = 0; i < nodes; i++)
		if ((double)i < dead_share * (double)nodes)
			g_hash_table_add(dead, &ids[i]);
		else
			listed[live++] = ids[i];
	for (size_t s = 0; s < STREAMS; s++) {
		uint64_t request =
			((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
		uint64_t began =
			ids[g_rand_int_range(rand, 0, (gint32)(nodes - live))];
		size_t held = origin_holders(request, ids, nodes, 1, holders);
		size_t n = origin_holders(request, detected ? listed : ids,
					  detected ? live : nodes, 2, asked);
		bool any = false;

		for (size_t i = 0; i < held; i++)
			for (size_t k = 0; k < n; k++)
				any |= holders[i] == asked[k] &&
				       holders[i] != began &&
				       !g_hash_table_contains(dead,
							      &holders[i]);
		found += any;
	}
	g_hash_table_unref(dead);
	g_rand_free(rand);
	return (double)found / STREAMS;
}

/* Fewer than half of the streams go on when many nodes are lost at once. */
static void test_nodes_lost(void)
{
	static const struct {
		size_t nodes;
		double dead_share;
	} cases[] = {{6, 0.8}, {9, 0.8}, {24, 0.8}, {73, 0.55}, {NODES, 0.55}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		for (int detected = 0; detected < 2; detected++) {
			double share = share_found(
				cases[i].nodes, cases[i].dead_share, detected);

			g_test_message("%zu nodes, %.2f lost, detected %d: "
				       "%.3f found",
				       cases[i].nodes, cases[i].dead_share,
				       detected, share);
			g_assert_cmpfloat(share, >, 0.5);
		}
}

/* A question about a stream makes the node ask the others. */
static void test_known(void)
{
	struct origins *a = node_new("v1", "v2"), *b = node_new("v1", "v2");
	struct str id = STR_LIT("s");
	struct origin_question q;
	uint64_t version;
	unsigned rounds;

	g_assert_cmpint(origins_find_known(a, id, service, START_MS, &version),
			==, ORIGIN_ASKED);
	g_assert_false(origins_next_question(a, START_MS, &q, &rounds));
	/* A look-up that has found nothing is known until it is forgotten. */
	find(a, "s", START_MS, &version);
	ask(a, b, 7, START_MS);
	ask(a, b, 7, START_MS + 100);
	g_assert_cmpint(find(a, "s", START_MS + 100, &version), ==,
			ORIGIN_UNKNOWN);
	g_assert_cmpint(
		origins_find_known(a, id, service, START_MS + 100, &version),
		==, ORIGIN_UNKNOWN);
	origins_record(a, id, service, version_id("v2"), START_MS + 200);
	g_assert_cmpint(
		origins_find_known(a, id, service, START_MS + 200, &version),
		==, ORIGIN_FOUND);
	g_assert_cmpuint(version, ==, version_id("v2"));
	origins_free(a);
	origins_free(b);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} tests[] = {
		{"began-before-second", test_began_before_second},
		{"record-on-the-way", test_record_on_the_way},
		{"list-out-of-date", test_list_out_of_date},
		{"sole-version", test_sole_version},
		{"version-expires", test_version_expires},
		{"history-unknown", test_history_unknown},
		{"first-record-stays", test_first_record_stays},
		{"nodes-lost", test_nodes_lost},
		{"known", test_known},
	};

	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
		char *path =
			g_strconcat("/entry/origins/", tests[i].name, NULL);

		g_test_add_func(path, tests[i].run);
		g_free(path);
	}
	return g_test_run();
}
