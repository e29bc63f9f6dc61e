#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/core/invariant.hpp"
#include "azurepaddle/core/random.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace azurepaddle;

// Guards against a digest that differs from the published test vector of SHA-256.
Test(Digest, abc_hashed_matchesPublishedVector)
{
    cr_assert(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    cr_assert(sha256Hex("a", "bc") == sha256Hex("abc"));
    cr_assert(sha256Hex("abc", "") == sha256Hex("abc"));
}

// Guards against secrets that are accepted as prefixes of others.
Test(Digest, secretPrefix_compared_isRefused)
{
    cr_assert(equalSecrets("secret", "secret"));
    cr_assert(!equalSecrets("secret", "secre"));
    cr_assert(!equalSecrets("secret", "secreT"));
}

// Guards against simulations with equal seeds whose results differ.
Test(Random, equalSeeds_drawn_giveEqualSequences)
{
    Random left(7);
    Random right(7);
    for (int i = 0; i < 100; ++i)
        cr_assert(left.next() == right.next());
}

// Guards against a system clock that runs backwards between two readings.
Test(SystemClock, twoReadings_compared_neverFall)
{
    const SystemClock clock;
    const TimePoint first = clock.now();
    cr_assert(clock.now() >= first);
}

// Guards against an invariant that is checked only in debug builds.
Test(Invariant, falseCondition_checked_abortsProcess, .signal = SIGABRT)
{
    AZUREPADDLE_INVARIANT(1 + 1 == 3, "expected in this test");
}
