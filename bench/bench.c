/* Least squares, process CPU time and heap, and rows of a benchmark. */
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

#include "bench/bench.h"

struct fit fit_line(const double *x, const double *y, size_t n)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0;
	struct fit f = {0};

	for (size_t i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	f.slope = ((double)n * sxy - sx * sy) / ((double)n * sxx - sx * sx);
	f.intercept = (sy - f.slope * sx) / (double)n;
	for (size_t i = 0; i < n; i++) {
		double error = fabs(fit_at(&f, x[i]) - y[i]) / fabs(y[i]);

		f.max_relative_error = fmax(f.max_relative_error, error);
	}
	return f;
}

double fit_at(const struct fit *f, double x)
{
	return f->intercept + f->slope * x;
}

double cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

double heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)m.uordblks + (double)m.hblkhd;
}

static void print_row_with_bound(const char *name, double value,
				 const char *unit, double bound, bool ok)
{
	printf("%s\t%.6g\t%s\t%.6g\t%s\n", name, value, unit, bound,
	       ok ? "ok" : "short");
}

void row_at_most(const char *name, double value, const char *unit, double bound)
{
	print_row_with_bound(name, value, unit, bound, value <= bound);
}

void row_at_least(const char *name, double value, const char *unit,
		  double bound)
{
	print_row_with_bound(name, value, unit, bound, value >= bound);
}

void row_unbounded(const char *name, double value, const char *unit)
{
	printf("%s\t%.6g\t%s\t-\t-\n", name, value, unit);
}
