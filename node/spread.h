/*
 * spread: what this node tells other nodes of the configuration, and how such
 * calls are signed with the secret that all nodes share.
 */
#ifndef PEER_API_H
#define PEER_API_H

#include "node/node.h"
#include "state/learn.h"

/* Read node.secret_file. Returns false when it is named and can't be read. */
bool peer_api_load_secret(const struct settings *s);
/*
 * URL of another node's path with the number after, signed for a short time.
 * Free with g_free.
 */
char *peer_api_signed_url(const char *address, const char *path,
			  const char *after);
/* Whether a call was signed with the secret, lately. */
bool peer_api_is_signed(const struct _u_request *q);

/* On the control thread: a newer revision is in force. */
void peer_api_publish(const struct learn *l, int64_t revision);

/* GET /internal/changes?after=N: changes since, or "gap". */
int on_peer_changes(const struct _u_request *q, struct _u_response *r,
		    void *node);
/* GET /internal/config: everything in force. */
int on_peer_config(const struct _u_request *q, struct _u_response *r,
		   void *node);
/* GET /internal/instances: the instance list as this node has it. */
int on_peer_instances(const struct _u_request *q, struct _u_response *r,
		      void *node);

#endif
