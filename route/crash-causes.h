/*
 * crash-causes: finds what crashes the targets that begin to respond to it, a
 * part of prompts or one request that comes again as it is, and tells which
 * requests to refuse for it.
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

/* Crashes that are kept of a key: the first ones and the last. */
#define CAUSE_CRASHES_MAX 12
/* A key is blocked until no request with it has come for this long. */
#define CAUSE_BLOCK_IDLE_MS 60000

struct crash_causes;

/* A target crashed that was to begin a response. */
struct cause_crash {
	uint32_t target; /* low bits of its id, which a restart changes */
	/*
	 * Low bits of what tells attempts apart: for a part of prompts the own
	 * part of the request, for a request the attempt of its caller.
	 */
	uint32_t attempt;
	int64_t at_ms;
};

/* What is known of a key. */
struct cause_record {
	uint64_t key;     /* hash of the part or of the request */
	int64_t began_ms; /* when a response with it last began; 0: not known */
	int64_t asked_ms; /* when a request with it was last refused; 0: never
			   */
	struct cause_crash crashes[CAUSE_CRASHES_MAX]; /* oldest first */
	uint32_t crash_count;
	uint32_t depth; /* of a part: number of those before it */
	bool whole;     /* of a request, not of a part of prompts */
	bool blocked;   /* requests with it are refused */
};

/* The keys of a request, as hashes. */
struct cause_keys {
	const uint64_t *parts; /* shared parts of the prompt, in their order */
	size_t n;
	uint64_t own;     /* the prompt's last part, which others don't have */
	uint64_t whole;   /* what stays when the request comes again; 0: none */
	uint64_t attempt; /* id of the caller's attempt */
};

/* Which of a request's keys is blocked. */
enum cause_block {
	CAUSE_NONE,
	CAUSE_PART,
	CAUSE_REQUEST,
};

enum cause_change {
	CAUSE_BLOCKED,
	CAUSE_FREED,
	CAUSE_TRIED, /* one request is let through to see whether it is sound */
};

struct cause_news {
	const struct cause_record *r;
	enum cause_change change;
	const char *why;      /* a word for the log */
	uint32_t sound_count; /* sound runs with the key seen by this node */
	unsigned trials;      /* of this node since the key's last crash */
};

/*
 * Called when a key is blocked, freed or tried, by whichever function finds it;
 * must not call back.
 */
typedef void cause_changed_fn(void *ctx, const struct cause_news *news);

/*
 * How nodes tell each other that one of them lets a request with a blocked key
 * through, so that the others wait for the result. Must not call back.
 */
struct trial_claims {
	/* Tell the others not to, for a time. */
	void (*hold)(void *ctx, uint64_t key, int64_t hold_ms, int64_t now_ms);
	/* Whether another node's claim, or an own one, still counts. */
	bool (*is_held)(void *ctx, uint64_t key, int64_t now_ms);
};

/* changed may be NULL. */
struct crash_causes *crash_causes_new(cause_changed_fn *changed, void *ctx);
void crash_causes_free(struct crash_causes *f);

/* Set the live nodes, this one included. */
void crash_causes_set_nodes(struct crash_causes *f, uint64_t self,
			    const uint64_t *nodes, size_t n);

/* Set how trials are told; without it this node knows its own only. */
void crash_causes_set_claims(struct crash_causes *f,
			     const struct trial_claims *claims, void *ctx);

/* An attempt broke before its response began, as its target crashed. */
void crash_causes_crashed(struct crash_causes *f, const struct cause_keys *k,
			  uint64_t target, int64_t now_ms);
/* A response began at a time, and its target has not crashed since. */
void crash_causes_began(struct crash_causes *f, const struct cause_keys *k,
			int64_t began_ms);
/*
 * The target has not crashed up to then, though connections broke. A response
 * is no sign of it, as a target may start again at its address under its name.
 */
void crash_causes_alive(struct crash_causes *f, uint64_t target,
			int64_t alive_ms);
/*
 * Return whether and why to refuse a request, which counts as one that came
 * with the blocked key.
 */
enum cause_block crash_causes_block(struct crash_causes *f,
				    const struct cause_keys *k, int64_t now_ms);
/* The same for a question: the request does not count as one that came. */
enum cause_block crash_causes_block_now(struct crash_causes *f,
					const struct cause_keys *k,
					int64_t now_ms);
/*
 * Whether targets have crashed under the request, so that it should not be sent
 * to another one unless its caller asks again.
 */
bool crash_causes_suspect(struct crash_causes *f, const struct cause_keys *k);
/* Decide which keys are blocked. To be called several times a second. */
void crash_causes_decide(struct crash_causes *f, int64_t now_ms);

/*
 * Take records that other nodes lack, at most max; each is taken as often as
 * the last crash_causes_set_rounds says. Return their number.
 */
size_t crash_causes_take_updates(struct crash_causes *f,
				 struct cause_record *out, size_t max);
/* List the blocked keys and those most suspected; return their number. */
size_t crash_causes_list(struct crash_causes *f, struct cause_record *out,
			 size_t max);
/* Return a counter that grows when what crash_causes_list gives changes. */
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
