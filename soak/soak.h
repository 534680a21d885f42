/*
 * soak: real entries as processes, between callers, scripted targets and the
 * store's stand-in, while faults are injected from outside them. Checks what
 * callers and targets see against what the entries promise.
 */
#ifndef SOAK_H
#define SOAK_H

#include "platform/test-rig.h"

/* proxy.c: a way on loopback that can be spoilt. */
enum way_fault {
	WAY_WELL,
	WAY_SLOW,    /* each piece is held for some 100 ms */
	WAY_SILENT,  /* nothing passes; connections stay open */
	WAY_ONE_WAY, /* nothing passes back */
	WAY_RESET,   /* connections are reset, new ones as well */
	WAY_FAULTS,
};

struct way;

struct way *way_new(int to_port);
void way_free(struct way *w);
int way_port(const struct way *w);
void way_set(struct way *w, enum way_fault f);

/* ledger.c: what was asked, run, answered and promised of each request. */
struct ledger;

struct ledger *ledger_new(void);
void ledger_free(struct ledger *l);
/* A new request; its identity is written to id. */
void ledger_ask(struct ledger *l, bool once, char id[32]);
/* A target begins to run it. */
void ledger_run(struct ledger *l, const char *id);
/* The caller was told that it has not run and never will. */
void ledger_not_run(struct ledger *l, const char *id);
void ledger_served(struct ledger *l);
/* Note a broken promise; the first ones are printed. */
void ledger_broken(struct ledger *l, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* Look at all requests; returns how many promises were broken. */
int ledger_close(struct ledger *l);
int ledger_served_count(const struct ledger *l);

#endif
