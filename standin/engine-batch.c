/*
 * The batch of the engine stand-in: a queue of jobs, the first batch_size of
 * which advance in each step.
 */
#include <string.h>
#include <unistd.h>

#include "standin/engine.h"

#define DEFAULT_MAX_TOKENS      16
#define PREFILL_TOKENS_PER_STEP 512
#define FINISHED_JOB_TTL_MS     60000

static void job_free(struct job *j)
{
	g_free(j->id);
	g_free(j->prompt);
	g_free(j->reader);
	g_free(j);
}

void job_unref(struct job *j)
{
	if (--j->refs == 0)
		job_free(j);
}

void job_unref_value(void *p)
{
	job_unref(p);
}

static void mark_finished(struct job *j)
{
	j->finished_ms = time_mono_ms();
}

/* Process a part of the prompt or generate one token. */
static void advance_job(const struct engine *e, struct job *j)
{
	if (j->prefill_tokens_left > 0) {
		j->prefill_tokens_left -= PREFILL_TOKENS_PER_STEP;
		return;
	}
	/* No clean-up: the connections break as in a crash. */
	if (*e->faults.crash_word && strstr(j->prompt, e->faults.crash_word))
		_exit(1);
	j->generated_tokens++;
	if (j->generated_tokens >= j->max_tokens)
		mark_finished(j);
}

static int64_t remaining_tokens(const struct job *j)
{
	return MAX(j->prefill_tokens_left, 0) + j->max_tokens -
	       j->generated_tokens;
}

static void record_load(struct engine *e)
{
	struct load_report *r =
		&e->reports[e->report_count++ % LOAD_REPORTS_KEPT];
	int64_t job_count = e->queue->len;

	*r = (struct load_report){time_mono_ms(), MIN(job_count, e->batch_size),
				  MAX(job_count - e->batch_size, 0), 0};
	for (guint i = 0; i < e->queue->len; i++)
		r->work_tokens +=
			remaining_tokens(g_ptr_array_index(e->queue, i));
}

static gboolean is_expired(void *key, void *value, void *now_ms)
{
	struct job *j = value;

	(void)key;
	return j->finished_ms &&
	       j->finished_ms + FINISHED_JOB_TTL_MS < *(int64_t *)now_ms;
}

/*
 * Run one step: advance the first jobs of the queue, remove finished jobs from
 * the queue and expired ones from the job table, and wake the readers.
 */
static void advance_batch(struct engine *e)
{
	guint unfinished = 0;
	int64_t now_ms = time_mono_ms();

	for (guint i = 0; i < e->queue->len; i++) {
		struct job *j = g_ptr_array_index(e->queue, i);

		if (i < (guint)e->batch_size && !j->cancelled)
			advance_job(e, j);
		if (j->cancelled && !j->finished_ms)
			mark_finished(j);
		if (j->finished_ms)
			job_unref(j);
		else
			e->queue->pdata[unfinished++] = j;
	}
	g_ptr_array_set_size(e->queue, (gint)unfinished);
	g_hash_table_foreach_remove(e->jobs, is_expired, &now_ms);
	record_load(e);
	g_cond_broadcast(&e->step_done);
}

void *run_batch(void *arg)
{
	struct engine *e = arg;

	while (!e->stop) {
		int64_t factor = MAX(e->faults.step_time_factor, 1);

		g_usleep((gulong)(e->step_ms * factor) * 1000);
		g_mutex_lock(&e->lock);
		advance_batch(e);
		g_mutex_unlock(&e->lock);
	}
	return NULL;
}

void job_enqueue(struct engine *e, struct job *j)
{
	guint i = e->queue->len;

	while (i > 0) {
		struct job *ahead = g_ptr_array_index(e->queue, i - 1);

		if (ahead->priority >= j->priority)
			break;
		i--;
	}
	g_ptr_array_insert(e->queue, (gint)i, j);
	j->refs++;
}

struct job *job_new(struct engine *e, const char *id, const json_t *body,
		    int64_t priority)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *limit = json_object_get(body, "max_tokens");
	struct job *j = g_new0(struct job, 1);

	j->id = g_strdup(id);
	j->prompt = prompt_text(messages);
	j->prompt_tokens = prompt_tokens(strlen(j->prompt));
	j->cached_tokens = prefix_cache_add_prompt(e->cache, messages);
	j->prefill_tokens_left = j->prompt_tokens - j->cached_tokens;
	j->max_tokens = limit ? json_integer_value(limit) : DEFAULT_MAX_TOKENS;
	j->priority = priority;
	j->refs = 1;
	return j;
}
