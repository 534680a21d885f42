/*
 * evacuations: which availability zones are evacuated, as far as this node
 * knows. Statements come from its own reads of the store and from other nodes;
 * of those about a zone the latest counts, and it counts until a later one.
 * Nothing expires, so that an outage of the store ends no evacuation.
 *
 * Pure state: times are given by the caller, in ms of its own clock. The
 * functions that change the state are for one thread, evacuations_has and
 * evacuations_ended_ms for any. While no zone was ever named they take no lock.
 */
#ifndef EVACUATIONS_H
#define EVACUATIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Time after a start, or after the store came back from an older copy, in which
 * a missing row does not end an evacuation.
 */
#define EVACUATION_HOLD_MS 5000
/*
 * Time after the end of an evacuation in which each whole read states it again.
 * A node whose clock of statements was wrong, as their transit takes time, is
 * put right by that.
 */
#define EVACUATION_RETELL_MS 30000

enum evacuation_source {
	EVACUATION_STORE, /* this node read the store */
	EVACUATION_NODE,  /* another node says so */
};

/* A statement about a zone. */
struct evacuation {
	uint64_t zone; /* hash of its name */
	bool evacuated;
	int64_t at_ms; /* when that was so: when the read was sent */
	enum evacuation_source source;
};

struct evacuation_ops {
	/* A zone is evacuated, or taken back. name: NULL if not known. */
	void (*changed)(void *ctx, const struct evacuation *v,
			const char *name);
	/* Other nodes should get this statement. */
	void (*publish)(void *ctx, const struct evacuation *v);
};

struct evacuations;

struct evacuations *evacuations_new(const struct evacuation_ops *ops,
				    void *ctx);
void evacuations_free(struct evacuations *e);

/* Whether requests must not be sent to the zone's targets. */
bool evacuations_has(struct evacuations *e, uint64_t zone);
/* When this node learned that the zone's evacuation ended; 0: never. */
int64_t evacuations_ended_ms(struct evacuations *e, uint64_t zone);
/* The number of zones that are evacuated. */
size_t evacuations_count(struct evacuations *e);

/*
 * A feed of changes that was asked for at at_ms had the zone's row. name is
 * copied, here and below.
 */
void evacuations_row_changed(struct evacuations *e, uint64_t zone,
			     const char *name, bool evacuated, int64_t at_ms,
			     int64_t now_ms);
/*
 * Another node's statement. Return false if it is out of date, so that it must
 * not be sent on.
 */
bool evacuations_receive(struct evacuations *e, const struct evacuation *v,
			 int64_t now_ms);

/* A read of all rows begins; an unfinished one before it is dropped. */
void evacuations_begin_read(struct evacuations *e);
/* The read has the row of a zone. */
void evacuations_add_row(struct evacuations *e, uint64_t zone,
			 const char *name);
/* The read that was sent at sent_ms is complete: other zones have no row. */
void evacuations_finish_read(struct evacuations *e, int64_t sent_ms,
			     int64_t now_ms);
/* The store came back from an older copy, which may lack rows. */
void evacuations_new_era(struct evacuations *e, int64_t now_ms);

#endif
