/* Shared by the files of package member. */
#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "member/member.h"

#define PROBE_PERIOD_MS 800
#define DIRECT_MS       250 /* for an answer to a direct ping */
#define INDIRECT_MS     300 /* for a helper's own ping */
#define HELPERS         4
#define RELAYS_MAX      16
#define SUSPECT_MS      4000
#define STALL_MS        1000
#define SWEEP_MS        100
#define NEWS_MS         200
#define RECONNECT_MS    5000
/* While dead members answer, the others are tried this often. */
#define MERGE_MS     2000
#define MERGE_FOR_MS 10000
#define LOST_FOR_MS  (2 * 3600 * 1000)
#define LEFT_FOR_MS  (60 * 1000)

/* From most to least urgent. */
enum news_class {
	NEWS_URGENT, /* leaving, suspicions and answers to them */
	NEWS_JOIN,
};

enum news_kind {
	NEWS_PEER,
	NEWS_TARGET,
};

/* A change that is still being told to others. */
struct news {
	enum news_kind kind;
	enum news_class urgency;
	bool queued;
	bool full;     /* with the member's addresses */
	unsigned sent; /* times */
	void *owner;   /* struct node_entry or struct target_fact */
};

struct node_entry {
	struct member_peer seen;
	struct news news;
	int64_t suspect_until_ms;
	int64_t gone_ms;  /* when it became dead or left */
	unsigned unheard; /* failed probes that no helper spoke of */
	bool differs;     /* its digest was not ours when last heard */
	bool listed;      /* by the platform, when it was last read */
};

/* The probe in progress; id is 0 when there is none. */
struct probe {
	uint64_t id;
	uint32_t seq;
	int64_t direct_until_ms;
	int64_t until_ms;
	unsigned helpers;
	unsigned nacks;
	bool asked;
};

/* A ping sent for another member. */
struct relay_probe {
	uint64_t asker;
	uint32_t asker_seq;
	uint64_t subject;
	uint32_t seq; /* 0: free */
	int64_t until_ms;
};

/* One node's part of a pool's load. */
struct share_entry {
	uint64_t key; /* node and pool */
	double work, targets;
	int64_t from_ms; /* when its node had it so, by this node's clock */
	unsigned sent;
};

/* What a target said (observer 0), or what one observer says of it. */
struct target_fact {
	uint64_t observer;
	uint32_t serial;
	enum target_word word;
	int64_t heard_ms;
	uint64_t target;
	struct news news;
};

struct target_entry {
	uint64_t id;
	GPtrArray *facts; /* struct target_fact */
	/* This node's own evidence. */
	int64_t answered_ms;
	int64_t silent_ms;
	int64_t refused_ms; /* first of the refusals since it answered */
	unsigned refusals;
	int64_t refused_last_ms;
	bool down;
	int64_t hold_until_ms;
	int64_t hold_ms; /* length of the next hold */
	int64_t touched_ms;
};

struct member {
	struct member_callbacks cb;
	int64_t budget;
	int64_t now_ms;
	struct node_entry *self;
	GPtrArray *peers;  /* struct node_entry, self included */
	GHashTable *by_id; /* id -> struct node_entry */
	GArray *ring;      /* ids in the order of the next probes */
	guint ring_at;
	uint64_t digest;
	uint64_t view;
	int64_t revision;
	unsigned revision_sent;
	uint32_t seq;
	struct probe probe;
	struct relay_probe relays[RELAYS_MAX];
	GPtrArray *news; /* struct news that are queued */
	guint sync_at;
	int64_t credit; /* thousandths of a byte */
	int64_t bytes_sent;
	int64_t ticked_ms, probe_ms, sweep_ms, news_ms, reconnect_ms;
	int64_t merging_until_ms;
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
void peers_heard(struct member *m, struct node_entry *e);
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
void news_queue(struct member *m, struct news *w, enum news_class urgency,
		bool full);
void news_drop(struct member *m, struct news *w);
bool news_waiting(const struct member *m);
void news_start(struct member *m);
void news_refill(struct member *m, int64_t elapsed_ms);
/*
 * Send one message with as much news as fits. to is NULL when only a control
 * address is known.
 */
bool news_send(struct member *m, struct node_entry *to, const char *control,
	       enum member_kind kind, uint32_t seq, uint64_t subject);
void news_tick(struct member *m);

/* probe.c */
void probe_tick(struct member *m);
void probe_receive(struct member *m, struct node_entry *from,
		   const struct member_message *msg);
void probe_abandon(struct member *m);

/* shares.c */
void shares_merge(struct member *m, const struct member_message *msg);
/* At most max of those that others most likely lack. */
u_int shares_fill(struct member *m, struct pool_share *out, size_t max);
/* Whether there is one that was not told yet. */
bool shares_waiting(struct member *m);
void shares_sweep(struct member *m);

/* targets.c */
void targets_merge(struct member *m, const struct target_record *r);
void targets_sweep(struct member *m);
void targets_free(void *entry);

#endif
