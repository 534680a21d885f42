/*
 * node: the auburnramp process. All nodes are alike: entry for callers, relay
 * of answers, resource API and control.
 */
#ifndef NODE_H
#define NODE_H

#include <stdatomic.h>

#include "base/base.h"
#include "http/http.h"
#include "member/member.h"
#include "node/admission.h"
#include "route/route.h"
#include "state/state.h"

/* An instance that does work: an engine or one of a plain service. */
struct target {
	char *name;
	char *pool;
	char *address; /* "IP:port" */
	char *zone;
	uint64_t id; /* hash of the name */
	bool leaving;
	bool down; /* can't be reached, or could not until just now */
};

/* Another node, or this one. */
struct peer {
	uint64_t id; /* hash of the name */
	char *name;
	char *address;
	char *zone;
	char *region;
	char *control; /* "IP:port" of its control socket */
	bool leaving;
	enum member_state state;
	uint32_t incarnation; /* 0 when nothing has been heard of it */
	double running;       /* requests in progress, as last heard */
};

/* The instances as this node sees them now. Immutable; reference-counted. */
struct fleet {
	GPtrArray *targets; /* struct target */
	GPtrArray *peers;   /* struct peer */
	/* Nodes believed alive and those that should be; see member_seen. */
	size_t nodes_live, nodes_known;
	bool lists_self; /* the platform's list has reached this node */
};

struct fleet *fleet_from_instances(const json_t *instances);
/* The reverse; without what a target's role and region were. */
json_t *fleet_to_instances(const struct fleet *f);
/* Whether the named node is the one to do what the key names. */
bool fleet_owns_key(const struct fleet *f, const char *name, const char *key);
struct fleet *fleet_ref(struct fleet *f);
void fleet_unref(struct fleet *f);
struct peer *fleet_add_peer(struct fleet *f, const struct member_info *info);
struct fleet *fleet_copy(const struct fleet *f);
/* Name a target, or NULL. */
const struct target *fleet_target(const struct fleet *f, const char *name);

#define APPLIED_REVISIONS_MAX                                                  \
	64 /* revisions whose time of arrival is remembered */

/* A configuration revision and when it came into force here. */
struct applied {
	int64_t revision;
	int64_t at_ms; /* wall clock */
};

struct node {
	struct settings set;
	struct server server;
	char *address; /* "IP:port" that callers use */
	atomic_bool leaving;
	atomic_bool stop_control;
	atomic_int running; /* requests in progress */
	struct resume_key *resume_key;
	struct admission *admission;
	struct health *health;
	struct limits *limits;
	struct limit_pools *limit_pools;
	GThreadPool *cancel_pool; /* cancel.c */

	/* Newest configuration revision that another node has told of. */
	atomic_int_least64_t reported_revision;

	/* Of the control thread alone: the platform's list as last read. */
	struct fleet *listed_fleet;
	uint64_t listed_version; /* grows with each reading */

	/*
	 * Of the control thread alone: its modules set this node's part of a
	 * pool's load there and read the mean; NULL until the socket is bound.
	 */
	struct member *member;

	GAsyncQueue *target_events; /* struct target_event */

	GMutex lock; /* for those below; the control thread replaces them */
	struct config *config;
	struct fleet *fleet;
	struct applied applied[APPLIED_REVISIONS_MAX]; /* oldest first */
	unsigned applied_count;
};

/* Requests in progress, those that pass through included: one more or less. */
void node_add_running(struct node *n, int by);
/* References to what is in force; config is NULL before the first read. */
struct config *node_config(struct node *n);
struct fleet *node_fleet(struct node *n);
void node_set_config(struct node *n, struct config *c);
void node_set_fleet(struct node *n, struct fleet *f);
/* On the control thread: take a list that was read. Takes the reference. */
void node_set_listed_fleet(struct node *n, struct fleet *f);

/* What a thread saw of a target, on its way to the control thread. */
struct target_event {
	char *target;
	enum target_note observation;
};

/* Tell the fleet's view what happened between this node and a target. */
void node_observe_target(struct node *n, const char *target,
			 enum target_note observation);
/*
 * Wall-clock time since which a revision, or a newer one, has been in force
 * here; 0 when it is not. For revisions of long ago it is the oldest time
 * remembered.
 */
int64_t node_in_force_since(struct node *n, int64_t revision);

/* What the control thread's modules share. */
struct control_env {
	struct node *node;
	struct fetcher *fetcher; /* for calls to targets and other nodes */
	struct platform plat;
};

/* A part of control; all its functions run on the control thread. */
struct control_module {
	void *(*start)(struct control_env *env);
	/* Called at least every 20 ms with the monotonic time. */
	void (*tick)(void *ctx, int64_t now_ms);
	/* Optional: a descriptor to wait on and what to do when it is ready. */
	int (*fd)(void *ctx);
	void (*readable)(void *ctx);
	void (*stop)(void *ctx);
};

extern const struct control_module config_module; /* config.c */
extern const struct control_module list_module;   /* list.c */
extern const struct control_module orders_module; /* orders.c */
extern const struct control_module sweep_module;  /* sweep.c */
extern const struct control_module gossip_module; /* gossip.c */
extern const struct control_module loads_module;  /* loads.c */
extern const struct control_module limits_module; /* limits.c */

/* control.c: the control thread; ends when stop_control is set. */
void *control_run(void *node);

/* plat.c: the platform's services over HTTP. */
struct plat_http;
/* With a fetcher: calls end in fetcher_poll. Without: before they return. */
struct plat_http *plat_http_new(const struct settings *s, struct fetcher *f,
				struct platform *out);
void plat_http_free(struct plat_http *p);

/* work.c: what a chat asks of an engine, in tokens, and what names it. */
struct work {
	int64_t prompt_tokens;
	int64_t history_tokens; /* of all messages but the last */
	int64_t output_tokens;  /* expected */
	uint64_t chat_hash;     /* hash that stays the same from turn to turn */
};

/* From the body of a chat completion; chat is its identity or NULL. */
struct work work_estimate(const json_t *body, const char *organisation,
			  const char *chat);

/*
 * One request of a caller, from its headers to the end of its answer. All
 * that belongs to it lives in its arena.
 */
struct request {
	void *arena;
	struct node *node;
	struct config *config;
	struct fleet *fleet;
	const struct key_owner *owner;
	const struct service *service;
	const struct intent *intent; /* or NULL */
	struct str id;               /* identity that the target echoes */
	struct str key;              /* idempotency key, or empty */
	const char *chat;            /* identity of the chat, or NULL */
	int64_t deadline_ms;         /* wall clock */
	int64_t priority;
	struct str body; /* as the target is sent it */
	bool stream;
	int caller_fd;    /* the caller's connection, for watching, or -1 */
	bool caller_gone; /* the caller has left */
	struct work work;
	struct admission_grant grant; /* while the work runs */
	bool limit_taken;      /* counted against its organisation's limits */
	int64_t reused_tokens; /* as the target said; -1: nothing yet */
	struct hint hint;      /* target 0: the caller brought none */
	int64_t retry_at_ms;   /* wall clock; 0: nobody said */
	struct call_claim *claim; /* or NULL */
	bool is_resume; /* asks for the rest of an answer, so the work has begun
			 */
};

/*
 * Read what every request has: key, identity, deadline.
 *
 * Return: RAMP_OK, or why it is refused; *out is set in both cases and is
 * freed by request_free.
 */
enum ramp_error request_begin(struct node *n, const struct _u_request *q,
			      struct request **out);
void request_free(struct request *rq);
/* Answer with an error kind, as base's table says, and log it. */
int request_refuse(struct request *rq, struct _u_response *r, enum ramp_error e,
		   const char *detail);
/* Count the outcome of an ended request. */
void request_count_outcome(enum outcome o);
/* Look up the service and the intent that holds; false when not declared. */
bool request_resolve_service(struct request *rq, const char *service);
/* Monotonic time of the deadline. */
int64_t request_deadline_mono_ms(const struct request *rq);

/*
 * pace.c: the pace of one stream, from which the time follows after which its
 * silence is suspect. Mean and mean deviation of the gaps, as TCP keeps them
 * for its retransmission timer (RFC 6298).
 */
struct pace {
	double mean_ms;
	double deviation_ms;
	unsigned gaps;
	unsigned doublings; /* silences in a row */
};

/* A gap between two arrivals has ended. */
void pace_note(struct pace *p, int64_t gap_ms);
/* The bound passed without a byte: the next one is twice as long. */
void pace_silent(struct pace *p);
/* Time without a byte after which to suspect the connection, at most max_ms. */
int64_t pace_bound_ms(const struct pace *p, int64_t max_ms);
/* Pause before attempt n (from 0), spread by a random number. */
int64_t pace_pause_ms(unsigned n, uint32_t random);

/*
 * resume.c: the identity with which a caller gets the rest of an answer from
 * any entry. It is sealed (encrypted and authenticated) with a key that the
 * nodes share.
 */
struct resume {
	const char *organisation;
	const char *service;
	const char *target;
	const char *address;
	const char *request; /* identity of the request */
	int64_t deadline_ms; /* wall clock */
};

/*
 * Key from node.secret_file; a fixed one for tests when that is empty.
 *
 * Return: NULL when the file can't be read. Free with g_free.
 */
struct resume_key *resume_key_load(const char *path);
/* The identity as text for a header or a URL, in the arena. */
char *resume_seal(void *arena, const struct resume_key *k,
		  const struct resume *r);
/* Return: false when text isn't an identity sealed with this key. */
bool resume_open(void *arena, const struct resume_key *k, const char *text,
		 struct resume *out);
/*
 * Number of the event to go on with after the one that Last-Event-ID names,
 * as "N" or "<request>:N"; 0 without the header, -1 when malformed.
 */
int64_t resume_position(const char *last_event_id, const char *request);

/* relay.c: one answer of a target, event by event, each exactly once. */
struct relay;

/* The way to a target through its admitting node. */
struct forward_hop {
	const char *url;            /* where that node takes the request */
	const char *const *headers; /* what it is told of it; ends in NULL */
	/* Reads the answer by which that node refused. */
	void (*refused)(const struct pull *answer, void *ctx);
	void *ctx;
};

/*
 * Send the request to a target and wait until it has begun to answer; with
 * via, through its admitting node. The rest of a broken answer always comes
 * from the target itself. Only the entry cancels work, never a node between.
 *
 * Return: RAMP_OK, or an error kind whose outcome says whether it may run
 * elsewhere.
 */
enum ramp_error relay_open(struct request *rq, const struct target *t,
			   const struct forward_hop *hop, struct relay **out);
/* Go on with an answer that has begun at a target, from event pos on. */
enum ramp_error relay_resume(struct request *rq, const struct target *t,
			     int64_t pos, struct relay **out);
/* The target that the answer comes from now. */
const struct target *relay_target(const struct relay *rl);
/*
 * Next event of the answer; the strings live until the next call. A silent or
 * broken connection is replaced and the answer resumed. If the target has lost
 * the answer and the service is idempotent, the request runs anew elsewhere,
 * and the new answer is gone on with only if it starts with what was given out.
 * As soon as the new target has begun, an event without data (NULL) says so.
 *
 * Return: RAMP_OK; *ended is set at the end of the answer. Any other kind
 * ends the relay.
 */
enum ramp_error relay_next(struct relay *rl, struct sse_event *e, bool *ended);
/* Cancels the work at the target unless the answer has ended. */
void relay_close(struct relay *rl);

/* cancel.c: cancels work at targets without waiting for them. */
GThreadPool *cancel_pool_new(void);
/* Waits for what is under way. */
void cancel_pool_drain(GThreadPool *p);
/* reader is the header that the connections to the target carried. */
void cancel_request(GThreadPool *p, const struct target *t, struct str request,
		    const char *reader);

/*
 * dispatch.c: choose a target, ask its admitting node, and try others where
 * that is safe.
 */
enum ramp_error dispatch(struct request *rq, struct relay **out);
/* Targets for the request in order of preference; an array in its arena. */
const struct target **dispatch_rank_targets(struct request *rq, size_t *n);

/*
 * health.c: targets that err or are slow are set aside for a while, and
 * retries are paid for by first attempts. Safe from any thread.
 */
struct health *health_new(uint64_t seed);
void health_free(struct health *h);
void health_set_fleet(struct health *h, const struct fleet *f);
void health_record_success(struct health *h, const struct target *t,
			   int64_t first_ms);
void health_record_error(struct health *h, const struct target *t);
bool health_allows(struct health *h, const struct target *t);
/* Count a first attempt. */
void health_count_request(struct health *h);
/*
 * Pause before attempt number `attempt` is followed by another, in ms; -1 when
 * there must be none.
 */
int64_t health_retry_delay_ms(struct health *h, int attempt,
			      int64_t deadline_ms);

/* peers.c: which node admits to a target. */
/* NULL when no node is known. The result lives as long as the fleet. */
const struct peer *peer_admitter(const struct fleet *f, uint64_t target);

/* chat.c: stream what the relay gives; takes the request and the relay. */
int answer_stream(struct request *rq, struct relay *rl, struct _u_response *r);

/* Handlers of the HTTP server. */
int on_resume(const struct _u_request *q, struct _u_response *r, void *node);
int on_chat(const struct _u_request *q, struct _u_response *r, void *node);
int on_plain(const struct _u_request *q, struct _u_response *r, void *node);
/* POST /internal/targets/:target/v1/chat/completions; forward.c. */
int on_forward(const struct _u_request *q, struct _u_response *r, void *node);
int on_keys(const struct _u_request *q, struct _u_response *r, void *node);
int on_entries(const struct _u_request *q, struct _u_response *r, void *node);
int on_metrics(const struct _u_request *q, struct _u_response *r, void *node);
int on_ready(const struct _u_request *q, struct _u_response *r, void *node);
/* The administration API; docs/API.md. */
int on_resource_list(const struct _u_request *q, struct _u_response *r,
		     void *node);
int on_resource_get(const struct _u_request *q, struct _u_response *r,
		    void *node);
int on_resource_put(const struct _u_request *q, struct _u_response *r,
		    void *node);
int on_resource_delete(const struct _u_request *q, struct _u_response *r,
		       void *node);
int on_resource_status(const struct _u_request *q, struct _u_response *r,
		       void *node);
int on_change_list(const struct _u_request *q, struct _u_response *r,
		   void *node);
int on_change_get(const struct _u_request *q, struct _u_response *r,
		  void *node);
int on_nodes(const struct _u_request *q, struct _u_response *r, void *node);
int on_drain(const struct _u_request *q, struct _u_response *r, void *node);

#endif
