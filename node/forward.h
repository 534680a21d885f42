/* forward: a request's way to a target through its admitting node. */
#ifndef FORWARD_H
#define FORWARD_H

#include "node/node.h"

/*
 * Send the request to the admitting node, which asks its counts and passes it
 * on. When the node can't be reached the request goes straight to the target:
 * the next report of the target shows its work to the node's successor.
 *
 * Return: as relay_open. When admission refused, no->why says so.
 */
enum ramp_error forward_request(struct request *rq, const struct peer *p,
				const struct target *t,
				const struct admission_ask *ask,
				struct relay **out,
				struct admission_refusal *no);

#endif
