/*
 * Stand-ins for the platform of the review's cases: the store, engines, and
 * requesters, as PROTOCOL.md describes them, all in one process. The entries
 * are processes of target/bin/rampentry, each at a loopback address of its own,
 * with settings that are filled into deploy/entry.conf.in.
 *
 * Each connection has a thread. Functions that fail for another reason than the
 * entries' behaviour end the process with status 2.
 */
#ifndef STAND_IN_H
#define STAND_IN_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#define ENTRIES_MAX 4
#define ENGINES_MAX 12

struct engine;

/* A request that an engine has received. */
struct engine_request {
	struct engine *engine;
	int fd;
	char *path;
	char *id;       /* Auburnramp-Attempt-Id */
	int last_event; /* Last-Event-Id; 0: none */
};

/* Answer a request; false: the connection can carry no other. */
typedef bool engine_fn(struct engine_request *r);

struct engine {
	char name[16];
	const char *version;
	engine_fn *answer;
	int listener, port;
};

/* Open record.txt of the case's folder, start the store; once, and first. */
void stand_ins_start(const char *folder);
/* Write a line to record.txt with the ms since the start. */
void record(const char *fmt, ...) G_GNUC_PRINTF(1, 2);
/* The same for a failure of the case itself; ends the process with 2. */
void give_up(const char *fmt, ...) G_GNUC_PRINTF(1, 2) G_GNUC_NORETURN;
/*
 * Write op/config with routes /safe/ and /stream/ to the service pool, and with
 * a tenant for each key, which is not NULL: the second may have none.
 */
void write_manifest(int version, const char *key, const char *second_key);
/* Keep a copy of the store's rows as they are. */
void copy_store(void);
/*
 * Take the store away for a moment (503), and bring it back from the copy:
 * what was written since is gone, and Store-Era rises by one.
 */
void restore_copy(int away_ms);
struct engine *start_engine(const char *version, engine_fn *answer);
/* Have all engines read nothing for a time. */
void silence_engines(int ms);
/* Send bytes; false when the connection has ended. */
bool send_bytes(int fd, const char *p, size_t n);
bool send_text(int fd, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* Send the head of a signed stream; more: header lines, or "". */
bool send_stream_head(const struct engine_request *r, const char *more);
/* Send the event with a number as one chunk. */
bool send_event(const struct engine_request *r, int number);
bool send_stream_end(const struct engine_request *r);
/* Send a whole signed answer. */
bool send_answer(const struct engine_request *r, const char *body);

/* Write the settings of so many entries, and start them. */
void start_entries(size_t n);
void wait_until_ready(void);
void signal_entry(size_t i, int sig);
bool entry_runs(size_t i);
/*
 * From now on, kill each entry whose memory exceeds the limit of its settings,
 * and start it again, as the platform does.
 */
void watch_memory(void);
/* Return how often that was so, and the most MB that it was seen to have. */
int memory_kills(size_t i, int *most_mb);
/* End all entries that still run. */
void stop_entries(void);

/* The way of a requester's request, as far as the requester sees it. */
struct reply {
	int status;           /* 0: no head came */
	double retry_after_s; /* 0: not named */
	int last_event;       /* number of the last event that came; 0: none */
	bool complete;        /* up to the end as framed */
	bool reset;           /* the channel was reset */
};

/*
 * Have the requesters' channels to the entries pass through a relay from now
 * on, which can reset them.
 */
void start_relay(void);
/* Reset a share of an entry's channels that are open; return their number. */
int reset_channels(size_t entry, double share);
/* Connect to an entry; receive_bytes: SO_RCVBUF, 0: the default. */
int connect_to(size_t entry, int receive_bytes);
/* Return an id that no request has had. */
char *new_id(void);
void send_request(int fd, const char *path, const char *id, int deadline_ms,
		  const char *headers);
/* The same with a body of n bytes; false when the channel has ended. */
bool send_upload(int fd, const char *path, const char *id, int deadline_ms,
		 size_t n);
/*
 * Read the answer; after the first bytes of it, do not read for pause_ms.
 */
void read_reply(int fd, int pause_ms, struct reply *out);
/* Whether the script is to cause the disruption: not with TROUBLE=0. */
bool has_trouble(void);

#endif
