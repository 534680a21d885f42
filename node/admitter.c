/* Selects the node that admits requests to a target. */
#include "node/node.h"

static bool may_admit(const struct peer *p, bool leaving)
{
	return p->leaving == leaving && p->state != MEMBER_DEAD &&
	       p->state != MEMBER_LEFT;
}

/*
 * Return the target's first node by rendezvous hashing, among the live nodes
 * that are leaving or among those that aren't.
 */
static const struct peer *ranked_first(const struct fleet *f, uint64_t target,
				       bool leaving)
{
	uint64_t *ids = g_newa(uint64_t, f->peers->len + 1);
	const struct peer **nodes =
		g_newa(const struct peer *, f->peers->len + 1);
	size_t n = 0;

	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		if (!may_admit(p, leaving))
			continue;
		nodes[n] = p;
		ids[n++] = p->id;
	}
	return n ? nodes[rendezvous_owner(target, ids, n)] : NULL;
}

const struct peer *peer_admitter(const struct fleet *f, uint64_t target)
{
	const struct peer *p = ranked_first(f, target, false);

	/*
	 * If all nodes are leaving, they admit until their last callers are
	 * served.
	 */
	return p ? p : ranked_first(f, target, true);
}
