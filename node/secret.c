/* The secret that the nodes of a fleet share. */
#include <sodium.h>
#include <string.h>

#include "node/node.h"

char *secret_read(const char *path)
{
	char *text;
	gsize n;

	if (!g_file_get_contents(path, &text, &n, NULL))
		return NULL;
	g_strstrip(text);
	if (*text)
		return text;
	g_free(text);
	return NULL;
}

void secret_free(char *text)
{
	if (text)
		sodium_memzero(text, strlen(text));
	g_free(text);
}
