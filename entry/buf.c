/* Byte queues: bytes are appended at the end and consumed from the front. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"

/* Consumed space at the front is reclaimed from this size on. */
#define COMPACT_BYTES 4096

/* Make room for n more bytes. */
static void reserve(struct buf *b, size_t n)
{
	if (b->off == b->len)
		b->off = b->len = 0;
	if (b->off >= COMPACT_BYTES && b->off >= b->len - b->off) {
		memmove(b->data, b->data + b->off, b->len - b->off);
		b->len -= b->off;
		b->off = 0;
	}
	if (b->len + n <= b->cap)
		return;
	b->cap = MAX(b->cap * 2, b->len + n);
	b->cap = MAX(b->cap, 256);
	b->data = g_realloc(b->data, b->cap);
}

void buf_add(struct buf *b, const void *p, size_t n)
{
	if (!n)
		return;
	reserve(b, n);
	memcpy(b->data + b->len, p, n);
	b->len += n;
}

void buf_fmt(struct buf *b, const char *fmt, ...)
{
	va_list ap, again;
	int n;

	va_start(ap, fmt);
	va_copy(again, ap);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n > 0) {
		reserve(b, (size_t)n + 1); /* vsnprintf adds a NUL */
		vsnprintf(b->data + b->len, (size_t)n + 1, fmt, again);
		b->len += (size_t)n;
	}
	va_end(again);
}

void buf_consume(struct buf *b, size_t n)
{
	b->off += n;
	if (b->off == b->len)
		b->off = b->len = 0;
}

void buf_clear(struct buf *b)
{
	g_free(b->data);
	memset(b, 0, sizeof(*b));
}

void buf_add_header(struct buf *b, struct str name, struct str value)
{
	buf_add(b, name.data, name.len);
	buf_add(b, ": ", 2);
	buf_add(b, value.data, value.len);
	buf_add(b, "\r\n", 2);
}
