/*
 * What nodes tell each other of the store: queries and answers about its state,
 * changes of targets, and configurations, whole or as a delta to an earlier
 * one.
 */
#include <string.h>

#include "entry/store-sync.h"
#include "entry/text-delta.h"

/*
 * Most bytes of a configuration, or of the delta to an earlier one, that nodes
 * send each other; with more each node reads the store itself.
 */
#define CONFIG_PEER_MAX_BYTES (48 << 10)
/* Limit of a configuration that a delta makes. */
#define CONFIG_MAX_BYTES (16 << 20)
/*
 * Eras by which another node may be ahead. No era of the store would follow one
 * at the end of the range; a node with the real one learns it from the store.
 */
#define ERA_AHEAD_MAX ((int64_t)1 << 32)

void store_sync_clear_base(struct config_base *b)
{
	free(b->text);
	if (b->delta)
		g_string_free(b->delta, TRUE);
	*b = (struct config_base){0};
}

/* Keep the configuration in force as a base of deltas, before it changes. */
void store_sync_keep_base(struct store_sync *s)
{
	if (!s->config_text)
		return;
	store_sync_clear_base(&s->bases[CONFIG_BASES - 1]);
	for (size_t i = CONFIG_BASES - 1; i > 0; i--) {
		s->bases[i] = s->bases[i - 1];
		if (s->bases[i].delta)
			g_string_free(s->bases[i].delta, TRUE);
		s->bases[i].delta = NULL;
	}
	s->bases[0] =
		(struct config_base){s->config_text, s->config_hash, NULL};
}

/* Return the age of a point in time for an answer; UINT32_MAX: not known. */
static unsigned age_ms_at(int64_t at_ms, int64_t now_ms)
{
	return at_ms ? (unsigned)MIN(now_ms - at_ms, UINT32_MAX) : UINT32_MAX;
}

void store_sync_set_queried(struct store_sync *s, uint64_t node)
{
	s->query_to = node;
}

void store_sync_query(struct store_sync *s, int64_t now_ms, bool continued,
		      struct store_query *query)
{
	if (!continued)
		s->after_noticed = 0;
	s->query_sent_ms = now_ms;
	*query = (struct store_query){
		.sent_ms = now_ms,
		.era = s->era,
		.targets_hash = target_table_hash(s->table),
		.targets_revision = target_table_revision(s->table),
		.after_noticed = s->after_noticed,
		.after_key = s->after_noticed ? s->after_key : (char *)"",
	};
}

void store_sync_answer(struct store_sync *s, const struct store_query *query,
		       struct store_query_answer *answer,
		       struct target_update *updates)
{
	int64_t now = time_boot_ms();

	*answer = (struct store_query_answer){
		.query_sent_ms = query->sent_ms,
		.era = s->era,
		.config_version = s->config_version,
		.config_hash = s->config_hash,
		/* A reader without a store confirms nothing. */
		.config_age_ms =
			s->store_up || !s->reader
				? age_ms_at(atomic_load(&s->e->config_fresh_ms),
					    now)
				: UINT32_MAX,
		.targets_hash = target_table_hash(s->table),
		.targets_revision = target_table_revision(s->table),
		.targets_age_ms = age_ms_at(s->targets_confirmed_ms, now),
		.updates = {0, updates},
	};
	/* The querying node has the same list, or one of another era. */
	if (query->targets_hash != answer->targets_hash &&
	    query->era == s->era && answer->targets_revision)
		target_table_updates(s->table, query, answer);
}

/* Use what an answer says of the configuration. */
static void apply_config_answer(struct store_sync *s,
				const struct store_query_answer *answer)
{
	/*
	 * The age counts back from the time of the answer, which is later than
	 * that of the query. The time computed here is thus too early, which is
	 * the safe side.
	 */
	int64_t at_ms = answer->query_sent_ms - answer->config_age_ms;

	bool same = answer->config_version == s->config_version &&
		    answer->config_hash == s->config_hash;

	/*
	 * The first configuration comes from the store, with the evacuated
	 * zones, which other nodes' configurations lack.
	 */
	/* The store has answered, whichever configuration the node has. */
	if (answer->config_age_ms != UINT32_MAX)
		outage_note_probed_answer(&s->outage, at_ms, time_boot_ms());
	if (!s->config_was_read)
		return;
	if (answer->config_age_ms != UINT32_MAX && same) {
		entry_confirm_config(s->e, at_ms);
		if (reader_is_current(answer->config_age_ms,
				      store_sync_poll_wait_ms(s)))
			s->config_confirmed_ms = answer->query_sent_ms;
	}
	/*
	 * After the store was restored a version may have other content, and
	 * which of two nodes is behind only the store can tell.
	 */
	if (answer->config_version <= s->config_version &&
	    (same || !s->era_seen_ms || store_sync_awaits_operator(s)))
		return;
	if (!s->config_stale_ms)
		s->config_stale_ms = time_boot_ms();
	if (answer->config_version != s->fetch_version) {
		bool fetch = answer->config_version >
			     MAX(s->config_version, s->era_config_version);

		s->fetch_version = fetch ? answer->config_version : -1;
		s->fetch_hash = answer->config_hash;
		g_string_truncate(s->fetched, 0);
	}
	if (s->fetch_version < 0 && !s->config_busy)
		store_sync_schedule(s, &s->config_timer, 0);
}

/* Continue a series of updates after the last one of an answer. */
static void continue_after(struct store_sync *s,
			   const struct store_query_answer *answer)
{
	const struct target_update *last =
		&answer->updates.updates_val[answer->updates.updates_len - 1];

	s->after_noticed = last->noticed;
	g_free(s->after_key);
	s->after_key = g_strdup(last->key);
}

/* Use the updates of targets; return whether more of them follow. */
static bool apply_targets_answer(struct store_sync *s,
				 const struct store_query_answer *answer)
{
	int64_t at_ms = answer->query_sent_ms - answer->targets_age_ms;

	/* A call that is in progress may bring older rows; see target-table.c.
	 */
	if (answer->targets_age_ms == UINT32_MAX || !s->read_ended_ms ||
	    at_ms <= s->targets_confirmed_ms)
		return false;
	metric_add(M_PEER_UPDATES_TOTAL, answer->updates.updates_len);
	target_table_set_sender(s->table, s->query_to);
	target_table_apply_updates(s->table, answer, time_boot_ms());
	store_sync_publish_targets(s);
	if (answer->more && answer->updates.updates_len) {
		continue_after(s, answer);
		return true;
	}
	s->targets_stale = answer->targets_hash != target_table_hash(s->table);
	if (!s->targets_stale)
		store_sync_confirm_targets(s, at_ms, s->query_to);
	else
		store_sync_note_newer_targets(s, at_ms);
	return false;
}

/*
 * An answer that comes after the next query was sent can't continue a series of
 * updates, but one about the same list confirms it. Relays whose answers take
 * longer than the interval between queries would confirm nothing.
 */
static void apply_late_answer(struct store_sync *s,
			      const struct store_query_answer *answer)
{
	int64_t at_ms = answer->query_sent_ms - answer->targets_age_ms;

	if (answer->targets_age_ms != UINT32_MAX && s->read_ended_ms &&
	    at_ms > s->targets_confirmed_ms &&
	    answer->targets_hash == target_table_hash(s->table))
		store_sync_confirm_targets(s, at_ms, s->query_to);
}

bool store_sync_apply_answer(struct store_sync *s,
			     const struct store_query_answer *answer)
{
	if (answer->query_sent_ms < 0 ||
	    answer->query_sent_ms > time_boot_ms() || answer->era < 0 ||
	    answer->era - s->era > ERA_AHEAD_MAX ||
	    !store_sync_accept_era(s, answer->era))
		return false;
	apply_config_answer(s, answer);
	/* Only the last query's answer continues this node's list. */
	if (answer->query_sent_ms == s->query_sent_ms)
		return apply_targets_answer(s, answer);
	apply_late_answer(s, answer);
	return false;
}

bool store_sync_config_query(const struct store_sync *s,
			     struct config_query *query)
{
	if (s->fetch_version < 0)
		return false;
	*query = (struct config_query){.config_version = s->fetch_version,
				       .base_hash = s->config_hash,
				       .offset = (u_int)s->fetched->len};
	return true;
}

/* Return the delta from a node's configuration; {NULL, 0}: none is known. */
static struct str delta_from(struct store_sync *s, uint64_t base_hash)
{
	for (size_t i = 0; i < CONFIG_BASES; i++) {
		struct config_base *b = &s->bases[i];

		if (!b->text || b->hash != base_hash)
			continue;
		if (!b->delta)
			b->delta = text_delta_make(str_c(b->text),
						   str_c(s->config_text));
		return (struct str){b->delta->str, b->delta->len};
	}
	return (struct str){NULL, 0};
}

bool store_sync_config_chunk(struct store_sync *s,
			     const struct config_query *query,
			     struct config_chunk *chunk)
{
	struct str delta, whole, *sent;

	if (query->config_version != s->config_version || !s->config_text)
		return false;
	whole = str_c(s->config_text);
	delta = delta_from(s, query->base_hash);
	sent = delta.data && delta.len < whole.len ? &delta : &whole;
	*chunk = (struct config_chunk){
		.config_version = s->config_version,
		.base_hash = sent == &delta ? query->base_hash : 0,
		.offset = query->offset,
	};
	if (sent->len > CONFIG_PEER_MAX_BYTES)
		return true;
	if (query->offset >= sent->len)
		return false;
	chunk->total = (u_int)sent->len;
	chunk->bytes.bytes_val = (char *)sent->data + query->offset;
	chunk->bytes.bytes_len =
		(u_int)MIN(sent->len - query->offset, CONFIG_CHUNK_MAX);
	return true;
}

/* Read the store instead of waiting for other nodes. */
static void give_up_fetch(struct store_sync *s)
{
	s->fetch_version = -1;
	g_string_truncate(s->fetched, 0);
	if (!s->config_busy)
		store_sync_schedule(s, &s->config_timer, 0);
}

/* Apply a configuration, or the delta to one, that has arrived whole. */
static void apply_fetched(struct store_sync *s, bool is_delta)
{
	struct str received = {s->fetched->str, s->fetched->len};
	GString *text = is_delta ? text_delta_apply(str_c(s->config_text),
						    received, CONFIG_MAX_BYTES)
				 : g_string_new_len(received.data,
						    (gssize)received.len);
	json_t *value = NULL;

	if (text &&
	    str_hash((struct str){text->str, text->len}, 0) == s->fetch_hash)
		value = json_loadb(text->str, text->len, 0, NULL);
	if (text)
		g_string_free(text, TRUE);
	if (value && store_sync_apply_config(s, value))
		metric_add(M_PEER_CONFIG_TOTAL, 1);
	else
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	json_decref(value);
	give_up_fetch(s);
}

bool store_sync_apply_chunk(struct store_sync *s,
			    const struct config_chunk *chunk)
{
	if (chunk->config_version != s->fetch_version ||
	    (chunk->base_hash && chunk->base_hash != s->config_hash))
		return false;
	if (!chunk->total || chunk->total > CONFIG_PEER_MAX_BYTES) {
		give_up_fetch(s);
		return false;
	}
	if (chunk->offset != s->fetched->len)
		return false;
	g_string_append_len(s->fetched, chunk->bytes.bytes_val,
			    (gssize)chunk->bytes.bytes_len);
	if (s->fetched->len < chunk->total)
		return chunk->bytes.bytes_len > 0;
	apply_fetched(s, chunk->base_hash != 0);
	return false;
}
