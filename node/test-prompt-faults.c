/*
 * Chats whose system message crashes each engine that begins to answer them,
 * with real processes.
 */
#include <curl/curl.h>
#include <string.h>

#include "node/test-harness.h"

#define ENGINES 2
#define BAD     "You are deadly."
#define SOUND   "You are sound."
/* Crashes after which the node has to know the message. */
#define CRASHES 5
#define ROUNDS  8

static int status_of(struct rig *g, const char *system)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	static int next;
	char *question = g_strdup_printf("question %d", next++);
	json_t *j = json_pack("{s:s,s:i,s:[{s:s,s:s},{s:s,s:s}]}", "model",
			      "assistant", "max_tokens", 5, "messages", "role",
			      "system", "content", system, "role", "user",
			      "content", question);
	char *body = json_dumps(j, JSON_COMPACT);
	struct reply r = call_local(g->nodes[0].port, "POST",
				    "/v1/chat/completions", headers, body);
	int status = r.status;

	reply_clear(&r);
	free(body);
	json_decref(j);
	g_free(question);
	return status;
}

/* Start the engines that have crashed again; return their number. */
static int restart_engines(struct rig *g)
{
	int n = rig_restart_engines(g);

	for (unsigned i = 0; i < ENGINES; i++)
		proc_set_faults(&g->engines[i], "{\"crash_word\":\"deadly\"}");
	return n;
}

/* A message goes on to crash engines, and is repeated at the next one. */
static void test_message_stops(void)
{
	struct rig *g = rig_new(ENGINES, 1, NULL);
	int crashes = 0;

	rig_start(g);
	restart_engines(g);
	for (int i = 0; i < ROUNDS && crashes < CRASHES; i++) {
		status_of(g, BAD);
		crashes += restart_engines(g);
		WAIT_UNTIL(status_of(g, SOUND) == 200);
	}
	g_assert_cmpint(crashes, >=, 4);
	g_usleep(500 * 1000);
	for (int i = 0; i < 3; i++)
		g_assert_cmpint(status_of(g, BAD), ==, 503);
	g_assert_cmpint(restart_engines(g), ==, 0);
	g_assert_cmpint(status_of(g, SOUND), ==, 200);
	rig_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/chat-faults/message-stops", test_message_stops);
	return g_test_run();
}
