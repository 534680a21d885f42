/* Private to state: the decision part of a change. */
#ifndef STATE_CHANGE_H
#define STATE_CHANGE_H

#include "state/state.h"

/*
 * Whether the change may be made. rows are all rows of res/, row is the
 * resource's own among them, or NULL.
 *
 * Return: RAMP_OK, forbidden, not_found, conflict or bad_request; errors takes
 * every fault.
 */
enum ramp_error change_decide(const struct change *c, const json_t *rows,
			      const json_t *row, GPtrArray *errors);

#endif
