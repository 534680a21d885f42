/* text-delta: differences between versions of a text. Pure functions. */
#ifndef TEXT_DELTA_H
#define TEXT_DELTA_H

#include "base/base.h"

/* Return the operations that make the new text of the old one. */
GString *text_delta_make(struct str old, struct str new);
/*
 * Return the new text, or NULL when the delta is malformed or the text would
 * have more than max bytes.
 */
GString *text_delta_apply(struct str old, struct str delta, size_t max);

#endif
