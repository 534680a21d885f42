/*
 * The codec: round trips, the exact encoded size, rejection of messages that
 * are forged, invalid or too large, and a decoder that survives arbitrary
 * bytes.
 */
#include <sodium.h>
#include <string.h>

#include "member/member.h"

#define FUZZ_INPUTS 60000
#define FUZZ_SEED   6
#define BUF_BYTES   1024

static const uint8_t key[MEMBER_KEY_BYTES] = "one key";
static const uint8_t other_key[MEMBER_KEY_BYTES] = "another key";

static struct member_info info = {
	.name = "n1",
	.address = "127.0.0.1:1",
	.control = "127.0.0.1:2",
	.zone = "a",
	.region = "local",
};
static struct member_record records[2];
static struct target_record targets[2] = {
	{.id = 7,
	 .observer = 8,
	 .serial = 9,
	 .status = TARGET_STATUS_UNREACHABLE},
	{.id = 7, .serial = 1, .status = TARGET_STATUS_LEAVING},
};
static struct pool_share shares[1] = {{1, 5, 1.5F, 2.0F, 10}};

static struct member_message sample(void)
{
	records[0] = (struct member_record){
		.id = member_id("n1"), .incarnation = 3, .info = &info};
	records[1] = (struct member_record){
		.id = 99, .state = MEMBER_SUSPECT, .leaving = true};
	return (struct member_message){
		.from = 1,
		.to = 2,
		.kind = MEMBER_ACK,
		.seq = 4,
		.revision = 12,
		.records = {G_N_ELEMENTS(records), records},
		.targets = {G_N_ELEMENTS(targets), targets},
		.shares = {G_N_ELEMENTS(shares), shares},
	};
}

static void test_round_trip(void)
{
	struct member_message m = sample(), got;
	uint8_t buf[BUF_BYTES];
	size_t n = member_encode(&m, key, buf, sizeof(buf));

	g_assert_cmpuint(n + MEMBER_IP_UDP_HEADER_BYTES, ==,
			 member_message_bytes(&m));
	g_assert_cmpint(member_decode(buf, n, key, &got), ==, MEMBER_DECODED);
	g_assert_cmpuint(got.from, ==, 1);
	g_assert_cmpuint(got.revision, ==, 12);
	g_assert_cmpstr(got.records.records_val[0].info->control, ==,
			"127.0.0.1:2");
	g_assert_true(got.records.records_val[1].leaving);
	g_assert_cmpint(got.targets.targets_val[0].status, ==,
			TARGET_STATUS_UNREACHABLE);
	g_assert_cmpfloat(got.shares.shares_val[0].work, ==, 1.5F);
	member_message_clear(&got);
}

static void test_wrong_key(void)
{
	struct member_message m = sample(), got;
	uint8_t buf[BUF_BYTES];
	size_t n = member_encode(&m, key, buf, sizeof(buf));

	g_assert_cmpint(member_decode(buf, n, other_key, &got), ==,
			MEMBER_NOT_AUTHENTIC);
	buf[n - 1] ^= 1;
	g_assert_cmpint(member_decode(buf, n, key, &got), ==,
			MEMBER_NOT_AUTHENTIC);
	g_assert_cmpint(member_decode(buf, n - 4, key, &got), ==,
			MEMBER_MALFORMED);
}

/* Authentic messages whose values are invalid must be rejected. */
static void test_invalid(void)
{
	struct member_message m = sample(), got;
	uint8_t buf[BUF_BYTES];

	for (int i = 0; i < 6; i++) {
		m = sample();
		targets[0].status = TARGET_STATUS_UNREACHABLE;
		shares[0].work = 1.5F;
		if (i == 0)
			m.from = 0;
		else if (i == 1)
			m.kind = (enum member_kind)17;
		else if (i == 2)
			records[1].state = MEMBER_DEAD;
		else if (i == 3)
			records[0].id++;
		/* To refute it, the node's next incarnation would be 0. */
		else if (i == 4)
			records[1].incarnation = UINT32_MAX;
		else
			shares[0].work = -1;
		g_assert_cmpint(
			member_decode(buf,
				      member_encode(&m, key, buf, sizeof(buf)),
				      key, &got),
			==, MEMBER_MALFORMED);
	}
	shares[0].work = 1.5F;
}

static void test_too_large(void)
{
	struct member_record many[MEMBER_RECORDS_MAX];
	struct member_message m = sample();
	uint8_t buf[BUF_BYTES];

	for (int i = 0; i < MEMBER_RECORDS_MAX; i++)
		many[i] = records[0];
	m.records.records_len = MEMBER_RECORDS_MAX;
	m.records.records_val = many;
	g_assert_cmpuint(member_encode(&m, key, buf, sizeof(buf)), ==, 0);
}

/* Change random bytes, and sometimes truncate; return the new length. */
static size_t mutate(GRand *r, uint8_t *buf, size_t n)
{
	int changes = g_rand_int_range(r, 1, 9);

	for (int i = 0; i < changes && n; i++) {
		size_t at = (size_t)g_rand_int_range(r, 0, (gint32)n);

		if (g_rand_boolean(r))
			buf[at] = (uint8_t)g_rand_int(r);
		else
			/* The low byte of an XDR length or enumeration. */
			buf[at / 4 * 4 + 3] = (uint8_t)g_rand_int(r);
	}
	if (g_rand_int_range(r, 0, 8) == 0)
		n = (size_t)g_rand_int_range(r, 0, (gint32)n + 1);
	return n;
}

/* Recompute the MAC, so that the mutated body reaches the XDR decoder. */
static void recompute_mac(uint8_t *buf, size_t n)
{
	const size_t head_bytes = 40 + MEMBER_MAC_BYTES + 4;

	if (n > head_bytes)
		crypto_auth(buf + 40, buf + head_bytes, n - head_bytes, key);
}

static void test_fuzz(void)
{
	GRand *r = g_rand_new_with_seed(FUZZ_SEED);
	struct member_message m = sample(), got;
	uint8_t good[BUF_BYTES], buf[BUF_BYTES];
	size_t n = member_encode(&m, key, good, sizeof(good));
	unsigned results[3] = {0};

	for (int i = 0; i < FUZZ_INPUTS; i++) {
		size_t len;
		uint8_t *exact;
		enum member_decode_result d;

		memcpy(buf, good, n);
		len = mutate(r, buf, n);
		if (i % 4)
			recompute_mac(buf, len);
		/* An exact heap copy, so that ASan sees reads past the end. */
		exact = g_memdup2(buf, len);
		d = member_decode(exact, len, key, &got);
		results[d]++;
		if (d == MEMBER_DECODED)
			member_message_clear(&got);
		g_free(exact);
	}
	for (int i = 0; i < 3; i++)
		g_assert_cmpuint(results[i], >, 0);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/member/codec/round-trip", test_round_trip);
	g_test_add_func("/member/codec/wrong-key", test_wrong_key);
	g_test_add_func("/member/codec/invalid", test_invalid);
	g_test_add_func("/member/codec/too-large", test_too_large);
	g_test_add_func("/member/codec/fuzz", test_fuzz);
	return g_test_run();
}
