/*
 * Membership messages between nodes: ONC RPC calls over UDP without a reply.
 * The argument is the encoded message and its authenticator.
 */
const MEMBER_TEXT_MAX_BYTES = 64;
const MEMBER_RECORDS_MAX = 40;
const MEMBER_TARGETS_MAX = 40;
const MEMBER_SHARES_MAX = 30;
const MEMBER_BODY_MAX_BYTES = 1000;
const MEMBER_MAC_BYTES = 32;

enum member_kind {
	MEMBER_PING = 0,	/* the receiver sends an ack with this seq */
	MEMBER_ACK = 1,		/* the subject is alive */
	MEMBER_PING_REQ = 2,	/* ping the subject on the sender's behalf */
	MEMBER_NACK = 3,	/* the subject did not ack the ping asked for */
	MEMBER_GOSSIP = 4		/* updates only; no reply */
};

enum member_state {
	MEMBER_LIVE = 0,
	MEMBER_SUSPECT = 1,
	MEMBER_LEFT = 2,	/* announced by the member itself */
	MEMBER_DEAD = 3		/* not sent: each node decides for itself */
};

/* Addresses of a node; "IP:port" for callers and for control messages. */
struct member_info {
	string name<MEMBER_TEXT_MAX_BYTES>;
	string address<MEMBER_TEXT_MAX_BYTES>;
	string control<MEMBER_TEXT_MAX_BYTES>;
	string zone<MEMBER_TEXT_MAX_BYTES>;
	string region<MEMBER_TEXT_MAX_BYTES>;
};

/* A member's state. info is sent when the receiver may not know it. */
struct member_record {
	unsigned hyper id;
	unsigned int incarnation;
	member_state state;
	bool leaving;
	member_info *info;
};

/* The first two come from the target itself, the others from an observer. */
enum target_status {
	TARGET_STATUS_ACCEPTING = 0,	/* accepts new work */
	TARGET_STATUS_LEAVING = 1,	/* accepts no new work */
	TARGET_STATUS_UNREACHABLE = 2,	/* the observer can not connect */
	TARGET_STATUS_REACHABLE = 3	/* the observer can connect again */
};

/*
 * A report of a target's status. observer is the reporting node, or 0 for the
 * target itself; a report with a higher serial replaces an earlier one.
 */
struct target_record {
	unsigned hyper id;
	unsigned hyper observer;
	unsigned int serial;
	target_status status;
};

/*
 * One node's contribution to a pool's load. node and pool are the low 32 bits of
 * their ids; age_ms is the time since the measurement.
 */
struct pool_share {
	unsigned int node;
	unsigned int pool;
	float work;
	float targets;
	unsigned int age_ms;
};

struct member_message {
	unsigned hyper from;
	unsigned hyper to;	/* 0: any receiver */
	member_kind kind;
	unsigned int seq;
	unsigned hyper subject;	/* of an ack, nack or probe */
	unsigned hyper revision;	/* of the configuration */
	unsigned hyper digest;	/* of the members that the sender believes up */
	member_record records<MEMBER_RECORDS_MAX>;
	target_record targets<MEMBER_TARGETS_MAX>;
	pool_share shares<MEMBER_SHARES_MAX>;
};

/* An encoded member_message and the MAC of its bytes. */
struct member_authenticated {
	opaque mac[MEMBER_MAC_BYTES];
	opaque body<MEMBER_BODY_MAX_BYTES>;
};

program MEMBER_PROG {
	version MEMBER_VERS {
		void MEMBER_POST(member_authenticated) = 1;
	} = 1;
} = 0x20061a42;
