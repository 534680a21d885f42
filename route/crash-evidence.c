/*
 * A request that comes often is in progress at most targets, so it is among
 * those that any crash breaks. That it was there says nothing; what does is
 * that no response to it has begun since, in a time in which some would have.
 *
 * A key that was sound within RECENT_SOUND_MS before its first crash therefore
 * has PROOF_MS more after the crashes that block others. Any response with it
 * in this time, at any node, clears it. It is blocked then if OTHERS_MIN
 * responses with other keys have begun since its last crash, which says that
 * targets work, or if a later crash follows; and before that after MOMENTS_MAX
 * moments. As PROOF_MS is less than ContactMs, a key that was sound and now
 * crashes targets costs none that the rules count as long as others are served,
 * and otherwise one.
 */
#include <string.h>

#include "route/crash-evidence.h"

/* See the top. */
#define RECENT_SOUND_MS 5000
#define PROOF_MS        1000
#define MOMENTS_MAX     6
#define OTHERS_MIN      4
/* Slots, of one key each; a power of 2. */
#define SLOTS 4096

struct sound_runs {
	struct sound_run v[SLOTS];
};

struct sound_runs *sound_runs_new(void)
{
	return g_new0(struct sound_runs, 1);
}

void sound_runs_free(struct sound_runs *s)
{
	g_free(s);
}

static struct sound_run *slot_of(struct sound_runs *s, uint64_t key)
{
	return &s->v[(key ^ key >> 32) % SLOTS];
}

/*
 * Keys that share a slot count each other down, so the one that comes most
 * often has it: most requests never come again.
 */
void sound_runs_add(struct sound_runs *s, uint64_t key, int64_t began_ms)
{
	struct sound_run *r = slot_of(s, key);

	if (r->key != key && r->count &&
	    began_ms - r->last_ms < RECENT_SOUND_MS) {
		r->count--;
		return;
	}
	if (r->key != key)
		*r = (struct sound_run){.key = key};
	r->count += r->count < UINT32_MAX;
	r->last_ms = MAX(r->last_ms, began_ms);
}

struct sound_run sound_runs_get(const struct sound_runs *s, uint64_t key)
{
	const struct sound_run *r = slot_of((struct sound_runs *)s, key);

	return r->key == key ? *r : (struct sound_run){0};
}

size_t crash_evidence_moments(const struct cause_record *r)
{
	int64_t last_ms = 0;
	size_t n = 0;

	for (uint32_t i = 0; i < r->crash_count; i++) {
		if (i && r->crashes[i].at_ms - last_ms < CRASH_GAP_MS)
			continue;
		last_ms = r->crashes[i].at_ms;
		n++;
	}
	return n;
}

bool crash_evidence_was_sound(const struct cause_record *r)
{
	return r->began_ms && r->crash_count &&
	       r->crashes[0].at_ms - r->began_ms <= RECENT_SOUND_MS;
}

bool crash_evidence_suffices(const struct cause_record *r, size_t min,
			     uint64_t others, int64_t now_ms)
{
	int64_t until_ms = others >= OTHERS_MIN ? now_ms : 0;

	if (r->crash_count < min)
		return false;
	until_ms = MAX(until_ms, r->crashes[r->crash_count - 1].at_ms);
	return !crash_evidence_was_sound(r) ||
	       crash_evidence_moments(r) >= MOMENTS_MAX ||
	       until_ms - r->crashes[min - 1].at_ms >= PROOF_MS;
}

/* Return the place of the crash that comes soonest after the one before it. */
static uint32_t closest_crash(const struct cause_crash *v, uint32_t n)
{
	uint32_t best = 1;

	for (uint32_t i = 2; i < n; i++)
		if (v[i].at_ms - v[i - 1].at_ms <
		    v[best].at_ms - v[best - 1].at_ms)
			best = i;
	return best;
}

bool crash_evidence_add(struct cause_record *r, const struct cause_crash *c)
{
	struct cause_crash v[CAUSE_CRASHES_MAX + 1];
	uint32_t n = r->crash_count, i = n, closest;

	for (; i > 0 && r->crashes[i - 1].at_ms > c->at_ms; i--)
		;
	memcpy(v, r->crashes, i * sizeof(*v));
	v[i] = *c;
	memcpy(v + i + 1, r->crashes + i, (n++ - i) * sizeof(*v));
	if (n > CAUSE_CRASHES_MAX) {
		closest = closest_crash(v, n--);
		memmove(v + closest, v + closest + 1,
			(n - closest) * sizeof(*v));
		if (closest == i)
			return false;
	}
	memcpy(r->crashes, v, n * sizeof(*v));
	r->crash_count = n;
	return true;
}

bool crash_evidence_has(const struct cause_record *r, uint32_t target)
{
	for (uint32_t i = 0; i < r->crash_count; i++)
		if (r->crashes[i].target == target)
			return true;
	return false;
}

/* Whether all crashes of a are crashes of b. */
static bool is_within(const struct cause_record *a,
		      const struct cause_record *b)
{
	for (uint32_t i = 0; i < a->crash_count; i++)
		if (!crash_evidence_has(b, a->crashes[i].target))
			return false;
	return true;
}

bool crash_evidence_is_likelier(const struct cause_record *a,
				const struct cause_record *b)
{
	if (!a->began_ms != !b->began_ms)
		return !a->began_ms;
	if (a->whole != b->whole)
		return a->whole ? is_within(b, a) : !is_within(a, b);
	if (a->whole)
		return a->crash_count > b->crash_count;
	if (is_within(a, b) || is_within(b, a))
		return a->depth > b->depth;
	return a->crash_count > b->crash_count;
}
