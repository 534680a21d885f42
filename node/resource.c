/* Administration API for resources: list, get, put and delete. */
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "node/admin-api.h"

#define CHANGE_ID_BYTES       16
#define CONFLICT_RETRY_MS     20000
#define CONFLICT_PAUSE_MAX_US (200 * 1000)

static json_t *resource_json(enum resource_kind k, const char *name,
			     const json_t *value)
{
	return json_pack("{s:s,s:s,s:O,s:O*,s:O*}", "kind", kind_name(k),
			 "name", name, "spec", json_object_get(value, "spec"),
			 "generation", json_object_get(value, "generation"),
			 "version", json_object_get(value, "revision"));
}

static json_t *visible_items(const struct api_call *c, const struct rows *rows)
{
	json_t *items = json_array();
	size_t i;
	json_t *row;

	json_array_foreach (rows->items, i, row) {
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const json_t *value = json_object_get(row, "value");
		enum resource_kind k;
		const char *name;

		if (key && resource_from_key(key, &k, &name) &&
		    api_can_see(c->organisation, k, name,
				json_object_get(value, "spec")))
			json_array_append_new(items,
					      resource_json(k, name, value));
	}
	return items;
}

/* GET /v1/resources/:kind; with ?watch=true&after=N a stream of changes. */
int on_resource_list(const struct _u_request *q, struct _u_response *r,
		     void *node)
{
	const char *watch = u_map_get(q->map_url, "watch");
	struct api_call c;
	enum resource_kind k;
	enum ramp_error e;
	struct rows rows;
	json_t *items;
	char *prefix;

	if (!api_begin(&c, node, q, r, ROLE_ADMIN))
		return U_CALLBACK_COMPLETE;
	k = api_kind(&c);
	if (k == KIND_COUNT)
		return api_refuse(&c, RAMP_ERR_NOT_FOUND, "no such collection");
	if (watch && !strcmp(watch, "true"))
		return watch_begin(&c, k);
	prefix = resource_key(k, "");
	e = api_read(&c, prefix, NULL, false, &rows);
	g_free(prefix);
	items = visible_items(&c, &rows);
	rows_clear(&rows);
	if (e != RAMP_OK) {
		json_decref(items);
		return api_refuse(&c, e, NULL);
	}
	return api_answer(
		&c, 200,
		json_pack("{s:I,s:o}", "revision", rows.head, "items", items));
}

static void set_etag(struct _u_response *r, int64_t version)
{
	char s[32];

	g_snprintf(s, sizeof(s), "\"%" G_GINT64_FORMAT "\"", version);
	u_map_put(r->map_header, "ETag", s);
}

/* GET /v1/resources/:kind/:name */
int on_resource_get(const struct _u_request *q, struct _u_response *r,
		    void *node)
{
	const char *name = u_map_get(q->map_url, "name");
	struct api_call c;
	enum resource_kind k;
	enum ramp_error e;
	struct rows rows;
	const json_t *value;
	json_t *found = NULL;
	char *key;

	if (!api_begin(&c, node, q, r, ROLE_ADMIN))
		return U_CALLBACK_COMPLETE;
	k = api_kind(&c);
	if (k == KIND_COUNT)
		return api_refuse(&c, RAMP_ERR_NOT_FOUND, "no such collection");
	key = resource_key(k, name);
	e = api_read(&c, key, NULL, true, &rows);
	value = json_object_get(rows_find(&rows, key), "value");
	if (value && api_can_see(c.organisation, k, name,
				 json_object_get(value, "spec"))) {
		found = resource_json(k, name, value);
		set_etag(r, json_integer_value(
				    json_object_get(value, "revision")));
	}
	g_free(key);
	rows_clear(&rows);
	if (e != RAMP_OK || !found)
		return api_refuse(&c, e != RAMP_OK ? e : RAMP_ERR_NOT_FOUND,
				  NULL);
	return api_answer(&c, 200, found);
}

/* Changes by PUT and DELETE. */

/*
 * Read the precondition: If-Match, If-None-Match or ?force=true. Return NULL,
 * or what is wrong.
 */
static const char *read_condition(const struct api_call *c, struct change *ch)
{
	const char *match = u_map_get_case(c->q->map_header, "If-Match");
	const char *none = u_map_get_case(c->q->map_header, "If-None-Match");
	const char *force = u_map_get(c->q->map_url, "force");
	char *end;

	if (match && none)
		return "If-Match and If-None-Match can't both be given";
	if (none) {
		ch->condition = CHANGE_IF_ABSENT;
		return strcmp(none, "*") ? "If-None-Match: only * is allowed"
					 : NULL;
	}
	if (match) {
		const char *digits = match + (*match == '"');

		ch->condition = CHANGE_IF_VERSION;
		ch->version = g_ascii_strtoll(digits, &end, 10);
		if (end == digits || ch->version < 1 ||
		    strcmp(end, *match == '"' ? "\"" : ""))
			return "If-Match: a version is required";
		return NULL;
	}
	ch->condition = CHANGE_ALWAYS;
	if (force && !strcmp(force, "true"))
		return NULL;
	return "If-Match: VERSION or If-None-Match: * is required; with "
	       "?force=true whatever is there is replaced";
}

/*
 * Read the header Change-Id, or generate an id if it is missing. Return NULL,
 * or what is wrong.
 */
static const char *read_identity(const struct api_call *c, struct change *ch)
{
	const char *id = u_map_get_case(c->q->map_header, "Change-Id");
	const char *attempt =
		u_map_get_case(c->q->map_header, "Change-Attempt");
	unsigned char raw[CHANGE_ID_BYTES];
	char hex[CHANGE_ID_BYTES * 2 + 1];

	ch->first_attempt = !id || (attempt && !strcmp(attempt, "1"));
	if (!id) {
		randombytes_buf(raw, sizeof(raw));
		id = sodium_bin2hex(hex, sizeof(hex), raw, sizeof(raw));
	}
	if (!change_id_valid(id))
		return "Change-Id: 1 to 64 of A-Z, a-z, 0-9, \"-\", \"_\" and "
		       "\".\" are allowed";
	ch->id = talloc_strdup(c->arena, id);
	u_map_put(c->r->map_header, "Change-Id", ch->id);
	return NULL;
}

static bool absent_or_equal(const json_t *j, const char *expected)
{
	return !j || !g_strcmp0(json_string_value(j), expected);
}

/*
 * Check the fields beside spec. Those that GET returns are allowed, so that its
 * answer can be edited and sent back.
 */
static void check_body(const struct change *ch, const json_t *body,
		       GPtrArray *errors)
{
	static const char *const known[] = {"kind",       "name",    "spec",
					    "generation", "version", NULL};
	const char *field;
	json_t *v;

	json_object_foreach ((json_t *)body, field, v) {
		if (!g_strv_contains(known, field))
			g_ptr_array_add(errors,
					g_strdup_printf("%s/%s: %s: unknown "
							"field beside spec",
							kind_name(ch->kind),
							ch->name, field));
	}
	if (!absent_or_equal(json_object_get(body, "kind"),
			     kind_name(ch->kind)) ||
	    !absent_or_equal(json_object_get(body, "name"), ch->name))
		g_ptr_array_add(errors,
				g_strdup_printf("%s/%s: kind and name must be "
						"those of the path",
						kind_name(ch->kind), ch->name));
	if (!json_object_get(body, "spec"))
		g_ptr_array_add(errors,
				g_strdup_printf("%s/%s: spec: required but "
						"missing",
						kind_name(ch->kind), ch->name));
}

static json_t *strings_json(const GPtrArray *strings)
{
	json_t *list = json_array();

	for (guint i = 0; i < strings->len; i++)
		json_array_append_new(
			list, json_string(g_ptr_array_index(strings, i)));
	return list;
}

/* Answer with the error, all faults found, and the change's id and version. */
static void refuse_change(struct api_call *c, const struct change *ch,
			  enum ramp_error e, const GPtrArray *errors,
			  int64_t version)
{
	const char *detail =
		errors && errors->len ? g_ptr_array_index(errors, 0) : NULL;
	json_t *j;

	if (e == RAMP_ERR_OVERLOADED)
		detail = "other changes came in between each time; nothing "
			 "was done";
	j = ramp_error_json(e, detail, 0);
	if (errors && errors->len)
		json_object_set_new(j, "errors", strings_json(errors));
	if (e == RAMP_ERR_CONFLICT)
		json_object_set_new(j, "version", json_integer(version));
	json_object_set_new(j, "change", json_string(ch->id));
	u_map_put(c->r->map_header, "Ramp-Outcome",
		  outcome_name(error_responses[e].outcome));
	answer_json(c->r, error_responses[e].http_status, j);
}

static void count_change(const struct api_call *c, const struct change *ch,
			 const struct change_result *res)
{
	bool unknown = res->error == RAMP_ERR_STORE_UNAVAILABLE;

	if (res->error == RAMP_OK) {
		metric_add(M_CHANGES_ACCEPTED_TOTAL, !res->repeated);
		log_event(EV_CHANGE_ACCEPTED,
			  "change=%s kind=%s name=%s revision=%" G_GINT64_FORMAT
			  " who=%s from=%s repeated=%d",
			  ch->id, kind_name(ch->kind), ch->name, res->revision,
			  c->who, c->from, res->repeated);
		return;
	}
	metric_add(unknown ? M_CHANGES_UNKNOWN_TOTAL : M_CHANGES_REFUSED_TOTAL,
		   1);
	log_event(unknown ? EV_CHANGE_UNKNOWN : EV_CHANGE_REFUSED,
		  "change=%s kind=%s name=%s error=%s who=%s from=%s", ch->id,
		  kind_name(ch->kind), ch->name,
		  error_responses[res->error].name, c->who, c->from);
}

/* A commit in progress. */
struct commit_call {
	struct api_call *call;
	struct change *change;
	int64_t until_ms; /* monotonic; no retries after this */
	bool retry;
};

/*
 * Record the revision as reported, so that this node fetches it without waiting
 * for its next poll of the table.
 */
static void raise_reported_revision(struct node *n, int64_t revision)
{
	int64_t reported = atomic_load(&n->reported_revision);

	while (reported < revision &&
	       !atomic_compare_exchange_weak(&n->reported_revision, &reported,
					     revision))
		;
}

static void answer_change(struct api_call *c, const struct change *ch,
			  const struct change_result *res)
{
	raise_reported_revision(c->node, res->revision);
	if (res->version)
		set_etag(c->r, res->version);
	u_map_put(c->r->map_header, "Ramp-Outcome",
		  outcome_name(OUTCOME_COMPLETE));
	answer_json(c->r, res->generation == 1 && ch->spec ? 201 : 200,
		    json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:b}", "change", ch->id,
			      "kind", kind_name(ch->kind), "name", ch->name,
			      "revision", res->revision, "version",
			      res->version, "generation", res->generation,
			      "repeated", res->repeated));
}

static void on_done(const struct change_result *res, void *arg)
{
	struct commit_call *commit_ctx = arg;

	commit_ctx->retry = res->error == RAMP_ERR_OVERLOADED &&
			    time_mono_ms() < commit_ctx->until_ms;
	if (commit_ctx->retry)
		return;
	count_change(commit_ctx->call, commit_ctx->change, res);
	if (res->error == RAMP_OK)
		answer_change(commit_ctx->call, commit_ctx->change, res);
	else
		refuse_change(commit_ctx->call, commit_ctx->change, res->error,
			      res->errors, res->version);
}

/*
 * Commit a change and end the call. A change that lost to concurrent ones was
 * not made, so it is retried after a random pause.
 */
static int commit(struct api_call *c, struct change *ch)
{
	struct commit_call commit_ctx = {
		c, ch, time_mono_ms() + CONFLICT_RETRY_MS, false};

	ch->organisation = c->organisation;
	ch->who = c->who;
	ch->from = c->from;
	ch->at_ms = time_now_ms();
	change_commit(&c->plat, ch, on_done, &commit_ctx);
	while (commit_ctx.retry) {
		g_usleep(randombytes_uniform(CONFLICT_PAUSE_MAX_US));
		change_commit(&c->plat, ch, on_done, &commit_ctx);
	}
	api_end(c);
	return U_CALLBACK_COMPLETE;
}

/*
 * Read the parts that PUT and DELETE share. On failure answer, end the call and
 * return false.
 */
static bool change_begin(struct api_call *c, struct change *ch,
			 struct node *node, const struct _u_request *q,
			 struct _u_response *r)
{
	const char *detail;

	if (!api_begin(c, node, q, r, ROLE_ADMIN))
		return false;
	memset(ch, 0, sizeof(*ch));
	ch->kind = api_kind(c);
	ch->name = u_map_get(q->map_url, "name");
	if (ch->kind == KIND_COUNT) {
		api_refuse(c, RAMP_ERR_NOT_FOUND, "no such collection");
		return false;
	}
	detail = read_identity(c, ch);
	if (!detail)
		detail = read_condition(c, ch);
	if (detail)
		api_refuse(c, RAMP_ERR_BAD_REQUEST, detail);
	return !detail;
}

/* PUT /v1/resources/:kind/:name */
int on_resource_put(const struct _u_request *q, struct _u_response *r,
		    void *node)
{
	GPtrArray *errors;
	struct api_call c;
	struct change ch;
	json_error_t at;
	json_t *body;
	bool ok;

	if (!change_begin(&c, &ch, node, q, r))
		return U_CALLBACK_COMPLETE;
	body = json_loadb(q->binary_body ? q->binary_body : "",
			  q->binary_body_length, JSON_REJECT_DUPLICATES, &at);
	if (!json_is_object(body)) {
		json_decref(body);
		return api_refuse(&c, RAMP_ERR_BAD_REQUEST,
				  body ? "the body must be an object"
				       : talloc_strdup(c.arena, at.text));
	}
	errors = g_ptr_array_new_with_free_func(g_free);
	check_body(&ch, body, errors);
	ch.spec = json_object_get(body, "spec");
	ok = !errors->len;
	if (!ok) {
		if (ch.spec)
			resource_check(ch.kind, ch.name, ch.spec, errors);
		refuse_change(&c, &ch, RAMP_ERR_BAD_REQUEST, errors, 0);
		api_end(&c);
	} else {
		commit(&c, &ch);
	}
	g_ptr_array_unref(errors);
	json_decref(body);
	return U_CALLBACK_COMPLETE;
}

/* DELETE /v1/resources/:kind/:name */
int on_resource_delete(const struct _u_request *q, struct _u_response *r,
		       void *node)
{
	struct api_call c;
	struct change ch;

	if (!change_begin(&c, &ch, node, q, r))
		return U_CALLBACK_COMPLETE;
	return commit(&c, &ch);
}
