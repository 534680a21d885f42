/* Where a request would go now, and why. See explain.h. */
#include <arpa/inet.h>
#include <math.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "entry/evacuations.h"
#include "entry/exchange.h"
#include "entry/explain.h"
#include "entry/origins.h"

#define EXPLAIN_PATH "/v1/explain"
/* Stands for a request's id in questions that give none. */
#define UNNAMED_REQUEST "explain"

bool explain_check_settings(const struct entry_settings *s, const char *path,
			    GPtrArray *errors)
{
	guint before = errors->len;
	struct in_addr ip;

	if (s->explain_port && !*s->explain_key_hash)
		g_ptr_array_add(
			errors,
			g_strdup_printf("%s: explain.key_hash: required with "
					"explain.port; rampctl hash-key "
					"prints it",
					path));
	if (inet_pton(AF_INET, s->explain_ip, &ip) != 1)
		g_ptr_array_add(
			errors,
			g_strdup_printf("%s: explain.ip: an IPv4 address is "
					"allowed",
					path));
	return errors->len == before;
}

/* A question and what is found out about it. */
struct question {
	struct exchange x; /* of the request asked about; never started */
	struct message request;
	int64_t now_ms;
	enum ramp_error refusal; /* RAMP_OK: the request would be sent */
	/* The stream's version is not known here: other nodes would be asked */
	bool asks_version;
	GRand *rand;
	struct pool_candidates c;
	size_t chosen, source; /* SIZE_MAX: none */
	size_t home;           /* where the prompt goes if there is room */
};

/* What holds a target back. */

/* A target and what placement sees of it. */
struct view {
	const struct question *q;
	struct target *t;
	/* By itself, and after targets were compared; NULL: no candidate. */
	const struct place_target *alone, *p;
};

static bool is_draining(const struct view *v)
{
	return v->t->info.draining;
}

static bool is_leaving(const struct view *v)
{
	return v->t->says_leaving ||
	       notices_get(v->t->tr->e->notices, NOTICE_TARGET_LEAVING,
			   v->t->info.id, v->q->now_ms, 0);
}

static bool is_resting(const struct view *v)
{
	return v->t->resting_until_ms > v->q->now_ms;
}

static bool is_evacuated(const struct view *v)
{
	return target_is_evacuated(v->t);
}

/* It is cold, and this node has no share of its requests left for now. */
static bool is_cold(const struct view *v)
{
	return v->alone && v->alone->warming;
}

static bool is_limited(const struct view *v)
{
	return target_limits_next_ms(v->t->tr->e->target_limits, v->t->info.id,
				     v->q->now_ms) > v->q->now_ms;
}

/* It bears few rejections, and might have to reject one more request. */
static bool is_brittle(const struct view *v)
{
	return v->alone && v->alone->limited && !is_limited(v);
}

/* While others are limited, it is too full for the request's priority. */
static bool is_crowded(const struct view *v)
{
	return v->p && v->p->limited && !v->alone->limited;
}

static bool is_ejected(const struct view *v)
{
	return v->t->ejected_until_ms > v->q->now_ms;
}

/* It fails far more often than the others. */
static bool is_failing(const struct view *v)
{
	return v->p && v->p->avoid && !v->alone->avoid;
}

/* This node reaches it through other nodes only. */
static bool is_cut_off(const struct view *v)
{
	return v->t->cut_since_ms != 0;
}

static bool is_other_version(const struct view *v)
{
	return v->q->x.version && v->t->version != v->q->x.version;
}

/* The list of targets is too old to be used for any of them. */
static bool is_unconfirmed(const struct view *v)
{
	return !pool_list_is_usable(v->t->tr, v->q->now_ms);
}

/*
 * In the order of the answer; docs/OPERATIONS.md explains each name. A target
 * that is ejected or failing gets requests when no other one can, one that is
 * cut off gets them through other nodes; the others get none.
 */
static const struct {
	const char *name;
	bool (*applies)(const struct view *v);
} reasons[] = {
	{"draining", is_draining},
	{"leaving", is_leaving},
	{"resting", is_resting},
	{"evacuated", is_evacuated},
	{"cold", is_cold},
	{"limited", is_limited},
	{"brittle", is_brittle},
	{"crowded", is_crowded},
	{"ejected", is_ejected},
	{"failing", is_failing},
	{"cut_off", is_cut_off},
	{"other_version", is_other_version},
	{"unconfirmed", is_unconfirmed},
};

/* Rules by which requests are refused. */

static bool is_always(const struct question *q)
{
	(void)q;
	return true;
}

static bool has_no_configuration(const struct question *q)
{
	return !q->x.config;
}

static bool has_no_key(const struct question *q)
{
	return !message_header(&q->request, q->x.tr->dialect->key).len;
}

static bool has_no_service(const struct question *q)
{
	return !q->x.service;
}

/* Without a list at all no target is known. */
static bool has_old_list(const struct question *q)
{
	return q->x.tr->list && !pool_list_is_usable(q->x.tr, q->now_ms);
}

static bool has_no_version(const struct question *q)
{
	return exchange_is_take_up(&q->x) && !q->x.version;
}

static bool has_version_gone(const struct question *q)
{
	return exchange_is_take_up(&q->x) && !q->c.n;
}

/* It would wait, if a target is expected to take it in time. */
static bool may_wait(const struct question *q)
{
	return exchange_is_take_up(&q->x) && q->x.version;
}

/* The first one of the refusal's kind that applies is the answer's rule. */
static const struct {
	enum ramp_error kind;
	bool (*applies)(const struct question *q);
	const char *name;
} rules[] = {
	{RAMP_ERR_LEAVING, is_always, "node_leaving"},
	{RAMP_ERR_NOT_READY, has_no_configuration, "no_configuration"},
	{RAMP_ERR_NOT_READY, is_always, "stale_configuration"},
	{RAMP_ERR_BAD_REQUEST, is_always, "malformed"},
	{RAMP_ERR_NOT_FOUND, is_always, "no_route"},
	{RAMP_ERR_UNAUTHORIZED, has_no_key, "no_key"},
	{RAMP_ERR_UNAUTHORIZED, is_always, "unknown_key"},
	{RAMP_ERR_OVERLOADED, is_always, "deadline_too_near"},
	{RAMP_ERR_PROMPT_BLOCKED, is_always, "prompt_blocked"},
	{RAMP_ERR_REQUEST_BLOCKED, is_always, "request_blocked"},
	{RAMP_ERR_NO_TARGET, has_no_service, "no_service"},
	{RAMP_ERR_NO_TARGET, has_no_version, "version_unknown"},
	{RAMP_ERR_NO_TARGET, has_old_list, "targets_unconfirmed"},
	{RAMP_ERR_NO_TARGET, has_version_gone, "version_gone"},
	{RAMP_ERR_NO_TARGET, may_wait, "no_target_yet"},
	{RAMP_ERR_NO_TARGET, is_always, "no_target"},
};

static const char *rule_name(const struct question *q)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rules); i++)
		if (rules[i].kind == q->refusal && rules[i].applies(q))
			return rules[i].name;
	return error_responses[q->refusal].name;
}

/* The decision, step by step as in exchange.c. */

static double random_double(void *ctx)
{
	return g_rand_double(ctx);
}

static struct route_random random_of(const struct question *q)
{
	return (struct route_random){random_double, q->rand};
}

/* Return the target of the prompt when all have room, or SIZE_MAX. */
static size_t find_home(const struct question *q)
{
	struct place_limits unbounded = {.factor = 1, .slack = INFINITY};

	if (!q->x.prompt.parts[0])
		return SIZE_MAX;
	return place_choose(&unbounded, q->x.prompt.parts[0], q->c.p, q->c.n,
			    random_of(q));
}

/* Choose a target as pool_choose_target does. */
static enum ramp_error choose(struct question *q)
{
	struct exchange *x = &q->x;
	size_t max = g_hash_table_size(x->tr->targets) + 1;

	q->c.targets = talloc_array(x->arena, struct target *, max);
	q->c.p = talloc_array(x->arena, struct place_target, max);
	q->c.alone = talloc_array(x->arena, struct place_target, max);
	pool_list_candidates(x->tr, x->service, &x->prompt,
			     exchange_target_version(x), exchange_rank(x),
			     q->now_ms, &q->c);
	q->chosen = place_choose(&q->c.limits, x->prompt.parts[0], q->c.p,
				 q->c.n, random_of(q));
	x->all_resting = q->chosen == SIZE_MAX;
	if (q->chosen == SIZE_MAX)
		return RAMP_ERR_NO_TARGET;
	q->home = find_home(q);
	if (x->service->kv_transfer)
		q->source = holders_fetch_source(x->tr->e->holders, &x->prompt,
						 q->c.p, q->c.n, q->chosen);
	return RAMP_OK;
}

/* Find the version at which a stream goes on, by what this node knows. */
static enum ramp_error take_up(struct question *q)
{
	struct exchange *x = &q->x;
	const struct entry_service *s;
	enum origin_status found =
		origins_find_known(x->tr->e->origins, x->resumes,
				   x->service->name, q->now_ms, &x->version);

	q->asks_version = found == ORIGIN_ASKED;
	if (found != ORIGIN_FOUND)
		return RAMP_ERR_NO_TARGET;
	s = exchange_version_service(x, x->version);
	if (!s)
		return RAMP_ERR_NO_TARGET;
	x->service = s;
	return RAMP_OK;
}

static enum ramp_error decide(struct question *q)
{
	static const enum ramp_error blocks[] = {
		[CAUSE_NONE] = RAMP_OK,
		[CAUSE_PART] = RAMP_ERR_PROMPT_BLOCKED,
		[CAUSE_REQUEST] = RAMP_ERR_REQUEST_BLOCKED,
	};
	enum ramp_error e = exchange_resolve(&q->x);

	if (e == RAMP_OK && exchange_is_take_up(&q->x))
		e = take_up(q);
	if (e == RAMP_OK)
		e = blocks[exchange_crash_block_now(&q->x)];
	return e == RAMP_OK ? choose(q) : e;
}

/* The question. */

/* Return the key of an organisation, or {NULL, 0}. */
static struct str organisation_key(const struct entry_config *c,
				   struct str name)
{
	GHashTableIter it;
	gpointer key, v;

	if (!c)
		return (struct str){NULL, 0};
	g_hash_table_iter_init(&it, c->keys);
	while (g_hash_table_iter_next(&it, &key, &v))
		if (str_eq(((struct entry_organisation *)v)->name, name))
			return *(struct str *)key;
	return (struct str){NULL, 0};
}

/* Members of a question that become a header of the request. */
static struct str header_name(const struct dialect *d, const char *member)
{
	const struct {
		const char *member;
		struct str header;
	} headers[] = {
		{"host", STR_LIT("Host")},
		{"request_id", d->request_id},
		{"key", d->key},
		{"prompt", d->prompt_parts},
		{"deadline_ms", d->deadline},
		{"resumes", d->resumes},
		{"last_event", d->last_event},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(headers); i++)
		if (!strcmp(headers[i].member, member))
			return headers[i].header;
	return (struct str){NULL, 0};
}

/* Take one member of a question; return what is wrong with it, or NULL. */
static const char *read_member(struct question *q, const char *name,
			       struct str value)
{
	struct str header = header_name(q->x.tr->dialect, name);

	if (header.len) {
		if (!message_add_header(&q->request,
					(struct header){header, value}))
			return "not valid in a header";
	} else if (!strcmp(name, "path")) {
		q->request.url = value;
	} else if (!strcmp(name, "method")) {
		q->request.method = value;
	} else if (!strcmp(name, "body")) {
		q->x.body = value;
	} else if (!strcmp(name, "organisation")) {
		value = organisation_key(q->x.config, value);
		if (!value.len)
			return "no key of this organisation in force";
		message_add_header(
			&q->request,
			(struct header){q->x.tr->dialect->key, value});
	} else {
		return "unknown member";
	}
	return NULL;
}

/* Return a member's value as text, or {NULL, 0} if it has another type. */
static struct str member_text(void *arena, const json_t *v)
{
	if (json_is_string(v))
		return str_dup(arena, (struct str){json_string_value(v),
						   json_string_length(v)});
	if (json_is_integer(v))
		return str_c(talloc_asprintf(arena, "%" JSON_INTEGER_FORMAT,
					     json_integer_value(v)));
	return (struct str){NULL, 0};
}

/* Read the question; return false with an error if it is malformed. */
static bool read_question(struct question *q, struct str body, char **error)
{
	json_error_t json_error;
	json_t *j = json_loadb(body.data, body.len, 0, &json_error), *v;
	const char *name, *wrong = NULL;

	if (!json_is_object(j)) {
		*error = talloc_asprintf(q->x.arena, "not a JSON object: %s",
					 j ? "" : json_error.text);
		json_decref(j);
		return false;
	}
	json_object_foreach (j, name, v) {
		struct str text = member_text(q->x.arena, v);

		wrong = text.data ? read_member(q, name, text)
				  : "neither a string nor a whole number";
		if (!wrong)
			continue;
		*error = talloc_asprintf(q->x.arena, "%s: %s", name, wrong);
		break;
	}
	json_decref(j);
	return !wrong;
}

static struct question *question_new(void *arena, struct traffic *tr)
{
	struct question *q = talloc_zero(arena, struct question);

	q->now_ms = time_boot_ms();
	q->rand = g_rand_new_with_seed((guint32)g_get_monotonic_time());
	q->refusal = RAMP_OK;
	q->chosen = q->source = q->home = SIZE_MAX;
	q->request.arena = q;
	q->request.method = (struct str)STR_LIT("POST");
	q->x.arena = q;
	q->x.tr = tr;
	q->x.request = &q->request;
	q->x.config = tr->config;
	q->x.arrived_ms = q->now_ms;
	return q;
}

/* Set what exchange_new takes from a request's headers. */
static void set_ids(struct question *q)
{
	const struct dialect *d = q->x.tr->dialect;

	q->x.request_id = message_header(&q->request, d->request_id);
	q->x.resumes = message_header(&q->request, d->resumes);
	if (q->x.request_id.len)
		return;
	q->x.request_id = (struct str)STR_LIT(UNNAMED_REQUEST);
}

/* The answer. */

static json_t *json_str(struct str s)
{
	json_t *j = s.len ? json_stringn(s.data, s.len) : NULL;

	/* Text that is not UTF-8 can't be told in JSON. */
	return j ? j : json_null();
}

static json_t *config_json(const struct question *q)
{
	int64_t fresh_ms = entry_config_fresh_ms(q->x.config);

	if (!q->x.config)
		return json_null();
	return json_pack(
		"{s:I,s:I,s:b}", "version", (json_int_t)q->x.config->version,
		"age_ms", (json_int_t)(fresh_ms ? q->now_ms - fresh_ms : -1),
		"proves_keys", entry_config_is_valid(q->x.tr->e, q->now_ms));
}

static json_t *route_json(const struct question *q)
{
	const struct route_rule *r = q->x.route;
	json_t *services;

	if (!r)
		return json_null();
	services = json_array();
	for (size_t i = 0; i < r->destination_count; i++) {
		const struct route_destination *d = &r->destinations[i];

		json_array_append_new(
			services,
			json_pack(
				"{s:o,s:I}", "service",
				json_str(
					q->x.config->services[d->service].name),
				"weight", (json_int_t)d->weight));
	}
	return json_pack("{s:o,s:o,s:b,s:b,s:I,s:o}", "name", json_str(r->name),
			 "path", json_str(r->path), "public", r->public,
			 "prefix_affinity", r->prefix_affinity, "timeout_ms",
			 (json_int_t)r->timeout_ms, "services", services);
}

/* What became of the caller's key. */
static const char *key_state(const struct question *q)
{
	if (!q->x.route)
		return "not_checked";
	if (q->x.organisation)
		return "known";
	if (!q->x.config->has_organisations || q->x.route->public)
		return "not_needed";
	return has_no_key(q) ? "missing" : "unknown";
}

static json_t *prompt_json(const struct question *q)
{
	const struct prompt *p = &q->x.prompt;
	char key[20];

	if (!p->parts[0])
		return json_null();
	/* As in the event request_ended. */
	snprintf(key, sizeof(key), "%x", (unsigned)p->parts[0]);
	return json_pack("{s:s,s:I,s:s,s:f}", "key", key, "shared_tokens",
			 (json_int_t)p->shared_tokens, "parts",
			 prompt_parts_text(q->x.arena, q->x.parts), "unseen",
			 q->c.limits.unseen);
}

static json_t *refusal_json(const struct question *q)
{
	const struct error_response *e = &error_responses[q->refusal];
	json_t *wait = json_null();

	if (e->retry)
		wait = json_integer(
			exchange_retry_after_ms(&q->x, q->refusal, q->rand));
	return json_pack("{s:s,s:i,s:s,s:s,s:o}", "rule", rule_name(q),
			 "status", e->http_status, "kind", e->name, "text",
			 e->text, "retry_after_ms", wait);
}

/* Why the chosen target is the one. */
static const char *choice_name(const struct question *q)
{
	if (q->home == SIZE_MAX)
		return "least_loaded";
	if (q->c.limits.unseen > UNSEEN_MIN)
		return "prompt_in_demand";
	if (q->chosen == q->home)
		return "prompt";
	return "prompt_target_full";
}

/* Count the other targets that the request might go to as well. */
static int count_ties(const struct question *q)
{
	const struct place_target *p = q->c.p;
	int n = 0;

	if (q->home != SIZE_MAX)
		return 0;
	for (size_t i = 0; i < q->c.n; i++)
		n += i != q->chosen && !p[i].draining && !p[i].limited &&
		     p[i].avoid == p[q->chosen].avoid &&
		     p[i].load <= p[q->chosen].load;
	return n;
}

static json_t *choice_json(const struct question *q)
{
	const struct target *t = q->c.targets[q->chosen];
	json_t *source = json_null(), *home = json_null();

	if (q->source != SIZE_MAX)
		source = json_str(q->c.targets[q->source]->info.name);
	if (q->home != SIZE_MAX)
		home = json_str(q->c.targets[q->home]->info.name);
	return json_pack("{s:o,s:s,s:o,s:o,s:i}", "target",
			 json_str(t->info.name), "why", choice_name(q),
			 "prompt_target", home, "source", source, "ties",
			 count_ties(q));
}

/*
 * The rows of targets are written as text: 600 of them as JSON values took the
 * traffic thread 3.8 ms.
 */

/* Whether a text is the same within the quotes of JSON. */
static bool is_plain(struct str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isprint(s.data[i]) || s.data[i] == '"' ||
		    s.data[i] == '\\')
			return false;
	return s.len > 0;
}

/* Append a member whose value is a string. */
static void add_string(struct buf *b, const char *name, struct str value)
{
	json_t *j;
	char *text;

	buf_fmt(b, "\"%s\":", name);
	if (is_plain(value)) {
		buf_add(b, "\"", 1);
		buf_add(b, value.data, value.len);
		buf_add(b, "\",", 2);
		return;
	}
	j = json_str(value);
	text = json_dumps(j, JSON_ENCODE_ANY);
	buf_fmt(b, "%s,", text);
	free(text);
	json_decref(j);
}

static void add_reasons(struct buf *b, const struct view *v)
{
	bool any = false;

	buf_fmt(b, "\"held_by\":[");
	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++) {
		if (!reasons[i].applies(v))
			continue;
		buf_fmt(b, "%s\"%s\"", any ? "," : "", reasons[i].name);
		any = true;
	}
	buf_add(b, "]", 1);
}

static void add_target(struct buf *b, const struct view *v)
{
	const struct target_info *info = &v->t->info;

	buf_add(b, "{", 1);
	add_string(b, "name", info->name);
	add_string(b, "zone", info->zone);
	add_string(b, "version", info->version);
	buf_fmt(b, "\"slots\":%" G_GINT64_FORMAT ",", info->slots);
	if (v->p)
		buf_fmt(b, "\"load\":%.1f,\"weight\":%.3f,", v->p->load,
			v->p->weight);
	else
		buf_fmt(b, "\"load\":null,\"weight\":null,");
	add_reasons(b, v);
	buf_add(b, "}", 1);
}

/* Append the targets of the service to a list, in no order. */
static void add_targets(struct buf *b, const struct question *q)
{
	const char *comma = "";
	GHashTableIter it;
	gpointer v;

	for (size_t i = 0; i < q->c.n; i++) {
		struct view candidate = {q, q->c.targets[i], &q->c.alone[i],
					 &q->c.p[i]};

		buf_fmt(b, "%s", comma);
		add_target(b, &candidate);
		comma = ",";
	}
	g_hash_table_iter_init(&it, q->x.tr->targets);
	while (q->x.service && g_hash_table_iter_next(&it, NULL, &v)) {
		struct view other = {q, v, NULL, NULL};

		/* The candidates are those of them with the right version. */
		if (!other.t->listed ||
		    !str_eq(other.t->info.service, q->x.service->name) ||
		    (q->c.n && !is_other_version(&other)))
			continue;
		buf_fmt(b, "%s", comma);
		add_target(b, &other);
		comma = ",";
	}
}

static const char *result_name(const struct question *q)
{
	if (q->refusal == RAMP_OK)
		return "sent";
	return q->asks_version ? "asks_version" : "refused";
}

static json_t *answer_json(const struct question *q)
{
	const struct exchange *x = &q->x;
	const struct entry_settings *s = x->tr->settings;
	bool routed = x->route && x->service;
	json_t *j = json_pack(
		"{s:o,s:o,s:I,s:o,s:o,s:o,s:s}", "node",
		json_str(str_c(s->node_name)), "zone",
		json_str(str_c(s->node_zone)), "at_ms",
		(json_int_t)time_now_ms(), "config", config_json(q), "route",
		route_json(q), "organisation",
		x->organisation ? json_str(x->organisation->name) : json_null(),
		"key", key_state(q));

	json_object_set_new(j, "service",
			    x->service ? json_str(x->service->name)
				       : json_null());
	json_object_set_new(j, "priority",
			    routed ? json_integer(exchange_priority(x))
				   : json_null());
	json_object_set_new(
		j, "deadline_ms",
		routed ? json_integer(x->deadline_ms - x->arrived_ms)
		       : json_null());
	json_object_set_new(j, "prompt", prompt_json(q));
	json_object_set_new(j, "result", json_string(result_name(q)));
	json_object_set_new(j, "refusal",
			    q->refusal == RAMP_OK || q->asks_version
				    ? json_null()
				    : refusal_json(q));
	json_object_set_new(j, "choice",
			    q->chosen == SIZE_MAX ? json_null()
						  : choice_json(q));
	return j;
}

static void log_answer(const struct question *q)
{
	struct str none = STR_LIT("-");
	const struct exchange *x = &q->x;

	log_event(EV_EXPLAINED,
		  "request=" STR_FMT " route=" STR_FMT " organisation=" STR_FMT
		  " result=%s rule=%s target=" STR_FMT,
		  STR_ARG(x->request_id),
		  STR_ARG(x->route ? x->route->name : none),
		  STR_ARG(x->organisation ? x->organisation->name : none),
		  result_name(q), q->refusal == RAMP_OK ? "-" : rule_name(q),
		  STR_ARG(q->chosen == SIZE_MAX
				  ? none
				  : q->c.targets[q->chosen]->info.name));
}

/* The port. */

/* Write the answer: an object, with the targets as its last member. */
static void write_answer(struct buf *out, const struct question *q, bool keep)
{
	json_t *j = answer_json(q);
	char *text = json_dumps(j, JSON_COMPACT);
	struct local_reply reply = {.status = 200};
	struct buf b = {0};

	/* All but the closing brace. */
	buf_add(&b, text, strlen(text) - 1);
	buf_fmt(&b, ",\"targets\":[");
	add_targets(&b, q);
	buf_add(&b, "]}", 3);
	reply.body = b.data;
	local_reply_write(out, &reply, keep);
	buf_clear(&b);
	free(text);
	json_decref(j);
}

/* Write the text of a JSON value, which is freed. */
static void write_json(struct buf *out, void *arena, int status, json_t *j,
		       bool keep)
{
	char *text = json_dumps(j, JSON_COMPACT);
	struct local_reply reply = {.status = status,
				    .body = talloc_strdup(arena, text)};

	free(text);
	json_decref(j);
	local_reply_write(out, &reply, keep);
}

static void write_error(struct buf *out, void *arena, enum ramp_error kind,
			const char *message, bool keep)
{
	const struct error_response *e = &error_responses[kind];

	write_json(out, arena, e->http_status,
		   json_pack("{s:{s:s,s:s,s:s}}", "error", "type", e->name,
			     "message", message ? message : e->text, "outcome",
			     outcome_name(e->outcome)),
		   keep);
}

/* Whether a question has the operator's key. */
static bool is_allowed(const struct traffic *tr, const struct message *m)
{
	static const struct str bearer = STR_LIT("Bearer ");
	struct str given = message_header(m, STR_LIT("Authorization"));
	const char *expected = tr->settings->explain_key_hash;
	bool equal;
	char *hash;

	if (!*expected || given.len <= bearer.len ||
	    memcmp(given.data, bearer.data, bearer.len) != 0)
		return false;
	hash = key_hash(
		(struct str){given.data + bearer.len, given.len - bearer.len});
	equal = strlen(hash) == strlen(expected) &&
		!sodium_memcmp(hash, expected, strlen(expected));
	g_free(hash);
	return equal;
}

static void answer(struct buf *out, struct traffic *tr, void *arena,
		   struct str body, bool keep)
{
	struct question *q = question_new(arena, tr);
	char *error = NULL;

	if (!read_question(q, body, &error)) {
		write_error(out, arena, RAMP_ERR_BAD_REQUEST, error, keep);
	} else {
		set_ids(q);
		q->refusal = decide(q);
		log_answer(q);
		write_answer(out, q, keep);
	}
	g_rand_free(q->rand);
}

void explain_serve(struct buf *out, struct traffic *tr, const struct message *m,
		   struct str body, bool keep)
{
	if (!is_allowed(tr, m)) {
		log_event(EV_EXPLAIN_DENIED, "bytes=%d", (int)body.len);
		write_error(out, m->arena, RAMP_ERR_UNAUTHORIZED, NULL, keep);
	} else if (!str_eq(m->method, STR_LIT("POST")) ||
		   !str_eq(url_path(m->url), STR_LIT(EXPLAIN_PATH))) {
		write_error(out, m->arena, RAMP_ERR_NOT_FOUND,
			    "only POST " EXPLAIN_PATH " is served here", keep);
	} else if (body.len > EXPLAIN_MAX_BYTES) {
		write_error(out, m->arena, RAMP_ERR_TOO_LARGE, NULL, keep);
	} else {
		answer(out, tr, m->arena, body, keep);
	}
}
