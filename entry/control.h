/*
 * control: the state of the control thread. Used by control.c and
 * peer-messages.c only, and on the control thread only.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "entry/store-clients.h"

/* Receive buffer of the UDP sockets. */
#define DATAGRAM_BYTES 2048

struct control {
	struct entry *e;
	struct ev_loop *loop;
	struct member *member;
	int member_fd, loads_fd;
	ev_io member_io, loads_io;
	ev_timer tick;
	ev_signal term, hup;
	ev_async stop, leave;
	uint8_t key[MEMBER_KEY_BYTES]; /* authenticates messages */
	bool has_key; /* nothing is sent or accepted without the key */
	struct discovery *discovery;
	struct store_sync *sync;
	struct holders_store *holders_store;
	uint64_t published_view;   /* member_view_version that was published */
	int64_t peers_known_at_ms; /* all live nodes have reported by then */
	int64_t send_at_ms;        /* next load report */
	int64_t query_at_ms;       /* next query to a reader */
	int64_t settings_check_at_ms;
	struct timespec settings_mtime; /* of the settings file in force */
	int64_t introduce_at_ms;
	GHashTable *seeds;  /* control addresses from the settings */
	size_t next_reader; /* round-robin position for queries */
};

/*
 * peer-messages.c: load reports and store queries between nodes, one datagram
 * per message, in addition to the membership protocol.
 */
void peers_on_datagram(struct ev_loop *loop, ev_io *w, int events);
/* Send this node's load report to all peers when it is due. */
void peers_send_loads(struct control *c, const struct peer_list *l,
		      int64_t now_ms);
/*
 * When it is due, determine the readers, set in the store clients whether this
 * node is one, and query a reader if it is not.
 */
void peers_query_readers(struct control *c, const struct peer_list *l,
			 int64_t now_ms);

#endif
