/*
 * Stand-ins for the cases of this review: the platform's store, engines,
 * requesters, and the start of the project's own entry as the deploy file
 * says. Everything listens on loopback addresses, at free ports. The functions
 * on connections, messages and the record are for any thread, the others for
 * that of the case. All end the program with exit status 2 when a stand-in
 * itself fails.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Exit status of a case. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

/* Parse the command line, DIRECTORY, and open DIRECTORY/record.txt. */
void case_begin(int argc, char **argv);
/* Whether the disruption is wanted: TROUBLE=0 in the environment: no. */
bool case_has_trouble(void);
/* End all processes that were started; write the verdict and exit. */
void case_end(int status, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3) G_GNUC_NORETURN;
/* Write a line to the record, with the time since the start. */
void record(const char *fmt, ...) G_GNUC_PRINTF(1, 2);
int64_t now_ms(void);
void sleep_ms(int64_t ms);

/* A connection and the bytes that were received and not used yet. */
struct conn {
	int fd;
	GString *input;
};

/* The start of a message up to the blank line, and its body. */
struct message {
	char *head; /* NULL: none */
	GString *body;
	int status; /* of an answer */
};

/* rcvbuf 0: the system's receive buffer. NULL: it was refused. */
struct conn *conn_connect(int port, int rcvbuf);
struct conn *conn_new(int fd);
void conn_free(struct conn *c);
bool conn_send(struct conn *c, const char *p, size_t n);
/*
 * Read a head; false: the connection ended, was reset, or until_ms passed. The
 * body is read apart from it.
 */
bool conn_read_head(struct conn *c, struct message *m, int64_t until_ms);
/*
 * Take the event at the front of the input, which has the form of
 * engine_stream; false: it is not all there. The version is to be freed with
 * g_free.
 */
bool conn_take_event(struct conn *c, int *id, char **version);
/* Read the body that the head announces by its length. */
bool conn_read_body(struct conn *c, struct message *m, int64_t until_ms);
/* Receive more input; false: the end, a reset, or until_ms has passed. */
bool conn_receive(struct conn *c, int64_t until_ms);
void message_clear(struct message *m);
/* Copy the value of a header; NULL: there is none. To be freed with g_free. */
char *message_header(const struct message *m, const char *name);

/* What a requester sends. */
struct request {
	const char *method, *path, *id;
	const char *headers; /* more lines, each with its line end, or NULL */
	size_t body_bytes;
	int deadline_ms;
};

/* Send a request with the key of the manifest. */
bool conn_send_request(struct conn *c, const struct request *r);
bool conn_send_request_with_key(struct conn *c, const struct request *r,
				const char *key);

struct store;

struct store *store_start(void);
/*
 * Return the port of a listener for one machine. All listeners serve the same
 * rows.
 */
int store_listen(struct store *s, const char *machine);
/* How often the machine has read the list of engines since then. */
int store_reads(struct store *s, const char *machine, int64_t since_ms);
/* Write a row as the operator or an engine does; NULL removes it. */
void store_put(struct store *s, const char *table, const char *key,
	       json_t *value);

struct engine;
struct engine_call {
	struct engine *engine;
	struct conn *conn;
	struct message request; /* its body has not been read */
	char *id;               /* of the request */
};
/*
 * Serve a request whose head was read, on the thread of its connection; return
 * whether the connection is kept.
 */
typedef bool engine_fn(struct engine_call *call);

struct engine {
	char *name;
	const char *service, *version;
	int listener, port;
	engine_fn *serve;
	GMutex lock;
	GHashTable *reached; /* set of ids: requests whose head came */
	GHashTable *ran;     /* those that it ran */
};

/*
 * Start an engine with a name of its own, and write its row, state ready;
 * version: of its software.
 */
struct engine *engine_start(struct store *s, const char *service,
			    const char *version, engine_fn *serve);
/*
 * Read the body; true: the request is for this engine, and is noted as run.
 * False: it was rejected with 421, or the connection broke.
 */
bool engine_run(struct engine_call *call);
/* Answer with status 200 and n bytes of body. */
bool engine_answer(struct engine_call *call, size_t n);
/*
 * Answer with a stream of events 1 to n, gap_ms apart, or with those after the
 * request's Last-Event-Id. The data of each names the engine's version.
 */
bool engine_stream(struct engine_call *call, int n, int64_t gap_ms);
/* Whether the request has reached one of the engines, or one ran it. */
bool engines_got(struct engine **v, size_t n, const char *id);
bool engines_ran(struct engine **v, size_t n, const char *id);

/* Limits of the manifest that differ between cases. */
struct manifest {
	int version;
	int header_bytes, timeout_ms;
	int models; /* services model-0 and so on, with routes /chat/0/ ... */
};
/*
 * Write the manifest: tenant t1 with key KEY, route /app/ of kind unsafe to
 * service app, and routes of kind streaming, which may be resumed, to the
 * model services.
 */
#define KEY  "n2ctnfzs989anu6wsjnb"
#define HOST "ficu95.example"
void manifest_write(struct store *s, const struct manifest *m);
/* The same with other tenants; takes the reference. */
void manifest_write_for(struct store *s, const struct manifest *m,
			json_t *tenants);

struct entry_options {
	const char *name;
	int memory_mb, files;
};
struct entry_process {
	struct entry_options options;
	pid_t pid; /* 0: it does not run */
	int callers_port, ready_port, registry_port, peers_port, metrics_port;
	int store_port;
};

/*
 * Start target/bin/rampentry with the deploy file's template of settings, as
 * when the whole system starts for the first time, and wait until its
 * readiness check answers 200.
 */
struct entry_process *entry_start(struct store *s,
				  const struct entry_options *o);
/* Kill the process, as a loss of power does. */
void entry_kill(struct entry_process *p);
/* Start it again with the same settings but Bootstrap false, and wait too. */
void entry_start_again(struct entry_process *p);
/* Resident memory in KiB; 0: the process has ended. */
int64_t entry_memory_kib(const struct entry_process *p);
/* Whether the readiness check on a connection answers 200 in time. */
bool ready_check(struct conn *c, int64_t until_ms);

#endif
