/*
 * test-harm: harms datagrams between the entry processes of a soak, which run
 * build/soak/harmed-entry: rampentry with test-peer-harm.c, which does it. Main
 * thread only.
 */
#ifndef TEST_HARM_H
#define TEST_HARM_H

#include <stdbool.h>
#include <stdint.h>

#define PEER_HARM_FILE                                                         \
	"PEER_HARM" /* environment variable: path of the file                  \
		     */
/* At least; until the next datagram comes. */
#define PEER_HARM_DELAY_MS 700

enum peer_harm {
	PEER_HARM_NONE = '0',
	PEER_HARM_LOSE_SENT,
	PEER_HARM_LOSE_RECEIVED,
	PEER_HARM_LOSE_ALL,
	PEER_HARM_DELAY,
	PEER_HARM_END,
};

struct entry_process;

/* Return the environment of an entry, to be freed with g_strfreev. */
char **harm_environment(const struct entry_process *p);
/* Harm its datagrams to other entries, by one of enum peer_harm. */
void harm_peers_of(const struct entry_process *p, char harm);

#endif
