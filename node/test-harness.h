/*
 * Fixture for tests and benchmarks with real processes: starts the stand-ins
 * and nodes of a rig on free ports, calls them over HTTP, reads streamed
 * answers event by event, and puts a faulty TCP proxy between two processes.
 *
 * Not thread-safe: one thread uses a rig with its processes and answers. Only
 * the TCP proxy runs threads of its own. A process that does not start, or a
 * condition that does not come true within WAIT_MS, fails the test.
 */
#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include "base/base.h"
#include "http/http.h"
#include "standin/standin.h"

#define RIG_PROCS_MAX         4     /* of each kind */
#define RIG_ENTRIES_VALID_MS  500   /* setting entries.valid of the nodes */
#define RIG_ENTRIES_SPREAD_MS 500   /* setting entries.spread of the nodes */
#define WAIT_MS               30000 /* timeout of each wait */

/* Poll until the condition holds; the test fails after WAIT_MS. */
#define WAIT_UNTIL(cond)                                                       \
	do {                                                                   \
		int64_t wait_until_ = time_mono_ms() + WAIT_MS;                \
		while (!(cond)) {                                              \
			g_assert_cmpint(time_mono_ms(), <, wait_until_);       \
			g_usleep(5000);                                        \
		}                                                              \
	} while (0)

/*
 * A child process of the test. The kernel kills it when the test ends, also
 * when the test aborts.
 */
struct proc {
	char *name;
	GPid pid; /* 0 when not running */
	int port;
	int advertised_port; /* port in the platform's instance list */
	bool leaving;        /* state in that list */
	const char *version; /* of an engine's software there; NULL: none */
};

/* One platform stand-in, and engines, plain services and nodes. */
struct rig {
	char *dir;            /* temporary: settings, logs, port files */
	char *extra_settings; /* appended to each node's settings */
	struct proc platform;
	struct proc engines[RIG_PROCS_MAX], services[RIG_PROCS_MAX],
		nodes[RIG_PROCS_MAX];
	unsigned engine_count, service_count, node_count;
};

/*
 * Start the stand-ins and declare the resources: organisations recif and
 * ferreyra (keys "key-recif", "key-ferreyra"), and services assistant (model),
 * report (model, not idempotent) and forum (plain, two instances). Starts no
 * node. extra_settings may be NULL. Free with rig_free.
 */
struct rig *rig_new(unsigned engines, unsigned nodes,
		    const char *extra_settings);
/* Start the nodes one after the other, each once the one before is ready. */
void rig_start(struct rig *g);
/* Kill all processes and remove the rig's files. */
void rig_free(struct rig *g);
/* Set the platform's instance list to the processes that run. */
void rig_publish(struct rig *g);
/* Start node i, or restart it, on a new port and wait until it is ready. */
void rig_start_node(struct rig *g, unsigned i);
/* Return how often the process logged an event, such as "caller_left". */
int rig_count_logged(const struct rig *g, const struct proc *p,
		     const char *event);
/* Start the engines that have ended by themselves again; return their number.
 */
int rig_restart_engines(struct rig *g);
/* Sum the requests run, or cancelled, by all engines that are up. */
int64_t rig_engine_runs(const struct rig *g);
int64_t rig_engine_cancellations(const struct rig *g);

/*
 * Start a program of the build; its path is relative to the build's root. The
 * arguments end in NULL. Returns once the program has written its port.
 */
void proc_start(struct rig *g, struct proc *p, const char *name,
		const char *program, ...) G_GNUC_NULL_TERMINATED;
void proc_signal(struct proc *p, int sig);
/* Wait until it ends. Return its exit code, or -1 if a signal killed it. */
int proc_wait(struct proc *p);
/* Return a counter of GET /metrics, or -1 if the process has none of it. */
int64_t proc_metric(const struct proc *p, const char *name);
/* Return the resident memory of a process in bytes; 0: it can't be read. */
int64_t proc_memory_bytes(const struct proc *p);
/* Set the faults of a stand-in with PUT /standin/faults. */
void proc_set_faults(const struct proc *p, const char *json);

/* Response to an HTTP call; a missing header is NULL. */
struct reply {
	int status;        /* 0 if no complete response arrived */
	char *outcome;     /* header Ramp-Outcome */
	char *retry_after; /* header Retry-After */
	char *body;        /* NUL-terminated */
	json_t *json;      /* NULL if the body is not JSON */
};

/*
 * Call 127.0.0.1:port on a new connection and read the whole response.
 * headers ends in NULL; NULL stands for a JSON content type. body may be
 * NULL. Clear the result with reply_clear.
 */
struct reply call_local(int port, const char *method, const char *path,
			const char *const *headers, const char *body);
void reply_clear(struct reply *r);
/* GET a path that must answer 200. The caller owns the result. */
json_t *get_local_json(int port, const char *path);

/* A streamed chat completion, read and checked word by word. */
struct chat_stream {
	struct http_call *http_call;
	char *prompt; /* as the stand-in engines see it */
	char *last_event_id;
	char *resume_token; /* newest; from the header or the stream */
	char *request_id;
	int64_t words; /* received so far */
	int status;
	bool done;     /* the end marker has arrived */
	bool mismatch; /* a word out of order or of another answer */
	char *outcome; /* of an error event, or NULL */
};

/*
 * Request a completion of so many tokens as organisation recif, and wait for
 * the response headers. Free with chat_stream_free.
 */
struct chat_stream *chat_stream_open(int port, const char *service,
				     const char *question, int64_t tokens);
/* Close the connection and resume after the last event at another node. */
void chat_stream_resume(struct chat_stream *a, int port, const char *key);
/*
 * Read until this many words have arrived since chat_stream_open; stop early at
 * the end, at an error event, when the connection breaks or after WAIT_MS.
 */
void chat_stream_read(struct chat_stream *a, int64_t words);
/* Close the connection; what was read stays. */
void chat_stream_close(struct chat_stream *a);
void chat_stream_free(struct chat_stream *a);

/*
 * TCP proxy in front of a port of 127.0.0.1, with faults. It has one thread
 * that accepts and one for each connection; any thread may call it.
 */
struct tcp_proxy;

enum tcp_proxy_mode {
	TCP_PROXY_FORWARD,
	/* Open connections carry no more bytes and stay open; new ones work. */
	TCP_PROXY_BLACKHOLE,
	/* Requests pass; the first bytes of a response close the connection. */
	TCP_PROXY_CUT_RESPONSES,
	/*
	 * Open connections forward nothing; the client gets a chunk with a byte
	 * of a comment now and then.
	 */
	TCP_PROXY_TRICKLE,
};

/* Listen on a free port. */
struct tcp_proxy *tcp_proxy_new(int to_port);
/* Set the port that new connections are forwarded to. */
void tcp_proxy_set_port(struct tcp_proxy *proxy, int to_port);
/* Return the port that the proxy listens on. */
int tcp_proxy_port(const struct tcp_proxy *proxy);
void tcp_proxy_set_mode(struct tcp_proxy *proxy, enum tcp_proxy_mode m);
/* Return how many connections have been accepted so far. */
int tcp_proxy_connections(struct tcp_proxy *proxy);
/* Close all connections and join the threads. */
void tcp_proxy_free(struct tcp_proxy *proxy);

#endif
