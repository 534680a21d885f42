/*
 * Declarations that the files of entry share and that nothing outside uses.
 *
 * The traffic thread runs the request path (callers, exchanges, links, the
 * target pool) and owns struct traffic. The control thread talks to the store
 * and to the other nodes. It publishes immutable, reference-counted snapshots
 * in the fields of struct entry that its lock protects; struct loads
 * and struct holders have locks of their own. Functions are for the traffic
 * thread unless their comment says otherwise.
 */
#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include "entry/entry.h"
#include "member/member.h"
#include "route/crash-causes.h"
#include "route/notices.h"
#include "route/supply.h"
#include "route/target-limits.h"
#include "route/warmup.h"

#define MB_BYTES 1048576

struct exchange;
struct caller;
struct shed;
struct begun_queue;

/* What a listening port serves. */
enum port_kind {
	PORT_CALLERS, /* requests that are forwarded to targets */
	PORT_READY,   /* readiness probe */
	PORT_ENTRIES, /* addresses of the entries that accept requests */
	PORT_METRICS,
	PORT_EXPLAIN, /* an operator's questions: see explain.h */
	PORT_TUNNELS, /* connections of other nodes to targets */
	PORT_COUNT,
};

struct port {
	struct entry *e;
	enum port_kind kind;
	int fd;
	ev_io io;
};

/* Most shared parts of a prompt that are considered; the longest are kept. */
#define PROMPT_PARTS_MAX 4

/* The parts of a request's prompt that other requests have too. */
struct prompt {
	int64_t shared_tokens; /* tokens up to the end of the longest part */
	/*
	 * Hashes of the shared parts, longest first. parts[0] is the placement
	 * key of the request; 0: there is no shared part.
	 */
	uint64_t parts[PROMPT_PARTS_MAX];
	size_t part_count;
};

/* Most shared parts of a prompt that are examined; the first are kept. */
#define PROMPT_SHARED_MAX 64

/* Hashes of a prompt's parts, in their order. */
struct prompt_parts {
	uint64_t shared[PROMPT_SHARED_MAX];
	size_t n;
	uint64_t own; /* the last one: of the request or its chat; 0: none */
};

/* Number of request priorities; 0 is the most urgent. */
#define PRIORITY_COUNT 10

/* What a check has found of this node's way to a target. */
enum target_way {
	WAY_UNKNOWN,
	WAY_OPEN,
	WAY_CUT,         /* others can connect, this node can't */
	WAY_TARGET_DOWN, /* nobody can */
};

/* A target and the state that the traffic thread keeps for it. */
struct target {
	void *arena;
	struct target_info info;
	struct traffic *tr;
	uint64_t version;       /* id of its software's version */
	bool version_known;     /* to all nodes; see version-gate.h */
	uint64_t zone;          /* evacuation_zone_id of its zone */
	int64_t joined_ms;      /* when it was first listed; 0: unknown */
	bool listed;            /* is in the current target list */
	int running;            /* requests that this node has in progress */
	GQueue *idle_links;     /* struct idle_link, most recently used first */
	double error_rate;      /* moving average of failures, 0 to 1 */
	int consecutive_faults; /* in a row; see pool_record_fault */
	int64_t ejected_until_ms; /* see pool_record_fault */
	bool last_failed;         /* its latest outcome was a failure */
	bool says_leaving;        /* a response said that it is leaving */
	int64_t resting_until_ms; /* it asked for no requests before */
	int64_t last_received_ms; /* last head or stream data; 0: never */
	int64_t rejected_ms;      /* its last rejection for want of room */
	int64_t cut_since_ms; /* it is reached through others; 0: it isn't */
	bool cut_checked;     /* that was found of it, not of others */
	int64_t probe_at_ms;  /* when to see whether the way is back */
	int64_t unproven_until_ms; /* see UNPROVEN_MS in ways.c; 0: proven */
	/*
	 * Per priority, the send time of the most recently sent request that
	 * the target has begun to answer; 0: none.
	 */
	int64_t begun_sent_ms[PRIORITY_COUNT];
	int64_t limit_per_1000_s;  /* that its last response named */
	int64_t load_reported_ms;  /* time of its last load report; 0: none */
	double reported_load;      /* running and waiting in that report */
	int64_t running_at_report; /* value of running at that time */
};

/* State of the traffic thread. */
struct traffic {
	struct entry *e;
	struct ev_loop *loop;
	const struct entry_settings *settings;
	const struct dialect *dialect;
	struct entry_config *config; /* NULL until the first one arrives */
	struct target_list *list;
	struct peer_list *peers;
	GHashTable *targets;         /* id -> struct target */
	GHashTable *reach_checks;    /* target id -> struct reach_check */
	GHashTable *avoided_helpers; /* node id -> until when, ms */
	bool says_cut;               /* in its notice to other nodes */
	int64_t services_checked_ms; /* see check_other_services */
	GQueue *tunnels;             /* of other nodes, see tunnel.c */
	GHashTable *retry_windows; /* service name -> struct service_retries */
	struct key_rates *key_rates; /* of placement keys, at this node */
	struct brittle *brittle;     /* see brittle.h */
	struct shed *shed;           /* NULL: admits all; see shed.h */
	GRand *rand;
	struct port ports[PORT_COUNT];
	ev_async views_published;  /* signalled by the control thread */
	ev_async origins_settled;  /* the same; see take-up.c */
	GQueue *taking_up;         /* exchanges that wait for a look-up */
	GQueue *awaiting_list;     /* others, for a newer target_list */
	struct begun_queue *begun; /* others, for a target */
	ev_timer housekeeping;     /* periodic */
	/* struct caller, by the time of connecting or of the last response */
	GQueue *callers;
	int exchanges;       /* requests in progress */
	struct account held; /* what callers make this node hold; see held.h */
	struct account held_responses; /* the part that is read of targets */
	int64_t held_most_bytes;       /* since memory was given back last */
	bool serving; /* last advertised state: callers may be sent here */
	int64_t started_ms;
	int64_t awake_ms;     /* last sign that this thread runs */
	int64_t leaving_ms;   /* when SIGTERM arrived; 0: not leaving */
	int64_t refuse_at_ms; /* new requests are refused from then on */
	int64_t close_at_ms;  /* of the callers' port; 0: it takes new ones */
	int64_t stop_at_ms;   /* the process ends by then */
};

/* One entry process. */
struct entry {
	const struct entry_options *o;
	/*
	 * Settings of the traffic thread and of the control thread. Strings
	 * point into the options.
	 */
	struct entry_settings settings, control_settings;
	struct traffic tr;
	struct loads *loads;
	struct holders *holders;
	struct origins *origins;
	struct crash_causes *crash_causes;
	struct target_limits *target_limits;
	struct target_limits *overflow_limits; /* of brittle targets */
	struct notices *notices;
	struct evacuations *evacuations;
	struct warmup *warmup; /* of cold targets */
	struct control *control;
	void *store; /* handle of struct store_api; control thread only */
	char *control_address;

	GMutex lock; /* protects the fields up to leaving */
	struct entry_config *config;
	struct target_list *list;
	struct peer_list *peers;
	struct entry_settings reloaded; /* only its numbers are used */
	bool has_reloaded;              /* reloaded has not been applied yet */
	bool leaving;
	uint8_t secret[MEMBER_KEY_BYTES]; /* that nodes share */
	bool has_secret;

	/* Of the published configuration; see entry_confirm_config. */
	atomic_int_least64_t config_fresh_ms;
	/*
	 * When the oldest list was published that the traffic thread has not
	 * taken; 0: it has the newest one. Set under the lock.
	 */
	atomic_int_least64_t list_waits_since_ms;
	atomic_bool stop_now;
};

/* entry.c, called by the control thread. */

/* Hand a new configuration to the traffic thread; takes the reference. */
void entry_publish_config(struct entry *e, struct entry_config *c);
/* Hand a new target list to the traffic thread; takes the reference. */
void entry_publish_targets(struct entry *e, struct target_list *l);
/* Set until when the published target list may be used, if there is one. */
void entry_extend_list(struct entry *e, int64_t until_ms);
/* Record that the configuration held was the store's newest at at_ms. */
void entry_confirm_config(struct entry *e, int64_t at_ms);
/*
 * Record that the list of targets was the store's newest at at_ms. from: id of
 * the node that said so; 0: an own read of the store.
 */
void entry_confirm_targets(struct entry *e, int64_t at_ms, uint64_t from);

/* target-changes.c, called by any thread. */

/* Name of a node from which a state came, for the log; 0: "store". */
struct source_name {
	char s[17];
};
struct source_name source_name(uint64_t node);

/* entry.c, called by the traffic thread. */

/* Whether the configuration is recent enough to verify a key with it. */
bool entry_config_is_valid(const struct entry *e, int64_t now_ms);
/* Whether callers should be directed to this node. */
bool entry_is_serving(const struct entry *e, int64_t now_ms);

/* loop.c: helpers for an event loop; for the thread that runs the loop. */

/*
 * Deferred frees: an object that callbacks on the stack may still use is freed
 * before the loop next blocks, when no callback is running. defer_init sets
 * the loop's user data; defer_fini frees what is still pending.
 */
void defer_init(struct ev_loop *loop);
void defer_fini(struct ev_loop *loop);
/* Call fn(p) before the loop next blocks. */
void defer_free(struct ev_loop *loop, void *p, GDestroyNotify fn);

/*
 * (Re)start a one-shot timer that fires in ms milliseconds, counted from the
 * loop's notion of now.
 */
void timer_start_once(struct ev_loop *loop, ev_timer *w, int64_t ms);

/* prompt.c: the parts of prompts. */

/*
 * Parse the prompt's parts, a comma-separated list of ID:TOKENS. The last part
 * is the request's own and so not shared. If it is the only one it is used as
 * the placement key all the same, as later requests of the same chat may begin
 * with it. parts gets all of them, whether they serve placement or not.
 */
struct prompt prompt_parse(struct str text, struct prompt_parts *parts);
/* Format the shared parts for the log; in the arena. parts may be NULL. */
const char *prompt_parts_text(void *arena, const struct prompt_parts *parts);

/* caller.c: connections of callers. */

/* Accept all connections that wait on the port. */
void caller_accept(struct port *p);
/* Queue bytes for the caller and send what the socket takes. */
void caller_write(struct caller *c, const char *p, size_t n);
/* The same for a response's head and its body, whose memory it takes. */
void caller_write_last(struct caller *c, struct buf *head, struct buf *body);
/*
 * Whether this caller may hold n bytes more. Ends others that have to give way
 * first; the caller itself isn't ended.
 */
bool caller_make_room(struct caller *c, size_t n);
/* Close a connection of a caller if a new link needs its descriptor. */
void callers_make_room_for_link(struct traffic *tr);
/*
 * Look at errno after the last sock_accept of a port: if it failed for another
 * reason than that no connection waits, make room and pause the port.
 */
void port_check_accept(struct port *p);
/* Accept again on ports that are paused. */
void callers_accept_again(struct traffic *tr);
/* Set up the allocator; for the whole process. */
void callers_init_memory(void);
/* Give memory back to the system after much of it was freed. */
void callers_trim_memory(struct traffic *tr);
/* Return the number of queued bytes that the socket has not taken. */
size_t caller_unsent_bytes(const struct caller *c);
/*
 * The exchange has ended and its response is written. keep allows another
 * request on the connection. May free the caller.
 */
void caller_exchange_done(struct caller *c, bool keep);
/*
 * Reset the connection, as a response that has begun can't be completed, and
 * free the caller.
 */
void caller_reset(struct caller *c);
/*
 * Whether the caller has closed its connection, which may not have been read
 * yet. If so, closes this end as well, which cancels and frees the exchange.
 */
bool caller_close_if_left(struct caller *c);
struct traffic *caller_traffic(struct caller *c);
void callers_close_all(struct traffic *tr);
/* Close connections that carry no request and on which none is due. */
void callers_close_idle(struct traffic *tr);
/* Whether there are others, which a planned stop should wait for. */
bool callers_busy(const struct traffic *tr);

/* local-reply.c: responses that the entry generates itself. */

/*
 * Append an error response to out. retry_after_ms above 0 adds a Retry-After
 * header; without keep the response announces the close of the connection. The
 * body is allocated in the arena.
 */
void local_reply_error(struct buf *out, const struct traffic *tr, void *arena,
		       enum ramp_error kind, int64_t retry_after_ms, bool keep);
/* Append a response to out. */
void local_reply_write(struct buf *out, const struct local_reply *reply,
		       bool keep);
/*
 * Append the response to a request at a port that is not for callers to out.
 * body: of the request.
 */
void local_reply_serve(struct buf *out, struct traffic *tr, enum port_kind kind,
		       const struct message *m, struct str body, bool keep);

/* exchange.c: one request of a caller, up to the end of its response. */

/*
 * Create the exchange of a complete request. Takes the message; body points
 * into the caller's buffer and must stay valid until the exchange ends.
 */
struct exchange *exchange_new(struct caller *c, struct message *m,
			      struct str body, int64_t arrived_ms);
/*
 * Validate the request, choose a target and forward. May end and free the
 * exchange.
 */
void exchange_start(struct exchange *x);
/* The caller has disconnected: free the exchange without a response. */
void exchange_cancel(struct exchange *x);
/* What the exchange holds, in bytes. */
size_t exchange_held_bytes(const struct exchange *x);
/* Whether a target has the request, may have run it, or is answering it. */
bool exchange_is_served(const struct exchange *x);
/* Refuse a request that is not, as callers hold too much. */
void exchange_refuse_for_memory(struct exchange *x);
/* The caller's socket took output: resume reading from the target. */
void exchange_caller_drained(struct exchange *x);
/* Go on with the exchanges that wait for a newer list; see list-wait.c. */
void exchanges_on_list(struct traffic *tr);
/* Go on with the exchanges that wait for a look-up of origins. */
void exchanges_on_origins(struct ev_loop *loop, ev_async *w, int events);

/* pool.c: the targets, their health, and connections to them. */

void pool_init(struct traffic *tr);
void pool_free(struct traffic *tr);
/* Apply a new target list. */
void pool_update_targets(struct traffic *tr, struct target_list *l);
/* Close expired idle links and free targets that are no longer used. */
void pool_sweep(struct traffic *tr);
/* Instead of a version's id: any, or any that all nodes know of. */
#define VERSION_ANY   0
#define VERSION_KNOWN UINT64_MAX
/*
 * Choose a target for a request to the service, or NULL when there is none.
 * version: only targets with that version of the software.
 * Targets whose ids are in tried are chosen only when no other is left.
 * rank: see RANK_BEGUN; one that has begun gets a target that fails only if no
 * sound one will take it later. *source is set to the target from which the
 * chosen one should fetch the prompt, or NULL.
 */
struct target *pool_choose_target(struct traffic *tr,
				  const struct entry_service *s,
				  const struct prompt *prompt, uint64_t version,
				  const uint64_t *tried, size_t tried_count,
				  int rank, struct target **source);
/* Whether the list of targets is new enough to send requests by it. */
bool pool_list_is_usable(const struct traffic *tr, int64_t now_ms);
/*
 * Whether requests may be sent to the target at all: the list is new enough,
 * the target is listed, is neither leaving nor evacuated, and has not asked for
 * rest.
 */
bool pool_takes_requests(const struct target *t, int64_t now_ms);
/*
 * Estimate the number of requests at the target: the sum over the nodes, which
 * lags for the others, or the target's last report plus this node's changes
 * since, whichever is higher.
 */
double pool_load(struct target *t, int64_t now_ms);
/* Describe the target to place_choose and place_source. */
struct place_target pool_candidate(struct target *t, int64_t now_ms);

/* The targets that a request may be sent to, for place_choose. */
struct pool_candidates {
	struct target **targets; /* room for all of the traffic thread's */
	struct place_target *p;  /* the same; describes targets[i] */
	/*
	 * The same, if it is not NULL: as pool_candidate describes targets[i],
	 * before the rules that compare targets with each other.
	 */
	struct place_target *alone;
	size_t n;
	struct place_limits limits;
};

/*
 * List the targets that pool_choose_target chooses from, but for those that a
 * request was sent to before. Counts nothing.
 */
void pool_list_candidates(struct traffic *tr, const struct entry_service *s,
			  const struct prompt *prompt, uint64_t version,
			  int rank, int64_t now_ms, struct pool_candidates *c);

/* What holds back the targets that will take requests later. */
enum supply_cause {
	SUPPLY_LIMIT = 1, /* limits that they named */
	SUPPLY_REST = 2,  /* they asked for rest */
	SUPPLY_WARM_UP = 4,
	SUPPLY_EJECTED = 8, /* they failed */
	SUPPLY_ROOM = 16,   /* their load, or that they fail too often */
	SUPPLY_RETRY = 32,  /* the retry budget, not the targets */
};

/* When the targets of a service will take requests of this node. */
struct pool_supply {
	struct supply *known; /* room for all of the traffic thread's targets */
	size_t known_count;
	struct supply *room; /* the same; those that are held back by load */
	size_t room_count;
	unsigned causes; /* of enum supply_cause */
};

/* List it for a service and version, of which no target takes one now. */
void pool_list_supply(struct traffic *tr, const struct entry_service *s,
		      uint64_t version, int64_t now_ms,
		      struct pool_supply *out);

/* Load and slots of the targets of a service that take new requests. */
struct service_room {
	size_t targets;
	double load;     /* requests running and waiting there */
	double slots;    /* requests that they run at the same time */
	size_t slotless; /* targets that name no slots */
};

struct service_room pool_service_room(struct traffic *tr,
				      const struct entry_service *s,
				      int64_t now_ms);
/* Whether a target of the service and version takes new requests. */
bool pool_serves_version(struct traffic *tr, const struct entry_service *s,
			 uint64_t version);
/* Whether one does, now or once a limit, a warm-up or a rest lets it. */
bool pool_keeps_version(struct traffic *tr, const struct entry_service *s,
			uint64_t version);
/*
 * Return an idle link to the target, or a new one that is still connecting, or
 * NULL when no socket can be opened. *reused tells which. *helper is the node
 * through which it goes; 0: none. fresh: not an idle one, on which a late copy
 * of the response to an earlier attempt of the same request may arrive. last:
 * see ways_is_open.
 */
struct link *pool_acquire_link(struct target *t, bool last, bool fresh,
			       bool *reused, uint64_t *helper);
/* Close the idle links to the target. */
void pool_close_idle_links(struct target *t);
/* Keep a reusable link as idle, or close it. */
void pool_release_link(struct target *t, struct link *l);
/* Change the number of this node's requests in progress at the target. */
void pool_add_running(struct target *t, int delta);
/*
 * Record whether an attempt succeeded. Resets the count of consecutive faults,
 * as the target was reached.
 */
void pool_record_response(struct target *t, bool ok);
/* Record a failed attempt; the count of consecutive faults stays. */
void pool_record_error(struct target *t);
/*
 * Record that the target refused or broke a connection, or sent nothing in
 * time. Two faults in a row eject the target for a while: it then gets requests
 * only when no other target can.
 */
void pool_record_fault(struct target *t);
/* Record that the target has begun to answer a request sent at sent_ms. */
void pool_record_begun(struct target *t, int priority, int64_t sent_ms);
/*
 * Return the send time of the most recently sent request, of this priority or a
 * less urgent one, that the target has begun to answer; 0: none.
 */
int64_t pool_newest_begun_ms(const struct target *t, int priority);
/* A response says that the target is leaving: it gets no further request. */
void pool_record_leaving(struct target *t);
/* A response names a limit, in requests in 1,000 s, or LIMIT_NONE. */
void pool_record_limit(struct target *t, int64_t per_1000_s);
/*
 * The target asked for no requests until then. helper: the node through which
 * it was reached, which then sends it none either; 0: none.
 */
void pool_record_rest(struct target *t, int64_t until_ms, uint64_t helper);
/*
 * Return the soonest time at which a target of the service takes requests again
 * that asked for rest or has a limit; 0: none does.
 */
int64_t pool_rest_end_ms(const struct traffic *tr,
			 const struct entry_service *s, int64_t now_ms);
/* Parse and record the load that a response reports. */
void pool_record_load(struct target *t, struct str load);
/* Return the service's retry budget, updated from the settings. */
struct retry_window *pool_retry_window(struct traffic *tr, struct str service);

/*
 * warmups.c: cold targets, see docs/design/warm-up.md. Nothing is limited if
 * the settings have no bounds.warmup_overshoot.
 */

/* A slot of this node at a cold target is free again after this long. */
#define WARMUP_SLOT_MS 1100
/*
 * Return when this node may next send the target a request, as far as its
 * warm-up goes: now_ms if it may at once.
 */
int64_t warmups_next_ms(struct target *t, int64_t now_ms);
/*
 * Return when a caller that was refused may come back for the target: another
 * node may have a slot sooner than this one.
 */
int64_t warmups_retry_ms(struct target *t, int64_t now_ms);
/* Count a request that is sent to the target. */
void warmups_take(struct target *t, int64_t now_ms);
/*
 * Count whether the request would have gone to a cold target instead of the
 * chosen one (SIZE_MAX: none).
 */
void warmups_record_choice(const struct place_limits *l, uint64_t key,
			   const struct place_target *p, size_t n,
			   size_t chosen);
/* Find the targets that have just started, in a new list or configuration. */
void warmups_update(struct traffic *tr);
/* Forget the targets that are warm again; every 100 ms. */
void warmups_tick(struct traffic *tr, int64_t now_ms);
/* A target's row was read. Control thread only. */
void warmups_read_row(void *entry, const struct target_info *t, int64_t now_ms);
/* Log a change of struct warmup. Any thread. */
void warmups_log(void *ctx, uint64_t target, int64_t until_ms,
		 enum warmup_source s);

/* ways.c: the ways to targets that this node has lost. */

/*
 * Record what a check has found. While this node's way to the target is cut, it
 * is reached through other nodes, and no fault is recorded of it.
 */
void ways_record(struct target *t, enum target_way way);
/*
 * Whether a request may be sent to the target directly; last: it is failed, not
 * repeated, when the connection breaks.
 */
bool ways_is_open(const struct target *t, bool last);
/* The target has sent something on this node's way to it. */
void ways_record_received(struct target *t);
/*
 * Another node could not reach the target: if this node's way is not cut, all
 * requests go there.
 */
void ways_record_no_help(struct target *t);
/*
 * A connection to the target broke on this node's way to it. Return whether
 * that was the way, which was cut before and counts as cut again.
 */
bool ways_record_break(struct target *t);
/* Look at times whether ways that were cut are open again. */
void ways_probe(struct traffic *tr, int64_t now_ms);

/*
 * holders.c: index of the targets that have parts of prompts cached, as far as
 * this node knows. Any thread may call it.
 */
struct holders;
struct prompt_holder;

struct holders *holders_new(void);
void holders_free(struct holders *h);
/* The target has read the prompt in a request of this node. */
void holders_record(struct holders *h, const struct prompt *p, uint64_t target);
/* Add entries from another node or from the store. Control thread only. */
void holders_receive(struct holders *h, const struct prompt_holder *v,
		     size_t n);
/*
 * Take entries to send to the other nodes, at most HOLDERS_PER_REPORT_MAX.
 * Control thread only. Returns the number.
 */
size_t holders_next_unsent(struct holders *h, struct prompt_holder *out);
/* List all entries, most recently used first; returns how many, at most max. */
size_t holders_list(struct holders *h, struct prompt_holder *out, size_t max);
/* Return a counter that grows with each entry that becomes known. */
uint64_t holders_change_count(struct holders *h);
/* Choose a target to fetch the prompt from; see place_source. */
size_t holders_fetch_source(struct holders *h, const struct prompt *p,
			    const struct place_target *t, size_t n,
			    size_t chosen);

/* control.c: the control thread. */

struct control *control_new(struct entry *e, GError **err);
/* Thread function: run until control_stop. */
void *control_run(void *control);
/* Add the nodes listed in the store to the membership. Control thread only. */
void control_seed(struct control *c, const struct member_info *infos, size_t n);
/* Set the key that authenticates node messages. Control thread only. */
void control_set_secret(struct control *c, const uint8_t *secret);
/* Send questions that wait in origins. Called from another thread. */
void control_ask_origins(struct control *c);
/* Begin to leave the fleet. Called from another thread. */
void control_leave(struct control *c);
/* End control_run. Called from another thread. */
void control_stop(struct control *c);
void control_free(struct control *c);

#endif
