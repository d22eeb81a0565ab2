#include "position_text.h"

#include <gtest/gtest.h>

/* Guards against an order by the revision where the era differs. */
TEST(position, era_goes_before_the_revision)
{
	const char *const in_order[] = {"0", "1", "900", "1:0", "1:1", "1:9", "2:0", "2:5"};

	for (size_t i = 0; i < G_N_ELEMENTS(in_order); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(in_order); j++) {
			struct position a = position_of(in_order[i]);
			struct position b = position_of(in_order[j]);

			EXPECT_EQ(position_compare(a, b), (i > j) - (i < j)) << i << " " << j;
			EXPECT_EQ(position_is_after(a, b), i > j) << i << " " << j;
			EXPECT_EQ(position_text(position_max(a, b)), in_order[MAX(i, j)]);
		}
}
