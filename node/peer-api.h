/*
 * HTTP API between nodes: serves the configuration and the instance list to
 * other nodes, and signs such calls with the secret that all nodes share. The
 * handlers run on the threads of the connections.
 */
#ifndef PEER_API_H
#define PEER_API_H

#include "node/node.h"
#include "state/learn.h"

/*
 * Read the shared secret from node.secret_file, before any thread starts.
 * Return false when the file is set but can't be read or is empty. Without a
 * file calls aren't checked.
 */
bool peer_api_load_secret(const struct settings *s);
/*
 * Return the URL of a path on another node, with `after` as its parameter and a
 * signature that is valid for a short time. Free with g_free.
 */
char *peer_api_signed_url(const char *address, const char *path,
			  const char *after);
/* Return whether a call has a valid signature that has not expired. */
bool peer_api_is_signed(const struct _u_request *q);

/* Publish a newer revision to the handlers, from the control thread. */
void peer_api_publish(const struct learner *l, int64_t revision);

/*
 * GET /internal/changes?after=N: the changes since N, or "gap" if some of them
 * are no longer kept.
 */
int on_peer_changes(const struct _u_request *q, struct _u_response *r,
		    void *node);
/* GET /internal/config: the whole configuration in force. */
int on_peer_config(const struct _u_request *q, struct _u_response *r,
		   void *node);
/* GET /internal/instances: the instance list as this node sees it. */
int on_peer_instances(const struct _u_request *q, struct _u_response *r,
		      void *node);

#endif
