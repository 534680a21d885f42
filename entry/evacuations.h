/*
 * evacuations: connects the state of evacuated zones (route/evacuations.h) to
 * the entry: its log, its gauge, the notices to other nodes, and the targets.
 *
 * The control thread feeds the state: store-sync.c with what it reads,
 * peer-records.c with the notices of other nodes. The traffic thread asks it
 * about targets. struct entry owns it.
 */
#ifndef ENTRY_EVACUATIONS_H
#define ENTRY_EVACUATIONS_H

#include "entry/internal.h"
#include "route/evacuations.h"

struct evacuations *entry_evacuations_new(struct entry *e);
/* Return the id by which nodes name a zone. */
uint64_t evacuation_zone_id(struct str name);
/*
 * A notice of another node, its time computed from its age. Control thread.
 * Return false if it is out of date and must not be sent on.
 */
bool entry_evacuations_receive(struct entry *e, const struct notice *v,
			       int64_t now_ms);
/* Whether the target's zone is evacuated: it gets no requests. Any thread. */
bool target_is_evacuated(const struct target *t);
/*
 * When the evacuation of the target's zone last ended at this node; 0: it has
 * not. From then on its targets are cold. Any thread.
 */
int64_t target_evacuation_ended_ms(const struct target *t);

#endif
