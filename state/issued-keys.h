/*
 * Idempotency keys that a node issues itself. Only the incarnation (start of
 * the process) that issued a key ever runs a call with it, so the claims are
 * held in memory, not in the table. Every other incarnation answers that the
 * outcome is unknown.
 *
 * Nothing is locked: the caller serialises all calls for a struct issue.
 */
#ifndef ISSUED_KEYS_H
#define ISSUED_KEYS_H

#include "state/claim.h"

#define ISSUE_KEY_VALID_MS 600000 /* for which a key is valid */
#define ISSUE_KEYS_MAX     16384  /* keys held with their outcomes */
/* Largest body of an answer that is held, and of all of them. */
#define ISSUE_ANSWER_MAX_BYTES  16384
#define ISSUE_ANSWERS_MAX_BYTES (8 * 1024 * 1024)

/* The keys issued by this process, with the outcomes of their calls. */
struct issue;

/* incarnation is a random number that identifies this start of the process. */
struct issue *issue_new(uint64_t incarnation);
void issue_free(struct issue *keys);
/*
 * Return a new key, valid for ISSUE_KEY_VALID_MS. random makes it unguessable;
 * now_ms is monotonic. Free with g_free.
 */
char *issue_new_key(const struct issue *keys, uint64_t random, int64_t now_ms);
/* Return whether a key has the form of one issued by a node. */
bool issue_is_issued_key(struct str key);
/*
 * Ask for the right to run a call with an issued key. q->name identifies the
 * key. q->latest_ms, now_ms and out->retry_at_ms are monotonic. The answer in
 * out is valid until the next call for the same keys.
 *
 * Return: the verdict, also in out; CLAIM_STORE_UNAVAILABLE if ISSUE_KEYS_MAX
 * are held.
 */
enum claim_verdict issue_begin(struct issue *keys, struct str key,
			       const struct claim_request *q, int64_t now_ms,
			       struct claim_result *out);
/* Record the outcome of the call that got CLAIM_GRANTED for the key name. */
void issue_end(struct issue *keys, const char *name, enum claim_end outcome,
	       const struct claim_answer *a);

#endif
