/* What peer-harm.c does to datagrams between entries. */
#ifndef PEER_HARM_H
#define PEER_HARM_H

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

#endif
