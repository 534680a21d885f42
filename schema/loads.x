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

const TARGET_TEXT_MAX = 200;	/* of a key or text in the store */
const TARGET_UPDATES_MAX = 16;

/* Query for the receiver's copy of the store; the reply is a store_query_answer. */
struct store_query {
	hyper sent_ms;		/* sender's clock; echoed in the reply */
	hyper era;		/* of the store, as the sender knows it */
	unsigned hyper targets_hash;	/* of the sender's list */
	hyper targets_revision;	/* the list is complete up to it; 0: no list */
	hyper after_noticed;	/* of the last update received; 0: from the first */
	string after_key<TARGET_TEXT_MAX>;	/* of that update */
};

/* A change to the list of targets, as the sender read it from the store. */
struct target_update {
	string key<TARGET_TEXT_MAX>;
	hyper revision;	/* of the store's row; when removed, of a read that lacked it */
	hyper noticed;	/* store's revision at the read that showed the change */
	bool removed;	/* deleted, or names no usable target */
	bool draining;
	unsigned hyper id;
	string service<TARGET_TEXT_MAX>;
	string zone<TARGET_TEXT_MAX>;
	string software_version<TARGET_TEXT_MAX>;	/* of its software */
	unsigned int ip;
	unsigned int port;
	unsigned int slots;
};

struct store_query_answer {
	hyper query_sent_ms;	/* sent_ms of the query */
	hyper era;		/* of the store, as the replying node knows it */
	hyper config_version;
	unsigned hyper config_hash;	/* of its content */
	unsigned int config_age_ms;	/* since it was last seen to be the newest */
	unsigned hyper targets_hash;	/* of the replying node's list of targets */
	hyper targets_revision;	/* that list is complete up to it */
	unsigned int targets_age_ms;	/* as config_age_ms, for targets_hash */
	bool more;		/* further updates follow the last one */
	bool history_lost;	/* changes after the query's revision are not known */
	target_update updates<TARGET_UPDATES_MAX>;	/* by noticed and key, ascending */
};

const CONFIG_CHUNK_MAX = 1100;

/* Query for a piece of a configuration; the reply is a config_chunk. */
struct config_query {
	hyper config_version;
	unsigned hyper base_hash;	/* of the configuration that the sender has; 0: none */
	unsigned int offset;
};

struct config_chunk {
	hyper config_version;
	unsigned hyper base_hash;	/* a delta to that one; 0: the whole configuration */
	unsigned int total;	/* bytes of the delta or configuration; 0: ask the store */
	unsigned int offset;
	opaque bytes<CONFIG_CHUNK_MAX>;
};

/*
 * Requests in progress at targets. Each entry has the low 32 bits of the
 * target's id, in network byte order, and the number of requests, at most 255.
 * A table may be sent in parts: a part has all targets with id % parts == part.
 */
const LOAD_TABLE_ENTRY_BYTES = 5;
const LOAD_TABLE_BYTES_MAX = 1250;

struct load_table {
	unsigned hyper node;	/* hash of the sender's name */
	unsigned hyper start;	/* wall-clock time of the sender's start, ms */
	unsigned hyper seq;	/* grows with each table since start */
	unsigned int part;
	unsigned int parts;
	opaque entries<LOAD_TABLE_BYTES_MAX>;
};

const STREAM_ORIGINS_MAX = 64;

/* The version of a service's software at which a stream began. */
struct stream_origin {
	unsigned hyper request;	/* hash of the id of the caller's attempt */
	unsigned hyper software;	/* id of the version; see software_version_id */
};

struct stream_origins {
	stream_origin entries<STREAM_ORIGINS_MAX>;
};

const ORIGIN_QUESTIONS_MAX = 24;

/* Query for the version at which a stream began. */
struct origin_question {
	unsigned hyper request;	/* as in stream_origin */
	unsigned hyper service;	/* hash of its name */
};

struct origin_query {
	origin_question entries<ORIGIN_QUESTIONS_MAX>;
};

struct origin_reply {
	unsigned hyper request;
	unsigned hyper service;
	unsigned hyper software;	/* 0: no record of the stream */
	unsigned hyper sole;	/* the only version that served lately; 0: not known */
	bool several;		/* several versions have served lately */
};

struct origin_answer {
	unsigned hyper node;	/* hash of the sender's name */
	origin_reply entries<ORIGIN_QUESTIONS_MAX>;
};

const VERSION_NOTICES_MAX = 32;

/* The sender knows of a version of a service's software; see version-gate.h. */
struct version_notice {
	unsigned hyper service;	/* hash of its name */
	unsigned hyper software;	/* as in stream_origin */
	bool open;	/* streams may begin there */
};

struct version_notices {
	unsigned hyper node;	/* hash of the sender's name */
	bool confirm;	/* the receiver answers with the same versions */
	version_notice entries<VERSION_NOTICES_MAX>;
};

const CAUSE_REPORT_CRASHES_MAX = 12;

/* A target crashed that was to begin a response; see route/crash-causes.h. */
struct cause_crash_report {
	unsigned int target;	/* low bits of its id */
	unsigned int attempt;	/* see cause_crash */
	unsigned int age_ms;
};

const RECORD_NEVER_MS = 0xffffffff;	/* an age */

/* What the sender knows of a part of prompts or of a request. */
struct cause_report {
	unsigned hyper key;	/* hash of the part or of the request */
	bool whole;	/* of a request */
	unsigned int began_age_ms;	/* since a response with it last began */
	unsigned int asked_age_ms;	/* since a request with it was last refused */
	unsigned int depth;	/* of a part: those before it in the prompt */
	bool blocked;
	cause_crash_report crashes<CAUSE_REPORT_CRASHES_MAX>;	/* oldest first */
};

/* How many requests a second a target takes from all nodes together. */
struct limit_report {
	unsigned hyper target;	/* hash of its id */
	int per_1000_s;	/* requests in 1,000 seconds; -1: any */
	unsigned int age_ms;	/* since the response that said so */
};

/* A statement of which the latest counts; see route/notices.h. */
struct notice_report {
	unsigned int kind;	/* enum notice_kind */
	unsigned hyper id;	/* of the target or node that it is about */
	hyper value;
	unsigned int age_ms;
};

/* What nodes tell each other of targets and of themselves. */
enum record_kind {
	RECORD_CAUSE = 0,
	RECORD_LIMIT = 1,
	RECORD_NOTICE = 2
};

union peer_record switch (record_kind kind) {
case RECORD_CAUSE:
	cause_report cause;
case RECORD_LIMIT:
	limit_report limit;
case RECORD_NOTICE:
	notice_report notice;
};

const PEER_RECORDS_MAX = 64;

struct peer_records {
	peer_record entries<PEER_RECORDS_MAX>;
};

enum peer_kind {
	PEER_LOADS = 0,
	PEER_STORE_QUERY = 1,
	PEER_STORE_ANSWER = 2,
	PEER_CONFIG_QUERY = 3,
	PEER_CONFIG_CHUNK = 4,
	PEER_LOAD_REPORT = 5,	/* a node's own requests, to its relay */
	PEER_LOAD_GROUP = 6,	/* those of a relay's nodes, to other relays */
	PEER_LOAD_TOTAL = 7,	/* those of all other nodes, to a node */
	PEER_ORIGINS = 8,
	PEER_ORIGIN_QUERY = 9,
	PEER_ORIGIN_ANSWER = 10,
	PEER_RECORDS = 11,
	PEER_VERSIONS = 12
};

union peer_message switch (peer_kind kind) {
case PEER_LOADS:
	loads_report loads;
case PEER_STORE_QUERY:
	store_query query;
case PEER_STORE_ANSWER:
	store_query_answer answer;
case PEER_CONFIG_QUERY:
	config_query config_query;
case PEER_CONFIG_CHUNK:
	config_chunk config_chunk;
case PEER_LOAD_REPORT:
	load_table load_report;
case PEER_LOAD_GROUP:
	load_table load_group;
case PEER_LOAD_TOTAL:
	load_table load_total;
case PEER_ORIGINS:
	stream_origins origins;
case PEER_ORIGIN_QUERY:
	origin_query origin_query;
case PEER_ORIGIN_ANSWER:
	origin_answer origin_answer;
case PEER_RECORDS:
	peer_records records;
case PEER_VERSIONS:
	version_notices versions;
};
