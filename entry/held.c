/* Who gives way when callers hold too much. See held.h. */
#include "entry/held.h"

#define MB_BYTES 1048576
/* Share of the process's memory that callers may take. */
#define HELD_SHARE 0.5
/* Part of it that is left to callers that hold little. */
#define SMALL_PART  0.2
#define SMALL_BYTES 65536
/* Waiting output of one caller, while there is room and when it is short. */
#define UNSENT_MAX_BYTES   262144
#define UNSENT_SHORT_BYTES 32768

static double share_bytes(int64_t memory_mb)
{
	return HELD_SHARE * (double)memory_mb * MB_BYTES;
}

int64_t held_max(int64_t memory_mb, size_t holder_bytes)
{
	double part = holder_bytes > SMALL_BYTES ? 1 - SMALL_PART : 1;

	return (int64_t)(part * share_bytes(memory_mb));
}

size_t held_unsent_max(int64_t memory_mb, int64_t held_bytes)
{
	double taken = (double)held_bytes / share_bytes(memory_mb);

	if (taken < 0.5)
		return UNSENT_MAX_BYTES;
	return taken < 1 - SMALL_PART ? UNSENT_SHORT_BYTES : 0;
}

bool held_may_end(const struct holder *h, const struct holder *asker)
{
	if (h->state == HOLDER_IDLE)
		return asker->bytes <= SMALL_BYTES;
	return h->state == HOLDER_UNSERVED && h->bytes > asker->bytes;
}

bool held_ends_before(const struct holder *a, const struct holder *b)
{
	if (a->state != b->state)
		return a->state < b->state;
	if (a->state == HOLDER_IDLE)
		return a->since_ms < b->since_ms;
	return a->bytes > b->bytes;
}

/* Rank of a connection whose descriptor is needed; the lowest goes first. */
static int rank(const struct holder *h, int64_t now_ms)
{
	switch (h->state) {
	case HOLDER_IDLE:
		return now_ms - h->since_ms < HELD_REQUEST_DUE_MS ? 3 : 0;
	case HOLDER_REFUSED:
		return 1;
	case HOLDER_UNSERVED:
		return 2;
	default:
		return 4;
	}
}

bool held_closes_before(const struct holder *a, const struct holder *b,
			int64_t now_ms)
{
	int x = rank(a, now_ms), y = rank(b, now_ms);

	return x != y ? x < y : a->since_ms < b->since_ms;
}
