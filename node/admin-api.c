/*
 * Shared parts of the administration API: authentication, answers, and reads of
 * the table service.
 */
#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "node/admin-api.h"

#define HASH_PREFIX_CHARS      8 /* of a key's hash, in the audit trail */
#define RETRY_AFTER_DEFAULT_MS 1000
#define READ_ATTEMPTS_MAX      8

static const char *client_address(void *arena, const struct _u_request *q)
{
	char buf[INET6_ADDRSTRLEN] = "unknown";
	const struct sockaddr *a = q->client_address;

	if (a && a->sa_family == AF_INET)
		inet_ntop(AF_INET, &((const struct sockaddr_in *)a)->sin_addr,
			  buf, sizeof(buf));
	return talloc_strdup(arena, buf);
}

/*
 * Return whether the hash is that of the bootstrap key in the settings, which
 * works before any configuration exists.
 */
static bool is_bootstrap(const struct node *n, const char *hash)
{
	const char *expected = n->set.admin_bootstrap_hash;

	return strlen(expected) == strlen(hash) &&
	       !sodium_memcmp(expected, hash, strlen(hash));
}

/*
 * Authenticate the caller: set c->who, c->organisation and *role. Return false
 * when the key is unknown.
 */
static bool authenticate(struct api_call *c, enum role *role)
{
	const char *h = u_map_get_case(c->q->map_header, "Authorization");
	const struct key_owner *o = NULL;
	struct config *config;
	char *hash;

	if (!h || !g_str_has_prefix(h, "Bearer "))
		return false;
	h += strlen("Bearer ");
	hash = key_hash(str_c(h));
	if (is_bootstrap(c->node, hash)) {
		*role = ROLE_OPERATOR;
		c->who = talloc_asprintf(c->arena, "bootstrap/operator/%.*s",
					 HASH_PREFIX_CHARS, hash);
		g_free(hash);
		return true;
	}
	config = node_config(c->node);
	if (config)
		o = config_key_owner(config, str_c(h));
	if (o) {
		static const char *const names[] = {"caller", "admin",
						    "operator"};

		*role = o->role;
		c->who = talloc_asprintf(c->arena, "%s/%s/%.*s",
					 o->organisation->name, names[o->role],
					 HASH_PREFIX_CHARS, hash);
		if (o->role != ROLE_OPERATOR)
			c->organisation =
				talloc_strdup(c->arena, o->organisation->name);
	}
	config_unref(config);
	g_free(hash);
	return o != NULL;
}

bool api_begin(struct api_call *c, struct node *n, const struct _u_request *q,
	       struct _u_response *r, enum role min_role)
{
	enum role role;
	enum ramp_error e = RAMP_OK;

	memset(c, 0, sizeof(*c));
	node_add_running(n, 1);
	metric_add(M_API_REQUESTS_TOTAL, 1);
	c->arena = talloc_new(NULL);
	c->node = n;
	c->q = q;
	c->r = r;
	c->http = platform_http_new(&n->set, NULL, &c->plat);
	c->from = client_address(c->arena, q);
	if (!authenticate(c, &role))
		e = RAMP_ERR_UNAUTHORIZED;
	else if (role < min_role)
		e = RAMP_ERR_FORBIDDEN;
	else if ((int64_t)q->binary_body_length > n->set.limits_body)
		e = RAMP_ERR_TOO_LARGE;
	if (e == RAMP_OK)
		return true;
	log_event(EV_API_DENIED, "from=%s who=%s error=%s", c->from,
		  c->who ? c->who : "-", error_responses[e].name);
	api_refuse(c, e, NULL);
	return false;
}

void api_end(struct api_call *c)
{
	platform_http_free(c->http);
	talloc_free(c->arena);
	node_add_running(c->node, -1);
}

int api_answer(struct api_call *c, int status, json_t *j)
{
	answer_json(c->r, status, j);
	api_end(c);
	return U_CALLBACK_COMPLETE;
}

int api_refuse(struct api_call *c, enum ramp_error e, const char *detail)
{
	const struct error_response *a = &error_responses[e];
	int64_t retry_at_ms =
		a->retry ? time_now_ms() + RETRY_AFTER_DEFAULT_MS : 0;

	u_map_put(c->r->map_header, "Ramp-Outcome", outcome_name(a->outcome));
	return api_answer(c, a->http_status,
			  ramp_error_json(e, detail, retry_at_ms));
}

enum resource_kind api_kind(const struct api_call *c)
{
	const char *name = u_map_get(c->q->map_url, "kind");
	enum resource_kind k;

	if (!name)
		return KIND_COUNT;
	k = kind_from_name(name);
	/* Only the plural form names a collection. */
	return k != KIND_COUNT && !strcmp(kind_plural(k), name) ? k
								: KIND_COUNT;
}

bool api_query_int(const struct api_call *c, const char *name, int64_t *out)
{
	const char *s = u_map_get(c->q->map_url, name);
	char *end;

	if (!s)
		return true;
	*out = g_ascii_strtoll(s, &end, 10);
	return end != s && !*end && *out >= 0;
}

bool api_can_see(const char *organisation, enum resource_kind k,
		 const char *name, const json_t *spec)
{
	return !organisation || scope_can_read(organisation, k, name, spec);
}

/*
 * Store the rows of an answer; with blocking calls this runs before scan
 * returns.
 */
static void store_rows(const struct plat_result *r, void *arg)
{
	json_t **out = arg;

	if (r->status == PLAT_OK &&
	    json_is_array(json_object_get(r->json, "rows")))
		*out = json_incref((json_t *)r->json);
}

/* Read one page of the table; NULL on failure. The caller owns the result. */
static json_t *scan_page(const struct platform *p, const char *prefix,
			 const char *after)
{
	json_t *j = NULL;

	p->scan(p->ctx, prefix, after, store_rows, &j);
	return j;
}

static int64_t get_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static bool read_head(const struct platform *p, struct rows *out,
		      int64_t *version)
{
	json_t *j = scan_page(p, "head/config", NULL);
	const json_t *row = json_array_get(json_object_get(j, "rows"), 0);

	*version = get_int(row, "version");
	out->head = get_int(json_object_get(row, "value"), "revision");
	json_decref(j);
	return j != NULL;
}

/*
 * Read all pages of the rows. Return 1 on success, 0 when a page is older than
 * the head, -1 on failure.
 */
static int read_pages(const struct platform *p, const struct rows_query *q,
		      int64_t version, struct rows *out)
{
	char *after_key = g_strdup(q->after);
	int result = 0;
	bool more = true;

	while (more) {
		json_t *j = scan_page(p, q->prefix, after_key);
		json_t *rows = json_object_get(j, "rows");
		size_t n = json_array_size(rows);

		result = !j ? -1 : get_int(j, "revision") >= version;
		if (result == 1)
			json_array_extend(out->items, rows);
		more = result == 1 && !q->first_page && n &&
		       json_is_true(json_object_get(j, "more"));
		if (more) {
			g_free(after_key);
			after_key = g_strdup(json_string_value(json_object_get(
				json_array_get(rows, n - 1), "key")));
		}
		json_decref(j);
	}
	g_free(after_key);
	return result;
}

enum ramp_error read_rows(const struct platform *p, const struct rows_query *q,
			  struct rows *out)
{
	int64_t version;

	out->items = json_array();
	for (int i = 0; i < READ_ATTEMPTS_MAX; i++) {
		int result = 0;

		if (!read_head(p, out, &version))
			return RAMP_ERR_STORE_DOWN;
		if (out->head >= q->min_head)
			result = read_pages(p, q, version, out);
		if (result < 0)
			return RAMP_ERR_STORE_DOWN;
		if (result)
			return RAMP_OK;
		json_array_clear(out->items);
	}
	return RAMP_ERR_STORE_DOWN;
}

int64_t node_config_revision(struct node *n)
{
	struct config *c = node_config(n);
	int64_t rev = c ? c->revision : 0;

	config_unref(c);
	return rev;
}

enum ramp_error api_read(struct api_call *c, const char *prefix,
			 const char *after, bool first_page, struct rows *out)
{
	struct rows_query q = {.prefix = prefix,
			       .after = after,
			       .first_page = first_page,
			       .min_head = node_config_revision(c->node)};

	return read_rows(&c->plat, &q, out);
}

void rows_clear(struct rows *r)
{
	json_decref(r->items);
	r->items = NULL;
}

const json_t *rows_find(const struct rows *r, const char *key)
{
	size_t i;
	json_t *row;

	json_array_foreach (r->items, i, row) {
		if (!g_strcmp0(json_string_value(json_object_get(row, "key")),
			       key))
			return row;
	}
	return NULL;
}
