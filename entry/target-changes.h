/*
 * target-changes: collects the changes of the states of targets, and logs them
 * with few lines: one line names all targets that came to the same state, from
 * the same source and at the same revision of the store. Control thread only.
 */
#ifndef TARGET_CHANGES_H
#define TARGET_CHANGES_H

#include "entry/internal.h"

enum target_state {
	TARGET_ADDED,
	TARGET_READY, /* it was draining before */
	TARGET_DRAINING,
	TARGET_REPLACED, /* it has started anew */
	TARGET_MODIFIED, /* its address, say, or its version */
	TARGET_REMOVED,
};

struct target_change {
	const char *key;
	enum target_state state;
	struct target_source source;
	int64_t noticed; /* revision of the store */
	/* Of the row known here, which is newer, so nothing changed; 0. */
	int64_t known_revision;
};

struct target_changes;

struct target_changes *target_changes_new(void);
void target_changes_free(struct target_changes *c);
/* Return the state that a change leads to; NULL: there is no usable row. */
enum target_state target_state_after(const struct target_info *before,
				     const struct target_info *after);
/* Add a change, whose key is copied. */
void target_changes_add(struct target_changes *c,
			const struct target_change *change);
/* Log and forget the changes. list_age_ms: of the list that they change. */
void target_changes_log(struct target_changes *c, int64_t list_age_ms);

#endif
