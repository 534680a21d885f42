/*
 * follow: keeps up with the platform's store. A few nodes read it all the
 * time; the others ask those how new what they hold is, and read only when it
 * is not the newest, or when nobody answers.
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include "entry/inner.h"
#include "entry/loads-gen.h"

struct follow;

struct follow *follow_new(struct entry *e, struct ev_loop *loop);
void follow_free(struct follow *f);
/* Whether this node is one of those that read all the time. */
void follow_set_reader(struct follow *f, bool reader);
/*
 * What this node knows, for one that asks; news has room for TARGETS_TOLD_MAX
 * and what it points to lives until the next call.
 */
void follow_tell(struct follow *f, const struct store_ask *ask,
		 struct store_word *word, struct target_news *news);
/* Of the list of targets held, for a question. */
uint64_t follow_hash(const struct follow *f);
/* Another node's answer to our question. */
void follow_heard(struct follow *f, const struct store_word *word);

/* fleet.c: how nodes find each other, and the secret that they share. */
struct fleet;

struct fleet *fleet_new(struct entry *e, struct ev_loop *loop);
void fleet_free(struct fleet *f);
/* Whether this node reads the rows often. */
void fleet_set_reader(struct fleet *f, bool reader);

/* keep.c: what is known of the holders of prompts, kept in the store. */
struct keep;

struct keep *keep_new(struct entry *e, struct ev_loop *loop);
void keep_free(struct keep *k);
/* Whether this node is the one that writes. */
void keep_set_writer(struct keep *k, bool writer);

/*
 * readers.c: which nodes read. Pure: the first few of the live nodes in the
 * order of a fixed key, so that all nodes that see the same ones agree.
 */
#define READERS 3

/* Writes the ids of the readers; returns how many. */
size_t readers_choose(const uint64_t *nodes, size_t n, uint64_t *out);

/*
 * How long a reader's question for a change of the configuration waits, so that
 * what it tells is young enough to prove keys.
 */
int64_t reader_wait_ms(int64_t setting_ms, int64_t revoke_ms);
/*
 * Whether a reader keeps up with the store, by the age of what it told. It is
 * between no wait and two: a question that has just been asked proves nothing
 * until it ends.
 */
bool reader_keeps_up(int64_t age_ms, int64_t wait_ms);

/* What a node that is no reader goes by. */
struct reliance {
	int64_t told_ms;  /* a reader that keeps up held the same; 0: never */
	int64_t fresh_ms; /* what it holds was the newest; 0: never known */
	int64_t alone_ms; /* so long without either means that it is alone */
	int64_t trust_ms; /* so long others are relied on at most */
};

/* Whether the node need not read by itself. */
bool reliance_holds(const struct reliance *r, int64_t now_ms);

#endif
