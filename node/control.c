/*
 * The control thread: reads configuration and instances and publishes them
 * to the traffic threads. It never blocks: every call ends by a callback.
 */
#include "node/node.h"

#define TICK_MS 20

struct control {
	struct node *node;
	struct platform plat;
	json_t *rows;          /* of a scan in progress */
	int64_t scan_revision; /* revision of the scan's first page */
	bool scanning;
	bool store_ok;
	int64_t next_config_ms; /* monotonic */
	int64_t next_instances_ms;
};

static void note_store(struct control *c, const struct plat_result *r)
{
	bool ok = r->status == PLAT_OK;

	if (ok == c->store_ok)
		return;
	c->store_ok = ok;
	log_event(ok ? EV_STORE_REACHABLE : EV_STORE_UNREACHABLE, "status=%d",
		  r->status);
}

static void apply(struct control *c)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct config *cfg =
		config_from_rows(c->scan_revision, c->rows, errors);

	for (guint i = 0; i < errors->len; i++)
		log_event(EV_CONFIG_UNREADABLE, "error=\"%s\"",
			  (char *)g_ptr_array_index(errors, i));
	g_ptr_array_unref(errors);
	node_set_config(c->node, cfg);
}

static void scan_from(struct control *c, const char *after);

static void on_rows(const struct plat_result *r, void *arg)
{
	struct control *c = arg;
	json_t *rows = json_object_get(r->json, "rows");
	json_t *last;

	note_store(c, r);
	if (r->status != PLAT_OK || !json_is_array(rows)) {
		c->scanning = false;
		return;
	}
	if (!json_array_size(c->rows))
		c->scan_revision = json_integer_value(
			json_object_get(r->json, "revision"));
	json_array_extend(c->rows, rows);
	last = json_array_get(rows, json_array_size(rows) - 1);
	if (json_is_true(json_object_get(r->json, "more")) && last) {
		scan_from(c, json_string_value(json_object_get(last, "key")));
		return;
	}
	c->scanning = false;
	apply(c);
}

static void scan_from(struct control *c, const char *after)
{
	c->scanning = true;
	c->plat.scan(c->plat.ctx, "res/", after, on_rows, c);
}

static void on_revision(const struct plat_result *r, void *arg)
{
	struct control *c = arg;
	int64_t rev = json_integer_value(json_object_get(r->json, "revision"));
	struct config *now;
	bool newer;

	note_store(c, r);
	if (r->status != PLAT_OK || c->scanning)
		return;
	now = node_config(c->node);
	newer = !now || rev > now->revision;
	config_unref(now);
	if (!newer)
		return;
	json_array_clear(c->rows);
	scan_from(c, NULL);
}

static void on_list(const struct plat_result *r, void *arg)
{
	struct control *c = arg;
	const json_t *list = json_object_get(r->json, "instances");

	if (r->status == PLAT_OK && json_is_array(list))
		node_set_fleet(c->node, fleet_from_instances(list));
}

static void tick(struct control *c)
{
	int64_t now = time_mono_ms();

	if (now >= c->next_config_ms) {
		c->next_config_ms = now + c->node->set.platform_poll_ms;
		c->plat.revision(c->plat.ctx, on_revision, c);
	}
	if (now >= c->next_instances_ms) {
		c->next_instances_ms = now + c->node->set.platform_poll_ms;
		c->plat.instances(c->plat.ctx, on_list, c);
	}
}

void *control_run(void *node)
{
	struct control c = {.node = node, .store_ok = true};
	struct fetcher *f = fetcher_new();
	struct plat_http *p = plat_http_new(&c.node->set, f, &c.plat);

	c.rows = json_array();
	while (!atomic_load(&c.node->stop_control)) {
		tick(&c);
		fetcher_poll(f, NULL, 0, TICK_MS);
	}
	fetcher_free(f);
	plat_http_free(p);
	json_decref(c.rows);
	return NULL;
}
