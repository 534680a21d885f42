/* Control module: learns the configuration from the table service. */
#include "node/node.h"

struct learner {
	struct control_env *env;
	json_t *rows;          /* of a scan in progress */
	int64_t scan_revision; /* of the head that began the scan */
	int64_t head_version;  /* the table's revision that wrote the head */
	bool scanning;
	bool store_ok;
	int64_t next_read_ms; /* monotonic */
};

static void note_store(struct learner *l, const struct plat_result *r)
{
	bool ok = r->status == PLAT_OK;

	if (ok == l->store_ok)
		return;
	l->store_ok = ok;
	log_event(ok ? EV_STORE_REACHABLE : EV_STORE_UNREACHABLE, "status=%d",
		  r->status);
}

static void apply(struct learner *l)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct config *c = config_from_rows(l->scan_revision, l->rows, errors);

	for (guint i = 0; i < errors->len; i++)
		log_event(EV_CONFIG_UNREADABLE, "error=\"%s\"",
			  (char *)g_ptr_array_index(errors, i));
	g_ptr_array_unref(errors);
	node_set_config(l->env->node, c);
}

static void scan_from(struct learner *l, const char *after);

static void on_rows(const struct plat_result *r, void *arg)
{
	struct learner *l = arg;
	json_t *rows = json_object_get(r->json, "rows");
	json_t *last;

	note_store(l, r);
	/* A page from before the head would lack what the head tells of. */
	if (r->status != PLAT_OK || !json_is_array(rows) ||
	    json_integer_value(json_object_get(r->json, "revision")) <
		    l->head_version) {
		l->scanning = false;
		return;
	}
	json_array_extend(l->rows, rows);
	last = json_array_get(rows, json_array_size(rows) - 1);
	if (json_is_true(json_object_get(r->json, "more")) && last) {
		scan_from(l, json_string_value(json_object_get(last, "key")));
		return;
	}
	l->scanning = false;
	apply(l);
}

static void scan_from(struct learner *l, const char *after)
{
	struct platform *p = &l->env->plat;

	l->scanning = true;
	p->scan(p->ctx, "res/", after, on_rows, l);
}

static void on_head(const struct plat_result *r, void *arg)
{
	struct learner *l = arg;
	const json_t *row = json_array_get(json_object_get(r->json, "rows"), 0);
	int64_t rev = json_integer_value(
		json_object_get(json_object_get(row, "value"), "revision"));
	struct config *now;
	bool newer;

	note_store(l, r);
	if (r->status != PLAT_OK || l->scanning)
		return;
	now = node_config(l->env->node);
	newer = !now || rev > now->revision;
	config_unref(now);
	if (!newer)
		return;
	json_array_clear(l->rows);
	l->scan_revision = rev;
	l->head_version = json_integer_value(json_object_get(row, "version"));
	scan_from(l, NULL);
}

static void *start(struct control_env *env)
{
	struct learner *l = g_new0(struct learner, 1);

	l->env = env;
	l->rows = json_array();
	l->store_ok = true;
	return l;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct learner *l = ctx;
	struct platform *p = &l->env->plat;

	if (now_ms < l->next_read_ms)
		return;
	l->next_read_ms = now_ms + l->env->node->set.platform_poll_ms;
	p->scan(p->ctx, "head/config", NULL, on_head, l);
}

static void stop(void *ctx)
{
	struct learner *l = ctx;

	json_decref(l->rows);
	g_free(l);
}

const struct control_module config_module = {
	.start = start,
	.tick = tick,
	.stop = stop,
};
