/*
 * The figures that shed.c gathers for its decisions. The functions of other
 * files that it calls are replaced here, so that loads and their age are those
 * of each test.
 */
#include <talloc.h>

#include "entry/shed.h"

static struct service_room room;
static int64_t newest_ms; /* of the loads */
static int replies;       /* errors that were sent */
static int64_t retry_after_ms;

struct service_room pool_service_room(struct traffic *tr,
				      const struct entry_service *s,
				      int64_t now_ms)
{
	(void)tr;
	(void)s;
	(void)now_ms;
	return room;
}

int64_t loads_newest_ms(struct loads *l)
{
	(void)l;
	return newest_ms;
}

int exchange_priority(const struct exchange *x)
{
	return x->route->priority;
}

int64_t exchange_time_left_ms(const struct exchange *x)
{
	return x->deadline_ms - time_boot_ms();
}

void exchange_reply_error(struct exchange *x, enum ramp_error kind)
{
	g_assert_cmpint(kind, ==, RAMP_ERR_OVERLOADED);
	retry_after_ms = x->shed_retry_after_ms;
	replies++;
}

static const struct dialect dialect = {
	.token_usage = STR_LIT("Token-Usage"),
	.length_hint = STR_LIT("Length-Hint"),
};

/* A node with one service, whose requests run for a second. */
struct fixture {
	struct entry e;
	struct entry_settings settings;
	struct peer_list peers;
	struct entry_config *config;
	struct route_destination destination;
	struct route_rule route;
	struct message request;
};

static struct exchange request_of(struct fixture *f, int64_t wait_ms)
{
	return (struct exchange){
		.tr = &f->e.tr,
		.request = &f->request,
		.config = f->config,
		.route = &f->route,
		.service = &f->config->services[0],
		.request_id = STR_LIT("r"),
		.deadline_ms = time_boot_ms() + wait_ms,
		.attempts = 1,
	};
}

/* Admit a request that runs for a second. */
static void run_one(struct fixture *f)
{
	struct exchange x = request_of(f, 60000);

	g_assert_false(shed_refuse(&x));
	x.sent_ms = time_boot_ms() - 1000;
	shed_record_begin(&x);
	shed_record_end(&x);
}

static struct fixture *fixture_new(bool shed)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct traffic *tr = &f->e.tr;

	f->settings.overload_shed = shed;
	f->settings.overload_interval_ms = 1000;
	f->peers.n = 2;
	f->destination.weight = 1;
	f->route = (struct route_rule){
		.name = STR_LIT("route"),
		.destinations = &f->destination,
		.destination_count = 1,
		.latency_target_ms = 100,
	};
	f->config = entry_config_new();
	f->config->routes = &f->route;
	f->config->route_count = 1;
	f->config->services =
		talloc_zero(f->config->arena, struct entry_service);
	f->config->service_count = 1;
	f->config->services[0].name = (struct str)STR_LIT("service");
	*tr = (struct traffic){
		.e = &f->e,
		.loop = ev_loop_new(EVFLAG_AUTO),
		.settings = &f->settings,
		.dialect = &dialect,
		.peers = &f->peers,
		.rand = g_rand_new_with_seed(1),
	};
	tr->shed = shed_new(tr);
	replies = 0;
	room = (struct service_room){.targets = 1, .load = 5, .slots = 10};
	newest_ms = time_boot_ms();
	for (int i = 0; i < 20; i++)
		run_one(f);
	/* The sum of the room is kept for some ms. */
	g_usleep(30000);
	return f;
}

static void fixture_free(struct fixture *f)
{
	shed_free(f->e.tr.shed);
	ev_loop_destroy(f->e.tr.loop);
	g_rand_free(f->e.tr.rand);
	f->config->route_count = 0;
	entry_config_unref(f->config);
	g_free(f);
}

/* Return whether a request with 2 s left is refused at nine times the slots. */
static bool is_refused(struct fixture *f)
{
	struct exchange x = request_of(f, 2000);

	return shed_refuse(&x);
}

/* What can't be served before its deadline is sent, or refused twice. */
static void test_refused(void)
{
	struct fixture *f = fixture_new(true);

	room.load = 90;
	g_assert_true(is_refused(f));
	g_assert_cmpint(replies, ==, 1);
	g_assert_cmpint(retry_after_ms, >=, 100);
	g_assert_cmpint(retry_after_ms, <=, 2000 / 3);
	fixture_free(f);
}

/* Setting overload.shed does nothing. */
static void test_off(void)
{
	struct fixture *f = fixture_new(false);

	room.load = 90;
	g_assert_false(is_refused(f));
	g_assert_null(f->e.tr.shed);
	fixture_free(f);
}

/* Loads that no node has reported for 3 s, or ever, refuse requests. */
static void test_no_reports(void)
{
	struct fixture *f = fixture_new(true);

	room.load = 90;
	newest_ms = time_boot_ms() - 3500;
	g_assert_false(is_refused(f));
	newest_ms = 0;
	g_assert_false(is_refused(f));
	/* A node without others has nobody to hear from. */
	f->peers.n = 1;
	g_assert_true(is_refused(f));
	fixture_free(f);
}

/* Targets that name no slots count as full. */
static void test_slotless(void)
{
	struct fixture *f = fixture_new(true);

	room.load = 90;
	room.slotless = 1;
	g_assert_false(is_refused(f));
	fixture_free(f);
}

/* Work is taken from malformed headers, or from the most it may be. */
static void test_tokens(void)
{
	static const struct {
		struct str usage, hint;
		double tokens;
	} cases[] = {
		{STR_LIT("1000,200"), {NULL, 0}, 1200},
		{STR_LIT("1000, 200"), STR_LIT("50"), 1050},
		{STR_LIT("1000,200"), STR_LIT("900"), 1200},
		{STR_LIT("1000,200"), STR_LIT("x"), 1200},
		{STR_LIT("0,1"), {NULL, 0}, 1},
		{{NULL, 0}, STR_LIT("50"), -1},
		{STR_LIT(""), {NULL, 0}, -1},
		{STR_LIT("1000"), {NULL, 0}, -1},
		{STR_LIT("1000,"), {NULL, 0}, -1},
		{STR_LIT("-5,10"), {NULL, 0}, -1},
		{STR_LIT("999999999999999999999,1"), {NULL, 0}, -1},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpfloat(shed_tokens(cases[i].usage, cases[i].hint),
				  ==, cases[i].tokens);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	g_test_add_func("/shed/refused", test_refused);
	g_test_add_func("/shed/off", test_off);
	g_test_add_func("/shed/no-reports", test_no_reports);
	g_test_add_func("/shed/slotless", test_slotless);
	g_test_add_func("/shed/tokens", test_tokens);
	return g_test_run();
}
