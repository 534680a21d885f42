/*
 * bench: helpers of the benchmark programs, which print one row per figure:
 * "name value unit bound ok|short", separated by tabs. A row is short when its
 * value misses the bound, which comes from the product's stated targets. The
 * functions may be called from any thread; they own and allocate nothing.
 */
#ifndef BENCH_H
#define BENCH_H

#include <stdbool.h>
#include <stddef.h>

/* A straight line fitted to measured points by least squares. */
struct fit {
	double slope;
	double intercept;          /* value at x = 0 */
	double max_relative_error; /* of the line, at any measured point */
};

/* Fit a line to n points; the x must differ and no y may be 0. */
struct fit fit_line(const double *x, const double *y, size_t n);
/* Return the line's value at x. */
double fit_at(const struct fit *f, double x);

/* Return the CPU time of this process so far, in seconds. */
double cpu_seconds(void);
/* Return the bytes allocated by malloc and not freed. */
double heap_bytes(void);

/* Print a row that is ok when value <= bound. */
void row_at_most(const char *name, double value, const char *unit,
		 double bound);
/* Print a row that is ok when value >= bound. */
void row_at_least(const char *name, double value, const char *unit,
		  double bound);
/* Print a row without a bound: "-" in the columns bound and state. */
void row_unbounded(const char *name, double value, const char *unit);

#endif
