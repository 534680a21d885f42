/*
 * GET /v1/streams/:resume: the rest of an answer through any entry, and the
 * resume token that allows it. Runs on the thread of the caller's connection.
 */
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "node/node.h"

#define KEY_CONTEXT     "auburnramp resume identity 1"
#define TEST_SECRET     "auburnramp unauthenticated test fleet"
#define TOKEN_MAX_BYTES 4096
#define BASE64_VARIANT  sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define NONCE_BYTES     crypto_aead_xchacha20poly1305_ietf_NPUBBYTES
#define TAG_BYTES       crypto_aead_xchacha20poly1305_ietf_ABYTES

struct resume_key {
	unsigned char bytes[crypto_aead_xchacha20poly1305_ietf_KEYBYTES];
};

struct resume_key *resume_key_load(const char *path)
{
	struct resume_key *k;
	char *secret =
		path && *path ? secret_read(path) : g_strdup(TEST_SECRET);

	if (!secret)
		return NULL;
	k = g_new0(struct resume_key, 1);
	crypto_generichash(k->bytes, sizeof(k->bytes), (unsigned char *)secret,
			   strlen(secret), (const unsigned char *)KEY_CONTEXT,
			   strlen(KEY_CONTEXT));
	secret_free(secret);
	return k;
}

char *resume_seal(void *arena, const struct resume_key *k,
		  const struct resume *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:s,s:s,s:I}", "o", r->organisation,
			      "s", r->service, "t", r->target, "a", r->address,
			      "r", r->request, "d", r->deadline_ms);
	char *plain = json_dumps(j, JSON_COMPACT);
	size_t n = strlen(plain);
	size_t sealed = NONCE_BYTES + n + TAG_BYTES;
	unsigned char *raw = talloc_size(arena, sealed);
	size_t text_size = sodium_base64_encoded_len(sealed, BASE64_VARIANT);
	char *text = talloc_size(arena, text_size);

	randombytes_buf(raw, NONCE_BYTES);
	crypto_aead_xchacha20poly1305_ietf_encrypt(
		raw + NONCE_BYTES, NULL, (unsigned char *)plain, n, NULL, 0,
		NULL, raw, k->bytes);
	sodium_bin2base64(text, text_size, raw, sealed, BASE64_VARIANT);
	free(plain);
	json_decref(j);
	return text;
}

static bool read_fields(void *arena, const json_t *j, struct resume *out)
{
	const char *o, *s, *t, *a, *r;
	json_int_t d;

	if (json_unpack((json_t *)j, "{s:s,s:s,s:s,s:s,s:s,s:I}", "o", &o, "s",
			&s, "t", &t, "a", &a, "r", &r, "d", &d))
		return false;
	*out = (struct resume){.organisation = talloc_strdup(arena, o),
			       .service = talloc_strdup(arena, s),
			       .target = talloc_strdup(arena, t),
			       .address = talloc_strdup(arena, a),
			       .request = talloc_strdup(arena, r),
			       .deadline_ms = d};
	return true;
}

bool resume_open(void *arena, const struct resume_key *k, const char *text,
		 struct resume *out)
{
	unsigned char raw[TOKEN_MAX_BYTES], plain[TOKEN_MAX_BYTES];
	unsigned long long n;
	json_t *j;
	size_t len;
	bool ok;

	if (strlen(text) >= TOKEN_MAX_BYTES ||
	    sodium_base642bin(raw, sizeof(raw), text, strlen(text), NULL, &len,
			      NULL, BASE64_VARIANT) ||
	    len < NONCE_BYTES + TAG_BYTES)
		return false;
	if (crypto_aead_xchacha20poly1305_ietf_decrypt(
		    plain, &n, NULL, raw + NONCE_BYTES, len - NONCE_BYTES, NULL,
		    0, raw, k->bytes))
		return false;
	j = json_loadb((char *)plain, (size_t)n, 0, NULL);
	ok = read_fields(arena, j, out);
	json_decref(j);
	return ok;
}

int64_t resume_position(const char *last_event_id, const char *request)
{
	size_t n = strlen(request);
	int64_t last;
	char *end;

	if (!last_event_id)
		return 0;
	if (!strncmp(last_event_id, request, n) && last_event_id[n] == ':')
		last_event_id += n + 1;
	if (!g_ascii_isdigit(*last_event_id))
		return -1;
	last = g_ascii_strtoll(last_event_id, &end, 10);
	return *end || last == G_MAXINT64 ? -1 : last + 1;
}

/*
 * Turn this request into the one that the token names, which began at another
 * entry.
 */
static enum ramp_error adopt_request(struct request *rq, const struct resume *s,
				     const char **why)
{
	if (strcmp(s->organisation, rq->owner->organisation->name)) {
		*why = "the answer belongs to another organisation";
		return RAMP_ERR_FORBIDDEN;
	}
	if (!request_resolve_service(rq, s->service)) {
		*why = "the service is no longer declared";
		return RAMP_ERR_NOT_FOUND;
	}
	rq->id = str_c(s->request);
	rq->deadline_ms = s->deadline_ms;
	rq->stream = true;
	return rq->deadline_ms > time_now_ms() ? RAMP_OK : RAMP_ERR_TIMED_OUT;
}

/* Decode the token and read the answer after Last-Event-ID from its target. */
static enum ramp_error resume_answer(struct request *rq,
				     const struct _u_request *q,
				     struct relay **out, const char **why)
{
	const char *last = u_map_get_case(q->map_header, "Last-Event-ID");
	struct target *t = talloc_zero(rq->arena, struct target);
	struct resume s;
	enum ramp_error e;
	int64_t pos;

	if (!resume_open(rq->arena, rq->node->resume_key,
			 u_map_get(q->map_url, "resume"), &s)) {
		*why = "not a resume identity of this fleet";
		return RAMP_ERR_FORBIDDEN;
	}
	e = adopt_request(rq, &s, why);
	if (e != RAMP_OK)
		return e;
	pos = resume_position(last, s.request);
	if (pos < 0) {
		*why = "Last-Event-ID: not an event of this answer";
		return RAMP_ERR_BAD_REQUEST;
	}
	t->name = (char *)s.target;
	t->address = (char *)s.address;
	return relay_resume(rq, t, pos, out);
}

int on_resume(const struct _u_request *q, struct _u_response *r, void *node)
{
	const char *why = NULL;
	struct request *rq;
	struct relay *rl;
	enum ramp_error e = request_begin(node, q, &rq);

	rq->is_resume = true;
	if (e == RAMP_OK)
		e = resume_answer(rq, q, &rl, &why);
	if (e == RAMP_OK) {
		log_event(EV_ANSWER_ADOPTED, "request=" STR_FMT,
			  STR_ARG(rq->id));
		return answer_stream(rq, rl, r);
	}
	request_refuse(rq, r, e, why);
	request_free(rq);
	return U_CALLBACK_COMPLETE;
}
