/*
 * directory: for how long callers may keep an answer that names the nodes which
 * accept requests.
 *
 * Answers the load after an outage or the death of many nodes: they come back
 * one after the other, and a node that names the few that it knows to be back
 * sends them the callers of all.
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <stddef.h>
#include <stdint.h>

struct directory_view {
	size_t listed;  /* nodes that the answer names */
	size_t known;   /* nodes that run, as far as is known */
	int64_t age_ms; /* time since the answering node started */
};

/* Return the time in seconds, at most max_s. */
double directory_ttl_s(const struct directory_view *v, double max_s);

#endif
