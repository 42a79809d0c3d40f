// Guards against quantiles that exceed the error bound of the bucket layout.
#include <gtest/gtest.h>

#include "base/histogram.h"

TEST(Histogram, QuantileStaysWithinOneSixteenth)
{
	static struct snipe_histogram h;

	snipe_histogram_init(&h);
	for (uint64_t v = 1; v <= 100000; v++)
		snipe_histogram_add(&h, v);
	for (double q : {0.5, 0.9, 0.99}) {
		double exact = q * 100000;
		double got = (double)snipe_histogram_quantile(&h, q);
		EXPECT_GE(got, exact);
		EXPECT_LE(got, exact * (1 + 1.0 / 16) + 1);
	}
}

TEST(Histogram, EmptyHistogramAndLargestValue)
{
	static struct snipe_histogram h;

	snipe_histogram_init(&h);
	EXPECT_EQ(snipe_histogram_quantile(&h, 0.5), 0u);
	snipe_histogram_add(&h, UINT64_MAX);
	EXPECT_GT(snipe_histogram_quantile(&h, 1.0), 1ull << 40);
}
