/* control: the control thread's state, as the files that serve it see it. */
#ifndef CONTROL_H
#define CONTROL_H

#include "entry/follow.h"

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
	uint8_t key[MEMBER_KEY_BYTES];
	bool keyed; /* nothing is sent or taken before */
	struct discovery *discovery;
	struct store_sync *sync;
	struct holders_store *holders_store;
	uint64_t view;
	int64_t heard_at_ms; /* all that live have been heard by then */
	int64_t tell_at_ms;
	int64_t ask_at_ms;
	int64_t settings_at_ms;
	struct timespec settings_changed; /* time of the file in force */
	int64_t introduce_at_ms;
	GHashTable *seeds; /* control addresses that were named somewhere */
	size_t turn;
};

/* peers.c: what nodes tell each other beside membership, a datagram each. */
void peers_on_datagram(struct ev_loop *loop, ev_io *w, int events);
/* Tell the requests in progress here, when it is time. */
void peers_send_loads(struct control *c, const struct peer_list *l,
		      int64_t now_ms);
/* See who reads the store; ask one of them unless this node does. */
void peers_query_readers(struct control *c, const struct peer_list *l,
			 int64_t now_ms);

#endif
