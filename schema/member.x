/*
 * Messages between nodes: ONC RPC calls over UDP that have no reply. The
 * argument is the encoded message and its authenticator.
 */
const MEMBER_TEXT_MAX = 64;
const MEMBER_RECORDS_MAX = 40;
const MEMBER_TARGETS_MAX = 40;
const MEMBER_SHARES_MAX = 30;
const MEMBER_BODY_MAX = 1000;
const MEMBER_MAC_BYTES = 32;

enum member_kind {
	MEMBER_PING = 0,	/* answer with an ack of the same seq */
	MEMBER_ACK = 1,		/* subject is alive */
	MEMBER_PROBE = 2,	/* ping subject for the sender */
	MEMBER_NACK = 3,	/* subject did not answer the ping asked for */
	MEMBER_NEWS = 4		/* no answer wanted */
};

enum member_state {
	MEMBER_LIVE = 0,
	MEMBER_SUSPECT = 1,
	MEMBER_LEFT = 2,	/* by its own word */
	MEMBER_DEAD = 3		/* never sent */
};

/* How to reach a node; "IP:port" for callers and for control. */
struct member_info {
	string name<MEMBER_TEXT_MAX>;
	string address<MEMBER_TEXT_MAX>;
	string control<MEMBER_TEXT_MAX>;
	string zone<MEMBER_TEXT_MAX>;
	string region<MEMBER_TEXT_MAX>;
};

struct member_record {
	unsigned hyper id;
	unsigned int incarnation;
	member_state state;
	bool leaving;
	member_info *info;
};

enum target_word {
	TARGET_WORD_LIVE = 0,	/* takes work; from the target itself */
	TARGET_WORD_LEAVING = 1,	/* takes no new work; likewise */
	TARGET_WORD_DOWN = 2,	/* the observer can not connect */
	TARGET_WORD_UP = 3	/* the observer can connect again */
};

/* observer is 0 for what a target says of itself. */
struct target_record {
	unsigned hyper id;
	unsigned hyper observer;
	unsigned int serial;
	target_word word;
};

/* One node's part of a pool's load; node and pool by 32 bits of their hash. */
struct pool_share {
	unsigned int node;
	unsigned int pool;
	float work;
	float targets;
	unsigned int age_ms;
};

struct member_message {
	unsigned hyper from;
	unsigned hyper to;	/* 0: whoever gets it */
	member_kind kind;
	unsigned int seq;
	unsigned hyper subject;
	unsigned hyper revision;	/* of the configuration */
	unsigned hyper digest;	/* of the members that the sender sees */
	member_record records<MEMBER_RECORDS_MAX>;
	target_record targets<MEMBER_TARGETS_MAX>;
	pool_share shares<MEMBER_SHARES_MAX>;
};

struct member_sealed {
	opaque mac[MEMBER_MAC_BYTES];
	opaque body<MEMBER_BODY_MAX>;
};

program MEMBER_PROG {
	version MEMBER_VERS {
		void MEMBER_POST(member_sealed) = 1;
	} = 1;
} = 0x20061a42;
