/*
 * Types and functions shared by the files of member: the state machine's
 * tables, and one section for each file that works on them. As in member.h,
 * one thread runs all of it, and struct member owns every entry.
 */
#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "member/member.h"

/* One member is probed per period, and may be suspected at its end. */
#define PROBE_PERIOD_MS         MEMBER_SILENT_MS
#define PING_TIMEOUT_MS         250  /* before relays are asked */
#define RELAYED_PING_TIMEOUT_MS 300  /* before a relay sends its nack */
#define PING_REQ_FANOUT         4    /* relays asked per probe */
#define RELAYED_PINGS_MAX       16   /* in progress at one relay */
#define SUSPICION_TIMEOUT_MS    4000 /* before a suspect counts as dead */
/* A gap this long between two calls: the process was stopped or starved. */
#define STALL_THRESHOLD_MS  1000
#define SWEEP_PERIOD_MS     100
#define GOSSIP_PERIOD_MS    200
#define RECONNECT_PERIOD_MS 5000 /* between pings to dead members */
/*
 * After a message from a dead member a network partition may have ended: for
 * this long the other dead members are pinged more often.
 */
#define MERGE_DURATION_MS         10000
#define MERGE_RECONNECT_PERIOD_MS 2000
/* Time after which an entry that is dead, or has left, is forgotten. */
#define DEAD_RETENTION_MS (2 * 3600 * 1000)
#define LEFT_RETENTION_MS (60 * 1000)

/* From most to least urgent. */
enum update_priority {
	UPDATE_URGENT, /* leaving, suspicions and their refutations */
	UPDATE_NORMAL, /* joins, and observers' reports of targets */
};

enum update_kind {
	UPDATE_PEER,
	UPDATE_TARGET,
};

/* A change that is queued for transmission to other nodes. */
struct update {
	enum update_kind kind;
	enum update_priority priority;
	bool is_queued;
	bool with_info;      /* send the member's addresses too */
	unsigned times_sent; /* since it was last queued */
	void *owner;         /* struct node_entry or struct target_report */
};

/* An entry in the table of nodes. */
struct node_entry {
	struct member_peer peer;
	struct update update;
	int64_t suspicion_ends_ms; /* while the state is MEMBER_SUSPECT */
	int64_t down_since_ms;     /* when it became dead or left */
	unsigned failed_probes;    /* since the last sign of life */
	bool digest_differs; /* its last digest differed from this node's */
	bool listed;         /* named in the last instance list */
};

/* The probe in progress; subject is 0 when there is none. */
struct probe {
	uint64_t subject;
	uint32_t seq;
	int64_t direct_deadline_ms; /* for the ack to the direct ping */
	int64_t deadline_ms;        /* for any ack */
	unsigned relays_asked;
	unsigned nacks;   /* relays whose own ping failed */
	bool is_indirect; /* relays were asked */
};

/* A ping sent on another member's request. */
struct relayed_ping {
	uint64_t requester;
	uint32_t requester_seq; /* comes back in the ack or nack */
	uint64_t subject;
	uint32_t seq; /* of this node's ping; 0: the slot is free */
	int64_t deadline_ms;
};

/* One node's contribution to a pool's load. */
struct share_entry {
	uint64_t key; /* ids of node and pool, 32 bits each */
	double work, targets;
	int64_t measured_ms; /* on this node's clock */
	unsigned times_sent;
};

/* The last status that a target (observer 0) or an observer reported of it. */
struct target_report {
	uint64_t observer;
	uint32_t serial;
	enum target_status status;
	int64_t received_ms; /* or when this node made the report */
	uint64_t target;
	struct update update;
};

/* A target's reports, and this node's observations of it. */
struct target_entry {
	uint64_t id;
	GPtrArray *reports; /* struct target_report */
	/* Observations of this node. */
	int64_t last_answer_ms;
	int64_t stalled_ms;        /* 0: no connection has stalled */
	int64_t first_failure_ms;  /* first of connect_failures */
	unsigned connect_failures; /* since it last answered */
	int64_t last_failure_ms;
	bool down;              /* this node can not connect */
	int64_t hold_until_ms;  /* end of the hold-down */
	int64_t next_hold_ms;   /* length of the next hold-down */
	int64_t last_update_ms; /* of an observation or report */
};

struct member {
	struct member_callbacks cb;
	int64_t budget_bytes_s;
	int64_t now_ms;
	struct node_entry *self;
	GPtrArray *peers;    /* struct node_entry, self included */
	GHashTable *by_id;   /* id -> struct node_entry */
	GArray *probe_order; /* ids; each member once per round */
	guint probe_next;    /* index in probe_order */
	uint64_t digest;     /* of ids and incarnations that are up */
	uint64_t view_version;
	int64_t revision;
	unsigned revision_sent; /* messages with this revision */
	uint32_t seq;           /* of the last ping sent */
	struct probe probe;
	struct relayed_ping relayed_pings[RELAYED_PINGS_MAX];
	GPtrArray *updates;        /* struct update; owned by the entries */
	guint sync_next;           /* index in peers */
	int64_t credit_millibytes; /* send budget left */
	int64_t bytes_sent;
	int64_t last_call_ms, next_probe_ms, next_sweep_ms, next_gossip_ms,
		next_reconnect_ms;
	int64_t merging_ends_ms;
	GHashTable *shares;  /* key -> struct share_entry */
	GHashTable *targets; /* id -> struct target_entry */
	bool stopped;
};

/* peers.c: the table of nodes. */
struct node_entry *peers_find(const struct member *m, uint64_t id);
/* Add a live node. Incarnation 0: known only from the instance list. */
struct node_entry *peers_add(struct member *m, const struct member_info *info,
			     uint32_t incarnation);
/* Merge a record received from another node. */
void peers_merge(struct member *m, const struct member_record *r);
/* Change this node's own state and gossip it. */
void peers_set_self(struct member *m, const struct member_record *r);
/* Suspect a live member, and ping it so that it can refute at once. */
void peers_suspect(struct member *m, struct node_entry *e);
/* Note that a message came from this member directly. */
void peers_note_contact(struct member *m, struct node_entry *e);
/* End suspicions that timed out, and forget members after their retention. */
void peers_sweep(struct member *m);
void peers_free(void *entry);
/* Return whether the state is live or suspect. */
bool peers_is_up(const struct node_entry *e);
/* Return a random member that is up and neither self nor skip, or NULL. */
struct node_entry *peers_pick(struct member *m, uint64_t skip);
/* Like peers_pick, but mostly a member of this node's region. */
struct node_entry *peers_pick_near(struct member *m);
/* Return a random dead member, or NULL. */
struct node_entry *peers_pick_dead(struct member *m);
/* Return a uniform random number below a bound; 0 for the bound 0. */
uint64_t member_random(struct member *m, uint64_t below);

/* gossip.c: the queue of updates, the send budget, and messages. */
void gossip_queue(struct member *m, struct update *u,
		  enum update_priority priority, bool with_info);
void gossip_dequeue(struct member *m, struct update *u);
/* Return whether an update or the revision is still to be sent. */
bool gossip_pending(const struct member *m);
void gossip_init_budget(struct member *m);
void gossip_refill_budget(struct member *m, int64_t elapsed_ms);
/*
 * Send one message, filled up with queued updates as far as the budget allows.
 * to is NULL when only a control address is known.
 *
 * Return: false, with nothing sent, when the budget does not allow it.
 */
bool gossip_send(struct member *m, struct node_entry *to, const char *control,
		 enum member_kind kind, uint32_t seq, uint64_t subject);
/* Once per GOSSIP_PERIOD_MS, send pending updates to a random member. */
void gossip_tick(struct member *m);

/* probe.c: failure detection. */
void probe_tick(struct member *m);
/* Process a message's kind, after its records were merged. */
void probe_receive(struct member *m, struct node_entry *from,
		   const struct member_message *msg);
/* Drop the probe in progress and all relayed pings, without a result. */
void probe_cancel_all(struct member *m);

/* shares.c: contributions to the pools' load. */
void shares_merge(struct member *m, const struct member_message *msg);
/* Copy out at most max contributions, the least transmitted first. */
u_int shares_fill(struct member *m, struct pool_share *out, size_t max);
/* Return whether a contribution has transmissions left. */
bool shares_pending(struct member *m);
/* Forget contributions after their retention. */
void shares_sweep(struct member *m);

/* targets.c: reports and observations of targets. */
void targets_merge(struct member *m, const struct target_record *r);
/* Expire and refresh reports, and forget targets after their retention. */
void targets_sweep(struct member *m);
void targets_free(void *entry);

#endif
