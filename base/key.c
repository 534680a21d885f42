/* Hashes of keys, as settings and resources keep them. */
#include <sodium.h>

#include "base/base.h"

char *key_hash(struct str key)
{
	unsigned char h[crypto_generichash_BYTES];
	char hex[crypto_generichash_BYTES * 2 + 1];

	crypto_generichash(h, sizeof(h), (const unsigned char *)key.data,
			   key.len, NULL, 0);
	return g_strdup(sodium_bin2hex(hex, sizeof(hex), h, sizeof(h)));
}
