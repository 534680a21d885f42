/*
 * lab: what the cases 11 to 15 share. The store and the engines are those of
 * the project's own rig (platform/test-rig.h), in the process of the case; the
 * entries are target/bin/rampentry, a process each, with the settings that
 * deploy/entry.conf.in gives on a small deployment.
 */
#ifndef LAB_H
#define LAB_H

#include "platform/test-rig.h"

#define LAB_ENTRIES 3

struct lab {
	struct rig *rig;
	GPid pids[LAB_ENTRIES]; /* 0: not running */
	char *settings_paths[LAB_ENTRIES];
	FILE *record;
	GMutex record_lock;
	int64_t began_ms;
	bool trouble; /* false with TROUBLE=0 */
	int breaks;
};

/*
 * Start the store, engines that all run script, and the entries. The directory
 * of the case gets record.txt. Ends the process with status 2 when an entry
 * can't be started.
 */
struct lab *lab_new(const char *directory, size_t engines, script_fn *script);
/* Write a line with the time since the start to record.txt and to stdout. */
void lab_record(struct lab *l, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* The same for a broken rule. */
void lab_record_break(struct lab *l, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* Return the time since the start. */
int64_t lab_now_ms(const struct lab *l);
/* Port of an entry for requesters. */
int lab_port(const struct lab *l, size_t entry);
/* Stop an entry as the platform does: SIGTERM, and SIGKILL after GraceS. */
void lab_terminate(struct lab *l, size_t entry);
/* Wait until the entry has ended; SIGKILL after GraceS from the signal on. */
void lab_await_end(struct lab *l, size_t entry, int64_t signal_ms);
/* End everything that was started and return the status for exit(). */
int lab_finish(struct lab *l);

/* A requester's connection. */
struct channel {
	int fd;
	GString *received; /* all bytes that were read */
};

/* Connect; window: size of the receive buffer, 0: the system's. */
struct channel *channel_open(const struct lab *l, size_t entry, int window);
void channel_close(struct channel *c);
/* Send a request with a new attempt id, which is returned. */
char *channel_send(struct lab *l, struct channel *c, const char *method,
		   const char *path, int deadline_ms, const char *body);
/*
 * Read until the text has arrived after an offset of what was received, for a
 * time at most; return whether it has.
 */
bool channel_read_until(struct channel *c, size_t offset, const char *text,
			int64_t timeout_ms);

#endif
