#include "route/route.h"

/* A plain answer takes some 30 ms; a lost packet is sent again after 200. */
#define PATIENCE_MIN_MS 300
/* Part of the time left: enough remains for a whole second try. */
#define PATIENCE_PART 3
/* A shorter silence is none: it is what an answer takes. */
#define SILENCE_MS 100

int64_t wait_patience_ms(int64_t aim_ms, int64_t left_ms)
{
	int64_t most = left_ms / PATIENCE_PART;
	int64_t least = aim_ms > PATIENCE_MIN_MS ? aim_ms : PATIENCE_MIN_MS;

	/* With so little left there is no second try. */
	if (most < SILENCE_MS)
		return left_ms;
	return least < most ? least : most;
}

enum wait_sign wait_sign(const struct wait_state *w, int64_t now_ms)
{
	int64_t since = w->heard_ms > w->sent_ms ? w->heard_ms : w->sent_ms;

	if (now_ms - since >= w->patience_ms)
		return WAIT_SILENT;
	if (w->begun_ms - w->sent_ms >= w->patience_ms)
		return WAIT_OVERTAKEN;
	return WAIT_BUSY;
}
