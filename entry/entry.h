/*
 * entry: takes callers' HTTP requests, forwards each to a target and gives the
 * answer back. One thread with an event loop forwards; a control thread reads
 * the platform's store, speaks with the other nodes and publishes immutable
 * views. What the platform calls things comes in by struct dialect.
 *
 * Times are milliseconds of the boot-time clock unless a name says otherwise.
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

/* view.c: what the control thread publishes. */

/* What may be repeated of a route's requests. */
enum repeat {
	REPEAT_NEVER, /* at most one run of each attempt of a caller */
	REPEAT_ANY,   /* idempotent */
	REPEAT_REST,  /* a stream, from the event after the last one received */
};

/* A part of a route's traffic, by the service it goes to. */
struct route_part {
	uint32_t service; /* index in struct entry_config */
	int64_t weight;
};

/* A routing intent as declared: requests of a host below a path. */
struct route_rule {
	struct str name;
	struct str host;
	struct str path; /* begins and ends with a slash */
	struct route_part *parts;
	size_t part_count;
	int64_t weight_sum;
	enum repeat repeat;
	bool stream;        /* answers are server-sent events */
	bool public;        /* needs no key */
	bool sticky;        /* requests name the parts of their prompts */
	int runs_max;       /* most targets that may run one attempt */
	int priority;       /* 0 is the most urgent */
	int64_t timeout_ms; /* from the request's arrival */
	int64_t aim_ms;     /* in which an answer is wanted to begin */
	int64_t gap_ms;     /* longest pause of a stream that is on time */
};

struct entry_service {
	struct str name;
	int64_t connections_max; /* that a target takes from all callers */
	bool model;              /* its targets read prompts */
	bool fetches;            /* and fetch them from each other */
};

struct entry_organisation {
	struct str name;
	int priority; /* goes before the route's; -1: none */
};

/* What callers may send, and how long they may take. */
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
	struct route_rule *routes;
	size_t route_count;
	/* struct str -> GPtrArray of struct route_rule, longest path first */
	GHashTable *hosts;
	struct entry_service *services;
	size_t service_count;
	GHashTable *keys; /* key -> struct entry_organisation */
	bool has_organisations;
	struct caller_limits limits;
};

/* A target as it describes itself. */
struct target_info {
	uint64_t id; /* hash of its name and its start */
	struct str name;
	struct str service;
	struct str zone;
	struct sockaddr_in address;
	int64_t slots;
	int64_t born_ms; /* wall-clock time of its start; 0: not told */
	bool leaving;
};

struct target_list {
	atomic_int refs;
	void *arena;
	struct target_info *v;
	size_t n;
};

/* A node that callers may be sent to. */
struct entry_peer {
	uint64_t id;
	struct str address; /* for callers */
	struct str zone;
	struct sockaddr_in loads; /* takes its peers' loads */
};

struct peer_list {
	atomic_int refs;
	void *arena;
	struct entry_peer *v; /* live ones, this node included */
	size_t n;
	size_t known; /* live or not */
};

struct entry_config *entry_config_new(void);
struct entry_config *entry_config_ref(struct entry_config *c);
void entry_config_unref(struct entry_config *c);
/* Build the lookup tables once all fields are set. */
void entry_config_index(struct entry_config *c);
/* The route with the longest path that the request's path begins with. */
const struct route_rule *entry_config_route(const struct entry_config *c,
					    struct str host, struct str path);
const struct entry_organisation *
entry_config_owner(const struct entry_config *c, struct str key);
struct target_list *target_list_new(size_t n);
struct target_list *target_list_ref(struct target_list *l);
void target_list_unref(struct target_list *l);
/*
 * Hash of what matters of an entry; that of a list is the exclusive or of those
 * of its targets.
 */
uint64_t target_info_hash(const struct target_info *t);
struct peer_list *peer_list_new(size_t n);
struct peer_list *peer_list_ref(struct peer_list *l);
void peer_list_unref(struct peer_list *l);
bool parse_address(const char *text, struct sockaddr_in *out);

/* dialect: names that callers and targets use on the wire. */

/* An answer that the entry makes itself. */
struct own_answer {
	int status;
	const char *type;       /* media type of the body */
	char *body;             /* in the request's arena */
	int64_t retry_after_ms; /* 0: none */
};

struct dialect {
	struct str request_id;
	struct str deadline; /* ms that the caller will still wait */
	struct str key;
	struct str organisation;
	struct str expected_target;
	struct str signature;
	struct str load; /* running, waiting, slots */
	struct str not_run;
	struct str prompt_parts; /* ID:TOKENS, with commas between */
	struct str priority;
	struct str last_event;
	struct str fetch_from; /* IP:PORT of a target that holds the prompt */
	/* Headers that only the entry may set; a caller's are dropped. */
	const struct str *reserved;
	size_t reserved_count;
	struct str ready_path;
	struct str entries_path;
	/* Body that names entries to a caller; in the arena. */
	char *(*entries_body)(void *arena, const struct str *addresses,
			      size_t n, double ttl_s);
	/* Body of an answer of our own; in the arena. */
	char *(*error_body)(void *arena, enum ramp_error kind);
	/* Value of a query parameter of entries_path. */
	struct str query_zone;
};

/* buf.c: bytes on their way. */
struct buf {
	char *data;
	size_t off, len, cap;
};

void buf_add(struct buf *b, const void *p, size_t n);
void buf_fmt(struct buf *b, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* A header line of a message. */
void buf_header(struct buf *b, struct str name, struct str value);
void buf_drop(struct buf *b, size_t n);
void buf_clear(struct buf *b);
static inline size_t buf_len(const struct buf *b)
{
	return b->len - b->off;
}
static inline const char *buf_at(const struct buf *b)
{
	return b->data + b->off;
}

/* message.c: HTTP/1.1 messages. */
struct header {
	struct str name;
	struct str value;
};

struct message {
	void *arena;
	int status;        /* of an answer */
	struct str method; /* of a request */
	struct str url;
	struct header *headers;
	size_t header_count;
	bool keep_alive; /* false as well where the close ends the body */
	bool has_body;   /* of a request */
};

/* Value of a header, or {NULL, 0}. */
struct str message_header(const struct message *m, struct str name);
bool str_same(struct str a, struct str b); /* ASCII case is ignored */
/* A URL without its query. */
struct str url_path(struct str url);
/* Whether the header concerns one connection only. */
bool header_is_hop(const struct message *m, struct str name);
/* A whole non-negative number, or -1. */
int64_t str_number(struct str s);

enum read_error {
	READ_OK,
	READ_MALFORMED,
	READ_HEADERS_TOO_LARGE,
	READ_STOPPED, /* by a callback */
};

struct reader_ops {
	/* Head is complete; false stops. The message lives in its arena. */
	bool (*head)(void *ctx, struct message *m);
	bool (*body)(void *ctx, const char *p, size_t n);
	/* Takes the message. */
	bool (*end)(void *ctx, struct message *m);
};

struct reader;

/* Reads one message after the other; request or answer. */
struct reader *reader_new(bool request, const struct reader_ops *ops,
			  void *ctx);
void reader_free(struct reader *r);
void reader_limit(struct reader *r, size_t header_bytes);
/* An answer to a HEAD request has no body. */
void reader_no_body(struct reader *r, bool no_body);
/* Take bytes; stops after the end of a message. Returns how many were used. */
size_t reader_feed(struct reader *r, const char *p, size_t n,
		   enum read_error *err);
/* The other side has closed: ends a message whose end is the close. */
enum read_error reader_eof(struct reader *r);
/* Whether a message has begun and not ended. */
bool reader_busy(const struct reader *r);

/* sock.c */
int sock_listen(const char *address, GError **err);
int sock_connect(const struct sockaddr_in *to);
int sock_accept(int fd);

/* link.c: a connection to a target or to the store. */
enum link_fault {
	LINK_REFUSED,   /* never opened, so nothing was sent */
	LINK_BROKEN,    /* reset, or closed before the answer's end */
	LINK_MALFORMED, /* sent what is no answer */
};

struct link;

struct link_ops {
	bool (*head)(void *ctx, struct message *m);
	bool (*body)(void *ctx, const char *p, size_t n);
	/* The answer is complete; whether the link can carry another. */
	void (*end)(void *ctx, bool reusable);
	/* The link has failed and is to be closed. */
	void (*fault)(void *ctx, enum link_fault f, bool answered);
};

/* Begins to connect. Callbacks come from the loop, never from in here. */
struct link *link_open(struct ev_loop *loop, const struct sockaddr_in *to);
/*
 * No answer is waited for: whatever comes, the close included, belongs to no
 * request, and lost is called, which closes the link.
 */
void link_rest(struct link *l, void (*lost)(void *ctx), void *ctx);
/* The next answer is for ctx. */
void link_use(struct link *l, const struct link_ops *ops, void *ctx);
void link_send(struct link *l, const char *p, size_t n);
void link_no_body(struct link *l, bool no_body);
/* Stop or go on taking the answer in. */
void link_pause(struct link *l, bool pause);
bool link_connected(const struct link *l);
/* May be called from its own callbacks. */
void link_close(struct link *l);
/* How long it may be kept idle by what the other side said; 0: not at all. */
int64_t link_idle_until(const struct link *l);

/* cut.c: whole events of a stream. */
struct cutter {
	struct buf held; /* an event that is not complete yet */
	struct str last; /* id of the last whole event; points to text */
	char text[32];
	int64_t number; /* the same as a number; -1: none yet */
	uint64_t events;
};

/* Called for each whole event, blank line included. */
typedef void cut_fn(void *ctx, const char *p, size_t n);

/*
 * Take bytes of a stream. Events whose number is not above the last one are
 * dropped, as are those that a resumed stream repeats.
 *
 * Return: false when the stream can't be cut (an event over the limit, or a
 * number that does not grow by one at a resumption).
 */
bool cutter_feed(struct cutter *c, const char *p, size_t n, cut_fn *fn,
		 void *ctx);
/* Forget the part of an event that a broken connection left. */
void cutter_break(struct cutter *c);
void cutter_clear(struct cutter *c);

/* loads.c: requests in progress at targets, here and at the other nodes. */
struct loads;

struct loads *loads_new(uint64_t node);
void loads_free(struct loads *l);
/* Of the traffic thread: one more or less here. */
void loads_add(struct loads *l, uint64_t target, int by);
/* Requests of all other nodes there, as last told. */
double loads_others(struct loads *l, uint64_t target, int64_t now_ms);
/* How long nodes pause between what they tell; grows with the fleet. */
void loads_set_pause(struct loads *l, int64_t pause_ms);
/* Tell the others whether this node takes callers' requests. */
void loads_set_serving(struct loads *l, bool serving);
/* Whether that has changed since it was last told; it does not wait its turn.
 */
bool loads_is_urgent(struct loads *l);
/* Whether another node said lately that it does. */
bool loads_node_serves(struct loads *l, uint64_t node, int64_t now_ms);
struct load_news;
struct load_entry;
#define LOADS_ENTRIES_MAX 120
/*
 * Of the control thread: what to tell the others next, with room for
 * LOADS_ENTRIES_MAX entries; false when nothing is new.
 */
bool loads_next(struct loads *l, int64_t now_ms, struct load_news *m,
		struct load_entry *entries);
void loads_heard(struct loads *l, int64_t now_ms, const struct load_news *m);

/* entry.c: the two threads and what they share. */
struct entry;

enum store_table {
	STORE_CONFIG,  /* one row: the configuration */
	STORE_TARGETS, /* a row for each target */
	STORE_NODES,   /* a row for each node of the fleet; our own */
	STORE_PROMPTS, /* one row: targets that hold prompts; our own */
};

enum store_status {
	STORE_OK,
	STORE_GAP,    /* the history asked for is no longer kept */
	STORE_EXISTS, /* the row to be created is there, and in the page */
	STORE_FAILED, /* refused, or not answered: a write may have been done */
};

struct store_row {
	const char *key;
	int64_t revision;
	bool deleted;
};

/* What a call to the store gave; lives for the callback. */
struct store_page {
	enum store_status status;
	const struct store_row *rows; /* by ascending keys */
	size_t n;
	int64_t revision; /* of the store */
	bool more;        /* rows follow behind the last one */
	int64_t sent_ms;  /* the page is no older than this */
	const void *raw;  /* for struct store_api only */
};

typedef void store_done_fn(void *ctx, const struct store_page *p);

/* The platform's store; calls end on the control thread, never at once. */
struct store_api {
	void *(*open)(struct ev_loop *loop, const struct sockaddr_in *at,
		      int64_t timeout_ms);
	/* Calls in progress are dropped. */
	void (*close)(void *store);
	/* Rows from a key on. */
	void (*read)(void *store, enum store_table t, const char *from,
		     store_done_fn *done, void *ctx);
	/* Rows that changed after a revision, as soon as there are any. */
	void (*await)(void *store, enum store_table t, int64_t revision,
		      int64_t wait_ms, store_done_fn *done, void *ctx);
	/* Write one row, whatever it held. */
	void (*write)(void *store, enum store_table t, const char *key,
		      const json_t *value, store_done_fn *done, void *ctx);
	/* Write one row unless it exists. */
	void (*create)(void *store, enum store_table t, const char *key,
		       const json_t *value, store_done_fn *done, void *ctx);
	/* Decode a row's value; NULL when it can't be read. */
	json_t *(*value)(const struct store_page *p, size_t i);
	struct entry_config *(*config)(const json_t *value, GError **err);
	/* Texts go to the arena; false when the row names no target to use. */
	bool (*target)(void *arena, const char *key, const json_t *value,
		       struct target_info *out);
};

struct entry_options {
	const struct entry_settings *set;
	const char *path; /* of the settings, for SIGHUP */
	const struct dialect *dialect;
	const struct store_api *store;
	bool signals; /* take SIGTERM and SIGHUP */
};

/* Opens all ports; NULL with an error when one can't be. */
struct entry *entry_new(const struct entry_options *o, GError **err);
/* Serve until told to leave and the end of what is in progress. */
void entry_serve(struct entry *e);
void entry_free(struct entry *e);
/* From another thread: as SIGTERM does. */
void entry_leave(struct entry *e);
/* From another thread: end at once, whatever is in progress. */
void entry_stop(struct entry *e);

#endif
