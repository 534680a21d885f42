/* Generated from schema/settings.tbl by schema/gen.sh. */
#ifndef SETTINGS_GEN_H
#define SETTINGS_GEN_H
#include <stdbool.h>
#include <stdint.h>
struct settings {
	char *node_name;
	char *node_zone;
	char *node_address;
	int64_t node_port;
	int64_t node_control_port;
	char *node_region;
	char *node_secret_file;
	bool node_control_any;
	int64_t node_control_budget;
	char *node_peers;
	char *node_advertise;
	char *platform_table;
	char *platform_objects;
	char *platform_instances;
	int64_t platform_poll_ms;
	int64_t platform_timeout_ms;
	int64_t limits_body;
	int64_t limits_headers;
	int64_t limits_connections;
	int64_t limits_idle_ms;
	int64_t limits_request_ms;
	int64_t streams_silence_ms;
	int64_t entries_valid_ms;
	int64_t entries_spread_ms;
	char *log_level;
	char *admin_bootstrap_hash;
	int64_t orders_recheck_ms;
	int64_t loads_poll_ms;
	int64_t loads_timeout_ms;
	int64_t loads_target_work;
};
#endif
