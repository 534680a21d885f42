/* How the soak harms an entry's ways to others. See test-harm.h. */
#include <fcntl.h>
#include <unistd.h>

#include "soak/soak.h"
#include "soak/test-harm.h"

char **harm_environment(const struct entry_process *p)
{
	char *path = g_strconcat(p->settings_path, ".harm", NULL);
	char **env = g_get_environ();

	if (p->harmed) {
		harm_peers_of(p, PEER_HARM_NONE);
		env = g_environ_setenv(env, PEER_HARM_FILE, path, true);
	}
	g_free(path);
	return env;
}

void harm_peers_of(const struct entry_process *p, char harm)
{
	char *path = g_strconcat(p->settings_path, ".harm", NULL);
	int fd = open(path, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);

	g_assert_cmpint(pwrite(fd, &harm, 1, 0), ==, 1);
	close(fd);
	g_free(path);
}
