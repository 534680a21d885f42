/*
 * Messages between nodes beside membership, one per datagram: the requests in
 * progress at each target, and how fresh a node's copy of the store is.
 */
const LOADS_MAX = 120;
const HOLDERS_PER_REPORT_MAX = 24;

struct load_entry {
	unsigned hyper target;	/* hash of its id */
	unsigned int running;	/* requests of the sender in progress there */
};

/* A target holds a part of a prompt, having read it at the sender's request. */
struct prompt_holder {
	unsigned hyper prompt_part;	/* hash of its id */
	unsigned hyper target;
};

/* The prompt_holder records saved in the store, most recently used first. */
const HOLDERS_STORED_MAX = 2000;	/* about 21 bytes each; a row has 64 KB at most */

struct prompt_holder_list {
	prompt_holder entries<HOLDERS_STORED_MAX>;
};

struct loads_report {
	unsigned hyper node;	/* hash of the sender's name */
	unsigned hyper seq;	/* grows with each datagram since start */
	unsigned hyper start;	/* wall-clock time of the sender's start, ms */
	bool serving;		/* accepts callers' requests now */
	load_entry entries<LOADS_MAX>;
	prompt_holder new_holders<HOLDERS_PER_REPORT_MAX>;	/* added since the last message */
};

/* Query for the receiver's copy of the store; the reply is a store_query_answer. */
struct store_query {
	hyper sent_ms;		/* sender's clock; echoed in the reply */
	unsigned hyper targets_hash;	/* of the sender's list */
};

const TARGET_TEXT_MAX = 200;	/* of a key or text in the store */
const TARGET_UPDATES_MAX = 16;

/* A change to the list of targets, as the sender read it from the store. */
struct target_update {
	string key<TARGET_TEXT_MAX>;
	hyper revision;	/* of the store's row; the last one when removed */
	bool removed;	/* deleted, or names no usable target */
	bool draining;
	unsigned hyper id;
	string service<TARGET_TEXT_MAX>;
	string zone<TARGET_TEXT_MAX>;
	unsigned int ip;
	unsigned int port;
	unsigned int slots;
};

struct store_query_answer {
	hyper query_sent_ms;	/* sent_ms of the query */
	hyper config_version;
	unsigned int config_age_ms;	/* since it was last seen to be the newest */
	unsigned hyper targets_hash;	/* of the replying node's list of targets */
	unsigned int targets_age_ms;	/* as config_age_ms, for targets_hash */
	target_update updates<TARGET_UPDATES_MAX>;	/* the most recent changes */
};

enum peer_kind {
	PEER_LOADS = 0,
	PEER_STORE_QUERY = 1,
	PEER_STORE_ANSWER = 2
};

union peer_message switch (peer_kind kind) {
case PEER_LOADS:
	loads_report loads;
case PEER_STORE_QUERY:
	store_query query;
case PEER_STORE_ANSWER:
	store_query_answer answer;
};
