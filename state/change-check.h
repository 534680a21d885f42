/* Private to state: whether a change may be committed. */
#ifndef STATE_CHANGE_CHECK_H
#define STATE_CHANGE_CHECK_H

#include "state/state.h"

/*
 * Check a change against the present resources. rows are all rows with prefix
 * "res/", row is that of the resource among them, or NULL if it is absent.
 *
 * Return: RAMP_OK, or forbidden, not_found, conflict or bad_request. Each
 * fault is added to errors as a string, to be freed with g_free.
 */
enum ramp_error change_check(const struct change *c, const json_t *rows,
			     const json_t *row, GPtrArray *errors);

#endif
