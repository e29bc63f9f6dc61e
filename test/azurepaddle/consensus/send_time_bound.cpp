#include "azurepaddle/consensus/send_time_bound.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::consensus;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
constexpr Duration senderStart = 5s; ///< What the sender's clock shows at the start.

}

// Detects a first message that counts as sent just now although it was delayed for long.
Test(SendTimeBound, firstMessageDelayed_countsFromTheEchoedTime)
{
    SendTimeBound bound;
    cr_assert(bound.recordMessage(senderStart, start - 1s, start + 3s) == start - 1s);
}

// Detects a bound that stays as loose as that of the first message after a message has shown the clocks better.
Test(SendTimeBound, laterMessageAnswersAtOnce_earlierBoundIsTightened)
{
    SendTimeBound bound;
    static_cast<void>(bound.recordMessage(senderStart, start - 1s, start));
    cr_assert(bound.recordMessage(senderStart + 2s, start + 2s - 1ms, start + 2s) == start + 2s - 1ms);
    cr_assert(bound.recordMessage(senderStart + 3s, start + 2s, start + 9s) == start + 3s - 1ms);
}

// Detects a bound that is kept for ever although the sender's clock runs faster.
Test(SendTimeBound, windowsPassed_bound_isDeterminedAnew)
{
    SendTimeBound bound;
    static_cast<void>(bound.recordMessage(senderStart, start, start));
    for (int i = 1; i <= 2; ++i)
        static_cast<void>(bound.recordMessage(senderStart + i * 31s, start + i * 31s - 100ms, start + i * 31s));
    cr_assert(bound.recordMessage(senderStart + 70s, start + 69s, start + 70s) == start + 70s - 100ms);
}
