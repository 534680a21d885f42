/* Byte queues: bytes are appended at the end and consumed from the front. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"

/* Consumed space at the front is reclaimed from this size on. */
#define COMPACT_BYTES 4096
/* Queues grow by doubling up to this size, and by as much beyond it. */
#define GROWTH_MAX_BYTES 65536
/* A queue that becomes empty keeps no more than this. */
#define EMPTY_MAX_BYTES 4096

static void resize(struct buf *b, size_t cap)
{
	account_add(b->account, (int64_t)cap - (int64_t)b->cap);
	b->cap = cap;
	b->data = g_realloc(b->data, cap);
}

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
	resize(b, MAX(b->len + n,
		      MAX(b->cap + MIN(b->cap, GROWTH_MAX_BYTES), 256)));
}

void buf_reserve(struct buf *b, size_t n)
{
	if (b->len + n > b->cap)
		resize(b, b->len + n);
}

void buf_set_account(struct buf *b, struct account *account)
{
	account_add(b->account, -(int64_t)b->cap);
	b->account = account;
	account_add(account, (int64_t)b->cap);
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
	if (b->off < b->len)
		return;
	b->off = b->len = 0;
	if (b->cap > EMPTY_MAX_BYTES)
		buf_clear(b);
}

void buf_clear(struct buf *b)
{
	account_add(b->account, -(int64_t)b->cap);
	g_free(b->data);
	*b = (struct buf){.account = b->account};
}

void buf_move(struct buf *to, struct buf *from)
{
	struct account *account = from->account;

	buf_clear(to);
	buf_set_account(from, to->account);
	*to = *from;
	*from = (struct buf){.account = account};
}

void buf_add_header(struct buf *b, struct str name, struct str value)
{
	buf_add(b, name.data, name.len);
	buf_add(b, ": ", 2);
	buf_add(b, value.data, value.len);
	buf_add(b, "\r\n", 2);
}
