/*
 * soak: a randomised test of real entry processes. Callers and scripted targets
 * run in this process; proxies between the entries, the targets and the store
 * inject faults, as do signals. A ledger checks what callers and targets see
 * against what entry guarantees.
 *
 * The main thread injects the faults. Proxies and the ledger may be used from
 * any thread, except that they are freed once no other thread uses them.
 */
#ifndef SOAK_H
#define SOAK_H

#include "platform/test-proxy.h"
#include "platform/test-rig.h"

/* process.c: an entry that runs as a process; for the main thread. */
struct entry_process {
	GPid pid;        /* 0: does not run */
	bool suspended;  /* by SIGSTOP */
	bool seen_ready; /* a readiness check since its start succeeded */
	bool harmed;     /* it runs harmed-entry; see test-harm.h */
	char *settings_path;
};

/* Write the text of its settings to a new file. */
void process_set_settings(struct entry_process *p, const char *text);
/* Start it; its log is beside the settings. */
void process_start(struct entry_process *p, char *program_path);
/* Send a signal; after SIGKILL also wait for its exit. */
void process_stop(struct entry_process *p, int sig);
/* Print the end of its log, as the run can not be reproduced. */
void process_print_log_tail(const struct entry_process *p);

/* Print the lines of its log with a text. */
void process_print_log_lines(const struct entry_process *p, const char *text);

/* ledger.c: each request's runs and outcome, and the guarantees broken. */
struct ledger;

struct ledger *ledger_new(void);
void ledger_free(struct ledger *l);
/*
 * Record a new request and write its id. At most one target may run a request
 * that is at_most_once.
 */
void ledger_add_request(struct ledger *l, bool at_most_once, char id[32]);
/* Record that a target begins to run a request. */
void ledger_record_run(struct ledger *l, const char *id);
/* Record that the caller got an answer that excludes any run of the request. */
void ledger_record_not_run(struct ledger *l, const char *id);
/* Count a request that was answered completely. */
void ledger_record_served(struct ledger *l);
/* Record whether a stream that a caller took up went on. */
void ledger_record_take_up(struct ledger *l, bool went_on);
void ledger_count_take_ups(struct ledger *l, int *taken_up, int *gone_on);
/* Record a broken guarantee; the first 20 are printed. */
void ledger_record_broken(struct ledger *l, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);
/*
 * Check the runs of all requests, once no thread records any more. Return the
 * number of broken guarantees.
 */
int ledger_check(struct ledger *l);
int ledger_served_count(const struct ledger *l);

#endif
