/*
 * What one node tells the others of the requests that it has in progress at
 * each target, as one datagram; there is no reply.
 */
const LOADS_MAX = 120;

struct load_entry {
	unsigned hyper target;	/* hash of its id */
	unsigned int running;	/* requests of the sender there */
};

struct load_news {
	unsigned hyper node;	/* hash of the sender's name */
	unsigned hyper seq;	/* grows with each datagram of a start */
	unsigned hyper start;	/* when the sender started, wall-clock ms */
	bool serving;		/* takes callers' requests now */
	load_entry entries<LOADS_MAX>;
};
