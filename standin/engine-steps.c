#include <string.h>

#include "standin/engine.h"

#define DEFAULT_TOKENS   16
#define PREFILL_PER_STEP 512 /* prompt tokens read in one step */
#define KEEP_FINISHED_MS 60000

static void free_job(struct job *j)
{
	g_free(j->id);
	g_free(j->prompt);
	g_free(j->reader);
	g_free(j);
}

void unref_job(struct job *j)
{
	if (--j->refs == 0)
		free_job(j);
}

void unref_job_value(void *p)
{
	unref_job(p);
}

static void finish(struct job *j)
{
	j->finished_ms = time_mono_ms();
}

static void step_job(struct job *j)
{
	if (j->prefill_left > 0) {
		j->prefill_left -= PREFILL_PER_STEP;
		return;
	}
	j->done_tokens++;
	if (j->done_tokens >= j->target_tokens)
		finish(j);
}

static int64_t work_left(const struct job *j)
{
	return MAX(j->prefill_left, 0) + j->target_tokens - j->done_tokens;
}

static void keep_report(struct engine *e)
{
	struct report *r = &e->reports[e->report_count++ % REPORTS_KEPT];
	int64_t n = e->active->len;

	*r = (struct report){time_mono_ms(), MIN(n, e->batch),
			     MAX(n - e->batch, 0), 0};
	for (guint i = 0; i < e->active->len; i++)
		r->work += work_left(g_ptr_array_index(e->active, i));
}

static gboolean is_old(void *key, void *value, void *now)
{
	struct job *j = value;

	(void)key;
	return j->finished_ms &&
	       j->finished_ms + KEEP_FINISHED_MS < *(int64_t *)now;
}

/* One step of the batch: the first jobs of the queue each advance. */
static void step_batch(struct engine *e)
{
	guint kept = 0;
	int64_t now = time_mono_ms();

	for (guint i = 0; i < e->active->len; i++) {
		struct job *j = g_ptr_array_index(e->active, i);

		if (i < (guint)e->batch && !j->cancelled)
			step_job(j);
		if (j->cancelled && !j->finished_ms)
			finish(j);
		if (j->finished_ms)
			unref_job(j);
		else
			e->active->pdata[kept++] = j;
	}
	g_ptr_array_set_size(e->active, (gint)kept);
	g_hash_table_foreach_remove(e->jobs, is_old, &now);
	keep_report(e);
	g_cond_broadcast(&e->step);
}

void *run_steps(void *arg)
{
	struct engine *e = arg;

	while (!e->stop) {
		int64_t factor = MAX(e->faults.slow, 1);

		g_usleep((gulong)(e->step_ms * factor) * 1000);
		g_mutex_lock(&e->lock);
		step_batch(e);
		g_mutex_unlock(&e->lock);
	}
	return NULL;
}

void enqueue(struct engine *e, struct job *j)
{
	guint i = e->active->len;

	while (i > 0) {
		struct job *before = g_ptr_array_index(e->active, i - 1);

		if (before->priority >= j->priority)
			break;
		i--;
	}
	g_ptr_array_insert(e->active, (gint)i, j);
	j->refs++;
}

struct job *new_job(struct engine *e, const char *id, const json_t *body,
		    int64_t priority)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *max = json_object_get(body, "max_tokens");
	struct job *j = g_new0(struct job, 1);

	j->id = g_strdup(id);
	j->prompt = prompt_text(messages);
	j->prompt_tokens = prompt_tokens(strlen(j->prompt));
	j->cached_tokens = prefix_cache_use(e->cache, messages);
	j->prefill_left = j->prompt_tokens - j->cached_tokens;
	j->target_tokens = max ? json_integer_value(max) : DEFAULT_TOKENS;
	j->priority = priority;
	j->refs = 1;
	return j;
}
