/*
 * The operator takes the tenants' keys away, one tenant after the other, by new
 * versions of the manifest. Requesters that are connected go on with the keys
 * that were taken away, and one uses a key that was never given.
 */
#include <string.h>

#include "review/stand/stand.h"

#define ENTRIES 3
#define ENGINES 3
#define TENANTS 10 /* as many as the sheet names */
/* The keys of all tenants and one that no manifest ever held. */
#define KEYS      (TENANTS + 1)
#define NEVER     TENANTS
#define GAP_MS    1500 /* between two versions */
#define REVOKE_MS 5000
/* A request is judged if it is sent this long after that, or later. */
#define MARGIN_MS   200
#define DEADLINE_MS 1500

struct requester {
	struct entry_process *entry;
	struct conn *conn;
	int key;
	int sent;
};

static struct engine *engines[ENGINES];
/* When the store acknowledged the version that took a key away; 0: none. */
static int64_t revoked_ms[KEYS];

static bool serve(struct engine_call *call)
{
	char *tenant = message_header(&call->request, "Auburnramp-Tenant");
	bool ran = engine_run(call);

	if (ran)
		record("engine %s: %s is of tenant %s", call->engine->name,
		       call->id, tenant ? tenant : "(none named)");
	g_free(tenant);
	return ran && engine_answer(call, 800);
}

static char *key_of(int i)
{
	if (i == NEVER)
		return g_strdup("never-in-any-manifest");
	return g_strdup_printf("key-of-t%d-%s", i + 1, KEY);
}

/* Write a version without the first so many tenants. */
static void write_version(struct store *store, int version, int removed)
{
	struct manifest manifest = {version, 16384, 800, 0};
	json_t *tenants = json_array();

	for (int i = removed; i < TENANTS; i++) {
		char *name = g_strdup_printf("t%d", i + 1), *key = key_of(i);

		json_array_append_new(
			tenants, json_pack("{s:s, s:[s], s:i}", "Name", name,
					   "ApiKeys", key, "Priority", 1));
		g_free(name);
		g_free(key);
	}
	manifest_write_for(store, &manifest, tenants);
	record("store: has acknowledged version %d with %d tenants", version,
	       TENANTS - removed);
	if (!removed)
		return;
	revoked_ms[removed - 1] = now_ms();
	record("operator: the key of t%d is taken away", removed);
}

/* Send a request; return its status, 0 without an answer. */
static int ask(struct requester *r, char *id, size_t id_size)
{
	struct request q = {"POST", "/app/1", id, NULL, 600, DEADLINE_MS};
	char *key = key_of(r->key);
	int64_t until_ms = now_ms() + DEADLINE_MS;
	struct message m = {0};
	int status = 0;

	if (r->key == NEVER)
		g_snprintf(id, id_size, "%s-no-tenant-%d",
			   r->entry->options.name, r->sent++);
	else
		g_snprintf(id, id_size, "%s-t%d-%d", r->entry->options.name,
			   r->key + 1, r->sent++);
	if (r->conn && conn_send_request_with_key(r->conn, &q, key) &&
	    conn_read_head(r->conn, &m, until_ms) &&
	    conn_read_body(r->conn, &m, until_ms))
		status = m.status;
	message_clear(&m);
	g_free(key);
	if (!status) {
		/* The channel was closed: go on with a new one. */
		conn_free(r->conn);
		r->conn = conn_connect(r->entry->callers_port, 0);
	}
	return status;
}

/*
 * Let each requester send a request. Return how many ran though their keys had
 * been taken away over REVOKE_MS before they were sent, or never given.
 */
static int send_all(struct requester *v, int n, int *never_ran)
{
	int revoked_ran = 0;

	for (int i = 0; i < n; i++) {
		struct requester *r = &v[i];
		int64_t sent_ms = now_ms();
		bool is_revoked =
			revoked_ms[r->key] &&
			sent_ms > revoked_ms[r->key] + REVOKE_MS + MARGIN_MS;
		char id[48];
		int status = ask(r, id, sizeof(id));
		bool ran = engines_ran(engines, ENGINES, id);

		if (r->key == NEVER)
			record("requester: %s, with a key never given: status"
			       " %d, %s",
			       id, status, ran ? "it ran" : "it did not run");
		else if (is_revoked)
			record("requester: %s, with a key taken away %d ms"
			       " before: status %d, %s",
			       id, (int)(sent_ms - revoked_ms[r->key]), status,
			       ran ? "it ran" : "it did not run");
		else
			record("requester: %s: status %d", id, status);
		*never_ran += ran && r->key == NEVER;
		revoked_ran += ran && is_revoked;
	}
	return revoked_ran;
}

int main(int argc, char **argv)
{
	struct entry_process *entries[ENTRIES];
	struct requester v[ENTRIES * KEYS] = {0};
	int n = 0, ran = 0, never_ran = 0, before, version = 1;
	struct store *store;

	case_begin(argc, argv);
	store = store_start();
	for (int i = 0; i < ENGINES; i++)
		engines[i] = engine_start(store, "app", "v1", serve);
	write_version(store, version, 0);
	for (int i = 0; i < ENTRIES; i++) {
		struct entry_options options = {.memory_mb = 260,
						.files = 4100};

		options.name = g_strdup_printf("edge-a-%d", i + 1);
		entries[i] = entry_start(store, &options);
	}
	sleep_ms(4000); /* they are in touch: over ContactMs */
	for (int i = 0; i < ENTRIES; i++)
		for (int key = 0; key < KEYS; key++) {
			v[n] = (struct requester){.entry = entries[i],
						  .key = key};
			v[n++].conn = conn_connect(entries[i]->callers_port, 0);
		}
	send_all(v, n, &never_ran);
	for (int i = 1; i < TENANTS; i++) {
		write_version(store, ++version, case_has_trouble() ? i : 0);
		sleep_ms(GAP_MS);
		ran += send_all(v, n, &never_ran);
	}
	sleep_ms(REVOKE_MS + 2 * MARGIN_MS);
	ran += send_all(v, n, &never_ran);
	before = ran + never_ran;
	write_version(store, ++version, case_has_trouble() ? TENANTS : 0);
	sleep_ms(REVOKE_MS + 2 * MARGIN_MS);
	for (int i = 0; i < 3; i++)
		ran += send_all(v, n, &never_ran);
	case_end(ran || never_ran ? CASE_BROKEN : CASE_HELD,
		 "CONFIG: %d requests ran whose keys had been taken away over"
		 " %d ms before they were sent; ROUTE: %d ran whose key no"
		 " manifest ever held; none is allowed (%d of them while a"
		 " tenant was left)",
		 ran, REVOKE_MS, never_ran, before);
}
