/* The Prometheus text of the metrics. */
#include <string.h>

#include "base/base.h"

static void test_text(void)
{
	char *s;

	metric_add(M_REQUESTS_TOTAL, 2);
	metric_add(M_REQUESTS_TOTAL, 1);
	metric_set(M_CONFIG_REVISION, 9);
	s = metrics_text();
	g_assert_nonnull(strstr(s, "# TYPE ramp_requests_total counter\n"));
	g_assert_nonnull(strstr(s, "\nramp_requests_total 3\n"));
	g_assert_nonnull(strstr(s, "\nramp_config_revision 9\n"));
	g_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/metric/text", test_text);
	return g_test_run();
}
