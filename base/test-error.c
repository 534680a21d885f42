/* The table of errors, and the JSON body of an error response. */
#include <string.h>

#include "base/base.h"

/* An error after which the work may have run must not be called "not-run". */
static void test_outcomes(void)
{
	static const struct {
		enum ramp_error kind;
		enum outcome outcome;
	} cases[] = {
		{RAMP_ERR_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN},
		{RAMP_ERR_TIMED_OUT, OUTCOME_UNKNOWN},
		{RAMP_ERR_IN_PROGRESS, OUTCOME_UNKNOWN},
		{RAMP_ERR_TARGET_FAILED, OUTCOME_FAILED},
		{RAMP_ERR_OVERLOADED, OUTCOME_NOT_RUN},
		{RAMP_ERR_DEADLINE_PASSED, OUTCOME_NOT_RUN},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(error_responses[cases[i].kind].outcome, ==,
				cases[i].outcome);
}

static void test_table_is_complete(void)
{
	for (int i = 0; i < RAMP_ERR_COUNT; i++) {
		g_assert_cmpint(error_responses[i].http_status, >=, 400);
		g_assert_cmpint(error_responses[i].http_status, <, 600);
		g_assert_cmpuint(strlen(error_responses[i].text), >, 0);
	}
}

static void test_json(void)
{
	json_t *j = ramp_error_json(RAMP_ERR_OVERLOADED, NULL, 77);
	json_t *e = json_object_get(j, "error");

	g_assert_cmpstr(json_string_value(json_object_get(e, "outcome")), ==,
			"not-run");
	g_assert_cmpint(json_integer_value(json_object_get(e, "retry_at_ms")),
			==, 77);
	json_decref(j);
	/* A detail that is not UTF-8 can not be encoded as JSON. */
	j = ramp_error_json(RAMP_ERR_BAD_REQUEST, "\xff", 0);
	g_assert_nonnull(json_object_get(j, "error"));
	json_decref(j);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/error/outcomes", test_outcomes);
	g_test_add_func("/base/error/table", test_table_is_complete);
	g_test_add_func("/base/error/json", test_json);
	return g_test_run();
}
