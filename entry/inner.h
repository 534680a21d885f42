/* inner: what the files of entry share. */
#ifndef INNER_H
#define INNER_H

#include "entry/entry.h"
#include "member/member.h"

struct exchange;
struct caller;

enum port_kind {
	PORT_CALLERS,
	PORT_READY,
	PORT_ENTRIES,
	PORT_METRICS,
	PORT_COUNT,
};

struct port {
	struct entry *e;
	enum port_kind kind;
	int fd;
	ev_io io;
};

/* Parts of a prompt that are looked at: the longest ones that others have. */
#define PROMPT_PARTS 4

/* What a request's prompt has in common with others. */
struct prompt {
	int64_t shared_tokens; /* up to the end of the longest of the parts */
	/*
	 * Hashes of the parts that others have, the longest first, which is the
	 * key by which requests are placed; 0: none.
	 */
	uint64_t parts[PROMPT_PARTS];
	size_t part_count;
};

/* Ranks of urgency, from 0, the most urgent. */
#define PRIORITIES 10

/* A target as the traffic thread knows it. */
struct target {
	void *arena;
	struct target_info info;
	struct traffic *tr;
	int64_t joined_ms; /* when it was first listed; 0: not known */
	bool listed;       /* in the newest list */
	int running;       /* requests of this node there */
	GQueue *idle;      /* struct idle, the last used first */
	double errors;     /* recent part of failures, 0 to 1 */
	int faults;        /* in a row: no connection, or one that broke */
	int64_t aside_until_ms;
	bool broke;       /* the last that was seen of it is a failure */
	int64_t heard_ms; /* it last said anything to this node; 0: never */
	/* By priority: the newest sending that it has begun to answer. */
	int64_t begun_ms[PRIORITIES];
	int64_t load_at_ms; /* when its own word on its load came; 0: never */
	double load;        /* running and waiting by that */
	int64_t load_own;   /* requests of this node there at that time */
};

/* What the traffic thread works on. */
struct traffic {
	struct entry *e;
	struct ev_loop *loop;
	const struct entry_settings *set;
	const struct dialect *d;
	struct entry_config *config; /* NULL before the first */
	struct target_list *list;
	struct peer_list *peers;
	GHashTable *targets; /* id -> struct target */
	GHashTable *retries; /* service name -> struct service_retries */
	GRand *rand;
	struct port ports[PORT_COUNT];
	ev_async views_published;
	ev_timer housekeeping;
	GQueue *callers; /* struct caller */
	int exchanges;   /* in progress */
	int64_t bodies;  /* bytes of requests held */
	bool serving;    /* callers are sent here, as last told */
	int64_t started_ms;
	int64_t leaving_ms;   /* when SIGTERM came; 0: it has not */
	int64_t refuse_at_ms; /* from then on nothing new is taken */
	int64_t stop_at_ms;   /* the latest end */
};

struct entry {
	const struct entry_options *o;
	/* Of the traffic and of the control thread; texts are the options'. */
	struct entry_settings set, control_set;
	struct traffic tr;
	struct loads *loads;
	struct holders *holds;
	struct control *control;
	void *store; /* of the control thread; see struct store_api */
	char *control_address;

	GMutex lock; /* for those below */
	struct entry_config *config;
	struct target_list *list;
	struct peer_list *peers;
	struct entry_settings reloaded; /* numbers only */
	bool has_reloaded;              /* and not taken yet */
	bool leaving;

	atomic_int_least64_t fresh_ms; /* see entry_config_fresh */
	atomic_bool stop_now;
};

/* Of the control thread. */
void entry_publish_config(struct entry *e, struct entry_config *c);
void entry_publish_targets(struct entry *e, struct target_list *l);
/* The configuration held was the store's newest at at_ms. */
void entry_config_fresh(struct entry *e, int64_t at_ms);

/* Whether the configuration is known to be new enough to prove a key. */
bool entry_is_fresh(const struct entry *e, int64_t now_ms);
/* Whether callers are to be sent here. Of the traffic thread. */
bool entry_is_serving(const struct entry *e, int64_t now_ms);

/*
 * later.c: frees what a callback in progress may still look at, once the loop
 * has none in progress.
 */
void later_begin(struct ev_loop *loop);
void later_end(struct ev_loop *loop);
void later_free(struct ev_loop *loop, void *p, GDestroyNotify fn);

/* Let a timer fire once after so many ms, from now and not from before. */
void timer_in(struct ev_loop *loop, ev_timer *w, int64_t ms);

/* caller.c */
void caller_accept(struct port *p);
/* Give bytes to the caller. */
void caller_write(struct caller *c, const char *p, size_t n);
size_t caller_unsent(const struct caller *c);
/* The exchange has ended, its answer is written; may free the caller. */
void caller_done(struct caller *c, bool keep);
/* The answer can't be completed: make that seen. Frees the caller. */
void caller_abort(struct caller *c);
struct traffic *caller_traffic(struct caller *c);
void callers_close_all(struct traffic *tr);
/* Close connections that carry nothing. */
void callers_close_idle(struct traffic *tr);

/* own.c: answers that the entry makes itself. */
void own_refuse(struct buf *out, const struct traffic *tr, void *arena,
		enum ramp_error kind, int64_t retry_after_ms, bool keep);
/* Readiness, entries and metrics; the answer goes to out. */
void own_serve(struct buf *out, struct traffic *tr, enum port_kind kind,
	       const struct message *m, bool keep);

/* exchange.c: one request of a caller, to the end of its answer. */
struct exchange *exchange_new(struct caller *c, struct message *m,
			      struct str body, int64_t arrived_ms);
/* Choose a target and send. May end and free the exchange. */
void exchange_start(struct exchange *x);
/* The caller has left: nothing is answered. */
void exchange_cancel(struct exchange *x);
/* The caller has taken what was written. */
void exchange_drained(struct exchange *x);

/* pool.c: targets, and connections to them */
void pool_take(struct traffic *tr, struct target_list *l);
void pool_init(struct traffic *tr);
void pool_free(struct traffic *tr);
/*
 * A target for the request, or NULL; tried ones are taken last. source is set
 * to the target from which it had better fetch the prompt, or NULL.
 */
struct target *pool_choose(struct traffic *tr, const struct entry_service *s,
			   const struct prompt *prompt, const uint64_t *tried,
			   size_t tried_count, struct target **source);
/* An idle connection, or a new one, or NULL. */
struct link *pool_link(struct target *t, bool *reused);
/* Take back a connection that can carry another request. */
void pool_keep(struct target *t, struct link *l);
void pool_running(struct target *t, int by);
/* What an attempt showed of the target. */
void pool_note(struct target *t, bool ok);
void pool_note_error(struct target *t);
/* It took no connection, broke one, or says nothing to anybody. */
void pool_note_fault(struct target *t);
/* It has begun to answer what was sent then. */
void pool_note_begun(struct target *t, int priority, int64_t sent_ms);
/* The newest such sending that was no more urgent. */
int64_t pool_begun_ms(const struct target *t, int priority);
void pool_note_load(struct target *t, struct str load);
void pool_sweep(struct traffic *tr);
struct retry_window *pool_retries(struct traffic *tr, struct str service);

/* holds.c: which targets hold which parts of prompts, as far as known here. */
struct holders;
struct held_entry;

struct holders *holds_new(void);
void holds_free(struct holders *h);
/* The target has read the prompt at this node's request. */
void holds_note(struct holders *h, const struct prompt *p, uint64_t target);
/* Another node has told so; of the control thread, as the next one. */
void holds_heard(struct holders *h, const struct held_entry *v, size_t n);
/* What is to be told to the others, HELD_MAX at most; returns the number. */
size_t holds_next(struct holders *h, struct held_entry *out);
/* All that is known, the last used first; returns the number, at most max. */
size_t holds_list(struct holders *h, struct held_entry *out, size_t max);
/* Grows with all that becomes known. */
uint64_t holds_changes(struct holders *h);
/* See place_source. */
size_t holds_source(struct holders *h, const struct prompt *p,
		    const struct place_target *t, size_t n, size_t chosen);

/* control.c */
struct control *control_new(struct entry *e, GError **err);
void *control_run(void *control);
/* Of the control thread: nodes that the store lists. */
void control_seed(struct control *c, const struct member_info *infos, size_t n);
/* Of the control thread: what messages between nodes are sealed with. */
void control_set_secret(struct control *c, const uint8_t *secret);
/* From another thread: begin to leave. */
void control_leave(struct control *c);
/* From another thread: end control_run. */
void control_stop(struct control *c);
void control_free(struct control *c);

#endif
