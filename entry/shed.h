/*
 * shed: refuses new requests when the targets of a service are short of room.
 *
 * Gathers what route/overload.h decides by: load and slots of the service's
 * targets, the age of the other nodes' reports, and the request's work. Learns
 * from the requests that it admitted how long they run. Traffic thread only;
 * struct traffic owns the state. Nothing is refused with setting overload.shed
 * off, and nothing of a service of which a target names no slots.
 */
#ifndef ENTRY_SHED_H
#define ENTRY_SHED_H

#include "entry/exchange.h"
#include "route/overload.h"

struct shed *shed_new(struct traffic *tr);
void shed_free(struct shed *s);
/*
 * Decide on a new request before its first attempt. Return true if it was
 * refused; the exchange has then been freed.
 */
bool shed_refuse(struct exchange *x);
/*
 * Return the work of a request by its headers: prompt and output tokens, of
 * which the caller's estimate counts if it is lower. -1: not known.
 */
double shed_tokens(struct str usage, struct str hint);
/* The response of the attempt in progress has begun. */
void shed_record_begin(struct exchange *x);
/* The response is complete. */
void shed_record_end(const struct exchange *x);

#endif
