/*
 * One request of a caller and its response. An exchange forwards the request to
 * a target and, where that is safe, retries it at another. Each forward is an
 * attempt; at most one is in progress. An exchange frees itself once it has
 * given a response to its caller; a caller that closes earlier cancels it.
 * Traffic thread only.
 *
 * exchange.c runs it, response-check.c judges responses, resolve.c looks up
 * what applies to the request, forward.c writes it to the target, retry.c
 * decides on retries, request-log.c logs it.
 */
#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

#include "entry/begun-queue.h"
#include "entry/internal.h"

/* Most attempts of one request, including those that did not run. */
#define ATTEMPTS_MAX 4
/* No attempt begins with less time than this before the deadline. */
#define ATTEMPT_MIN_MS 20

/* What this node knew of the target when it sent the request. */
struct send_basis {
	struct target_source row;
	int64_t row_age_ms;   /* since that was noticed */
	int64_t list_age_ms;  /* since the list was the newest; -1: not known */
	int64_t list_left_ms; /* until it must not be used; -1: no list */
	int64_t list_wait_ms; /* for which a newer list was not taken; 0 */
	uint64_t list_from;   /* who said that it was; see source_name */
};

struct exchange {
	struct caller *caller;
	struct traffic *tr;
	void *arena;
	struct message *request;
	struct str body;             /* of the request; the caller's memory */
	struct entry_config *config; /* NULL: there was none on arrival */
	/* Set by exchange_resolve; NULL when not found. */
	const struct route_rule *route;
	const struct entry_service *service;
	const struct entry_organisation *organisation;
	struct str request_id;
	/* Id of the caller's attempt whose stream this one continues, if any */
	struct str resumes;
	struct prompt prompt;
	struct prompt_parts *parts; /* NULL: the request names none */
	/* Hash of what stays the same when the request comes again. */
	uint64_t whole;
	int64_t arrived_ms;
	int64_t deadline_ms; /* the earlier of the caller's and the route's */

	/* The attempt in progress. */
	struct target *target;       /* NULL: no attempt */
	uint64_t attempt_version;    /* id of the target's, when it was sent */
	struct str last_target_name; /* of this attempt or the one before */
	struct str last_target_version; /* of its software */
	struct str last_source_name; /* where that fetches the prompt, or "-" */
	struct link *link;
	uint64_t helper;  /* the node through which the link goes; 0: none */
	bool link_reused; /* the link was idle, not opened for the attempt */
	int64_t sent_ms;
	struct send_basis basis; /* of this attempt or the one before */
	int64_t first_event_ms;  /* of the attempt; 0: none yet */
	/* When to check why no response has begun; 0: one has. */
	int64_t head_check_at_ms;
	int64_t head_timeout_ms; /* time from sent_ms to the first check */
	bool silence_counted;    /* a fault was recorded for this silence */
	bool begin_recorded;     /* that it began without a crash */
	bool foreign_response; /* the one being read has another request's id */
	bool foreign_seen;     /* such a response came on the connection */
	bool streaming;
	bool caller_is_slow; /* the link is paused until it has read more */
	struct message *response; /* its head; owned by the link */
	struct buf response_body; /* so far, unless streaming */
	size_t foreign_bytes;     /* of responses to other requests */

	uint64_t tried_targets[ATTEMPTS_MAX]; /* ids */
	int attempts;
	int possible_runs;      /* attempts that the target may have run */
	struct begun_wait wait; /* see begun-wait.c */
	struct retry_room retry_room; /* when it last asked for a retry */
	/*
	 * Id of the version at which the stream began, and so has to go on; 0:
	 * no event of it has been given to the caller.
	 */
	uint64_t version;
	int64_t take_up_deadline_ms; /* of that wait; 0: has not waited */
	struct sse_splitter splitter;
	bool head_sent;     /* the caller has got the head of a stream */
	bool retry_taken;   /* of the budget, for the next attempt */
	bool retry_pending; /* until this one is settled */
	/* What the caller has seen of the stream, over all attempts. */
	int64_t first_given_ms; /* first event; 0: none yet */
	int64_t last_given_ms;  /* latest event */
	int64_t longest_gap_ms; /* between two events */
	/* When the stream counts as stalled; 0: no event yet or no resume. */
	int64_t stall_deadline_ms;
	int64_t list_wait_end_ms; /* end of that wait; 0: has not waited */
	bool awaiting_list;       /* see list-wait.c; in the queue */
	bool begun;               /* see exchange_begin */
	bool taking_up;           /* waits for that version; in the queue */
	bool all_resting; /* no target takes requests, some for a time only */
	ev_timer timer;   /* the next of the deadlines above */
	const char *failure_cause; /* of the last failure, for the log */
	/* Of shed.c: prediction when it was admitted, and what came of it. */
	double shed_pressure; /* load by slots; 0: not known, or not admitted */
	double shed_wait_ms;
	int64_t shed_began_ms; /* response of the first attempt; 0: not yet */
	bool shed_waited;      /* requests waited at the service then */
	int64_t shed_retry_after_ms; /* of its refusal; 0: none */
};

/* Return the time to the deadline; negative after it. */
int64_t exchange_time_left_ms(const struct exchange *x);
/* Admit or refuse the request, which was resolved, and make an attempt. */
void exchange_begin(struct exchange *x);
/* Choose a target and forward. May end and free the exchange. */
void exchange_attempt(struct exchange *x);
/* End the exchange with an error response that the entry generates. */
void exchange_reply_error(struct exchange *x, enum ramp_error kind);
/*
 * Return the time after which the caller may come back, with a random part:
 * when targets of the service have asked for rest, once the first of them takes
 * requests again.
 */
int64_t exchange_retry_after_ms(const struct exchange *x, enum ramp_error kind,
				GRand *rand);
/*
 * End the exchange when no retry is possible. The error tells the caller
 * whether the request may have run.
 */
void exchange_fail(struct exchange *x);
/* Arm the timer for the earliest of the exchange's deadlines. */
void exchange_arm_timer(struct exchange *x);
/* End the attempt. Closing its connection cancels the work at the target. */
void exchange_abandon_attempt(struct exchange *x);

/* begun-wait.c: waits of those whose callers have a part of the answer. */

/* Whether the caller has got a part of the answer, here or elsewhere. */
bool exchange_is_begun(const struct exchange *x);
/* Return the rank with which the request asks for admission: see RANK_BEGUN. */
int exchange_rank(const struct exchange *x);
/*
 * Wait for a target, or for room in the retry budget, if the request is one of
 * those and will be served in time; return whether it waits.
 */
bool exchange_wait_begun(struct exchange *x, bool for_retry);
/* Stop waiting, if it does, and log what came of it. */
void exchange_end_wait(struct exchange *x, const char *result);
extern const struct begun_ops exchange_begun_ops;

/* retry.c: whether and when a request is retried at another target. */

/*
 * Return whether the route, the deadline and the number of attempts allow
 * another attempt, given the number of attempts that may have run.
 */
bool exchange_may_retry(const struct exchange *x, int possible_runs);
/* Take one retry from the service's retry budget; false when it is spent. */
bool exchange_take_retry(struct exchange *x);
/* The attempt has reached its target, or has ended. */
void exchange_settle_retry(struct exchange *x);
/*
 * End a failed attempt and begin another one if that is safe. ran: the
 * target may have run it. charge: take the retry from the budget. Returns false
 * when the request can't be retried and must be answered with an error; after
 * true the exchange may have been freed.
 */
bool exchange_retry(struct exchange *x, bool ran, bool charge);
/* Begin the attempt for which a retry was taken; may free the exchange. */
void exchange_begin_retry(struct exchange *x, bool ran);
/*
 * End an attempt that may have run and begin another one, after both
 * exchange_may_retry and exchange_take_retry have allowed it. May free the
 * exchange.
 */
void exchange_replace_attempt(struct exchange *x);
/*
 * Retry a stream that has been silent past its stall deadline. Returns whether
 * it was moved to another target.
 */
bool exchange_retry_if_stalled(struct exchange *x);
/*
 * Check an attempt whose response has not begun within head_timeout_ms, and
 * retry at another target if this one looks dead or has lost the request.
 * Returns whether it retried; otherwise sets the time of the next check.
 */
bool exchange_check_target(struct exchange *x, int64_t now);

/* response-check.c: what a response says of the request. */

/* Which request a response is the answer to. */
enum response_owner {
	OWNER_THIS,
	OWNER_OTHER,   /* the response to this one may follow */
	OWNER_UNKNOWN, /* may be another one, and none follows that is known */
};

/*
 * Find the owner of a response from its head, and log it if it is another
 * request. Sets foreign_response and foreign_seen.
 */
enum response_owner response_owner(struct exchange *x, const struct message *m);
/* Whether the target reports that it has not run the request. */
bool response_is_not_run(const struct exchange *x);
/* Whether the response may be passed to the caller unchanged. */
bool response_is_deliverable(const struct exchange *x);
/* Whether the response to a request for a stream is one of events. */
bool response_is_stream(const struct exchange *x);
/*
 * Record the load that the target reports, that it is leaving, how many
 * requests it takes from all nodes together, or for how long it wants none.
 */
void response_record_wishes(struct exchange *x);

/* crash-record.c: what becomes of attempts, by the keys of their requests. */
struct crash_causes *crash_record_new(struct entry *e);

/* Which key of the request crashes targets, so that no attempt is made. */
enum cause_block exchange_crash_block(const struct exchange *x);
/* The same for a question: the request does not count as one that came. */
enum cause_block exchange_crash_block_now(const struct exchange *x);
/* Whether the request may be what crashes targets: see crash_causes_suspect. */
bool exchange_is_suspect(const struct exchange *x);
/* The attempt's response began then, and its target has not crashed since. */
void exchange_record_begin(struct exchange *x, int64_t began_ms);
/* The attempt's connection broke; its target may have crashed of it. */
void exchange_record_break(struct exchange *x);

/* take-up.c: a stream that another attempt of the caller began. */

/* Whether the caller has events of the stream already. */
bool exchange_is_take_up(const struct exchange *x);
/*
 * Find the version at which the stream began and forward to a target that has
 * it, or refuse. May wait for other nodes; may end and free the exchange.
 */
void exchange_take_up(struct exchange *x);
/* Stop waiting. */
void exchange_leave_take_up(struct exchange *x);
/* Return the route's service of which targets have the version, or NULL. */
const struct entry_service *exchange_version_service(const struct exchange *x,
						     uint64_t version);

/* send-check.c: whether a request is still to be sent at the last moment. */

/*
 * Check that the caller still waits: it may have closed its connection, or its
 * deadline may have passed, while this node was busy. If it doesn't, ends and
 * frees the exchange and returns false.
 */
bool exchange_is_wanted(struct exchange *x);
/*
 * The same when a new connection has been established, for may_send of struct
 * link_ops; besides, the target may have begun to leave meanwhile, and another
 * attempt is made instead.
 */
bool exchange_may_send(void *exchange);

/* request-log.c: the lines of the log about a request. */

/*
 * Keep what the log says of the send. Called when the attempt begins, and when
 * a new connection, on which nothing is sent before, has been established.
 */
void exchange_note_send(struct exchange *x);
/*
 * Return the fields that say what the service's retry budget held when the
 * request last asked for a retry; in the arena. retries=0: it has not.
 */
const char *exchange_budget_text(const struct exchange *x);
/* Return the fields that say what the last send was based on; in the arena. */
const char *exchange_basis_text(const struct exchange *x);
/* Log and measure the end of the request. */
void exchange_log_end(const struct exchange *x, int status, const char *how);

/* resolve.c: looks up the configuration that applies to the request. */

/*
 * Find the request's route, organisation, service, deadline and prompt. Returns
 * RAMP_OK, or the error to refuse the request with.
 */
enum ramp_error exchange_resolve(struct exchange *x);

/* Return at which version the next attempt may run; see VERSION_ANY. */
static inline uint64_t exchange_target_version(const struct exchange *x)
{
	if (x->version)
		return x->version;
	return x->route->retry == RETRY_RESUME ? VERSION_KNOWN : VERSION_ANY;
}

/* forward.c: writes the request to a target. */

/* Return the priority by organisation or route; 0 is the most urgent. */
int exchange_priority(const struct exchange *x);
/*
 * Write the request to the attempt's link. Unless source is NULL, a header asks
 * the target to fetch the prompt from there.
 */
void exchange_forward(struct exchange *x, const struct target *source);

/* list-wait.c: waits for a confirmation of the list of targets. */

/* Wait if the list is too old, once a request; return whether it waits. */
bool exchange_await_list(struct exchange *x);
/* The same if targets wait until their version is known to all nodes. */
bool exchange_await_version(struct exchange *x);
/* Go on after the wait. May end and free the exchange. */
void exchange_end_list_wait(struct exchange *x);
/* Take the exchange, which ends, out of the queue if it waits. */
void exchange_leave_list_wait(struct exchange *x);

#endif
