#include "node/node.h"

const struct peer *peer_admitter(const struct fleet *f, uint64_t target)
{
	uint64_t *ids = g_newa(uint64_t, f->peers->len + 1);
	const struct peer **live =
		g_newa(const struct peer *, f->peers->len + 1);
	size_t n = 0;

	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		if (p->leaving || p->state == MEMBER_DEAD ||
		    p->state == MEMBER_LEFT)
			continue;
		live[n] = p;
		ids[n++] = p->id;
	}
	return n ? live[route_admitter(target, ids, n)] : NULL;
}
