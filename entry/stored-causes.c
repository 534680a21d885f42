/*
 * The blocked parts of prompts as they are saved in the store, so that a fleet
 * of which all nodes have restarted goes on to refuse them. Times are saved by
 * the wall clock, as the boot-time clock differs between nodes.
 */
#include "entry/store-clients.h"

/* Parts that are saved; some 500 bytes each. */
#define PARTS_SAVED_MAX 16

static json_t *encode_part(const struct cause_record *r, int64_t wall_offset_ms)
{
	json_t *crashes = json_array();

	for (uint32_t i = 0; i < r->crash_count; i++)
		json_array_append_new(
			crashes,
			json_pack("[I,I,I]", (json_int_t)r->crashes[i].target,
				  (json_int_t)r->crashes[i].request,
				  (json_int_t)r->crashes[i].at_ms +
					  wall_offset_ms));
	return json_pack("[I,I,o]", (json_int_t)r->part, (json_int_t)r->depth,
			 crashes);
}

json_t *stored_causes_encode(struct crash_causes *f)
{
	struct cause_record v[PARTS_SAVED_MAX];
	size_t n = crash_causes_list(f, v, PARTS_SAVED_MAX);
	int64_t wall_offset_ms = time_now_ms() - time_boot_ms();
	json_t *rows = json_array();

	for (size_t i = 0; i < n; i++)
		if (v[i].blocked)
			json_array_append_new(
				rows, encode_part(&v[i], wall_offset_ms));
	return rows;
}

/* Decode a part; false when it is malformed. */
static bool decode_part(const json_t *row, int64_t wall_offset_ms,
			struct cause_record *r)
{
	json_int_t part, depth, target, request, at_ms;
	json_t *crashes, *c;
	size_t i;

	if (json_unpack((json_t *)row, "[I,I,o]", &part, &depth, &crashes) < 0)
		return false;
	r->part = (uint64_t)part;
	r->depth = (uint32_t)depth;
	json_array_foreach (crashes, i, c) {
		if (r->crash_count == CAUSE_CRASHES_MAX ||
		    json_unpack(c, "[I,I,I]", &target, &request, &at_ms) < 0)
			return false;
		/* This machine may have started after the crash. */
		r->crashes[r->crash_count++] = (struct cause_crash){
			(uint32_t)target, (uint32_t)request,
			CLAMP(at_ms - wall_offset_ms, 1, time_boot_ms())};
	}
	return true;
}

void stored_causes_load(struct crash_causes *f, const json_t *rows)
{
	int64_t now = time_boot_ms();
	int64_t wall_offset_ms = time_now_ms() - now;
	const json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		/* When a request last came is not known: it may have just now.
		 */
		struct cause_record r = {.blocked = true, .asked_ms = now};

		if (decode_part(row, wall_offset_ms, &r))
			crash_causes_receive(f, &r, now);
		else
			metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	}
}
