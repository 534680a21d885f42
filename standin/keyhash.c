/* keyhash KEY: the hash of a bearer key, as resources keep it. */
#include <stdio.h>

#include "state/state.h"

int main(int argc, char **argv)
{
	char *h;

	if (argc != 2) {
		fprintf(stderr, "usage: %s KEY\n", argv[0]);
		return 2;
	}
	h = key_hash(str_c(argv[1]));
	puts(h);
	g_free(h);
	return 0;
}
