/*
 * load-relay: sums of the requests in progress at each target, kept by the
 * relays of a large fleet. Control thread only; see load-relay.c. Tables of
 * counts map the low 32 bits of a target's id to a number of requests.
 */
#ifndef LOAD_RELAY_H
#define LOAD_RELAY_H

#include "entry/entry.h"
#include "entry/loads-gen.h"

struct load_relay;

struct load_relay *load_relay_new(void);
void load_relay_free(struct load_relay *r);
/*
 * Keep the table of a node of this relay, or of another relay, unless it is
 * older than the last one. Return false when it is malformed.
 */
bool load_relay_receive(struct load_relay *r, bool from_relay,
			const struct load_table *t, int64_t now_ms);
/* Return a new table of the sums over the nodes of this relay. */
GHashTable *load_relay_group(struct load_relay *r, int64_t now_ms);
/* Return the sums over all nodes; valid until the next call. */
GHashTable *load_relay_total(struct load_relay *r, int64_t now_ms);
/* Return what a node of this relay has reported; NULL: nothing. */
GHashTable *load_relay_counts_of(struct load_relay *r, uint64_t node);

/* Return the number of parts in which a table of that many targets is sent. */
uint32_t load_table_parts(size_t targets);
/*
 * Fill in the entries of t for its part, less what except has. The entries
 * point to LOAD_TABLE_BYTES_MAX bytes.
 */
void load_table_encode(GHashTable *counts, GHashTable *except,
		       struct load_table *t);
/*
 * Replace the targets of t's part in counts. Return false when t is malformed.
 */
bool load_table_decode(const struct load_table *t, GHashTable *counts);

#endif
