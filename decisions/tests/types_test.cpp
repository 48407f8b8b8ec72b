#include <criterion/criterion.h>

#include "types.h"

using namespace gooseberry;

Test(types, resources_fit_only_in_all_dimensions)
{
  const auto room = Resources{ 1000, 1000, 1 };
  cr_assert((Resources{ 1000, 1000, 1 }.FitsIn(room)));
  cr_assert_not((Resources{ 1001, 1, 0 }.FitsIn(room)));
  cr_assert_not((Resources{ 1, 1001, 0 }.FitsIn(room)));
  cr_assert_not((Resources{ 1, 1, 2 }.FitsIn(room)));
}
