/*
 * Idempotency keys that a node issues itself. Only the incarnation (start of
 * the process) that issued a key ever runs a call with it, so the claims are
 * held in memory, not in the table. Every other incarnation answers that the
 * outcome is unknown.
 *
 * Nothing is locked: the caller serialises all calls for a struct issued_keys.
 */
#ifndef ISSUED_KEYS_H
#define ISSUED_KEYS_H

#include "state/claim.h"

#define ISSUED_KEY_VALID_MS 600000 /* a key never runs after this time */
#define ISSUED_KEYS_MAX     16384  /* keys held with their outcomes */
/* Largest body of an answer that is held, and of all of them. */
#define ISSUED_ANSWER_MAX_BYTES  16384
#define ISSUED_ANSWERS_MAX_BYTES (8 * 1024 * 1024)

/* The keys issued by this process, with the outcomes of their calls. */
struct issued_keys;

/* incarnation is a random number that identifies this start of the process. */
struct issued_keys *issued_keys_new(uint64_t incarnation);
void issued_keys_free(struct issued_keys *keys);
/*
 * Return a new key, valid for ISSUED_KEY_VALID_MS. random makes it unguessable;
 * now_ms is monotonic. Free with g_free.
 */
char *issued_keys_generate(const struct issued_keys *keys, uint64_t random,
			   int64_t now_ms);
/* Return whether a key has the form of one issued by a node. */
bool is_issued_key(struct str key);
/*
 * Ask for the right to run a call with an issued key. q->name identifies the
 * key. q->latest_ms, now_ms and out->retry_at_ms are monotonic. The answer in
 * out is valid until the next call for the same keys.
 *
 * Return: the verdict, also in out; CLAIM_STORE_UNAVAILABLE if ISSUED_KEYS_MAX
 * are held.
 */
enum claim_verdict issued_keys_begin(struct issued_keys *keys, struct str key,
				     const struct claim_request *q,
				     int64_t now_ms, struct claim_result *out);
/* Record the outcome of the call that got CLAIM_GRANTED for the key name. */
void issued_keys_end(struct issued_keys *keys, const char *name,
		     enum claim_outcome outcome, const struct claim_answer *a);

#endif
