/* Generated from schema/entry.tbl by schema/gen.sh. */
#ifndef ENTRY_SETTINGS_GEN_H
#define ENTRY_SETTINGS_GEN_H
#include <stdbool.h>
#include <stdint.h>
struct entry_settings {
	char *node_name;
	char *node_ip;
	char *node_zone;
	char *node_region;
	bool node_bootstrap;
	char *listen_callers;
	char *listen_ready;
	char *listen_entries;
	char *listen_metrics;
	int64_t peers_port;
	char *peers_seeds;
	int64_t peers_budget;
	char *store_address;
	int64_t store_targets_poll_ms;
	int64_t store_config_wait_ms;
	int64_t store_nodes_poll_ms;
	int64_t store_timeout_ms;
	int64_t limits_memory_mb;
	int64_t limits_files;
	int64_t bounds_drain_ms;
	int64_t bounds_contact_ms;
	double bounds_grace_s;
	int64_t bounds_config_apply_ms;
	int64_t bounds_revoke_ms;
	double bounds_retry_ratio;
	double bounds_retry_window_s;
	double bounds_retry_allowance;
	double bounds_load_factor;
	double bounds_warmup_overshoot;
	double bounds_warmup_allowance;
	double bounds_entries_ttl_s;
	int64_t explain_port;
	char *explain_ip;
	char *explain_key_hash;
	char *log_level;
	int64_t log_lines;
	bool overload_shed;
	int64_t overload_interval_ms;
};
#endif
