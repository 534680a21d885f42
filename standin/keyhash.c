/* keyhash KEY: print the hash of a bearer key, as resources store it. */
#include <stdio.h>

#include "state/state.h"

int main(int argc, char **argv)
{
	char *hash;

	if (argc != 2) {
		fprintf(stderr, "usage: %s KEY\n", argv[0]);
		return 2;
	}
	hash = key_hash(str_c(argv[1]));
	puts(hash);
	g_free(hash);
	return 0;
}
