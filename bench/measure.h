/*
 * What the benchmarks share: CPU and memory of a process as the kernel counts them.
 */
#ifndef SNIPE_BENCH_MEASURE_H
#define SNIPE_BENCH_MEASURE_H

#include <sys/types.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include "support/process.h"

namespace snipe_bench
{

/* CPU time in seconds, from schedstat (nanoseconds on the CPU). */
inline double CpuSeconds(pid_t pid)
{
	std::istringstream in(
		snipe_test::ReadFile("/proc/" + std::to_string(pid) + "/schedstat"));
	double ns = 0;

	in >> ns;
	return ns / 1e9;
}

/* Resident memory in MB. */
inline double ResidentMb(pid_t pid)
{
	std::string text = snipe_test::ReadFile("/proc/" + std::to_string(pid) + "/status");
	size_t at = text.find("VmRSS:");

	return at == std::string::npos ? 0 : std::atof(text.c_str() + at + 6) / 1024;
}

inline double Quantile(std::vector<double> values, double q)
{
	if (values.empty())
		return 0;
	std::sort(values.begin(), values.end());
	return values[std::min(values.size() - 1,
			       static_cast<size_t>(q * static_cast<double>(values.size())))];
}

} // namespace snipe_bench

#endif
