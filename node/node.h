/*
 * The auburnramp process. Every node does the same work: it serves callers
 * (in this role it is called the entry), streams the targets' answers to them,
 * serves the administration API and takes part in the control of the fleet.
 *
 * Each HTTP connection has a thread of its own, which may block. One control
 * thread runs the control modules and never blocks. Functions are safe to
 * call from any thread unless their comment says otherwise.
 */
#ifndef NODE_H
#define NODE_H

#include <stdatomic.h>

#include "base/base.h"
#include "http/http.h"
#include "member/member.h"
#include "node/admission.h"
#include "route/crash-causes.h"
#include "route/route.h"
#include "state/state.h"

/* An instance that runs requests: a model engine or a plain service. */
struct target {
	char *name;
	char *pool;
	char *address; /* "IP:port" */
	char *zone;
	char *version; /* of its software; empty: not known */
	uint64_t id;   /* hash of the name */
	bool leaving;
	bool down; /* unreachable, or reachable again for too short a time */
};

/* A node of the fleet, this one included. */
struct peer {
	uint64_t id; /* hash of the name */
	char *name;
	char *address;
	char *zone;
	char *region;
	char *control; /* "IP:port" of its control socket */
	bool leaving;
	enum member_state state;
	uint32_t incarnation; /* 0: no message from it has arrived yet */
	double running;       /* requests in progress, as last reported */
};

/*
 * The instances as this node sees them. Reference-counted, and immutable once
 * in force.
 */
struct fleet {
	GPtrArray *targets; /* struct target */
	GPtrArray *peers;   /* struct peer */
	/* Nodes believed alive, and nodes expected; see member_count_live. */
	size_t nodes_live, nodes_known;
	bool lists_self; /* the platform's instance list names this node */
	/* Monotonic time at which the platform was asked for the list. */
	int64_t asked_ms;
};

/*
 * Build a fleet from the platform's instance list. Instances without a name or
 * an address are skipped.
 */
struct fleet *fleet_from_instances(const json_t *instances);
/*
 * Return the instance list of a fleet; the caller owns it. Every target gets
 * the role "target" and no region, as the fleet keeps neither.
 */
json_t *fleet_to_instances(const struct fleet *f);
/*
 * Return whether the named node owns the key, that is, comes first for it by
 * rendezvous hashing over the nodes that are not leaving.
 */
bool fleet_owns_key(const struct fleet *f, const char *name, const char *key);
struct fleet *fleet_ref(struct fleet *f);
/* Drop a reference; NULL is allowed. */
void fleet_unref(struct fleet *f);
/* Add a node with copies of the strings; the fleet owns the result. */
struct peer *fleet_add_peer(struct fleet *f, const struct member_info *info);
/* Copy what the platform's list gives, without the membership's state. */
struct fleet *fleet_copy(const struct fleet *f);
/* Return the target with this name, or NULL; the fleet owns it. */
const struct target *fleet_target(const struct fleet *f, const char *name);

#define APPLIED_REVISIONS_MAX 64 /* newest revisions whose time is kept */

/* A configuration revision and when it came into force on this node. */
struct applied_revision {
	int64_t revision;
	int64_t at_ms; /* wall clock */
};

/* The state of the process; there is one. */
struct node {
	struct settings set;
	struct server server;
	char *address;       /* "IP:port" that callers use */
	atomic_bool leaving; /* draining before the process ends */
	atomic_bool stop_control;
	atomic_int running; /* requests in progress */
	struct resume_key *resume_key;
	struct admission *admission;
	struct health *health;
	struct crash_causes *crash_causes; /* of messages */
	struct limits *limits;
	struct limit_pools *limit_pools;
	GThreadPool *cancel_pool; /* cancel.c */

	/* Newest configuration revision that any node has reported. */
	atomic_int_least64_t reported_revision;

	/* Control thread only: the platform's instance list as last read. */
	struct fleet *listed_fleet;
	uint64_t listed_version; /* incremented by each read of the list */

	/*
	 * Control thread only: the membership, which also carries each node's
	 * share of a pool's load and gives the pool's mean load. NULL until the
	 * UDP socket is bound.
	 */
	struct member *member;

	GAsyncQueue *target_events; /* struct target_event */

	/* Guards the fields below, which only the control thread replaces. */
	GMutex lock;
	struct config *config;
	struct fleet *fleet;
	/* Oldest first. */
	struct applied_revision applied[APPLIED_REVISIONS_MAX];
	unsigned applied_count;
};

/*
 * Add delta (1 or -1) to the count of requests in progress, which includes
 * those that other nodes forward through this one.
 */
void node_add_running(struct node *n, int delta);
/*
 * Return a reference to the configuration or fleet in force, or NULL before
 * the first one has been read.
 */
struct config *node_config(struct node *n);
struct fleet *node_fleet(struct node *n);
/*
 * Put a configuration or fleet in force, from the control thread; each takes
 * the reference. A configuration that is not newer is dropped.
 */
void node_set_config(struct node *n, struct config *c);
void node_set_fleet(struct node *n, struct fleet *f);
/*
 * Store an instance list, from the control thread, unless the platform was
 * asked for the present one later. Takes the reference.
 */
void node_set_listed_fleet(struct node *n, struct fleet *f, int64_t asked_ms);

/* What a thread observed of a target, queued for the control thread. */
struct target_event {
	char *target;
	enum target_observation observation;
};

/* Queue an observation of a target for the membership. */
void node_observe_target(struct node *n, const char *target,
			 enum target_observation observation);
/*
 * Return the wall-clock time in ms since which the revision or a newer one has
 * been in force on this node, or 0 when none is. For a revision older than all
 * APPLIED_REVISIONS_MAX kept ones this is the time of the oldest kept one.
 */
int64_t node_in_force_since(struct node *n, int64_t revision);

/* What the control modules share; lives as long as the control thread. */
struct control_env {
	struct node *node;
	struct fetcher *fetcher; /* for calls to targets and other nodes */
	struct platform plat;
};

/*
 * A module of the control thread, which runs all its functions; none may
 * block. start returns the ctx of the others.
 */
struct control_module {
	void *(*start)(struct control_env *env);
	/* Called at least every 20 ms with the monotonic time. */
	void (*tick)(void *ctx, int64_t now_ms);
	/* Optional: a descriptor to poll, and the handler when it is ready. */
	int (*fd)(void *ctx);
	void (*readable)(void *ctx);
	/* Frees ctx. */
	void (*stop)(void *ctx);
};

/* Follows the configuration and puts new revisions in force. */
extern const struct control_module config_module;
/* Reads the platform's instance list. */
extern const struct control_module list_module;
/* Orders the targets of model services to load what the services need. */
extern const struct control_module orders_module;
/* Removes expired claims. */
extern const struct control_module sweep_module;
/* Runs the membership protocol and publishes the fleet. */
extern const struct control_module gossip_module;
/* Reads the load of the targets that this node admits to. */
extern const struct control_module loads_module;
/* Renews this node's grants of the organisations' limits. */
extern const struct control_module limits_module;
/* Decides which messages of chats are blocked. */
extern const struct control_module chat_faults_module;

/* Run the control thread until the node's stop_control is set. */
void *control_run(void *node);

/* Client of the platform's services over HTTP. */
struct platform_http;
/*
 * Set *out to the platform's operations. With a fetcher they return at once
 * and complete in fetcher_poll; with NULL they block and complete before they
 * return.
 */
struct platform_http *platform_http_new(const struct settings *s,
					struct fetcher *f,
					struct platform *out);
void platform_http_free(struct platform_http *p);

/* Estimated cost of a chat completion, and the chat that it belongs to. */
struct work_estimate {
	int64_t prompt_tokens;
	int64_t history_tokens; /* the part before the last message */
	int64_t output_tokens;  /* expected */
	uint64_t chat_hash;     /* the same in every turn of a chat */
};

/*
 * Estimate the work of a chat completion from its body. chat is the chat's
 * identity as the caller gives it, or NULL: then the first messages identify
 * the chat.
 */
struct work_estimate estimate_work(const json_t *body, const char *organisation,
				   const char *chat);

/*
 * One request of a caller, from its headers to the end of its answer. Only
 * the thread of the caller's connection uses it. Its memory is in its arena.
 */
struct request {
	void *arena;
	struct node *node;
	struct config *config; /* as in force when the request began */
	struct fleet *fleet;   /* likewise */
	const struct key_owner *owner;
	const struct service *service;
	const struct intent *intent; /* or NULL */
	struct str id;               /* the target repeats it in its answer */
	struct str key;              /* idempotency key, or empty */
	const char *chat;            /* the caller's chat identity, or NULL */
	int64_t deadline_ms;         /* wall clock */
	int64_t priority;
	struct str body; /* as sent to the target */
	bool stream;     /* the caller asked for a streamed answer */
	int caller_fd; /* caller's connection for http_call_watch_peer, or -1 */
	bool caller_gone; /* the caller has closed its connection */
	struct work_estimate work;
	uint64_t *parts; /* hashes of the chat's messages but the last */
	size_t part_count;
	uint64_t own_part;            /* hash of the last */
	uint64_t whole;               /* of all of them and the organisation */
	struct admission_grant grant; /* held while the work runs */
	bool limit_taken;      /* counted against its organisation's limits */
	int64_t reused_tokens; /* as the target reported; -1: not reported */
	struct hint hint;      /* target 0: the caller sent none */
	int64_t retry_at_ms;   /* wall clock; 0: no retry time is known */
	struct call_claim *claim; /* or NULL */
	/* Asks for the rest of an answer, so its work has already begun. */
	bool is_resume;
};

/*
 * Begin a request: authenticate the caller and read the headers that every
 * request has, such as its deadline and idempotency key.
 *
 * Return: RAMP_OK, or the error to refuse it with. *out is set in both cases;
 * free it with request_free.
 */
enum ramp_error request_begin(struct node *n, const struct _u_request *q,
			      struct request **out);
/* Release all that the request holds: claim, admission, limits, memory. */
void request_free(struct request *rq);
/*
 * Answer with an error, its outcome and, if the error allows a retry, the time
 * to retry; log and count it. Return U_CALLBACK_COMPLETE.
 */
int request_refuse(struct request *rq, struct _u_response *r, enum ramp_error e,
		   const char *detail);
/* Count the outcome of an ended request in the metrics. */
void request_count_outcome(enum outcome o);
/*
 * Set the request's service, and the intent and priority that apply to it.
 * Return false when no such service is declared.
 */
bool request_resolve_service(struct request *rq, const char *service);
/* Return the deadline on the monotonic clock, in ms. */
int64_t request_deadline_mono_ms(const struct request *rq);

/*
 * Estimate of the gaps between the arrivals of one stream, from which its
 * stall timeout follows. Keeps mean and mean deviation as TCP does for its
 * retransmission timer (RFC 6298). Zeroed memory is a valid estimate.
 */
struct pace {
	double mean_ms;
	double deviation_ms;
	unsigned gap_count;            /* samples taken */
	unsigned consecutive_timeouts; /* since the last sample */
};

/* Add the gap between two arrivals to the estimate. */
void pace_record_gap(struct pace *p, int64_t gap_ms);
/* Record that the timeout passed without a byte, which doubles the next one. */
void pace_record_timeout(struct pace *p);
/* Return the time in ms without a byte that means a stall, at most max_ms. */
int64_t pace_timeout_ms(const struct pace *p, int64_t max_ms);
/*
 * Return the backoff in ms before attempt n (from 0): exponential, with jitter
 * from the random number.
 */
int64_t pace_backoff_ms(unsigned n, uint32_t random);

/* secret.c: the secret that all nodes share. */

/*
 * Return the text of the file with it, without white space at its ends; NULL
 * when it can't be read or is empty. Free with secret_free.
 */
char *secret_read(const char *path);
/* Overwrite the text and free it; NULL is allowed. */
void secret_free(char *text);

/*
 * Resume token: with it a caller gets the rest of an answer from any entry. It
 * is encrypted and authenticated with a key that all nodes share.
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
 * Derive the tokens' key from the file node.secret_file, or from a fixed
 * secret for tests when path is empty.
 *
 * Return: the key, to be freed with g_free, or NULL when the file can't be
 * read or is empty.
 */
struct resume_key *resume_key_load(const char *path);
/* Return the token as text for a header or a URL, allocated in the arena. */
char *resume_seal(void *arena, const struct resume_key *k,
		  const struct resume *r);
/*
 * Decode a token, with its strings in the arena. Return false when the text is
 * not a token that was sealed with this key.
 */
bool resume_open(void *arena, const struct resume_key *k, const char *text,
		 struct resume *out);
/*
 * Return the number of the event that follows the one in Last-Event-ID, which
 * is "N" or "<request>:N"; 0 without the header, -1 when it is malformed.
 */
int64_t resume_position(const char *last_event_id, const char *request);

/* relay.c: the answer of a target, delivering each event exactly once. */
struct relay;

/* Header of a target's 503: it is leaving and takes no new work. */
#define HDR_TARGET_LEAVING "Leaving"

/* How to reach a target through its admitting node. */
struct forward_hop {
	const char *url;            /* the admitting node's URL for it */
	const char *const *headers; /* sent to that node; ends in NULL */
	/* Called with that node's answer when it refused the request. */
	void (*refused)(const struct http_call *answer, void *ctx);
	void *ctx;
};

/*
 * Send the request to a target and wait until it begins to answer. With a hop
 * the request goes through the admitting node; the rest of a broken answer is
 * always read from the target directly. Only the entry cancels work, never the
 * admitting node.
 *
 * Return: RAMP_OK, or an error whose outcome says whether the request may run
 * on another target.
 */
enum ramp_error relay_open(struct request *rq, const struct target *t,
			   const struct forward_hop *hop, struct relay **out);
/* Read an answer that has begun at a target, from event number pos on. */
enum ramp_error relay_resume(struct request *rq, const struct target *t,
			     int64_t pos, struct relay **out);
/* Return the target that the answer comes from; a rerun changes it. */
const struct target *relay_target(const struct relay *rl);
/*
 * Read the next event of the answer; its strings live until the next call. A
 * stalled or broken connection is replaced and the answer resumed. If the
 * target has lost the answer and the service is idempotent, the request is
 * rerun on another target, whose answer is used only if it starts with the
 * events already delivered. As soon as the new target has begun, an event
 * without data (NULL) reports the change of target.
 *
 * Return: RAMP_OK, with *ended set at the end of the answer. After any error
 * only relay_close may follow.
 */
enum ramp_error relay_next(struct relay *rl, struct sse_event *e, bool *ended);
/* Free the relay; cancel its work at the targets unless it has ended. */
void relay_close(struct relay *rl);

/* cancel.c: threads that cancel work at targets in the background. */
GThreadPool *cancel_pool_new(void);
/* Wait for the pending cancellations and free the pool. */
void cancel_pool_drain(GThreadPool *p);
/*
 * Cancel a request at a target, without waiting. reader is the header line
 * that the connections to the target carried.
 */
void cancel_request(GThreadPool *p, const struct target *t, struct str request,
		    const char *reader);

/*
 * Choose a target, get the request admitted to it and begin the answer. Other
 * targets are tried where that is safe.
 *
 * Return: RAMP_OK with *out set, or the error to refuse the request with.
 */
enum ramp_error dispatch(struct request *rq, struct relay **out);
/*
 * Return the *n targets that the request may use, the preferred ones first, as
 * an array in its arena.
 */
const struct target **dispatch_rank_targets(struct request *rq, size_t *n);

/* chat-faults.c: messages that crash the targets which begin to answer them. */

/* Most messages of a chat that are examined; the first are kept. */
#define CHAT_PARTS_MAX 64

struct crash_causes *chat_faults_new(void);
/* Set the keys of the request from its body. */
void chat_faults_set_parts(struct request *rq, const json_t *body);
/* Return RAMP_OK, or the error to refuse the request with. */
enum ramp_error chat_faults_check(const struct request *rq);
/* Return whether the request may crash the target that runs it next. */
bool chat_faults_suspect(const struct request *rq);
/* An answer began at a monotonic time, and its target goes on. */
void chat_faults_began(const struct request *rq, int64_t began_ms);
/* The target can't be reached any more, before its answer began. */
void chat_faults_crashed(const struct request *rq, const struct target *t);

/*
 * health.c: ejects targets that fail or are slow for a while, and limits
 * retries to a budget that first attempts fill. Safe from any thread.
 */
struct health *health_new(uint64_t seed);
void health_free(struct health *h);
void health_set_fleet(struct health *h, const struct fleet *f);
/* Record an answer that began after latency_ms. */
void health_record_success(struct health *h, const struct target *t,
			   int64_t latency_ms);
void health_record_error(struct health *h, const struct target *t);
/* Return whether a request may be sent to the target now. */
bool health_allows(struct health *h, const struct target *t);
/* Count a first attempt, which fills the retry budget. */
void health_count_request(struct health *h);
/*
 * Return the delay in ms before the retry that follows attempt number
 * `attempt` (from 1), taking it from the budget; -1 when no retry is allowed.
 */
int64_t health_retry_delay_ms(struct health *h, int attempt,
			      int64_t deadline_ms);

/*
 * Return the node that admits requests to a target, chosen by rendezvous
 * hashing, or NULL when no node is known. The fleet owns the result.
 */
const struct peer *peer_admitter(const struct fleet *f, uint64_t target);

/* Stream the relay's answer to the caller; takes over rq and rl. */
int answer_stream(struct request *rq, struct relay *rl, struct _u_response *r);

/* Handlers of the HTTP server. */
int on_resume(const struct _u_request *q, struct _u_response *r, void *node);
int on_chat(const struct _u_request *q, struct _u_response *r, void *node);
int on_plain(const struct _u_request *q, struct _u_response *r, void *node);
/* POST /internal/targets/:target/v1/chat/completions, from other nodes. */
int on_forward(const struct _u_request *q, struct _u_response *r, void *node);
int on_keys(const struct _u_request *q, struct _u_response *r, void *node);
int on_entries(const struct _u_request *q, struct _u_response *r, void *node);
int on_metrics(const struct _u_request *q, struct _u_response *r, void *node);
int on_ready(const struct _u_request *q, struct _u_response *r, void *node);
/* Handlers of the administration API; see docs/API.md. */
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
