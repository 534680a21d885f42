/*
 * store-sync: the state that store-sync.c and peer-sync.c share. Control thread
 * only; used by these two files.
 */
#ifndef STORE_SYNC_H
#define STORE_SYNC_H

#include "entry/call-watch.h"
#include "entry/outage.h"
#include "entry/store-clients.h"

/* Earlier configurations to which deltas are made. */
#define CONFIG_BASES 4

struct store_sync {
	struct entry *e;
	const struct store_api *api;
	void *store;
	struct ev_loop *loop;
	ev_timer config_timer, targets_timer;
	ev_timer probe_timer; /* while the store is down; see probe_store */
	struct outage outage;
	GRand *rand;
	bool reader;   /* see store_sync_set_reader */
	bool store_up; /* by the last call */

	int64_t era;         /* of the store; see store_page.era */
	int64_t era_seen_ms; /* when this node saw that it had changed; 0 */
	/* Versions up to it may be from before, at other nodes as well; -1. */
	int64_t era_config_version;
	size_t fleet_size; /* see store_sync_set_reader */
	int failures;      /* calls in a row */

	int64_t config_version;      /* of the view in force; -1: none yet */
	int64_t config_revision;     /* of the store, to wait from; 0: read */
	int64_t config_read_ms;      /* start of the last full read */
	int64_t config_own_at_ms;    /* no own read before, if no reader */
	int64_t config_confirmed_ms; /* last query confirmed by a reader */
	int64_t config_stale_ms;     /* since when a peer has a newer one; 0 */
	bool config_busy;            /* a call to the store is in progress */
	bool config_whole;           /* it reads all rows; else a feed */
	bool config_was_read;        /* all rows were read once */
	/* What that read, or the feed, has brought up to now. */
	struct config_rows {
		char *next_key;   /* of the next page; NULL: the first */
		int64_t sent_ms;  /* of the first page, as the next two */
		int64_t era;      /* of the store */
		int64_t revision; /* of the store */
		bool has_config;  /* config is set; NULL if it's unreadable */
		json_t *config;
		bool old; /* it shows an older state than one known before */
	} rows;
	int64_t rows_revision;     /* the newest of a page, in this era; 0 */
	int64_t zone_row_revision; /* newest row of a zone in a feed; 0 */
	int64_t rows_revision_ms;  /* when a page last showed it */
	char *config_text;         /* of the view in force, as JSON */
	uint64_t config_hash;      /* of config_text */
	/* The configurations before, newest first, and deltas to this one. */
	struct config_base {
		char *text;
		uint64_t hash;
		GString *delta; /* NULL: not made yet */
	} bases[CONFIG_BASES];
	/* A newer version that another node is sending. */
	int64_t fetch_version; /* -1: none */
	uint64_t fetch_hash;   /* of its content */
	GString *fetched;

	struct target_table *table;
	char *next_key; /* of the next page; NULL: before the first page */
	int64_t read_started_ms; /* start of that read */
	ev_timer extend_timer;   /* while the store is in trouble */
	ev_timer watch_timer; /* while a call for the targets is in progress */
	struct call_watch watch;
	int64_t read_ended_ms; /* end of the last complete read; 0: none */
	int64_t targets_confirmed_ms; /* last known to be current; 0: never */
	int64_t targets_own_at_ms;    /* no own read before, if no reader */
	bool targets_stale;           /* a peer has a newer list */
	int64_t targets_newer_ms;     /* when that list was confirmed; 0 */
	bool targets_busy;            /* a call to the store is in progress */
	/* The last query to another node, and where its updates end. */
	uint64_t query_to; /* id of that node; see store_sync_set_queried */
	int64_t query_sent_ms;
	int64_t after_noticed; /* 0: no update of a series received yet */
	char *after_key;
};

/* store-sync.c */

/* Let a timer of the store clients fire in ms milliseconds. */
void store_sync_schedule(struct store_sync *s, ev_timer *w, int64_t ms);
/*
 * Note the era of a page or of another node's answer. Return false when it is
 * an earlier one, whose content is out of date.
 */
bool store_sync_accept_era(struct store_sync *s, int64_t era);
/* Whether an older configuration may still be one from before a copy. */
bool store_sync_awaits_operator(const struct store_sync *s);
/* Return how long a long poll of the configuration waits. */
int64_t store_sync_poll_wait_ms(const struct store_sync *s);
/*
 * Publish a configuration if it is newer than the one in force. Return false
 * when it is malformed or the one in force may not be the newest.
 */
bool store_sync_apply_config(struct store_sync *s, const json_t *value);
/*
 * Publish the targets if they have changed, before store_sync_confirm_targets:
 * the log names the age of the list that they replace.
 */
void store_sync_publish_targets(struct store_sync *s);
/* The list was the newest at at_ms; see entry_confirm_targets. */
void store_sync_confirm_targets(struct store_sync *s, int64_t at_ms,
				uint64_t from);
/* Another node has a newer list, confirmed at at_ms: read the store. */
void store_sync_note_newer_targets(struct store_sync *s, int64_t at_ms);
/* The store, or its way here, is disturbed: a call sent then has failed. */
void store_sync_note_failure(struct store_sync *s, int64_t sent_ms);

/* peer-sync.c */

/* Keep the configuration in force as a base of deltas, before it changes. */
void store_sync_keep_base(struct store_sync *s);
void store_sync_clear_base(struct config_base *b);

#endif
