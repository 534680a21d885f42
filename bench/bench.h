/*
 * bench: helpers of the programs that measure. A row is "name value unit
 * bound ok|short", separated by tabs; bounds come from the stated targets.
 */
#ifndef BENCH_H
#define BENCH_H

#include <stdbool.h>
#include <stddef.h>

/* A straight line through measured points, by least squares. */
struct fit {
	double slope;
	double base;
	double worst; /* largest relative error at a measured point */
};

struct fit fit_line(const double *x, const double *y, size_t n);
double fit_at(const struct fit *f, double x);

/* CPU time of this process, in seconds. */
double cpu_seconds(void);
/* Bytes that malloc has handed out and not taken back. */
double heap_bytes(void);

/* Print a row that is ok when value <= bound. */
void row_at_most(const char *name, double value, const char *unit,
		 double bound);
/* Print a row that is ok when value >= bound. */
void row_at_least(const char *name, double value, const char *unit,
		  double bound);
/* Print a row without a bound of its own. */
void row_figure(const char *name, double value, const char *unit);

#endif
