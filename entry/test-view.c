/*
 * Tests that the hash of a list of targets changes with the targets: nodes
 * compare lists by their hashes.
 */
#include <string.h>

#include "entry/entry.h"

#define TARGETS 6

static struct target_info target(unsigned i, bool draining)
{
	return (struct target_info){
		.id = i * 7919 + 1,
		.service = STR_LIT("pool"),
		.address = {.sin_family = AF_INET,
			    .sin_port = htons((uint16_t)(80 + i)),
			    .sin_addr = {htonl(0x0a000001 + i)}},
		.draining = draining,
	};
}

/* Hash of the list; bit i of the argument says whether target i is draining. */
static uint64_t list_hash(unsigned draining)
{
	uint64_t h = 0;

	for (unsigned i = 0; i < TARGETS; i++) {
		struct target_info t = target(i, draining >> i & 1);

		h ^= target_info_hash(&t);
	}
	return h;
}

/* Each set of draining targets gives another hash. */
static void test_draining_sets(void)
{
	for (unsigned a = 0; a < 1 << TARGETS; a++)
		for (unsigned b = 0; b < a; b++)
			g_assert_cmpuint(list_hash(a), !=, list_hash(b));
}

/* The hash changes when two targets exchange their addresses. */
static void test_address(void)
{
	struct target_info a = target(1, false), b = target(2, false);
	uint64_t before = target_info_hash(&a) ^ target_info_hash(&b);
	struct sockaddr_in address_of_a = a.address;

	a.address = b.address;
	b.address = address_of_a;
	g_assert_cmpuint(target_info_hash(&a) ^ target_info_hash(&b), !=,
			 before);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/view/leaving-sets", test_draining_sets);
	g_test_add_func("/entry/view/address", test_address);
	return g_test_run();
}
