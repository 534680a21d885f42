/*
 * warmup: which targets are cold, and the share of the requests that a cold
 * target bears which this node may send.
 *
 * A cold target may get a bounded number of requests in one second from all
 * nodes together. Nodes send no messages about single requests: each computes
 * its share from the ids of all nodes that it knows, live or not. See
 * docs/design/warm-up.md.
 *
 * Pure state: times are given by the caller, in ms of its own clock, which must
 * not go back. A lock protects it, so any thread may call each function.
 */
#ifndef WARMUP_H
#define WARMUP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct warmup;

/* How this node knows that a target is cold. */
enum warmup_source {
	WARMUP_STARTED,    /* it joined the list, or started shortly before */
	WARMUP_ROW,        /* its row in the store says so */
	WARMUP_NOTICE,     /* another node has read such a row */
	WARMUP_EVACUATION, /* that of its zone has ended */
	/*
	 * This process was paused, so the target may have become cold. What is
	 * learned after that counts as news.
	 */
	WARMUP_PAUSE,
};

/* Return the source's name for the log. */
const char *warmup_source_name(enum warmup_source s);

/*
 * Called when a target becomes cold (until_ms is when it is warm again) or warm
 * (until_ms is 0); must not call back.
 */
typedef void warmup_changed_fn(void *ctx, uint64_t target, int64_t until_ms,
			       enum warmup_source s);

/* self: id of this node. changed may be NULL. */
struct warmup *warmup_new(uint64_t self, warmup_changed_fn *changed, void *ctx);
void warmup_free(struct warmup *w);
/*
 * Set the ids of the known nodes, live or not, this one included. Until the
 * first call nothing is sent to cold targets.
 */
void warmup_set_nodes(struct warmup *w, const uint64_t *nodes, size_t n,
		      int64_t now_ms);

/* Whether any target is cold. May be stale, takes no lock. */
bool warmup_any(struct warmup *w);
/* The target is cold until then at least. */
void warmup_set_cold(struct warmup *w, uint64_t target, int64_t until_ms,
		     enum warmup_source s, int64_t now_ms);
/*
 * The target's row says that it stays cold for left_ms. Return whether the
 * other nodes should be told.
 */
bool warmup_read_row(struct warmup *w, uint64_t target, int64_t left_ms,
		     int64_t now_ms);
/* Return until when the target is cold, 0 if it is warm. */
int64_t warmup_until_ms(struct warmup *w, uint64_t target, int64_t now_ms);
/*
 * Return when this node may next send the target a request: now_ms if it may at
 * once. bound: requests in one second that it may get from all nodes.
 */
int64_t warmup_next_ms(struct warmup *w, uint64_t target, double bound,
		       int64_t now_ms);
/* Count a request that is sent to the target. */
void warmup_take(struct warmup *w, uint64_t target, double bound,
		 int64_t now_ms);
/* Forget the targets that are warm again; return how many are cold. */
size_t warmup_expire(struct warmup *w, int64_t now_ms);

#endif
