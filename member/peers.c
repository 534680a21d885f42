/*
 * The table of nodes: merging records and the instance list into it, state
 * changes, retention, and random choice of members.
 */
#include <string.h>

#include "member/internal.h"

/* Random draws, before pick_random searches the table in order. */
#define PICK_TRIES 16
/* One pick in this many is made from all regions. */
#define CROSS_REGION_ONE_IN 4

uint64_t member_id(const char *name)
{
	uint64_t id = str_hash(str_c(name), 0);

	return id ? id : 1;
}

uint64_t member_random(struct member *m, uint64_t below)
{
	return below ? m->cb.random(m->cb.ctx) % below : 0;
}

static void info_copy(struct member_info *to, const struct member_info *from)
{
	to->name = g_strdup(from->name);
	to->address = g_strdup(from->address);
	to->control = g_strdup(from->control);
	to->zone = g_strdup(from->zone);
	to->region = g_strdup(from->region);
}

static void info_clear(struct member_info *i)
{
	g_free(i->name);
	g_free(i->address);
	g_free(i->control);
	g_free(i->zone);
	g_free(i->region);
}

void peers_free(void *entry)
{
	struct node_entry *e = entry;

	info_clear(&e->peer.info);
	g_free(e);
}

struct node_entry *peers_find(const struct member *m, uint64_t id)
{
	return g_hash_table_lookup(m->by_id, &id);
}

bool peers_is_up(const struct node_entry *e)
{
	return e->peer.state == MEMBER_LIVE || e->peer.state == MEMBER_SUSPECT;
}

/* Return the entry's part of the digest, 0 when the member is not up. */
static uint64_t entry_hash(const struct node_entry *e)
{
	uint64_t key[2] = {e->peer.id, e->peer.incarnation};

	if (!peers_is_up(e))
		return 0;
	return str_hash((struct str){(char *)key, sizeof(key)}, 0);
}

/* Change an entry's state, and the digest and the view version with it. */
static void set_state(struct member *m, struct node_entry *e,
		      uint32_t incarnation, enum member_state state,
		      bool leaving)
{
	struct member_peer *p = &e->peer;

	if (p->state != state || p->leaving != leaving ||
	    !p->incarnation != !incarnation)
		m->view_version++;
	m->digest ^= entry_hash(e);
	p->incarnation = incarnation;
	p->state = state;
	p->leaving = leaving;
	m->digest ^= entry_hash(e);
	if (!peers_is_up(e))
		e->down_since_ms = m->now_ms;
}

struct node_entry *peers_add(struct member *m, const struct member_info *info,
			     uint32_t incarnation)
{
	struct node_entry *e = g_new0(struct node_entry, 1);

	e->peer.id = member_id(info->name);
	e->peer.state = MEMBER_DEAD;
	e->update = (struct update){.kind = UPDATE_PEER, .owner = e};
	info_copy(&e->peer.info, info);
	g_ptr_array_add(m->peers, e);
	g_hash_table_insert(m->by_id, &e->peer.id, e);
	set_state(m, e, incarnation, MEMBER_LIVE, false);
	return e;
}

/* Replace the entry's addresses; return whether any of them differs. */
static bool update_info(struct node_entry *e, const struct member_info *info)
{
	struct member_info old = e->peer.info;

	bool changed = strcmp(old.address, info->address) ||
		       strcmp(old.control, info->control) ||
		       strcmp(old.zone, info->zone) ||
		       strcmp(old.region, info->region);

	info_copy(&e->peer.info, info);
	info_clear(&old);
	return changed;
}

/*
 * Refute a record that marks this node suspect, left or dead, or that has an
 * incarnation above its own: take a higher incarnation and gossip it.
 */
static void refute(struct member *m, const struct member_record *r)
{
	struct node_entry *e = m->self;
	uint32_t incarnation = e->peer.incarnation;

	if (r->state == MEMBER_LIVE && r->incarnation <= incarnation)
		return;
	if (r->incarnation >= incarnation)
		set_state(m, e, r->incarnation + 1, MEMBER_LIVE,
			  e->peer.leaving);
	else if (e->update.is_queued)
		return;
	gossip_queue(m, &e->update, UPDATE_URGENT, e->update.with_info);
}

void peers_set_self(struct member *m, const struct member_record *r)
{
	set_state(m, m->self, r->incarnation, r->state, r->leaving);
	gossip_queue(m, &m->self->update, UPDATE_URGENT,
		     m->self->update.with_info);
}

/* Return whether a record overrides the entry, by SWIM's order. */
static bool is_newer(const struct node_entry *e, const struct member_record *r)
{
	if (r->incarnation != e->peer.incarnation)
		return r->incarnation > e->peer.incarnation;
	return r->state > e->peer.state;
}

/* Merge a record about a node that is in the table and not this one. */
static void merge_known(struct member *m, struct node_entry *e,
			const struct member_record *r)
{
	bool was_up = peers_is_up(e);
	bool joined, info_changed = false;

	if (!is_newer(e, r))
		return;
	if (r->state == MEMBER_SUSPECT && e->peer.state == MEMBER_LIVE)
		e->suspicion_ends_ms = m->now_ms + SUSPICION_TIMEOUT_MS;
	if (r->info && r->incarnation > e->peer.incarnation)
		info_changed = update_info(e, r->info);
	/* Incarnation 0: known only from the instance list until now. */
	joined = r->state == MEMBER_LIVE && !r->leaving &&
		 (!was_up || !e->peer.incarnation);
	/* A suspicion is no sign of life: a dead member stays dead. */
	if (r->state == MEMBER_SUSPECT && !was_up)
		return;
	set_state(m, e, r->incarnation, r->state, r->leaving);
	if (r->state != MEMBER_SUSPECT)
		e->failed_probes = 0;
	gossip_queue(m, &e->update, joined ? UPDATE_NORMAL : UPDATE_URGENT,
		     info_changed);
}

void peers_merge(struct member *m, const struct member_record *r)
{
	struct node_entry *e = peers_find(m, r->id);

	if (e == m->self) {
		refute(m, r);
		return;
	}
	if (e) {
		merge_known(m, e, r);
		return;
	}
	/* Without its addresses an unknown node can not be added. */
	if (!r->info || r->state != MEMBER_LIVE)
		return;
	e = peers_add(m, r->info, r->incarnation);
	set_state(m, e, r->incarnation, MEMBER_LIVE, r->leaving);
	gossip_queue(m, &e->update, UPDATE_NORMAL, true);
}

void peers_suspect(struct member *m, struct node_entry *e)
{
	if (e->peer.state != MEMBER_LIVE)
		return;
	e->suspicion_ends_ms = m->now_ms + SUSPICION_TIMEOUT_MS;
	set_state(m, e, e->peer.incarnation, MEMBER_SUSPECT, e->peer.leaving);
	gossip_queue(m, &e->update, UPDATE_URGENT, false);
	/* The ping carries the suspicion, so that the member can refute it. */
	gossip_send(m, e, e->peer.info.control, MEMBER_PING, ++m->seq, 0);
}

void peers_note_contact(struct member *m, struct node_entry *e)
{
	e->failed_probes = 0;
	if (e->peer.state == MEMBER_SUSPECT)
		e->suspicion_ends_ms = m->now_ms + SUSPICION_TIMEOUT_MS;
	if (!peers_is_up(e))
		m->merging_ends_ms = m->now_ms + MERGE_DURATION_MS;
}

static bool is_forgotten(const struct member *m, const struct node_entry *e)
{
	int64_t retention_ms = DEAD_RETENTION_MS;

	if (peers_is_up(e) || e == m->self)
		return false;
	if (e->peer.state == MEMBER_LEFT)
		retention_ms = LEFT_RETENTION_MS;
	return m->now_ms >= e->down_since_ms + retention_ms;
}

void peers_sweep(struct member *m)
{
	for (guint i = m->peers->len; i-- > 0;) {
		struct node_entry *e = g_ptr_array_index(m->peers, i);

		if (e->peer.state == MEMBER_SUSPECT &&
		    m->now_ms >= e->suspicion_ends_ms) {
			gossip_dequeue(m, &e->update);
			set_state(m, e, e->peer.incarnation, MEMBER_DEAD,
				  e->peer.leaving);
		}
		if (!is_forgotten(m, e))
			continue;
		gossip_dequeue(m, &e->update);
		g_hash_table_remove(m->by_id, &e->peer.id);
		g_ptr_array_remove_index_fast(m->peers, i);
		m->view_version++;
	}
}

static bool is_listed(const struct node_entry *e,
		      const struct member_info *infos, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (!strcmp(infos[i].name, e->peer.info.name))
			return true;
	}
	return false;
}

/*
 * Mark dead members that the list has dropped as left, so that they no longer
 * count as known and are forgotten after LEFT_RETENTION_MS.
 */
static void mark_unlisted_left(struct member *m,
			       const struct member_info *infos, size_t n)
{
	for (guint i = 0; i < m->peers->len; i++) {
		struct node_entry *e = g_ptr_array_index(m->peers, i);
		bool listed = is_listed(e, infos, n);

		if (e->listed && !listed && e != m->self &&
		    e->peer.state == MEMBER_DEAD)
			set_state(m, e, e->peer.incarnation, MEMBER_LEFT,
				  e->peer.leaving);
		e->listed = listed;
	}
}

/* Merge one row of the instance list. */
static void merge_instance(struct member *m, const struct member_info *info)
{
	struct node_entry *e = peers_find(m, member_id(info->name));

	if (!e) {
		peers_add(m, info, 0);
		return;
	}
	/* A dead node with a new address: another process took its name. */
	if (peers_is_up(e) || !strcmp(e->peer.info.address, info->address))
		return;
	update_info(e, info);
	set_state(m, e, 0, MEMBER_LIVE, false);
}

void member_merge_instances(struct member *m, int64_t now_ms,
			    const struct member_info *infos, size_t n)
{
	m->now_ms = MAX(m->now_ms, now_ms);
	for (size_t i = 0; i < n; i++)
		merge_instance(m, &infos[i]);
	mark_unlisted_left(m, infos, n);
}

/* up: choose among members that are up, else among dead ones. */
static bool is_eligible(const struct member *m, const struct node_entry *e,
			uint64_t skip, bool near, bool up)
{
	if (e == m->self || e->peer.id == skip || peers_is_up(e) != up)
		return false;
	if (!up && e->peer.state != MEMBER_DEAD)
		return false;
	return !near || !strcmp(e->peer.info.region, m->self->peer.info.region);
}

static struct node_entry *pick_random(struct member *m, uint64_t skip,
				      bool near, bool up)
{
	guint n = m->peers->len;
	guint at = 0;

	for (int i = 0; i < PICK_TRIES; i++) {
		at = (guint)member_random(m, n);
		if (is_eligible(m, g_ptr_array_index(m->peers, at), skip, near,
				up))
			return g_ptr_array_index(m->peers, at);
	}
	for (guint i = 0; i < n; i++) {
		struct node_entry *e =
			g_ptr_array_index(m->peers, (at + i) % n);

		if (is_eligible(m, e, skip, near, up))
			return e;
	}
	return NULL;
}

struct node_entry *peers_pick(struct member *m, uint64_t skip)
{
	return pick_random(m, skip, false, true);
}

struct node_entry *peers_pick_near(struct member *m)
{
	struct node_entry *e = NULL;

	if (member_random(m, CROSS_REGION_ONE_IN))
		e = pick_random(m, 0, true, true);
	return e ? e : pick_random(m, 0, false, true);
}

struct node_entry *peers_pick_dead(struct member *m)
{
	return pick_random(m, 0, false, false);
}
