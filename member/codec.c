/*
 * Encoding of messages as datagrams and back: an ONC RPC call header, then the
 * XDR message under a message authentication code (HMAC-SHA-512-256).
 */
#include <sodium.h>
#include <string.h>

#include "member/member.h"

/* XDR sizes: an RPC call without credentials, a message without its lists. */
#define RPC_CALL_BYTES       40
#define AUTH_HEADER_BYTES    (MEMBER_MAC_BYTES + 4)
#define MESSAGE_HEADER_BYTES 60
#define RECORD_BYTES         24
#define TARGET_BYTES         24
#define SHARE_BYTES          20
#define RPC_XID              1
/*
 * A node that refutes a record takes the next incarnation, which must not wrap
 * to 0: no other node would believe it live again. Nodes begin with their start
 * time, which stays below this until the end of 2040.
 */
#define INCARNATION_MAX 0xf0000000U

G_STATIC_ASSERT(crypto_auth_BYTES == MEMBER_MAC_BYTES);
G_STATIC_ASSERT(crypto_auth_KEYBYTES == MEMBER_KEY_BYTES);

static size_t string_bytes(const char *s)
{
	return 4 + (strlen(s) + 3) / 4 * 4;
}

size_t member_record_bytes(const struct member_record *r)
{
	if (!r->info)
		return RECORD_BYTES;
	return RECORD_BYTES + string_bytes(r->info->name) +
	       string_bytes(r->info->address) + string_bytes(r->info->control) +
	       string_bytes(r->info->zone) + string_bytes(r->info->region);
}

size_t member_message_bytes(const struct member_message *m)
{
	size_t n = MEMBER_IP_UDP_HEADER_BYTES + RPC_CALL_BYTES +
		   AUTH_HEADER_BYTES + MESSAGE_HEADER_BYTES;

	for (u_int i = 0; i < m->records.records_len; i++)
		n += member_record_bytes(&m->records.records_val[i]);
	n += m->targets.targets_len * TARGET_BYTES;
	return n + m->shares.shares_len * SHARE_BYTES;
}

static void call_header(struct rpc_msg *call)
{
	memset(call, 0, sizeof(*call));
	call->rm_xid = RPC_XID;
	call->rm_direction = CALL;
	call->rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call->rm_call.cb_prog = MEMBER_PROG;
	call->rm_call.cb_vers = MEMBER_VERS;
	call->rm_call.cb_proc = MEMBER_POST;
}

size_t member_encode(const struct member_message *m,
		     const uint8_t key[MEMBER_KEY_BYTES], uint8_t *buf,
		     size_t size)
{
	char body[MEMBER_BODY_MAX_BYTES];
	struct member_authenticated packet = {.body = {0, body}};
	struct rpc_msg call;
	size_t n = 0;
	XDR x;

	xdrmem_create(&x, body, sizeof(body), XDR_ENCODE);
	if (!xdr_member_message(&x, (struct member_message *)m))
		return 0;
	packet.body.body_len = xdr_getpos(&x);
	crypto_auth((uint8_t *)packet.mac, (uint8_t *)body,
		    packet.body.body_len, key);
	call_header(&call);
	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_ENCODE);
	if (xdr_callmsg(&x, &call) && xdr_member_authenticated(&x, &packet))
		n = xdr_getpos(&x);
	return n;
}

/* Accept just the header that call_header makes. */
static bool decode_header(XDR *x)
{
	struct rpc_msg call;
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];

	memset(&call, 0, sizeof(call));
	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_verf.oa_base = verf;
	return xdr_callmsg(x, &call) && call.rm_direction == CALL &&
	       call.rm_call.cb_rpcvers == RPC_MSG_VERSION &&
	       call.rm_call.cb_prog == MEMBER_PROG &&
	       call.rm_call.cb_vers == MEMBER_VERS &&
	       call.rm_call.cb_proc == MEMBER_POST &&
	       !call.rm_call.cb_cred.oa_length &&
	       !call.rm_call.cb_verf.oa_length;
}

/* Check what XDR does not: enumerations, ids and ranges of numbers. */
static bool is_valid(const struct member_message *m)
{
	if (!m->from || (unsigned)m->kind > MEMBER_GOSSIP)
		return false;
	for (u_int i = 0; i < m->records.records_len; i++) {
		const struct member_record *r = &m->records.records_val[i];

		if (!r->id || (unsigned)r->state >= MEMBER_DEAD ||
		    r->incarnation > INCARNATION_MAX)
			return false;
		if (r->info && member_id(r->info->name) != r->id)
			return false;
	}
	for (u_int i = 0; i < m->targets.targets_len; i++) {
		if ((unsigned)m->targets.targets_val[i].status >
		    TARGET_STATUS_REACHABLE)
			return false;
	}
	for (u_int i = 0; i < m->shares.shares_len; i++) {
		const struct pool_share *s = &m->shares.shares_val[i];

		if (!(s->work >= 0 && s->work < 1e18F) ||
		    !(s->targets >= 0 && s->targets < 1e9F))
			return false;
	}
	return true;
}

void member_message_clear(struct member_message *m)
{
	xdr_free((xdrproc_t)xdr_member_message, m);
}

static enum member_decode_result
decode_body(struct member_authenticated *packet, struct member_message *out)
{
	XDR x;

	xdrmem_create(&x, packet->body.body_val, packet->body.body_len,
		      XDR_DECODE);
	if (xdr_member_message(&x, out) &&
	    xdr_getpos(&x) == packet->body.body_len && is_valid(out))
		return MEMBER_DECODED;
	member_message_clear(out);
	memset(out, 0, sizeof(*out));
	return MEMBER_MALFORMED;
}

enum member_decode_result member_decode(const uint8_t *buf, size_t n,
					const uint8_t key[MEMBER_KEY_BYTES],
					struct member_message *out)
{
	enum member_decode_result result = MEMBER_MALFORMED;
	struct member_authenticated packet;
	XDR x;

	memset(out, 0, sizeof(*out));
	memset(&packet, 0, sizeof(packet));
	xdrmem_create(&x, (char *)buf, (u_int)n, XDR_DECODE);
	if (!decode_header(&x) || !xdr_member_authenticated(&x, &packet) ||
	    xdr_getpos(&x) != n)
		goto done;
	result = MEMBER_NOT_AUTHENTIC;
	if (!crypto_auth_verify((uint8_t *)packet.mac,
				(uint8_t *)packet.body.body_val,
				packet.body.body_len, key))
		result = decode_body(&packet, out);
done:
	xdr_free((xdrproc_t)xdr_member_authenticated, &packet);
	return result;
}
