/* Generated from schema/events.tbl by schema/gen.sh. */
#include "base/base.h"
const struct log_event_info log_events[EV_COUNT] = {
	{1001, LOG_INFO, "node_started"},
	{1002, LOG_INFO, "node_stopping"},
	{1003, LOG_INFO, "node_stopped"},
	{1004, LOG_ERROR, "settings_invalid"},
	{1005, LOG_ERROR, "listen_failed"},
	{2001, LOG_INFO, "config_applied"},
	{2002, LOG_WARNING, "config_unreadable"},
	{2003, LOG_WARNING, "store_unreachable"},
	{2004, LOG_INFO, "store_reachable"},
	{3001, LOG_INFO, "target_up"},
	{3002, LOG_INFO, "target_leaving"},
	{3003, LOG_WARNING, "target_down"},
	{4001, LOG_WARNING, "request_failed"},
	{4002, LOG_WARNING, "answer_crossed"},
	{4003, LOG_INFO, "stream_resumed"},
	{4004, LOG_WARNING, "stream_lost"},
	{4005, LOG_INFO, "request_refused"},
};
