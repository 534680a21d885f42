/*
 * What says that a target is cold, from the list, the configuration, notices,
 * the end of an evacuation and a pause of the process, with targets and views
 * that are made by hand.
 */
#include <string.h>
#include <talloc.h>

#include "entry/evacuations.h"

#define TARGETS   3
#define WARMUP_MS 30000
/* The first share of a node has settled this long after its start. */
#define SETTLED_MS 5000
/* Time after which a target that becomes cold gets a request. */
#define FIRST_SLOT_MS 1100

struct fixture {
	struct entry e;
	struct target targets[TARGETS]; /* in zone a, a, b */
	struct entry_service services[2];
	int64_t now_ms;
};

static struct fixture *fixture_new(double overshoot)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct traffic *tr = &f->e.tr;
	static const uint64_t nodes[] = {1};

	f->now_ms = time_boot_ms();
	f->e.settings.bounds_warmup_overshoot = overshoot;
	f->e.settings.bounds_warmup_allowance = 5;
	f->e.control_settings = f->e.settings;
	f->e.notices = notices_new();
	f->e.evacuations = entry_evacuations_new(&f->e);
	f->e.warmup = warmup_new(1, warmups_log, NULL);
	warmup_set_nodes(f->e.warmup, nodes, 1, f->now_ms - SETTLED_MS);
	tr->e = &f->e;
	tr->settings = &f->e.settings;
	tr->targets = g_hash_table_new(g_int64_hash, g_int64_equal);
	tr->config = entry_config_new();
	f->services[0] = (struct entry_service){.name = STR_LIT("other")};
	f->services[1] = (struct entry_service){.name = STR_LIT("pool"),
						.warmup_ms = WARMUP_MS,
						.warmup_per_s = 8.8};
	tr->config->services = f->services;
	tr->config->service_count = 2;
	for (size_t i = 0; i < TARGETS; i++) {
		struct target *t = &f->targets[i];

		t->tr = tr;
		t->info.id = i + 1;
		t->info.service = STR_LIT("pool");
		t->info.zone = i < 2 ? STR_LIT("a") : STR_LIT("b");
		t->zone = evacuation_zone_id(t->info.zone);
		t->listed = true;
		g_hash_table_insert(tr->targets, &t->info.id, t);
	}
	return f;
}

static void fixture_free(struct fixture *f)
{
	g_hash_table_unref(f->e.tr.targets);
	entry_config_unref(f->e.tr.config);
	notices_free(f->e.notices);
	evacuations_free(f->e.evacuations);
	warmup_free(f->e.warmup);
	g_free(f);
}

/* The evacuation of a zone ends at a moment, and its targets are asked for. */
static void end_evacuation(struct fixture *f, const char *zone, int64_t at_ms)
{
	struct evacuations *e = f->e.evacuations;
	uint64_t id = evacuation_zone_id(str_c(zone));

	evacuations_row_changed(e, id, zone, true, at_ms - 1, at_ms - 1);
	evacuations_row_changed(e, id, zone, false, at_ms, at_ms);
	for (size_t i = 0; i < TARGETS; i++)
		warmups_next_ms(&f->targets[i], f->now_ms);
}

static bool is_cold(struct fixture *f, size_t i)
{
	return warmup_until_ms(f->e.warmup, f->targets[i].info.id, f->now_ms);
}

static bool may_send(struct fixture *f, size_t i)
{
	return warmups_next_ms(&f->targets[i], f->now_ms) <= f->now_ms;
}

/*
 * A target that joined before the configuration came is taken for warm, or one
 * whose start isn't known or long ago for cold.
 */
static void test_joined(void)
{
	struct fixture *f = fixture_new(1.5);
	struct entry_config *c = f->e.tr.config;

	f->targets[0].joined_ms = f->now_ms - 1000;
	f->targets[1].joined_ms = f->now_ms - WARMUP_MS - 1000;
	f->e.tr.config = NULL;
	warmups_update(&f->e.tr);
	g_assert_true(may_send(f, 0));
	f->e.tr.config = c;
	warmups_update(&f->e.tr);
	g_assert_true(is_cold(f, 0));
	g_assert_false(may_send(f, 0));
	g_assert_false(is_cold(f, 1));
	g_assert_false(is_cold(f, 2));
	fixture_free(f);
}

/* A deployment without the setting, or a service without a rate, is limited. */
static void test_not_configured(void)
{
	struct fixture *f = fixture_new(0);

	f->targets[0].joined_ms = f->now_ms;
	f->targets[0].info.warmup_left_ms = 5000;
	warmups_update(&f->e.tr);
	warmups_read_row(&f->e, &f->targets[0].info, f->now_ms);
	end_evacuation(f, "a", f->now_ms);
	g_assert_false(warmup_any(f->e.warmup));
	g_assert_false(notices_any(f->e.notices, NOTICE_TARGET_COLD));
	f->e.settings.bounds_warmup_overshoot = 1.5;
	f->services[1].warmup_per_s = 0;
	warmups_update(&f->e.tr);
	g_assert_true(may_send(f, 0));
	fixture_free(f);
}

/* A row is not told to other nodes, or what they tell has no effect. */
static void test_row_and_notice(void)
{
	struct fixture *f = fixture_new(1.5);
	struct notice v;

	f->targets[0].info.warmup_left_ms = 5000;
	f->e.control_settings.bounds_warmup_overshoot = 1.5;
	warmups_read_row(&f->e, &f->targets[0].info, f->now_ms);
	g_assert_true(is_cold(f, 0));
	g_assert_cmpuint(notices_take_updates(f->e.notices, &v, 1), ==, 1);
	g_assert_cmpint(v.kind, ==, NOTICE_TARGET_COLD);
	g_assert_cmpint(v.value, ==, 5000);
	/* From another node, 1 s ago, with a value out of all bounds. */
	v = (struct notice){NOTICE_TARGET_COLD, 2, INT64_MAX, f->now_ms - 1000};
	notices_receive(f->e.notices, &v);
	g_assert_false(may_send(f, 1));
	g_assert_true(is_cold(f, 1));
	/* It has ended meanwhile. */
	v = (struct notice){NOTICE_TARGET_COLD, 3, 900, f->now_ms - 1000};
	notices_receive(f->e.notices, &v);
	g_assert_true(may_send(f, 2));
	fixture_free(f);
}

/*
 * The targets of another zone become cold when an evacuation ends, or those of
 * the zone don't.
 */
static void test_zone_returned(void)
{
	struct fixture *f = fixture_new(1.5);
	int64_t until_ms = f->now_ms - 2000 + WARMUP_MS;

	end_evacuation(f, "a", f->now_ms - 2000);
	for (size_t i = 0; i < TARGETS; i++)
		g_assert_cmpint(warmup_until_ms(f->e.warmup, i + 1, f->now_ms),
				==, i < 2 ? until_ms : 0);
	/* Said again, and of an evacuation that ended long ago. */
	end_evacuation(f, "a", f->now_ms - 2000);
	end_evacuation(f, "b", f->now_ms - WARMUP_MS);
	g_assert_false(is_cold(f, 2));
	fixture_free(f);
}

/*
 * A process that goes on after a pause sends all that it held by what it knew
 * before, whether or not a timer runs first.
 */
static void test_pause(void)
{
	for (int timer_first = 0; timer_first < 2; timer_first++) {
		struct fixture *f = fixture_new(1.5);
		int sent = 0;

		warmups_tick(&f->e.tr, f->now_ms);
		f->now_ms += 1500;
		warmups_tick(&f->e.tr, f->now_ms);
		g_assert_false(is_cold(f, 0));
		f->now_ms += 8000;
		if (timer_first)
			warmups_tick(&f->e.tr, f->now_ms);
		while (sent < 100 && may_send(f, 0)) {
			warmups_take(&f->targets[0], f->now_ms);
			sent++;
		}
		/* 0.6 x (8.8 x 1.5 + 5), rounded up. */
		g_assert_cmpint(sent, ==, 11);
		f->now_ms += 1500;
		g_assert_true(may_send(f, 0));
		warmups_tick(&f->e.tr, f->now_ms);
		g_assert_false(warmup_any(f->e.warmup));
		fixture_free(f);
	}
}

/* A caller is told to wait to the end of a long warm-up. */
static void test_retry(void)
{
	struct fixture *f = fixture_new(1.5);
	uint64_t nodes[100];

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		nodes[i] = 100 + i;
	/* 1 is not among the first of them for some target. */
	warmup_set_nodes(f->e.warmup, nodes, G_N_ELEMENTS(nodes), f->now_ms);
	for (size_t i = 0; i < TARGETS; i++) {
		f->targets[i].joined_ms = f->now_ms;
		warmups_update(&f->e.tr);
		g_assert_cmpint(warmups_retry_ms(&f->targets[i], f->now_ms), >,
				f->now_ms);
		g_assert_cmpint(warmups_retry_ms(&f->targets[i], f->now_ms), <=,
				f->now_ms + 1100);
	}
	fixture_free(f);
}

/* A request that is sent isn't counted, or a slot is never free again. */
static void test_take(void)
{
	struct fixture *f = fixture_new(1.5);
	int sent = 0;

	warmups_tick(&f->e.tr, f->now_ms);
	f->targets[0].joined_ms = f->now_ms;
	warmups_update(&f->e.tr);
	g_assert_false(may_send(f, 0));
	f->now_ms += FIRST_SLOT_MS + 100;
	for (; sent < 100 && may_send(f, 0); sent++)
		warmups_take(&f->targets[0], f->now_ms);
	g_assert_cmpint(sent, ==, 11);
	g_assert_cmpint(warmups_next_ms(&f->targets[0], f->now_ms), ==,
			f->now_ms + FIRST_SLOT_MS);
	fixture_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	g_test_add_func("/entry/warmups/joined", test_joined);
	g_test_add_func("/entry/warmups/not-configured", test_not_configured);
	g_test_add_func("/entry/warmups/row-and-notice", test_row_and_notice);
	g_test_add_func("/entry/warmups/zone-returned", test_zone_returned);
	g_test_add_func("/entry/warmups/pause", test_pause);
	g_test_add_func("/entry/warmups/retry", test_retry);
	g_test_add_func("/entry/warmups/take", test_take);
	return g_test_run();
}
