#include "azurepaddle/scaling/sustained_need.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::scaling;
using namespace std::chrono_literals;

// Guards against endpoints that are ordered for a step that ends before they serve, and against load that lasts and is
// taken for a burst.
Test(SustainedNeed, needRises_countsOnceItHasLasted)
{
    constexpr TimePoint start { 100s };
    SustainedNeed need(5s);
    cr_assert(need.add(60, start) == 0);
    cr_assert(need.add(60, start + 4s) == 0);
    cr_assert(need.add(7, start + 6s) == 7);
    cr_assert(need.add(90, start + 8s) == 7);
    cr_assert(need.add(80, start + 11s) == 7);
    cr_assert(need.add(85, start + 12s) == 80);
    need.clear();
    cr_assert(need.add(85, start + 13s) == 0);
}
