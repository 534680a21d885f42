/*
 * call METHOD URL [BODY]: make one HTTP call, for scripts. Print the body of
 * the response; exit with 0 only if its status is 2xx.
 */
#include <curl/curl.h>
#include <stdio.h>

#include "standin/standin.h"

#define CALL_TIMEOUT_MS 10000

static void on_done(const struct fetch_result *r, void *arg)
{
	*(int *)arg = r->status ? r->status : -1;
	fwrite(r->body.data ? r->body.data : "", 1, r->body.len, stdout);
	putchar('\n');
}

int main(int argc, char **argv)
{
	struct fetcher *f;
	int status = 0;

	if (argc < 3 || argc > 4) {
		fprintf(stderr, "usage: %s METHOD URL [BODY]\n", argv[0]);
		return 2;
	}
	block_stop_signals();
	curl_global_init(CURL_GLOBAL_ALL);
	f = fetcher_new();
	fetch(f, argv[1], argv[2], str_c(argv[3]), CALL_TIMEOUT_MS, on_done,
	      &status);
	while (!status)
		fetcher_poll(f, NULL, 0, 100);
	fetcher_free(f);
	return status >= 200 && status < 300 ? 0 : 1;
}
