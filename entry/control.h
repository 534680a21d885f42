/*
 * control: the state of the control thread. Used by control.c and
 * peer-messages.c only, and on the control thread only.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "entry/load-relay.h"
#include "entry/origins.h"
#include "entry/store-clients.h"

/*
 * Nodes of a fleet that send an update to all others; in a larger one each
 * node that learns of it sends it on to some.
 */
#define DIRECT_UPDATE_NODES_MAX 24
/* How often an update is sent, as datagrams get lost and fan out at random. */
#define DIRECT_UPDATE_ROUNDS 2
#define FANOUT_UPDATE_ROUNDS 3
/* Nodes that get again what they may have missed, and how often. */
#define RESEND_NODES       3
#define RESEND_INTERVAL_MS 300

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
	/* A stream is looked up, its record is needed, or a version joined. */
	ev_async origin_asked;
	uint8_t key[MEMBER_KEY_BYTES]; /* authenticates messages */
	bool has_key; /* nothing is sent or accepted without the key */
	struct discovery *discovery;
	struct store_sync *sync;
	struct holders_store *holders_store;
	struct versions_store *versions_store;
	struct causes_store *causes_store;
	uint64_t published_view;   /* member_view_version that was published */
	int64_t peers_known_at_ms; /* all live nodes have reported by then */
	int64_t send_at_ms;        /* next load report */
	int64_t query_at_ms;       /* next query to a relay */
	struct load_relay *load_relay;
	int64_t load_report_at_ms; /* next report to the relay of this node */
	int64_t load_total_ms;     /* last total from it; 0: none */
	int64_t started_ms;        /* wall clock; orders sums across restarts */
	uint64_t group_seq;        /* of the last sums sent */
	size_t load_relay_choice;  /* index into the relays of this node */
	int64_t settings_check_at_ms;
	struct timespec settings_mtime; /* of the settings file in force */
	int64_t introduce_at_ms;
	GHashTable *seeds;            /* control addresses from the settings */
	int64_t records_resend_at_ms; /* what others may lack is sent then */
	int64_t records_sweep_at_ms;  /* next look at what is out of date */
	uint64_t records_view;        /* published_view whose nodes are set */
	uint64_t warmup_view; /* published_view of the nodes of the warm-ups */
	double record_budget; /* bytes that may be sent; see peer-records.c */
	int64_t record_budget_ms;      /* when that was computed */
	int64_t records_late_until_ms; /* see is_late in peer-records.c */
	int64_t records_late_from_ms;  /* start of that stall */
	size_t next_relay;             /* round-robin position for queries */
};

/*
 * Whether all nodes are known, live or not: they have been read from the store
 * or have had time to introduce themselves.
 */
bool control_knows_nodes(const struct control *c, int64_t now_ms);

/*
 * peer-messages.c: load reports and store queries between nodes, one datagram
 * per message, in addition to the membership protocol.
 */
void peers_on_datagram(struct ev_loop *loop, ev_io *w, int events);
/* Send this node's load report to all peers when it is due. */
void peers_send_loads(struct control *c, const struct peer_list *l,
		      int64_t now_ms);
/*
 * When it is due, determine the readers and relays, set in the store clients
 * whether this node is a reader, and query a relay if it is not.
 */
void peers_query_relays(struct control *c, const struct peer_list *l,
			int64_t now_ms);
/*
 * In a large fleet, send the load report to this node's relay when it is due,
 * and as a relay the sums to the other relays.
 */
void peers_relay_loads(struct control *c, const struct peer_list *l,
		       int64_t now_ms);
/*
 * Send an update to all other nodes of a small fleet, to some of a large one;
 * return how many.
 */
size_t peers_send_update(const struct control *c, const struct peer_list *l,
			 struct peer_message *m);
/* Send to some nodes, chosen at random; return how many. */
size_t peers_send_to_some(const struct control *c, const struct peer_list *l,
			  size_t count, struct peer_message *m);
/* Send a message; one that is lost is not repeated. */
void peers_send_message(const struct control *c, const struct sockaddr_in *to,
			struct peer_message *m);

/* peer-origins.c: messages about the versions at which streams began. */

/* Forget what has expired, and note how new the list of targets is. */
void peers_sweep_origins(struct control *c, const struct peer_list *l,
			 int64_t now_ms);
/* Send the records of streams that other nodes need. */
void peers_send_origins(struct control *c, const struct peer_list *l,
			int64_t now_ms);
/* Send the questions that are due. */
void peers_ask_origins(struct control *c, const struct peer_list *l,
		       int64_t now_ms);
void peers_answer_origins(struct control *c, const struct sockaddr_in *from,
			  const struct origin_query *query);
void peers_apply_origins(struct control *c, const struct origin_answer *answer);

/* peer-versions.c: messages about software versions that nodes know of. */

/* Send the news that is due, and begin streams at versions known to all. */
void peers_send_versions(struct control *c, const struct peer_list *l,
			 int64_t now_ms);
void peers_apply_versions(struct control *c, const struct sockaddr_in *from,
			  const struct version_notices *notices);

/* peer-records.c: the exchange of records of all kinds. */

/*
 * Decide which keys are blocked, set the nodes that share limits, and send what
 * other nodes lack.
 */
void peers_send_records(struct control *c, const struct peer_list *l,
			int64_t now_ms);
void peers_receive_records(struct control *c, const struct peer_records *m);

#endif
