/*
 * crash-evidence: what speaks for and against a key as the cause of crashes
 * (route/crash-causes.h): when requests with it last ran without one, and
 * whether its crashes outweigh that.
 *
 * Pure state without a lock; the owner is crash-causes.c, under whose lock all
 * functions run. Times are in ms of the caller's clock.
 */
#ifndef CRASH_EVIDENCE_H
#define CRASH_EVIDENCE_H

#include "route/crash-causes.h"

/* When requests last ran soundly, and how often, of those that come often. */
struct sound_runs;

/* What is known of a key; all 0 if nothing is. */
struct sound_run {
	uint64_t key;
	int64_t last_ms;
	uint32_t count; /* since it is known; less for other keys in its slot */
};

struct sound_runs *sound_runs_new(void);
void sound_runs_free(struct sound_runs *s);
void sound_runs_add(struct sound_runs *s, uint64_t key, int64_t began_ms);
struct sound_run sound_runs_get(const struct sound_runs *s, uint64_t key);

/* Crashes closer together than this may have a cause outside the requests. */
#define CRASH_GAP_MS 150

/*
 * Add a crash in its order of time; return whether it was kept. If there are
 * too many, one of those goes that come soonest after another, so that the
 * record still tells a series from crashes at one moment. All nodes drop the
 * same.
 */
bool crash_evidence_add(struct cause_record *r, const struct cause_crash *c);

/* Count the moments of the key's crashes; see CRASH_GAP_MS. */
size_t crash_evidence_moments(const struct cause_record *r);

/*
 * Whether the key was sound shortly before its first crash, as is likely of one
 * that comes often and did not cause it.
 */
bool crash_evidence_was_sound(const struct cause_record *r);

/*
 * Whether the key's crashes, of which it has at least min, outweigh that it was
 * sound before. others: sound runs with other keys since its last crash.
 */
bool crash_evidence_suffices(const struct cause_record *r, size_t min,
			     uint64_t others, int64_t now_ms);

/* Whether a crash of the target is among those of the key. */
bool crash_evidence_has(const struct cause_record *r, uint32_t target);
/*
 * Whether a accounts for the crashes rather than b does. Parts that always come
 * together can't be told apart; the one that stands later in the prompt is in
 * fewer sound requests. A request that has all crashes of a part is likelier
 * than the part.
 */
bool crash_evidence_is_likelier(const struct cause_record *a,
				const struct cause_record *b);

#endif
