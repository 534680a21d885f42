/* What the files of the stand-ins share. */
#ifndef REVIEW_INTERNAL_H
#define REVIEW_INTERNAL_H

#include "stand.h"

/* The process is killed when the case ends, if it runs then. */
void case_add_process(const struct entry_process *p);
/* Listen on a free port of loopback. */
int listen_free(int *port);
/* Accept connections on a thread; serve runs on one thread each. */
void serve_connections(int listener, void (*serve)(struct conn *c, void *ctx),
		       void *ctx);

#endif
