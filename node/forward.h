/*
 * Forwarding of requests to a target through the node that admits to it. Runs
 * on the threads of the connections, both at the entry and at the admitting
 * node.
 */
#ifndef FORWARD_H
#define FORWARD_H

#include "node/node.h"

/*
 * Send the request to the admitting node p, which admits it and forwards it to
 * the target. If that node can't be reached, send the request to the target
 * directly: the target's next load report shows its work to the node that
 * admits to it next.
 *
 * Return: as relay_open. When admission refused, *refusal has the reason;
 * otherwise its reason stays REFUSAL_NONE.
 */
enum ramp_error forward_request(struct request *rq, const struct peer *p,
				const struct target *t,
				const struct admission_request *admission,
				struct relay **out,
				struct admission_refusal *refusal);

#endif
