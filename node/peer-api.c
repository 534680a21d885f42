/*
 * The API between nodes: signatures, and the configuration as served to peers.
 */
#include "node/peer-api.h"

#include <sodium.h>
#include <string.h>

#define SIGNATURE_VALID_MS 30000 /* clock skew included */
#define MAC_BYTES          16

struct published_change {
	int64_t revision;
	char *text; /* JSON */
};

/* The configuration in force as JSON text, for the connections' threads. */
static struct {
	GMutex lock;
	int64_t revision; /* -1: none yet */
	GBytes *whole;
	GQueue changes; /* struct published_change, oldest first */
} published = {.revision = -1, .changes = G_QUEUE_INIT};

/* Derived from the file that all nodes share; set before threads start. */
static struct {
	bool is_set;
	unsigned char bytes[crypto_generichash_KEYBYTES];
} secret;

bool peer_api_load_secret(const struct settings *s)
{
	char *text;

	if (!*s->node_secret_file)
		return true;
	text = secret_read(s->node_secret_file);
	if (!text)
		return false;
	crypto_generichash(secret.bytes, sizeof(secret.bytes),
			   (const unsigned char *)text, strlen(text), NULL, 0);
	secret.is_set = true;
	secret_free(text);
	return true;
}

/* Return the MAC of a call as hex; free with g_free. */
static char *mac_of(const char *path, const char *after, const char *at)
{
	unsigned char mac[MAC_BYTES];
	char hex[MAC_BYTES * 2 + 1];
	char *text = g_strdup_printf("%s\n%s\n%s", path, after, at);

	crypto_generichash(mac, sizeof(mac), (const unsigned char *)text,
			   strlen(text), secret.bytes, sizeof(secret.bytes));
	g_free(text);
	return g_strdup(sodium_bin2hex(hex, sizeof(hex), mac, sizeof(mac)));
}

char *peer_api_signed_url(const char *address, const char *path,
			  const char *after)
{
	char at[24];
	char *mac, *url;

	g_snprintf(at, sizeof(at), "%" G_GINT64_FORMAT, time_now_ms());
	mac = mac_of(path, after, at);
	url = g_strdup_printf("http://%s%s?after=%s&at=%s&mac=%s", address,
			      path, after, at, mac);
	g_free(mac);
	return url;
}

static const char *param(const struct _u_request *q, const char *name)
{
	const char *s = u_map_get(q->map_url, name);

	return s ? s : "";
}

bool peer_api_is_signed(const struct _u_request *q)
{
	const char *at = param(q, "at");
	const char *mac = param(q, "mac");
	int64_t age = time_now_ms() - g_ascii_strtoll(at, NULL, 10);
	char *expected;
	bool ok;

	if (!secret.is_set)
		return true;
	expected = mac_of(q->url_path, param(q, "after"), at);
	ok = ABS(age) <= SIGNATURE_VALID_MS &&
	     strlen(mac) == strlen(expected) &&
	     !sodium_memcmp(mac, expected, strlen(expected));
	g_free(expected);
	return ok;
}

static void free_change(void *p)
{
	struct published_change *c = p;

	g_free(c->text);
	g_free(c);
}

/* The lock is held. */
static void add_changes(const json_t *list)
{
	size_t i;
	json_t *j;

	json_array_foreach (list, i, j) {
		struct published_change *c = g_new(struct published_change, 1);
		char *text = json_dumps(j, JSON_COMPACT);

		c->revision =
			json_integer_value(json_object_get(j, "revision"));
		c->text = g_strdup(text);
		free(text);
		g_queue_push_tail(&published.changes, c);
	}
	while (g_queue_get_length(&published.changes) > LEARN_CHANGES_MAX)
		free_change(g_queue_pop_head(&published.changes));
}

/*
 * Only this thread writes `published`, so it reads the revision without the
 * lock.
 */
void peer_api_publish(const struct learner *l, int64_t revision)
{
	json_t *whole = learn_snapshot_json(l);
	json_t *list = learn_changes_json(l, published.revision);
	char *text = json_dumps(whole, JSON_COMPACT);
	GBytes *b = g_bytes_new(text, strlen(text));

	g_mutex_lock(&published.lock);
	if (published.whole)
		g_bytes_unref(published.whole);
	published.whole = b;
	if (json_is_true(json_object_get(list, "gap")))
		g_queue_clear_full(&published.changes, free_change);
	add_changes(json_object_get(list, "changes"));
	published.revision = revision;
	g_mutex_unlock(&published.lock);
	free(text);
	json_decref(list);
	json_decref(whole);
}

/*
 * Return whether all changes after the revision are still kept. The lock is
 * held.
 */
static bool has_changes_since(int64_t after)
{
	const struct published_change *c =
		g_queue_peek_head(&published.changes);

	return after >= published.revision || (c && c->revision <= after + 1);
}

/*
 * The lock is held. Return the answer for /internal/changes; free with g_free.
 */
static char *changes_text(int64_t after)
{
	GString *s = g_string_new(NULL);
	bool first = true;

	g_string_printf(s, "{\"revision\":%" G_GINT64_FORMAT,
			published.revision);
	if (!has_changes_since(after)) {
		g_string_append(s, ",\"gap\":true}");
		return g_string_free(s, FALSE);
	}
	g_string_append(s, ",\"changes\":[");
	for (GList *i = published.changes.head; i; i = i->next) {
		const struct published_change *c = i->data;

		if (c->revision <= after)
			continue;
		g_string_append_printf(s, "%s%s", first ? "" : ",", c->text);
		first = false;
	}
	g_string_append(s, "]}");
	return g_string_free(s, FALSE);
}

static int refuse(struct _u_response *r, enum ramp_error e)
{
	return answer_json(r, error_responses[e].http_status,
			   ramp_error_json(e, NULL, 0));
}

static int answer_text(struct _u_response *r, const char *text, size_t n)
{
	u_map_put(r->map_header, "Content-Type", "application/json");
	ulfius_set_binary_body_response(r, 200, text, n);
	return U_CALLBACK_COMPLETE;
}

/*
 * Check the call and return true with the lock held; otherwise answer with the
 * refusal and return false.
 */
static bool check_and_lock(const struct _u_request *q, struct _u_response *r)
{
	if (!peer_api_is_signed(q)) {
		log_event(EV_PEER_REFUSED, "path=%s", q->url_path);
		refuse(r, RAMP_ERR_UNAUTHORIZED);
		return false;
	}
	g_mutex_lock(&published.lock);
	if (published.revision >= 0)
		return true;
	g_mutex_unlock(&published.lock);
	refuse(r, RAMP_ERR_NOT_READY);
	return false;
}

int on_peer_changes(const struct _u_request *q, struct _u_response *r,
		    void *node)
{
	char *text;

	(void)node;
	if (!check_and_lock(q, r))
		return U_CALLBACK_COMPLETE;
	text = changes_text(g_ascii_strtoll(param(q, "after"), NULL, 10));
	g_mutex_unlock(&published.lock);
	answer_text(r, text, strlen(text));
	g_free(text);
	return U_CALLBACK_COMPLETE;
}

int on_peer_config(const struct _u_request *q, struct _u_response *r,
		   void *node)
{
	GBytes *b;
	gsize n;
	const char *text;

	(void)node;
	if (!check_and_lock(q, r))
		return U_CALLBACK_COMPLETE;
	b = g_bytes_ref(published.whole);
	g_mutex_unlock(&published.lock);
	text = g_bytes_get_data(b, &n);
	answer_text(r, text, n);
	g_bytes_unref(b);
	return U_CALLBACK_COMPLETE;
}

int on_peer_instances(const struct _u_request *q, struct _u_response *r,
		      void *node)
{
	struct fleet *f;
	int64_t age_ms, callers_ms;

	if (!peer_api_is_signed(q))
		return refuse(r, RAMP_ERR_UNAUTHORIZED);
	f = node_fleet(node);
	if (!f)
		return refuse(r, RAMP_ERR_NOT_READY);
	/* The caller gives the age of its own list; 0 if it has none. */
	callers_ms = g_ascii_strtoll(param(q, "after"), NULL, 10);
	age_ms = MAX(time_mono_ms() - f->asked_ms, 0);
	if (callers_ms > 0 && age_ms >= callers_ms)
		answer_json(r, 200, json_pack("{s:I}", "age_ms", age_ms));
	else
		answer_json(r, 200,
			    json_pack("{s:o,s:I}", "instances",
				      fleet_to_instances(f), "age_ms", age_ms));
	fleet_unref(f);
	return U_CALLBACK_COMPLETE;
}
