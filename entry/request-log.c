/* The lines of the log about a request, and what was known when it was sent. */
#include <string.h>
#include <talloc.h>

#include "entry/exchange.h"

void exchange_note_send(struct exchange *x)
{
	struct entry *e = x->tr->e;
	struct target_source row = x->target->info.source;
	int64_t now = time_boot_ms();
	struct target_list *l = x->tr->list;
	int64_t fresh_ms = l ? atomic_load(&l->fresh_ms) : 0;
	int64_t waits_since_ms = atomic_load(&e->list_waits_since_ms);

	x->basis = (struct send_basis){
		.row = row,
		.row_age_ms = now - row.noticed_ms,
		.list_age_ms = fresh_ms ? now - fresh_ms : -1,
		.list_left_ms = l ? atomic_load(&l->until_ms) - now : -1,
		.list_wait_ms = waits_since_ms ? now - waits_since_ms : 0,
		.list_from = l ? atomic_load(&l->fresh_from) : 0,
	};
	/* On a new connection this is not the send yet. */
	if (x->link && link_connected(x->link))
		metric_observe(M_SEND_LIST_AGE_MS, x->basis.list_age_ms);
}

const char *exchange_basis_text(const struct exchange *x)
{
	const struct send_basis *b = &x->basis;

	if (!x->attempts)
		return "row=0 row_from=- row_age_ms=-1 list_age_ms=-1 "
		       "list_left_ms=-1 list_from=- list_wait_ms=-1";
	return talloc_asprintf(
		x->arena,
		"row=%" G_GINT64_FORMAT " row_from=%s row_age_ms=%d "
		"list_age_ms=%d list_left_ms=%d list_from=%s list_wait_ms=%d",
		b->row.revision, source_name(b->row.node).s, (int)b->row_age_ms,
		(int)b->list_age_ms, (int)b->list_left_ms,
		source_name(b->list_from).s, (int)b->list_wait_ms);
}

const char *exchange_budget_text(const struct exchange *x)
{
	const struct retry_room *r = &x->retry_room;
	struct traffic *tr = x->tr;

	return talloc_asprintf(
		x->arena,
		"retries=%u requests=%.1f allowed=%.1f nodes=%d process_ms=%d",
		r->retries, r->requests, r->allowed,
		tr->peers ? (int)tr->peers->known : 0,
		(int)(time_boot_ms() - tr->started_ms));
}

void exchange_log_end(const struct exchange *x, int status, const char *how)
{
	int64_t now = time_boot_ms();
	int64_t fresh = entry_config_fresh_ms(x->config);
	bool over_budget = x->failure_cause &&
			   !strcmp(x->failure_cause, "no_retry_budget");

	metric_observe(M_REQUEST_MS, now - x->arrived_ms);
	log_event(EV_REQUEST_ENDED,
		  "request=" STR_FMT " route=" STR_FMT
		  " whole=%x prompt=%x parts=%s shared=%d target=" STR_FMT
		  " source=" STR_FMT
		  " status=%d how=%s ms=%d sends=%d runs=%d events=%d "
		  "first_ms=%d gap_ms=%d "
		  "cause=%s config=%d config_age_ms=%d version=" STR_FMT
		  " %s%s%s resumes=" STR_FMT,
		  STR_ARG(x->request_id),
		  STR_ARG(x->route ? x->route->name : STR_LIT("-")),
		  (unsigned)x->whole, (unsigned)x->prompt.parts[0],
		  prompt_parts_text(x->arena, x->parts),
		  (int)x->prompt.shared_tokens, STR_ARG(x->last_target_name),
		  STR_ARG(x->last_source_name), status, how,
		  (int)(now - x->arrived_ms), x->attempts, x->possible_runs,
		  (int)x->splitter.event_count,
		  x->first_given_ms ? (int)(x->first_given_ms - x->arrived_ms)
				    : -1,
		  (int)x->longest_gap_ms,
		  x->failure_cause ? x->failure_cause : "-",
		  x->config ? (int)x->config->version : 0,
		  fresh ? (int)(now - fresh) : -1,
		  STR_ARG(x->last_target_version), exchange_basis_text(x),
		  over_budget ? " " : "",
		  over_budget ? exchange_budget_text(x) : "",
		  STR_ARG(x->resumes));
}
