/*
 * test-virtual: the control state of a node without its threads, beside a store
 * of the test, in virtual time. For tests of store_sync in one thread.
 */
#ifndef TEST_VIRTUAL_H
#define TEST_VIRTUAL_H

#include "entry/store-sync.h"

/* Of all nodes, as far as the node knows. */
#define VIRTUAL_FLEET 295
/* When virtual time begins. */
#define VIRTUAL_START_MS 1000000
/* Until a call to the store is answered. */
#define VIRTUAL_CALL_MS    2
#define VIRTUAL_TIMEOUT_MS 1500

/* The clock of the program, of libev and of the modules; 0: the real one. */
extern int64_t virtual_ms;

/* Begin virtual time, with a new loop. */
struct ev_loop *virtual_loop_new(void);
/* Go on for so long. */
void virtual_step(struct ev_loop *loop, int ms);
/* End virtual time; the loop's calls in progress are not waited for. */
void virtual_loop_end(struct ev_loop *loop);

/*
 * Set up a node; the bounds in e->control_settings are the caller's. store: the
 * handle that api gets. Return its store_sync, whose random numbers are fixed
 * by the seed.
 */
struct store_sync *virtual_node_init(struct entry *e, struct entry_options *o,
				     const struct store_api *api, void *store,
				     struct ev_loop *loop, bool reader,
				     guint32 seed);
void virtual_node_clear(struct entry *e, struct store_sync *sync);

/* Decoders of a store whose rows have no content but their revision. */
json_t *virtual_value(const struct store_page *p, size_t i);
struct entry_config *virtual_config(const json_t *value, GError **err);
bool virtual_target(void *arena, const char *key, const json_t *value,
		    struct target_info *out);

#endif
