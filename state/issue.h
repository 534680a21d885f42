/*
 * Idempotency keys that a node issues itself. Only the incarnation that
 * issued a key ever runs it, so no store is needed; every other one answers
 * that the outcome is unknown. Not locked: the caller does that.
 */
#ifndef ISSUE_H
#define ISSUE_H

#include "state/claim.h"

#define ISSUE_VALID_MS    600000 /* a key runs within this time or never */
#define ISSUE_KEPT_MAX    16384  /* keys remembered */
#define ISSUE_ANSWER_MAX  16384  /* bytes of one answer kept */
#define ISSUE_ANSWERS_MAX (8 * 1024 * 1024) /* bytes of all answers kept */

struct issue;

struct issue *issue_new(uint64_t incarnation);
void issue_free(struct issue *is);
/* A new key; random makes it unguessable. Free with g_free. */
char *issue_key(const struct issue *is, uint64_t random, int64_t now_ms);
/* Whether a key was issued by any node. */
bool issue_is_key(struct str key);
/*
 * Ask for the right to run a call with an issued key; q->name is the claim's
 * name and q->latest_ms and now_ms are monotonic. The answer in out lives
 * until the next call.
 *
 * Return: the verdict; CLAIM_NO_STORE when no more keys can be remembered.
 */
enum claim_verdict issue_begin(struct issue *is, struct str key,
			       const struct claim_request *q, int64_t now_ms,
			       struct claim_result *out);
/* Record how the call ended that was told CLAIM_RUN. */
void issue_end(struct issue *is, const char *name, enum claim_end how,
	       const struct claim_answer *a);

#endif
