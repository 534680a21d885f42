/*
 * Requesters take up streams of which they have all events, but not the end, as
 * when a channel breaks just before it. The engines answer with a whole stream
 * of no further events. Others, which lack one event, are for comparison. To be
 * run as review/build/finding-last-event review/findings.
 */
#include "review/stand/stand.h"

#define EVENTS       10
#define EVENT_GAP_MS 20
#define STREAMS      12
#define DEADLINE_MS  8000

static bool serve(struct engine_call *call)
{
	return engine_run(call) && engine_stream(call, EVENTS, EVENT_GAP_MS);
}

/* Receive until the end of a stream; false: it did not come. */
static bool receive_end(struct conn *c)
{
	while (!g_str_has_suffix(c->input->str, "0\r\n\r\n"))
		if (!conn_receive(c, now_ms() + 2000))
			return false;
	return true;
}

/* Take a stream up after its event; whether it goes on to its end. */
static bool take_up(const struct entry_process *entry, const char *stream,
		    int event)
{
	char id[32], headers[64];
	struct request q = {"POST", "/chat/0/1", id, headers, 100, DEADLINE_MS};
	struct conn *c = conn_connect(entry->callers_port, 0);
	struct message m = {0};
	bool goes_on;

	g_snprintf(id, sizeof(id), "%s-again", stream);
	g_snprintf(headers, sizeof(headers),
		   "Last-Event-Id: %d\r\nResumes: %s\r\n", event, stream);
	goes_on = c && conn_send_request(c, &q) &&
		  conn_read_head(c, &m, now_ms() + DEADLINE_MS) &&
		  m.status == 200 && receive_end(c);
	record("requester: %s is taken up after event %d of %d: status %d, %s",
	       stream, event, EVENTS, m.status,
	       goes_on ? "to its end" : "not to its end");
	message_clear(&m);
	conn_free(c);
	return goes_on;
}

int main(int argc, char **argv)
{
	struct manifest manifest = {1, 16384, 1500, 1};
	struct entry_options options = {"edge-a-1", 260, 4100};
	int at_end = 0, before = 0;
	struct entry_process *entry;
	struct store *store;

	case_begin(argc, argv);
	store = store_start();
	for (int i = 0; i < 4; i++)
		engine_start(store, "model-0", "v1", serve);
	manifest_write(store, &manifest);
	entry = entry_start(store, &options);
	sleep_ms(4000);
	for (int i = 0; i < STREAMS; i++) {
		struct conn *c = conn_connect(entry->callers_port, 0);
		char id[24];
		struct request q = {"POST", "/chat/0/1", id,
				    NULL,   100,         DEADLINE_MS};

		g_snprintf(id, sizeof(id), "stream-%d", i);
		if (!c || !conn_send_request(c, &q) || !receive_end(c))
			case_end(CASE_NOT_RUN, "%s did not end", id);
		conn_free(c);
		if (i % 2)
			at_end += take_up(entry, id, EVENTS);
		else
			before += take_up(entry, id, EVENTS - 1);
	}
	case_end(at_end < before ? CASE_BROKEN : CASE_HELD,
		 "of %d streams that were taken up after their last event %d"
		 " went on to their end; of %d after the one before, %d",
		 STREAMS / 2, at_end, STREAMS / 2, before);
}
