/*
 * Measure how CPU time and memory of the configuration, the instance list and
 * the order of targets grow with their size, fit a line, and print its value at
 * the fleet size of docs/CAPACITY.md. Slopes, errors of fit and results are
 * rows, so that the page can be checked against them.
 */
#include <sodium.h>
#include <stdio.h>

#include "bench/bench.h"
#include "node/node.h"
#include "route/route.h"
#include "state/state.h"

/* The fleet of docs/CAPACITY.md. */
#define ORGANISATIONS 460
#define SERVICES      6
#define NODES         370
#define TARGETS       600

#define REPEATS        200
#define CONFIG_REPEATS 20
#define BYTES_PER_MB   (1024.0 * 1024.0)
#define CONTROL_MAX_MB 64.0
#define APPLY_MAX_S    5.0 /* a change must be in force everywhere by then */
#define DECIDE_MAX_US  20.0

static json_t *organisation_row(int i)
{
	char name[32], key[32];
	char *hash, *row_key;
	json_t *row;

	g_snprintf(name, sizeof(name), "org-%d", i);
	g_snprintf(key, sizeof(key), "key-%d", i);
	hash = key_hash(str_c(key));
	row_key = resource_key(KIND_ORGANISATION, name);
	row = json_pack("{s:s,s:I,s:{s:{s:f,s:i,s:[{s:s,s:s}]}}}", "key",
			row_key, "version", (json_int_t)i, "value", "spec",
			"weight", 1.0, "concurrent", 100, "keys", "hash", hash,
			"role", "caller");
	g_free(hash);
	g_free(row_key);
	return row;
}

static json_t *intent_row(int i)
{
	char *row_key, name[32], org[32], service[32];
	json_t *row;

	g_snprintf(name, sizeof(name), "intent-%d", i);
	g_snprintf(org, sizeof(org), "org-%d", i);
	g_snprintf(service, sizeof(service), "svc-%d", i % SERVICES);
	row_key = resource_key(KIND_INTENT, name);
	row = json_pack("{s:s,s:I,s:{s:{s:s,s:s,s:i}}}", "key", row_key,
			"version", (json_int_t)i, "value", "spec", "service",
			service, "organisation", org, "priority", i % 10);
	g_free(row_key);
	return row;
}

static json_t *rows_for(int organisations)
{
	json_t *rows = json_array();

	for (int i = 0; i < organisations; i++) {
		json_array_append_new(rows, organisation_row(i));
		json_array_append_new(rows, intent_row(i));
	}
	return rows;
}

/* Measure building the configuration of n organisations and intents. */
static void measure_config(int n, double *us, double *bytes)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	json_t *rows = rows_for(n);
	double heap_before = heap_bytes();
	struct config *config = config_from_rows(1, rows, errors);
	double start_s;

	*bytes = heap_bytes() - heap_before;
	config_unref(config);
	start_s = cpu_seconds();
	for (int i = 0; i < CONFIG_REPEATS; i++)
		config_unref(config_from_rows(1, rows, errors));
	*us = (cpu_seconds() - start_s) / CONFIG_REPEATS * 1e6;
	json_decref(rows);
	g_ptr_array_unref(errors);
}

static void capacity_config(void)
{
	static const double sizes[] = {50, 100, 200, 400};
	double us[4], bytes[4];
	struct fit cpu, heap;

	for (int i = 0; i < 4; i++)
		measure_config((int)sizes[i], &us[i], &bytes[i]);
	cpu = fit_line(sizes, us, 4);
	heap = fit_line(sizes, bytes, 4);
	row_unbounded("config_us_per_organisation", cpu.slope, "us");
	row_unbounded("config_bytes_per_organisation", heap.slope, "bytes");
	row_at_most("config_fit_error", cpu.max_relative_error, "ratio", 0.25);
	row_at_most("config_apply_s_460", fit_at(&cpu, ORGANISATIONS) / 1e6,
		    "s", APPLY_MAX_S);
	row_at_most("config_mb_460",
		    fit_at(&heap, ORGANISATIONS) / BYTES_PER_MB, "MB",
		    CONTROL_MAX_MB);
}

static json_t *instances_for(int nodes, int targets)
{
	json_t *list = json_array();

	for (int i = 0; i < nodes + targets; i++) {
		char name[32], address[32];

		g_snprintf(name, sizeof(name), "i-%d", i);
		g_snprintf(address, sizeof(address), "10.0.%d.%d:8000", i / 250,
			   i % 250);
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "name", name,
				  "role", i < nodes ? "node" : "engine", "pool",
				  "llm", "address", address, "zone", "a",
				  "region", "r"));
	}
	return list;
}

/* Measure building the instance list of n nodes and their part of targets. */
static void measure_instances(int n, double *us, double *bytes)
{
	json_t *list = instances_for(n, n * TARGETS / NODES);
	double heap_before = heap_bytes();
	struct fleet *f = fleet_from_instances(list);
	double start_s;

	*bytes = heap_bytes() - heap_before;
	fleet_unref(f);
	start_s = cpu_seconds();
	for (int i = 0; i < REPEATS; i++)
		fleet_unref(fleet_from_instances(list));
	*us = (cpu_seconds() - start_s) / REPEATS * 1e6;
	json_decref(list);
}

static void capacity_fleet(void)
{
	static const double sizes[] = {9, 50, 150, 300};
	double us[4], bytes[4];
	struct fit cpu, heap;

	for (int i = 0; i < 4; i++)
		measure_instances((int)sizes[i], &us[i], &bytes[i]);
	cpu = fit_line(sizes, us, 4);
	heap = fit_line(sizes, bytes, 4);
	row_unbounded("fleet_us_per_node", cpu.slope, "us");
	row_unbounded("fleet_bytes_per_node", heap.slope, "bytes");
	row_at_most("fleet_mb_370", fit_at(&heap, NODES) / BYTES_PER_MB, "MB",
		    CONTROL_MAX_MB);
	row_unbounded("fleet_build_us_370", fit_at(&cpu, NODES), "us");
}

/* Return the CPU time, in us, of finding the first targets among n. */
static double measure_order(size_t n)
{
	struct rendezvous_candidate *targets =
		g_new0(struct rendezvous_candidate, n);
	struct rendezvous_candidate top[CHOOSE_MAX];
	double start_s = cpu_seconds();

	for (uint64_t key = 0; key < REPEATS; key++) {
		for (size_t i = 0; i < n; i++)
			targets[i] = (struct rendezvous_candidate){.id = i,
								   .index = i};
		rendezvous_top(key, targets, n, top, CHOOSE_MAX);
	}
	g_free(targets);
	return (cpu_seconds() - start_s) / REPEATS * 1e6;
}

static void capacity_order(void)
{
	static const double sizes[] = {9, 50, 100, 200, 400};
	double us[5];
	struct fit f;

	for (int i = 0; i < 5; i++)
		us[i] = measure_order((size_t)sizes[i]);
	f = fit_line(sizes, us, 5);
	row_unbounded("order_us_per_target", f.slope, "us");
	row_at_most("order_us_600", fit_at(&f, TARGETS), "us", DECIDE_MAX_US);
}

int main(void)
{
	if (sodium_init() < 0)
		return 1;
	capacity_config();
	capacity_fleet();
	capacity_order();
	return 0;
}
