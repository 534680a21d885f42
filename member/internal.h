/* Shared by the files of package member. */
#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "member/member.h"

#define PROBE_PERIOD_MS         800
#define PING_TIMEOUT_MS         250 /* for an answer to a direct ping */
#define RELAYED_PING_TIMEOUT_MS 300 /* for a helper's own ping */
#define PING_REQ_FANOUT         4
#define RELAYED_PINGS_MAX       16
#define SUSPICION_TIMEOUT_MS    4000
#define STALL_THRESHOLD_MS      1000
#define SWEEP_PERIOD_MS         100
#define GOSSIP_PERIOD_MS        200
#define RECONNECT_PERIOD_MS     5000
/* While dead members answer, the others are tried this often. */
#define MERGE_RECONNECT_PERIOD_MS 2000
#define MERGE_DURATION_MS         10000
#define DEAD_RETENTION_MS         (2 * 3600 * 1000)
#define LEFT_RETENTION_MS         (60 * 1000)

/* From most to least urgent. */
enum update_priority {
	UPDATE_URGENT, /* leaving, suspicions and answers to them */
	UPDATE_NORMAL,
};

enum update_kind {
	UPDATE_PEER,
	UPDATE_TARGET,
};

/* A change that is still being told to others. */
struct update {
	enum update_kind kind;
	enum update_priority priority;
	bool is_queued;
	bool with_info;      /* with the member's addresses */
	unsigned times_sent; /* times */
	void *owner;         /* struct node_entry or struct target_fact */
};

struct node_entry {
	struct member_peer peer;
	struct update update;
	int64_t suspicion_ends_ms;
	int64_t down_since_ms;         /* when it became dead or left */
	unsigned unconfirmed_failures; /* failed probes that no helper spoke of
					*/
	bool digest_differs; /* its digest was not ours when last heard */
	bool listed;         /* by the platform, when it was last read */
};

/* The probe in progress; id is 0 when there is none. */
struct probe {
	uint64_t subject;
	uint32_t seq;
	int64_t direct_deadline_ms;
	int64_t deadline_ms;
	unsigned relays_asked;
	unsigned nacks;
	bool is_indirect;
};

/* A ping sent for another member. */
struct relayed_ping {
	uint64_t requester;
	uint32_t requester_seq;
	uint64_t subject;
	uint32_t seq; /* 0: free */
	int64_t deadline_ms;
};

/* One node's part of a pool's load. */
struct share_entry {
	uint64_t key; /* node and pool */
	double work, targets;
	int64_t measured_ms; /* when its node had it so, by this node's clock */
	unsigned times_sent;
};

/* What a target said (observer 0), or what one observer says of it. */
struct target_report {
	uint64_t observer;
	uint32_t serial;
	enum target_word status;
	int64_t received_ms;
	uint64_t target;
	struct update update;
};

struct target_entry {
	uint64_t id;
	GPtrArray *reports; /* struct target_fact */
	/* This node's own evidence. */
	int64_t last_answer_ms;
	int64_t stalled_ms;
	int64_t first_failure_ms; /* first of the refusals since it answered */
	unsigned connect_failures;
	int64_t last_failure_ms;
	bool down;
	int64_t hold_until_ms;
	int64_t next_hold_ms; /* length of the next hold */
	int64_t last_used_ms;
};

struct member {
	struct member_callbacks cb;
	int64_t budget_bytes_s;
	int64_t now_ms;
	struct node_entry *self;
	GPtrArray *peers;    /* struct node_entry, self included */
	GHashTable *by_id;   /* id -> struct node_entry */
	GArray *probe_order; /* ids in the order of the next probes */
	guint probe_next;
	uint64_t digest;
	uint64_t view_version;
	int64_t revision;
	unsigned revision_sent;
	uint32_t seq;
	struct probe probe;
	struct relayed_ping relayed_pings[RELAYED_PINGS_MAX];
	GPtrArray *updates; /* struct update that are queued */
	guint sync_next;
	int64_t credit_millibytes; /* thousandths of a byte */
	int64_t bytes_sent;
	int64_t last_tick_ms, next_probe_ms, next_sweep_ms, next_gossip_ms,
		next_reconnect_ms;
	int64_t merging_ends_ms;
	GHashTable *shares;  /* key -> struct share_entry */
	GHashTable *targets; /* id -> struct target_entry */
	bool stopped;
};

/* peers.c */
struct node_entry *peers_find(const struct member *m, uint64_t id);
struct node_entry *peers_add(struct member *m, const struct member_info *info,
			     uint32_t incarnation);
/* Take in a record from another node. */
void peers_merge(struct member *m, const struct member_record *r);
/* Change this node's own state. */
void peers_set_self(struct member *m, const struct member_record *r);
void peers_suspect(struct member *m, struct node_entry *e);
/* It spoke to this node itself. */
void peers_note_contact(struct member *m, struct node_entry *e);
void peers_sweep(struct member *m);
void peers_free(void *entry);
bool peers_is_up(const struct node_entry *e);
/* Random member that is up and neither self nor skip, or NULL. */
struct node_entry *peers_pick(struct member *m, uint64_t skip);
/* The same, most often from this node's region. */
struct node_entry *peers_pick_near(struct member *m);
/* The same of dead ones. */
struct node_entry *peers_pick_dead(struct member *m);
uint64_t member_random(struct member *m, uint64_t below);

/* news.c */
void gossip_queue(struct member *m, struct update *u,
		  enum update_priority priority, bool with_info);
void gossip_dequeue(struct member *m, struct update *u);
bool gossip_pending(const struct member *m);
void gossip_init_budget(struct member *m);
void gossip_refill_budget(struct member *m, int64_t elapsed_ms);
/*
 * Send one message with as much news as fits. to is NULL when only a control
 * address is known.
 */
bool gossip_send(struct member *m, struct node_entry *to, const char *control,
		 enum member_kind kind, uint32_t seq, uint64_t subject);
void gossip_tick(struct member *m);

/* probe.c */
void probe_tick(struct member *m);
void probe_receive(struct member *m, struct node_entry *from,
		   const struct member_message *msg);
void probe_cancel_all(struct member *m);

/* shares.c */
void shares_merge(struct member *m, const struct member_message *msg);
/* At most max of those that others most likely lack. */
u_int shares_fill(struct member *m, struct pool_share *out, size_t max);
/* Whether there is one that was not told yet. */
bool shares_pending(struct member *m);
void shares_sweep(struct member *m);

/* targets.c */
void targets_merge(struct member *m, const struct target_record *r);
void targets_sweep(struct member *m);
void targets_free(void *entry);

#endif
