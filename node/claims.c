/*
 * Claims on idempotency keys. Keys chosen by callers are claimed in the table
 * service; keys that a node issued are claimed in that process's memory.
 */
#include "node/claims.h"

#include <sodium.h>
#include <string.h>
#include <talloc.h>

#define KEY_MAX_BYTES 255

/* The claim of one request. */
struct call_claim {
	char *name;
	bool issued;         /* a node issued the key */
	bool active;         /* granted and not yet ended */
	struct claim *claim; /* NULL with an issued key; likewise http */
	struct platform plat;
	struct platform_http *http;
};

/* The keys that this process issued, used by all connection threads. */
static GMutex issued_lock;
static struct issued_keys *issued_keys;

static uint64_t random_number(void)
{
	uint64_t n;

	randombytes_buf(&n, sizeof(n));
	return n;
}

/*
 * Return the issued keys; issued_lock is held. The incarnation is drawn at
 * random at the first use.
 */
static struct issued_keys *get_issued_keys(void)
{
	if (!issued_keys)
		issued_keys = issued_keys_new(random_number());
	return issued_keys;
}

static char *new_key(void)
{
	char *key;

	g_mutex_lock(&issued_lock);
	key = issued_keys_generate(get_issued_keys(), random_number(),
				   time_mono_ms());
	g_mutex_unlock(&issued_lock);
	return key;
}

static int64_t wall_now_ms(void *ctx)
{
	(void)ctx;
	return time_now_ms();
}

/* Return the hash by which a repeat is compared with the first request. */
static const char *request_hash(struct request *rq, const char *operation)
{
	GString *s = g_string_new(operation);
	char *h;
	const char *out;

	g_string_append_c(s, '\0');
	g_string_append_len(s, rq->body.data, (gssize)rq->body.len);
	h = key_hash((struct str){s->str, s->len});
	out = talloc_strdup(rq->arena, h);
	g_free(h);
	g_string_free(s, TRUE);
	return out;
}

/* Read the header "Ramp-Attempt"; 0 without it. */
static bool read_attempt(const struct _u_request *q, int64_t *attempt)
{
	const char *h = u_map_get_case(q->map_header, "Ramp-Attempt");
	char *end;

	*attempt = h ? g_ascii_strtoll(h, &end, 10) : 0;
	return !h || (end != h && !*end && *attempt >= 0);
}

static enum ramp_error error_from_verdict(enum claim_verdict v)
{
	static const enum ramp_error errors[] = {
		[CLAIM_GRANTED] = RAMP_OK,
		[CLAIM_COMPLETED] = RAMP_OK,
		[CLAIM_IN_PROGRESS] = RAMP_ERR_IN_PROGRESS,
		[CLAIM_OUTCOME_UNKNOWN] = RAMP_ERR_OUTCOME_UNKNOWN,
		[CLAIM_RELEASED] = RAMP_ERR_KEY_RELEASED,
		[CLAIM_KEY_REUSED] = RAMP_ERR_KEY_REUSED,
		[CLAIM_STORE_UNAVAILABLE] = RAMP_ERR_STORE_UNAVAILABLE,
	};

	return errors[v];
}

static struct claim_answer copy_answer(void *arena,
				       const struct claim_answer *a)
{
	return (struct claim_answer){
		a->status, a->type ? talloc_strdup(arena, a->type) : NULL,
		str_dup(arena, a->body), a->body_stored};
}

struct claim_wait {
	struct request *rq;
	struct claim_result result;
};

static void on_result(const struct claim_result *r, void *arg)
{
	struct claim_wait *w = arg;

	w->result = *r;
	w->result.answer = copy_answer(w->rq->arena, &r->answer);
}

/*
 * Claim a caller's key in the table service. The calls block, so on_result runs
 * before claim_begin returns.
 */
static enum claim_verdict begin_stored(struct request *rq,
				       const struct claim_request *q,
				       struct claim_result *out)
{
	struct call_claim *c = rq->claim;
	struct claim_wait w = {.rq = rq};

	c->http = platform_http_new(&rq->node->set, NULL, &c->plat);
	c->claim = claim_begin(&c->plat, q, wall_now_ms, NULL, on_result, &w);
	*out = w.result;
	return out->verdict;
}

static enum claim_verdict begin_issued(struct request *rq,
				       struct claim_request *q,
				       struct claim_result *out)
{
	enum claim_verdict v;

	q->latest_ms = request_deadline_mono_ms(rq);
	g_mutex_lock(&issued_lock);
	v = issued_keys_begin(get_issued_keys(), rq->key, q, time_mono_ms(),
			      out);
	out->answer = copy_answer(rq->arena, &out->answer);
	g_mutex_unlock(&issued_lock);
	return v;
}

static int free_claim(struct call_claim *c)
{
	claim_free(c->claim);
	if (c->http)
		platform_http_free(c->http);
	g_free(c->name);
	return 0;
}

static struct call_claim *new_claim(struct request *rq)
{
	struct call_claim *c = talloc_zero(rq->arena, struct call_claim);

	talloc_set_destructor(c, free_claim);
	c->name = claim_name(rq->owner->organisation->name, rq->service->name,
			     rq->key);
	c->issued = is_issued_key(rq->key);
	return c;
}

/* Give a request without an idempotency key one that this node issues. */
static void ensure_key(struct request *rq)
{
	char *key;

	if (rq->key.len)
		return;
	key = new_key();
	rq->key = str_dup(rq->arena, str_c(key));
	g_free(key);
}

/* If the deadline passed while claiming, end the claim as not run. */
static enum ramp_error check_deadline(struct request *rq)
{
	if (time_now_ms() < rq->deadline_ms)
		return RAMP_OK;
	claims_end(rq, RAMP_ERR_DEADLINE_PASSED, NULL);
	return RAMP_ERR_DEADLINE_PASSED;
}

enum ramp_error claims_begin(struct request *rq, const struct _u_request *q,
			     const char *operation, bool *stored,
			     struct claim_answer *out)
{
	struct claim_request cr = {.call = rq->id.data,
				   .request = request_hash(rq, operation),
				   .latest_ms = rq->deadline_ms};
	struct claim_result res = {0};
	enum claim_verdict v;

	*stored = false;
	if (!read_attempt(q, &cr.attempt) || rq->key.len > KEY_MAX_BYTES)
		return RAMP_ERR_BAD_REQUEST;
	ensure_key(rq);
	rq->claim = new_claim(rq);
	cr.name = rq->claim->name;
	v = rq->claim->issued ? begin_issued(rq, &cr, &res)
			      : begin_stored(rq, &cr, &res);
	*stored = v == CLAIM_COMPLETED;
	*out = res.answer;
	rq->claim->active = v == CLAIM_GRANTED;
	if (v == CLAIM_GRANTED)
		return check_deadline(rq);
	metric_add(M_CLAIMS_REPEATED_TOTAL, 1);
	/* The table of issued keys is full, so this key has not run here. */
	if (v == CLAIM_STORE_UNAVAILABLE && rq->claim->issued)
		return RAMP_ERR_OVERLOADED;
	return error_from_verdict(v);
}

static void ignore_end(void *arg)
{
	(void)arg;
}

static enum claim_outcome outcome_from_error(enum ramp_error e)
{
	if (e == RAMP_OK)
		return CLAIM_ENDED_COMPLETE;
	return error_responses[e].outcome == OUTCOME_NOT_RUN
		       ? CLAIM_ENDED_NOT_RUN
		       : CLAIM_ENDED_UNKNOWN;
}

void claims_end(struct request *rq, enum ramp_error e,
		const struct claim_answer *a)
{
	struct call_claim *c = rq->claim;

	if (!c || !c->active)
		return;
	c->active = false;
	if (!c->issued) {
		claim_end(c->claim, outcome_from_error(e), a, ignore_end, NULL);
		return;
	}
	g_mutex_lock(&issued_lock);
	issued_keys_end(get_issued_keys(), c->name, outcome_from_error(e), a);
	g_mutex_unlock(&issued_lock);
}

int claims_replay_answer(struct request *rq, struct _u_response *r,
			 const struct claim_answer *a)
{
	if (a->type)
		u_map_put(r->map_header, "Content-Type", a->type);
	u_map_put(r->map_header, "Ramp-Answer",
		  a->body_stored ? "stored" : "lost");
	u_map_put(r->map_header, "Ramp-Request", rq->id.data);
	answer_bytes(r, a->status, a->body);
	return U_CALLBACK_COMPLETE;
}

/*
 * POST /v1/keys: issue a key that this node runs at most once without using the
 * table service.
 */
int on_keys(const struct _u_request *q, struct _u_response *r, void *node)
{
	struct request *rq;
	enum ramp_error e = request_begin(node, q, &rq);
	char *key;

	if (e != RAMP_OK) {
		request_refuse(rq, r, e, NULL);
		request_free(rq);
		return U_CALLBACK_COMPLETE;
	}
	key = new_key();
	answer_json(r, 200,
		    json_pack("{s:s,s:s,s:I}", "key", key, "entry",
			      rq->node->address, "valid_until_ms",
			      time_now_ms() + ISSUED_KEY_VALID_MS));
	request_count_outcome(OUTCOME_COMPLETE);
	g_free(key);
	request_free(rq);
	return U_CALLBACK_COMPLETE;
}
