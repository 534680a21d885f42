/*
 * What nodes tell each other beside membership, one message a datagram: the
 * requests in progress at each target, and how new the store's content held is.
 */
const LOADS_MAX = 120;
const HELD_MAX = 24;

struct load_entry {
	unsigned hyper target;	/* hash of its id */
	unsigned int running;	/* requests of the sender there */
};

/* A target has read a part of a prompt at the sender's request. */
struct held_entry {
	unsigned hyper part;	/* hash of its id */
	unsigned hyper target;
};

/* What is kept in the store of all of that, the last used first. */
const HELD_KEPT_MAX = 2000;	/* some 21 bytes each in a row of 64 KB at most */

struct held_list {
	held_entry entries<HELD_KEPT_MAX>;
};

struct load_news {
	unsigned hyper node;	/* hash of the sender's name */
	unsigned hyper seq;	/* grows with each datagram of a start */
	unsigned hyper start;	/* when the sender started, wall-clock ms */
	bool serving;		/* takes callers' requests now */
	load_entry entries<LOADS_MAX>;
	held_entry held<HELD_MAX>;	/* since the last one */
};

/* Asks what the receiver knows of the store; told of by store_word. */
struct store_ask {
	hyper asked_ms;		/* of the sender's clock; comes back unchanged */
	unsigned hyper targets_hash;	/* of the list that the sender holds */
};

const TARGET_TEXT_MAX = 128;
const TARGETS_TOLD_MAX = 16;

/* A change of the list of targets, as the teller read it. */
struct target_news {
	string key<TARGET_TEXT_MAX>;
	hyper revision;	/* of the store's row; of its last one when gone */
	bool gone;	/* or names no target to use */
	bool leaving;
	unsigned hyper id;
	string service<TARGET_TEXT_MAX>;
	string zone<TARGET_TEXT_MAX>;
	unsigned int ip;
	unsigned int port;
	unsigned int slots;
};

struct store_word {
	hyper asked_ms;
	hyper config_version;
	unsigned int config_age_ms;	/* since it was the newest one */
	unsigned hyper targets_hash;	/* of the list of targets in force */
	unsigned int targets_age_ms;	/* likewise */
	target_news targets<TARGETS_TOLD_MAX>;	/* the last changes */
};

enum peer_kind {
	PEER_LOADS = 0,
	PEER_ASK = 1,
	PEER_WORD = 2
};

union peer_message switch (peer_kind kind) {
case PEER_LOADS:
	load_news loads;
case PEER_ASK:
	store_ask ask;
case PEER_WORD:
	store_word word;
};
