/* Operators who change resources concurrently through several nodes. */
#include <curl/curl.h>
#include <sodium.h>

#include "node/test-cluster.h"

#define SERVICE_BODY  "{\"spec\":{\"kind\":\"model\",\"pool\":\"p\"}}"
#define SERVICE_PATH  "/v1/resources/services/s"
#define REPLACES_EACH 20
#define CREATORS      8
#define SERVICES_EACH 10

static const char *argv0;

/* One of two operators who replace the same service concurrently. */
struct operator_run {
	const struct proc *node;
	int accepted, conflicts;
};

static void *replace_service(void *arg)
{
	struct operator_run *run = arg;
	int64_t version = 1;

	while (run->accepted < REPLACES_EACH) {
		char *precondition =
			g_strdup_printf("If-Match: %" G_GINT64_FORMAT, version);
		struct call_headers headers = {.key = OPERATOR_KEY,
					       .precondition = precondition};
		struct reply *r = admin_call(run->node, headers, "PUT",
					     SERVICE_PATH, SERVICE_BODY);

		if (r->status == 200) {
			run->accepted++;
			g_assert_cmpint(get_int(r->json, "version"), >,
					version);
		} else {
			run->conflicts++;
			g_assert_cmpint(r->status, ==, 409);
			g_assert_cmpint(get_int(r->json, "version"), >,
					version);
		}
		version = get_int(r->json, "version");
		reply_free(r);
		g_free(precondition);
	}
	return NULL;
}

/*
 * Every accepted replacement is applied once. The others are refused as
 * conflicts, with the current version.
 */
static void test_race(void)
{
	struct operator_run operators[2] = {0};
	GThread *threads[2];
	struct cluster cluster;
	json_t *service;

	launch(&cluster, argv0, 2);
	json_decref(operator_call(cluster.nodes[0], "If-None-Match: *", "PUT",
				  SERVICE_PATH, SERVICE_BODY, 201));
	for (int i = 0; i < 2; i++) {
		operators[i].node = cluster.nodes[i];
		threads[i] = g_thread_new("operator", replace_service,
					  &operators[i]);
	}
	for (int i = 0; i < 2; i++)
		g_thread_join(threads[i]);
	service = operator_call(cluster.nodes[0], NULL, "GET", SERVICE_PATH,
				NULL, 200);
	g_test_message("%d and %d conflicts", operators[0].conflicts,
		       operators[1].conflicts);
	g_assert_cmpint(get_int(service, "generation"), ==,
			1 + 2 * REPLACES_EACH);
	g_assert_cmpint(get_int(service, "version"), ==, 1 + 2 * REPLACES_EACH);
	json_decref(service);
	check_audit_trail(cluster.nodes[1]);
	cluster_stop(&cluster);
}

/* An operator who creates services of his own. */
struct creator {
	const struct proc *node;
	int number;
};

static void *create_services(void *arg)
{
	const struct creator *c = arg;

	for (int i = 0; i < SERVICES_EACH; i++) {
		char *path = g_strdup_printf("/v1/resources/services/s%d-%d",
					     c->number, i);

		json_decref(operator_call(c->node, "If-None-Match: *", "PUT",
					  path, SERVICE_BODY, 201));
		g_free(path);
	}
	return NULL;
}

/* Concurrent changes to different resources do not conflict. */
static void test_crowd(void)
{
	struct creator creators[CREATORS];
	GThread *threads[CREATORS];
	struct cluster cluster;
	json_t *services;

	launch(&cluster, argv0, 3);
	for (int i = 0; i < CREATORS; i++) {
		creators[i] = (struct creator){cluster.nodes[i % 3], i};
		threads[i] =
			g_thread_new("creator", create_services, &creators[i]);
	}
	for (int i = 0; i < CREATORS; i++)
		g_thread_join(threads[i]);
	services = operator_call(cluster.nodes[0], NULL, "GET",
				 "/v1/resources/services", NULL, 200);
	g_assert_cmpint(get_int(services, "revision"), ==,
			CREATORS * SERVICES_EACH);
	g_assert_cmpuint(json_array_size(json_object_get(services, "items")),
			 ==, CREATORS * SERVICES_EACH);
	json_decref(services);
	check_audit_trail(cluster.nodes[0]);
	cluster_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	argv0 = argv[0];
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return 1;
	g_test_add_func("/node/operators/race", test_race);
	g_test_add_func("/node/operators/crowd", test_crowd);
	return g_test_run();
}
