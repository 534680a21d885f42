/*
 * crash-causes: finds the parts of prompts that crash the targets which begin
 * to respond to them, and tells which requests to refuse for it.
 *
 * Each node records the attempts that broke before a response began, and those
 * that began. Nodes send each other these records, so that crashes count which
 * no two of them have seen together. Pure state: times are given by the caller,
 * in ms of its own clock. A lock protects it, so any thread may call each
 * function. See crash-causes.c.
 */
#ifndef CRASH_CAUSES_H
#define CRASH_CAUSES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Crashes that are kept of a part: the first ones and the last. */
#define CAUSE_CRASHES_MAX 12
/* A part is blocked until no request with it has come for this long. */
#define CAUSE_BLOCK_IDLE_MS 60000

struct crash_causes;

/* A target crashed that was to begin a response. */
struct cause_crash {
	uint32_t target;  /* low bits of its id, which a restart changes */
	uint32_t request; /* low bits of the hash of the prompt's last part */
	int64_t at_ms;
};

/* What is known of a part. */
struct cause_record {
	uint64_t part;    /* hash of its id */
	int64_t began_ms; /* when a response with it last began; 0: not known */
	int64_t asked_ms; /* when a request with it was last refused; 0: never
			   */
	uint32_t depth;   /* number of parts before it in the prompt */
	bool blocked;     /* requests with it are refused */
	uint32_t crash_count;
	struct cause_crash crashes[CAUSE_CRASHES_MAX]; /* oldest first */
};

/* The shared parts of a prompt, in their order, as hashes. */
struct cause_keys {
	const uint64_t *v;
	size_t n;
};

/*
 * Called when a part is blocked or freed, by whichever function finds it; must
 * not call back. why: a word for the log.
 */
typedef void cause_changed_fn(void *ctx, const struct cause_record *r,
			      const char *why);

/* changed may be NULL. */
struct crash_causes *crash_causes_new(cause_changed_fn *changed, void *ctx);
void crash_causes_free(struct crash_causes *f);

/*
 * An attempt broke before its response began. request: hash of the prompt's
 * last part, which a caller's next attempt has as well.
 */
void crash_causes_crashed(struct crash_causes *f, struct cause_keys p,
			  uint64_t request, uint64_t target, int64_t now_ms);
/* A response began at a time, and its target has not crashed since. */
void crash_causes_began(struct crash_causes *f, struct cause_keys p,
			int64_t began_ms);
/*
 * Return whether to refuse a request, which counts as one that came with the
 * blocked part.
 */
bool crash_causes_block(struct crash_causes *f, struct cause_keys p,
			int64_t now_ms);
/* Decide which parts are blocked. To be called several times a second. */
void crash_causes_decide(struct crash_causes *f, int64_t now_ms);

/*
 * Take records that other nodes lack, at most max; each is taken as often as
 * the last crash_causes_set_rounds says. Return their number.
 */
size_t crash_causes_take_updates(struct crash_causes *f,
				 struct cause_record *out, size_t max);
/* List the blocked parts and those most suspected; return their number. */
size_t crash_causes_list(struct crash_causes *f, struct cause_record *out,
			 size_t max);
/* Return a counter that grows when a part is blocked or freed. */
uint64_t crash_causes_changes(struct crash_causes *f);
/*
 * Set how often a record is sent, and whether those that came from another node
 * are sent on.
 */
void crash_causes_set_rounds(struct crash_causes *f, unsigned rounds,
			     bool forward);
/* Merge another node's record; its times are converted to this clock. */
void crash_causes_receive(struct crash_causes *f, const struct cause_record *r,
			  int64_t now_ms);

#endif
