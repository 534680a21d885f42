/* Error kinds as GErrors, and the JSON body of an error response. */
#include "base/base.h"

GQuark ramp_error_quark(void)
{
	return g_quark_from_static_string("ramp-error-quark");
}

enum ramp_error ramp_error_kind(const GError *err)
{
	if (!err || err->domain != RAMP_ERROR || err->code < 0 ||
	    err->code >= RAMP_ERR_COUNT)
		return RAMP_ERR_INTERNAL;
	return (enum ramp_error)err->code;
}

const char *outcome_name(enum outcome o)
{
	static const char *const names[] = {
		[OUTCOME_COMPLETE] = "complete",
		[OUTCOME_NOT_RUN] = "not-run",
		[OUTCOME_FAILED] = "failed",
		[OUTCOME_UNKNOWN] = "unknown",
	};

	return names[o];
}

json_t *ramp_error_json(enum ramp_error kind, const char *detail,
			int64_t retry_at_ms)
{
	const struct error_response *a = &error_responses[kind];
	json_t *e = json_pack("{s:s, s:s, s:s}", "type", a->name, "message",
			      detail ? detail : a->text, "outcome",
			      outcome_name(a->outcome));

	if (!e) /* detail was not UTF-8 */
		e = json_pack("{s:s, s:s, s:s}", "type", a->name, "message",
			      a->text, "outcome", outcome_name(a->outcome));
	if (retry_at_ms)
		json_object_set_new(e, "retry_at_ms",
				    json_integer(retry_at_ms));
	return json_pack("{s:o}", "error", e);
}
