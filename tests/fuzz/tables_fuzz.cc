// libFuzzer entry point for the table reader. The input is the routes file and, after the first
// byte 0xff, the pools file. Refused input must leave no table and name a problem.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "config/tables.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	std::string text(reinterpret_cast<const char *>(data), size);
	size_t cut = text.find('\xff');
	std::string pools = cut == std::string::npos ? "" : text.substr(cut + 1);
	struct snipe_tables tables;
	struct snipe_problems problems;
	int err;

	snipe_problems_init(&problems);
	err = snipe_tables_load(&tables, text.substr(0, cut).c_str(), "routes", pools.c_str(),
				"pools", &problems);
	if ((err < 0) != (problems.count > 0) || (err < 0 && tables.routes))
		abort();
	if (err == 0)
		snipe_tables_match(&tables, "GET", text.c_str());
	snipe_tables_finish(&tables);
	snipe_problems_finish(&problems);
	return 0;
}
