/*
 * entry: an HTTP reverse proxy that forwards callers' requests to targets.
 *
 * Two threads run an event loop each. The traffic thread serves all
 * connections. The control thread reads the platform's store, exchanges
 * messages with the other nodes and publishes immutable, reference-counted
 * views (configuration, targets, peers) that the traffic thread picks up.
 * Header names, paths and bodies of the platform's protocol come from struct
 * dialect, its store is reached through struct store_api.
 *
 * Times are milliseconds of the boot-time clock unless stated otherwise.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include <ev.h>
#include <netinet/in.h>
#include <stdatomic.h>

#include "base/base.h"
#include "entry/settings-gen.h"
#include "route/route.h"

extern const struct setting_table entry_settings_table;

/*
 * explain.c: check the section "explain" of loaded settings. Append what is
 * wrong to errors, as settings_load_table does; return whether it is right.
 */
bool explain_check_settings(const struct entry_settings *s, const char *path,
			    GPtrArray *errors);

/* view.c: the immutable views that the control thread publishes. */

/* Retry policy of a route. */
enum route_retry {
	RETRY_NEVER,      /* an attempt of a caller runs at most once */
	RETRY_IDEMPOTENT, /* idempotent: may run more than once */
	RETRY_RESUME,     /* a stream: resumed after the last event received */
};

/* A weighted destination of a route. */
struct route_destination {
	uint32_t service; /* index into services of struct entry_config */
	int64_t weight;
};

/* A configured route: matches requests by host and path prefix. */
struct route_rule {
	struct str name;
	struct str host;
	struct str path; /* path prefix; begins and ends with a slash */
	struct route_destination *destinations;
	size_t destination_count;
	int64_t weight_sum;
	enum route_retry retry;
	bool stream;          /* responses are server-sent events */
	bool public;          /* no API key is required */
	bool prefix_affinity; /* place requests by their shared prompt parts */
	int runs_max;         /* most targets that may run a caller's attempt */
	int priority;         /* 0 is the most urgent */
	int64_t timeout_ms;   /* of the whole request, from its arrival */
	int64_t latency_target_ms;   /* until a response begins */
	int64_t event_gap_target_ms; /* between two events of a stream */
};

struct entry_service {
	struct str name;
	int64_t connections_max; /* per target, over all callers */
	bool model;              /* its targets process and cache prompts */
	bool kv_transfer; /* its targets fetch cached prompts from each other */
	int64_t warmup_ms; /* for which a started target is cold; 0: it isn't */
	double warmup_per_s; /* requests that a cold target bears; 0: any */
};

struct entry_organisation {
	struct str name;
	int priority; /* overrides that of the route; -1: not set */
};

/* Size limits and timeouts of callers' connections. */
struct caller_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
};

/* One revision of the configuration. Immutable; reference-counted. */
struct entry_config {
	atomic_int refs;
	void *arena;
	int64_t version;
	/* No newer one was in the store then; 0: not known. */
	atomic_int_least64_t fresh_ms;
	struct route_rule *routes;
	size_t route_count;
	/* host (struct str) -> GPtrArray of struct route_rule, longest first */
	GHashTable *hosts;
	struct entry_service *services;
	size_t service_count;
	GHashTable *keys;       /* API key -> struct entry_organisation */
	bool has_organisations; /* a list of them, which may be empty */
	struct caller_limits limits;
};

/*
 * How this node learned of a target's state, that is, of the last change to
 * what target_info_hash covers. Heartbeats, which only change the revision of a
 * row, leave it as it is.
 */
struct target_source {
	int64_t revision;   /* of the row that showed the state */
	int64_t noticed_ms; /* when this node noticed it */
	uint64_t node;      /* id of the node that told of it; 0: own read */
};

/* A target's registration in the store. */
struct target_info {
	uint64_t id; /* hash of its name and its start time */
	struct str name;
	struct str service;
	struct str zone;
	struct str version; /* of its software; {NULL, 0}: not known */
	struct sockaddr_in address;
	int64_t slots;   /* requests that it runs at the same time */
	int64_t born_ms; /* wall-clock time of its start; 0: not known */
	bool draining;   /* gets no new requests */
	/* How much longer it was cold when its row was written; not hashed. */
	int64_t warmup_left_ms;
	struct target_source source; /* for the log; not hashed, not sent */
};

/*
 * The registered targets. Immutable once published, apart from until_ms;
 * reference-counted.
 */
struct target_list {
	atomic_int refs;
	/*
	 * No request is sent by the list from then on, on time_boot_ms; see
	 * list-deadline.h. The control thread moves it on.
	 */
	atomic_int_least64_t until_ms;
	/* It was the store's newest then, and who said so; for the log. */
	atomic_int_least64_t fresh_ms;
	atomic_uint_least64_t fresh_from;
	void *arena;
	struct target_info *v;
	size_t n;
};

/* A live node of the fleet. */
struct entry_peer {
	uint64_t id;
	struct str address; /* IP:PORT for callers */
	struct str zone;
	struct sockaddr_in report_address; /* UDP, for peer-messages.c */
	bool suspected; /* it has not answered for MEMBER_SILENT_MS */
};

/* The live nodes. Immutable once published; reference-counted. */
struct peer_list {
	atomic_int refs;
	void *arena;
	struct entry_peer *v; /* live nodes, including this one */
	size_t n;
	size_t known;        /* number of nodes, live or not */
	uint64_t *known_ids; /* of these; room for all that were counted */
};

struct entry_config *entry_config_new(void);
struct entry_config *entry_config_ref(struct entry_config *c);
void entry_config_unref(struct entry_config *c);
/* Return when a configuration was last confirmed; NULL or never: 0. */
int64_t entry_config_fresh_ms(const struct entry_config *c);
/* Build the lookup tables once all fields are set. */
void entry_config_index(struct entry_config *c);
/*
 * Find the route of a host with the longest path prefix that matches; NULL
 * when there is none.
 */
const struct route_rule *entry_config_route(const struct entry_config *c,
					    struct str host, struct str path);
/* Find the organisation that an API key belongs to; NULL when unknown. */
const struct entry_organisation *
entry_config_key_owner(const struct entry_config *c, struct str key);
/* Allocate a list with room for n items and a count of 0. */
struct target_list *target_list_new(size_t n);
struct target_list *target_list_ref(struct target_list *l);
void target_list_unref(struct target_list *l);
/*
 * Hash the identity, service, version, address and drain state of a target. The
 * hash of a list is the XOR of the hashes of its targets.
 */
uint64_t target_info_hash(const struct target_info *t);
struct peer_list *peer_list_new(size_t n);
struct peer_list *peer_list_ref(struct peer_list *l);
void peer_list_unref(struct peer_list *l);
/* Parse IP:PORT; false when the text has another form. */
bool parse_address(const char *text, struct sockaddr_in *out);

/* The platform's wire protocol: names of headers and paths, error bodies. */

/* A response that the entry generates itself. */
struct local_reply {
	int status;
	const char *type;       /* media type of the body */
	char *body;             /* in the request's arena */
	int64_t retry_after_ms; /* 0: no Retry-After header */
};

/* The fields up to fetch_from are names of headers. */
struct dialect {
	struct str request_id;
	struct str deadline; /* ms that the caller will still wait */
	struct str key;
	struct str organisation;
	struct str expected_target;
	struct str signature;
	struct str load;    /* requests running, requests queued, slots */
	struct str not_run; /* the target did not start the request */
	struct str limit;   /* requests a second that the target takes in all */
	struct str brittle; /* rejections a second that it bears, if few */
	struct str leaving; /* "1": the target takes no new requests */
	struct str prompt_parts; /* comma-separated list of ID:TOKENS */
	struct str priority;
	struct str last_event;
	struct str resumes; /* id of the attempt that brought the first event */
	struct str token_usage; /* prompt tokens, most output tokens */
	struct str length_hint; /* output tokens that the caller expects */
	struct str fetch_from;  /* IP:PORT of a target that holds the prompt */
	/* Headers that only the entry may set; dropped from requests. */
	const struct str *reserved;
	size_t reserved_count;
	struct str ready_path;
	struct str entries_path;
	/* Format the list of entries for callers; allocated in the arena. */
	char *(*entries_body)(void *arena, const struct str *addresses,
			      size_t n, double ttl_s);
	/* Format the body of an error response; allocated in the arena. */
	char *(*error_body)(void *arena, enum ramp_error kind);
	/* Name of the query parameter of entries_path that selects a zone. */
	struct str query_zone;
};

/* A count of memory, which is also part of another one. */
struct account {
	int64_t bytes;
	struct account *sum; /* or NULL */
};

static inline void account_add(struct account *a, int64_t bytes)
{
	for (; a; a = a->sum)
		a->bytes += bytes;
}

/* A body of this size is copied behind its head and sent together with it. */
#define COPIED_BODY_MAX_BYTES 4096

/* buf.c: a byte queue, appended to at the end and consumed from the start. */
struct buf {
	char *data;
	size_t off, len, cap; /* unread bytes are data[off] to data[len - 1] */
	struct account *account; /* counts cap; see held.h. NULL: none */
};

void buf_add(struct buf *b, const void *p, size_t n);
void buf_fmt(struct buf *b, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* Append an HTTP header line. */
void buf_add_header(struct buf *b, struct str name, struct str value);
/* Consume n bytes. Memory of a large queue is freed once it is empty. */
void buf_consume(struct buf *b, size_t n);
/* Make room for just n more bytes. */
void buf_reserve(struct buf *b, size_t n);
/* Empty the queue and free its memory; it keeps its account. */
void buf_clear(struct buf *b);
/* Replace the queue by another one, which is empty afterwards. */
void buf_move(struct buf *to, struct buf *from);
/* Count the queue's memory in an account; NULL: in none. */
void buf_set_account(struct buf *b, struct account *account);
static inline size_t buf_len(const struct buf *b)
{
	return b->len - b->off;
}
static inline const char *buf_data(const struct buf *b)
{
	return b->data + b->off;
}

/* http-message.c: a parser for HTTP/1.1 requests and responses. */
struct header {
	struct str name;
	struct str value;
};

/*
 * The head is kept as one text: the URL, then each header as "name:value\n"
 * without the white space around the value. Neither part of a header contains
 * the byte that ends it.
 */
struct message {
	void *arena;
	int status;        /* of a response */
	struct str method; /* of a request */
	struct str url;    /* of a request */
	char *text;
	size_t text_len, text_size; /* used and allocated */
	size_t headers_at;          /* where the headers begin in text */
	uint64_t names;             /* set of name_bit of all headers */
	struct account *account; /* counts text_size; see held.h. NULL: none */
	/*
	 * False also where the end of the body is the end of the connection, or
	 * where it is uncertain whether a response that has none is followed by
	 * the body that its headers describe.
	 */
	bool keep_alive;
	bool has_body; /* by the headers; a response may have none all the same
			*/
	bool until_close;   /* a response's body ends with the connection */
	int64_t body_bytes; /* by Content-Length; -1: none is given */
};

/* Return the value of the first such header, or {NULL, 0}. */
struct str message_header(const struct message *m, struct str name);
/*
 * Take the next header, in their order; *at is 0 at first. Return whether there
 * was one.
 */
bool message_next_header(const struct message *m, size_t *at, struct header *h);
/*
 * Append a header; false when it is invalid. Those that were read before must
 * not be used after it.
 */
bool message_add_header(struct message *m, struct header h);

/*
 * The headers of a message that are to be forwarded: all but hop-by-hop ones,
 * which include those that Connection headers name.
 */
struct end_to_end {
	const struct message *message;
	size_t at;
	struct str *listed; /* by Connection headers, sorted */
	size_t listed_count;
};

void end_to_end_begin(struct end_to_end *e, const struct message *m);
bool end_to_end_next(struct end_to_end *e, struct header *h);
void end_to_end_end(struct end_to_end *e);

/* Compare two strings, ignoring ASCII case. */
bool str_eq_nocase(struct str a, struct str b);
/* Return a URL without its query. */
struct str url_path(struct str url);
/* Parse a non-negative decimal integer; -1 when the text is not one. */
int64_t str_parse_number(struct str s);

/*
 * Parse a decimal number, with or without a fraction. Return it in thousandths,
 * at most max, or -1 when the text is not one.
 */
int64_t str_parse_milli(struct str s, int64_t max);

/*
 * Parse the value of a Retry-After header: seconds, with or without a fraction,
 * or a date of HTTP. Return the time to wait from the given wall-clock time in
 * ms, at most RETRY_AFTER_MAX_MS, or -1 when the value is malformed.
 */
#define RETRY_AFTER_MAX_MS 3600000
int64_t str_parse_retry_after(struct str s, int64_t wall_now_ms);

enum read_error {
	READ_OK,
	READ_MALFORMED,
	READ_HEADERS_TOO_LARGE,
	READ_STOPPED, /* a callback returned false */
};

/* Callbacks of a reader; one that returns false stops the reader. */
struct reader_ops {
	/* The header section is complete. The message's arena owns it. */
	bool (*head)(void *ctx, struct message *m);
	/* Called for each piece of the body. */
	bool (*body)(void *ctx, const char *p, size_t n);
	/* The message is complete; the callback takes ownership of it. */
	bool (*end)(void *ctx, struct message *m);
};

struct reader;

/* Create a parser for a sequence of requests, or of responses. */
struct reader *reader_new(bool request, const struct reader_ops *ops,
			  void *ctx);
void reader_free(struct reader *r);
/* Limit the size of the header section. */
void reader_set_header_max(struct reader *r, size_t header_bytes);
/* Count the heads of its messages in an account, from the next one on. */
void reader_set_account(struct reader *r, struct account *account);
/* Return what the reader holds of a message that has not ended, in bytes. */
size_t reader_held_bytes(const struct reader *r);
/* Expect a response without a body, as to a HEAD request. */
void reader_set_no_body(struct reader *r, bool no_body);
/*
 * Parse received bytes up to the end of a message at most. Return how many
 * were consumed.
 */
size_t reader_feed(struct reader *r, const char *p, size_t n,
		   enum read_error *err);
/*
 * Return how many bytes of the last reader_feed followed the end of a message;
 * for its callback end.
 */
size_t reader_unread_bytes(const struct reader *r);
/* Handle the peer's close: ends a body that is delimited by the close. */
enum read_error reader_eof(struct reader *r);
/* Whether the reader is within a message. */
bool reader_is_mid_message(const struct reader *r);

/* sock.c: non-blocking TCP sockets. */
/* Listen on IP:PORT. Return a descriptor, or -1 with an error. */
int sock_listen(const char *address, GError **err);
/* Begin to connect. Return a descriptor, or -1 on failure. */
int sock_connect(const struct sockaddr_in *to);
/* Discard what is unsent when the socket is closed; the peer gets a reset. */
void sock_reset_on_close(int fd);
/* Accept a connection. Return a descriptor, or -1 when there is none. */
int sock_accept(int fd);
/*
 * Ignore packets that begin a new connection to a listener; those on their way
 * are still established. Callers send such a packet again after a second, and
 * are refused if the listener has been closed by then.
 */
void sock_ignore_new(int fd);
/*
 * Whether the peer has closed or reset the connection and all that it sent
 * before has been received.
 */
bool sock_peer_has_closed(int fd);
/* Close a connection that sock_connect or sock_accept has returned. */
void sock_close(int fd);
/* Return how many of these are open. */
int sock_open_connections(void);
/* Whether bytes have been received that were not read. */
bool sock_has_input(int fd);

/* link.c: a client connection to a target or to the store. */
enum link_fault {
	LINK_NOT_CONNECTED, /* not established, so nothing was sent */
	LINK_BROKEN,    /* reset, or closed before the end of the response */
	LINK_MALFORMED, /* the received bytes are not an HTTP response */
	LINK_NO_TUNNEL, /* the other node did not help; nothing was sent */
};

struct link;

/* Callbacks for one response; head and body return false to stop reading. */
struct link_ops {
	bool (*head)(void *ctx, struct message *m);
	bool (*body)(void *ctx, const char *p, size_t n);
	/* The response is complete; reusable: the link can carry another. */
	void (*end)(void *ctx, bool reusable);
	/*
	 * The connection has failed; the callback closes the link.
	 * response_started: some bytes of the response have arrived.
	 */
	void (*fault)(void *ctx, enum link_fault f, bool response_started);
	/*
	 * May be NULL. The connection has been established and what was queued
	 * for it is about to be sent. After false, nothing is sent, and the
	 * callback has closed the link.
	 */
	bool (*may_send)(void *ctx);
};

/*
 * Begin to connect; NULL when no socket can be opened. Callbacks are called
 * from the event loop, never from within this function.
 */
struct link *link_open(struct ev_loop *loop, const struct sockaddr_in *to);
/*
 * The same through another node, which gets the hello: see tunnel.h. Connected
 * means that this node has connected to the target.
 */
struct link *link_open_through(struct ev_loop *loop,
			       const struct sockaddr_in *helper,
			       const uint8_t *hello, size_t n);
/* Return the byte that the other node sent; 0: none. */
int link_tunnel_reply(const struct link *l);
bool link_is_tunnel(const struct link *l);
/*
 * Mark the link as idle. When a byte arrives, which belongs to no request, or
 * when the peer closes, on_lost is called, which has to close the link.
 */
void link_set_idle(struct link *l, void (*on_lost)(void *ctx), void *ctx);
/* Deliver the next response to ctx. */
void link_expect_response(struct link *l, const struct link_ops *ops,
			  void *ctx);
/*
 * Queue bytes for sending, and after them the body, which must stay valid until
 * the link is idle or closed.
 */
void link_send(struct link *l, const char *p, size_t n, struct str body);
/* Count what the link holds in an account. */
void link_set_account(struct link *l, struct account *account);
/* Return what the link holds in buffers and heads, in bytes. */
size_t link_held_bytes(const struct link *l);
/* Expect a response without a body, as to a HEAD request. */
void link_expect_no_body(struct link *l, bool no_body);
/* Stop reading from the socket, or resume. */
void link_set_paused(struct link *l, bool pause);
bool link_connected(const struct link *l);
/* Close the connection; may be called from its own callbacks. */
void link_close(struct link *l);
/*
 * Return until when the connection may stay idle and be reused, by the timeout
 * in the peer's Keep-Alive header; 0: not at all, also when bytes that belong
 * to no request have followed the response.
 */
int64_t link_idle_deadline_ms(const struct link *l);
/*
 * Whether the peer has neither sent anything nor closed an idle connection
 * since it was last read: after a pause of this process the events of a request
 * and of the connection are due at once.
 */
bool link_is_quiet(const struct link *l);

/* sse-split.c: splits a stream of server-sent events into whole events. */
enum line_ends {
	LINE_ENDS_UNKNOWN,
	LINE_ENDS_LF,
	LINE_ENDS_CRLF_ONE, /* CR LF, at events of one line only */
	LINE_ENDS_CRLF,
};

struct sse_splitter {
	struct buf partial; /* the incomplete event at the end */
	struct buf padding; /* comments and blank lines before the next event */
	struct str last_id; /* of the last whole event; points to id_text */
	char id_text[32];
	int64_t last_number;  /* that id as a number; -1: none */
	uint64_t event_count; /* events passed to the callback */
	bool resumed;         /* events follow those of another run */
	/* Of this run, also if it was not passed on; -1: none. */
	int64_t run_number;
	enum line_ends line_ends; /* of this run's events so far */
	bool regular;             /* each number was one above the one before */
	bool irregular;           /* some were not */
};

/*
 * Called for each whole event, including its blank line and the comments before
 * it. Comments that no event follows are not passed on.
 */
typedef void sse_event_fn(void *ctx, const char *p, size_t n);

/*
 * Process bytes of a stream. Events whose number is not above that of the last
 * one are dropped, as a resumed stream may repeat them.
 *
 * Return: false when an event exceeds the size limit, when it has no field or
 * holds the head of a response or a chunk's framing, or when one of a resumed
 * run doesn't follow: it has no number, or leaves numbers out though the events
 * before didn't.
 */
bool sse_splitter_feed(struct sse_splitter *c, const char *p, size_t n,
		       sse_event_fn *fn, void *ctx);
/* The run has ended: pass on an event that sse_splitter_feed held back. */
void sse_splitter_end(struct sse_splitter *c, sse_event_fn *fn, void *ctx);
/*
 * Begin another run of the stream: discard the incomplete event that a broken
 * connection left.
 */
void sse_splitter_restart(struct sse_splitter *c);
/* The stream follows an event that the caller got from another node. */
void sse_splitter_follow(struct sse_splitter *c, struct str last_id);
/*
 * Whether a run that has ended can't have been whole: it ended in an event,
 * before an event that was passed on, or without any though it was the first.
 * until_close: its end was that of the connection, which says nothing of a run
 * without events.
 */
bool sse_splitter_is_cut(const struct sse_splitter *c, bool until_close);
void sse_splitter_clear(struct sse_splitter *c);

/*
 * loads.c: counts the requests in progress at each target, those of this node
 * and those that the other nodes report. Thread-safe.
 */
struct loads;

/* node: id of this node, by which it ignores its own reports. */
struct loads *loads_new(uint64_t node);
void loads_free(struct loads *l);
/*
 * Add delta (which may be negative) to this node's requests at a target. Called
 * on the traffic thread.
 */
void loads_add(struct loads *l, uint64_t target, int delta);
/* Return the requests of all other nodes at a target, by their last reports. */
double loads_remote(struct loads *l, uint64_t target, int64_t now_ms);
/*
 * Set the interval at which nodes send reports, which grows with the fleet. A
 * node whose reports are missing for several intervals counts as gone.
 */
void loads_set_send_interval(struct loads *l, int64_t interval_ms);
/* Return how old this node's knowledge of the others' requests may be. */
int64_t loads_lag_ms(struct loads *l, int64_t now_ms);
/* Return when another node's report or a total last arrived; 0: never. */
int64_t loads_newest_ms(struct loads *l);
/* Set whether this node accepts callers' requests, for the next report. */
void loads_set_serving(struct loads *l, bool serving);
/*
 * Whether the serving state has changed since the last report. Such a report
 * is sent at once, without waiting for the send interval.
 */
bool loads_serving_unsent(struct loads *l);
/* Whether another node has reported recently that it accepts requests. */
bool loads_peer_is_serving(struct loads *l, uint64_t node, int64_t now_ms);
struct load_table;
/*
 * Fill in t with this node's requests, for its relay. The entries of t point to
 * LOAD_TABLE_BYTES_MAX bytes. Control thread only.
 */
void loads_own_table(struct loads *l, struct load_table *t);
/*
 * Take a relay's total of the other nodes' requests, which loads_remote returns
 * while it is recent. Return false when it is malformed. Control thread only.
 */
bool loads_receive_total(struct loads *l, const struct load_table *t,
			 int64_t now_ms);
struct loads_report;
struct load_entry;
#define LOADS_ENTRIES_MAX 120
/*
 * Fill in the next report to the other nodes; entries has room for
 * LOADS_ENTRIES_MAX. Return false when the last report is recent and nothing
 * has changed since. Called on the control thread.
 */
bool loads_next_report(struct loads *l, int64_t now_ms,
		       struct loads_report *report, struct load_entry *entries);
/*
 * Apply another node's report, unless it is older than the last one applied.
 * Called on the control thread.
 */
void loads_receive(struct loads *l, int64_t now_ms,
		   const struct loads_report *report);

/* entry.c: starts the two threads and holds their shared state. */
struct entry;

enum store_table {
	/* One row: the configuration; and a row for each evacuated zone. */
	STORE_CONFIG,
	STORE_TARGETS, /* a row for each target */
	STORE_NODES,   /* a row for each node; written by the entries */
	STORE_PROMPTS, /* one row: prompt holders; written by the entries */
};

enum store_status {
	STORE_OK,
	STORE_HISTORY_LOST, /* the history from that revision was discarded */
	STORE_EXISTS,       /* the row to create exists; the page contains it */
	STORE_FAILED, /* error or timeout; a write may have taken effect */
};

struct store_row {
	const char *key;
	int64_t revision;
	bool deleted;
	/* Of STORE_CONFIG, the zone to evacuate; NULL: the configuration. */
	const char *zone;
};

/* Result of a call to the store; valid during the callback only. */
struct store_page {
	enum store_status status;
	const struct store_row *rows; /* by ascending keys */
	size_t n;
	int64_t era;      /* grows when the store comes back from a copy */
	int64_t revision; /* of the store; comparable within an era only */
	bool more;        /* there are further rows after the last one */
	/* Of the last row, which rows may lack; NULL: there was no row. */
	const char *last_key;
	int64_t sent_ms; /* when the call was sent: the page is no older */
	bool refused;    /* failed, as a sound store asks for fewer calls */
	const void *raw; /* private to struct store_api */
};

typedef void store_done_fn(void *ctx, const struct store_page *p);

/*
 * Client of the platform's store. Calls return at once; done is called later,
 * on the control thread.
 */
struct store_api {
	void *(*open)(struct ev_loop *loop, const struct sockaddr_in *at,
		      int64_t timeout_ms);
	/* Cancel the calls in progress, without calling done, and close. */
	void (*close)(void *store);
	/* Read a page of rows, starting at a key. */
	void (*read)(void *store, enum store_table t, const char *from,
		     store_done_fn *done, void *ctx);
	/* Long poll: wait up to wait_ms for rows newer than a revision. */
	void (*await)(void *store, enum store_table t, int64_t revision,
		      int64_t wait_ms, store_done_fn *done, void *ctx);
	/* Write one row unconditionally. */
	void (*write)(void *store, enum store_table t, const char *key,
		      const json_t *value, store_done_fn *done, void *ctx);
	/* Write one row unless it exists. */
	void (*create)(void *store, enum store_table t, const char *key,
		       const json_t *value, store_done_fn *done, void *ctx);
	/* Decode row i of a page; NULL when it is malformed. */
	json_t *(*value)(const struct store_page *p, size_t i);
	/* Parse the configuration; NULL with an error when it is invalid. */
	struct entry_config *(*config)(const json_t *value, GError **err);
	/*
	 * Parse the row of a target; its strings are allocated in the arena.
	 * Return false when the row describes no usable target.
	 */
	bool (*target)(void *arena, const char *key, const json_t *value,
		       struct target_info *out);
};

/* The pointers must stay valid until entry_free. */
struct entry_options {
	const struct entry_settings *settings;
	const char *path; /* settings file, read again on SIGHUP */
	const struct dialect *dialect;
	const struct store_api *store;
	bool signals; /* handle SIGTERM and SIGHUP */
};

/* Open all ports; NULL with an error when one can't be opened. */
struct entry *entry_new(const struct entry_options *o, GError **err);
/*
 * Run the traffic thread in the caller's thread, and the control thread beside
 * it. Return after entry_stop, or after SIGTERM or entry_leave once requests
 * have ended or the grace period is over.
 */
void entry_serve(struct entry *e);
void entry_free(struct entry *e);
/* Begin a graceful shutdown, as on SIGTERM. Called from another thread. */
void entry_leave(struct entry *e);
/* Stop at once, dropping requests in progress. Called from another thread. */
void entry_stop(struct entry *e);

#endif
