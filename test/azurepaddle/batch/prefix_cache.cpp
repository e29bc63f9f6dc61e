#include "azurepaddle/batch/prefix_cache.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::batch;

namespace {

constexpr std::uint64_t capacity = 1000;
constexpr TimePoint start {};

PromptHolder holder(const std::string& model = "m", WeightVersion version = 1, std::uint64_t startedMs = 5)
{
    return { EndpointId("e"), startedMs, ModelName(model), version };
}

std::uint64_t heldTokens(const PrefixCache& cache, const std::vector<PromptPart>& prompt, const PromptHolder& at = holder())
{
    return cache.find(at, prompt, start).tokens;
}

/// Records a whole request.
void run(PrefixCache& cache, std::uint64_t number, const std::vector<PromptPart>& prompt, const PromptHolder& at = holder())
{
    cache.recordSent(number, at, capacity, prompt, 0, start);
    cache.recordBegun(number, at.version);
    cache.recordEnded(number);
}

const std::vector<PromptPart> first { { 1, 100 }, { 2, 200 }, { 3, 30 } };
const std::vector<PromptPart> second { { 1, 100 }, { 2, 200 }, { 4, 40 } };

}

// Guards against a common beginning of two prompts that is not recognised.
Test(PrefixCache, secondPromptOfGroup_sharedPartsAreHeld)
{
    PrefixCache cache;
    cr_assert(heldTokens(cache, second) == 0);
    run(cache, 1, first);
    cr_assert(heldTokens(cache, first) == 330);
    cr_assert(heldTokens(cache, second) == 300);
}

// Guards against parts that are counted as reusable although a part before them is missing.
Test(PrefixCache, earlierPartMissing_laterOnesDoNotCount)
{
    PrefixCache cache;
    run(cache, 1, first);
    cr_assert(heldTokens(cache, { { 9, 10 }, { 2, 200 } }) == 0);
    cr_assert(heldTokens(cache, { { 1, 100 }, { 9, 10 }, { 2, 200 } }) == 100);
}

// Guards against parts of another model, incarnation or weight version that are counted as reusable.
Test(PrefixCache, otherModelRestartOrNewWeights_nothingIsHeld)
{
    PrefixCache cache;
    run(cache, 1, first);
    cr_assert(heldTokens(cache, first, holder("other")) == 0);
    cr_assert(heldTokens(cache, first, holder("m", 2)) == 0);
    cr_assert(heldTokens(cache, first, holder("m", 1, 6)) == 0);
}

// Guards against parts that return when an endpoint goes back to weights that it had before, and against weights of one
// model that discard the parts of another.
Test(PrefixCache, weightsChangedAndBack_onlyThatModelIsForgotten)
{
    PrefixCache cache;
    run(cache, 1, first);
    run(cache, 2, first, holder("other"));
    run(cache, 3, { { 7, 10 } }, holder("m", 2));
    run(cache, 4, { { 8, 10 } }, holder("m", 1));
    cr_assert(heldTokens(cache, first) == 0);
    cr_assert(heldTokens(cache, first, holder("other")) == 330);
}

// Guards against parts of a restarted endpoint that survive in the prediction, and against a request of the earlier
// incarnation that changes it when it ends.
Test(PrefixCache, endpointRestarts_earlierRunEnds_nothingOfItRemains)
{
    PrefixCache cache;
    cache.recordSent(1, holder(), capacity, first, 900, start);
    run(cache, 2, { { 1, 100 } }, holder("m", 1, 6));
    cache.recordBegun(1, 1);
    cache.recordGenerated(1, 500);
    cache.recordEnded(1);
    cr_assert(heldTokens(cache, first, holder("m", 1, 6)) == 100);
    cr_assert(heldTokens(cache, first) == 0);
}

// Guards against items that are placed for prompts which the endpoint evicted long ago.
Test(PrefixCache, memoryFull_leastRecentlyUsedPartIsEvicted)
{
    PrefixCache cache;
    run(cache, 1, { { 1, 400 } });
    run(cache, 2, { { 2, 400 } });
    run(cache, 3, { { 1, 400 } });
    run(cache, 4, { { 3, 400 } });
    cr_assert(heldTokens(cache, { { 1, 400 } }) == 400);
    cr_assert(heldTokens(cache, { { 2, 400 } }) == 0);
    cr_assert(heldTokens(cache, { { 3, 400 } }) == 400);
}

// Guards against a shared part that is evicted before the parts which are of no use without it.
Test(PrefixCache, memoryFull_sharedPartOutlivesTheOwnOne)
{
    PrefixCache cache;
    run(cache, 1, { { 1, 400 }, { 2, 400 } });
    run(cache, 2, { { 3, 400 } });
    cr_assert(heldTokens(cache, { { 1, 400 }, { 2, 400 } }) == 400);
}

// Guards against a prediction that ignores the memory taken by output, and against one that evicts parts in use.
Test(PrefixCache, outputGrows_unusedPartsAreEvicted_usedOnesStay)
{
    PrefixCache cache;
    run(cache, 1, { { 1, 400 } });
    cache.recordSent(2, holder(), capacity, { { 2, 400 } }, 100, start);
    cache.recordBegun(2, 1);
    cr_assert(heldTokens(cache, { { 1, 400 } }) == 400);
    cache.recordGenerated(2, 150);
    cr_assert(heldTokens(cache, { { 1, 400 } }) == 0);
    cache.recordGenerated(2, 5000);
    cr_assert(heldTokens(cache, { { 2, 400 } }) == 400);
    cache.recordEnded(2);
    run(cache, 3, { { 3, 600 } });
    cr_assert(heldTokens(cache, { { 2, 400 } }) == 400, "the output of an ended request still takes memory");
}

// Guards against parts that count as held although the endpoint has not begun to process them or never did.
Test(PrefixCache, requestNotBegun_partsAreOnlyStarting)
{
    PrefixCache cache;
    cache.recordSent(1, holder(), capacity, first, 0, start);
    cr_assert(cache.find(holder(), second, start) == HeldPrompt({ 0, 300 }));
    cr_assert(cache.find(holder(), second, start + std::chrono::seconds(1)) == HeldPrompt(), "an endpoint that does not begin is waited for without a bound");
    cache.recordEnded(1);
    cr_assert(cache.find(holder(), second, start) == HeldPrompt());
    cr_assert(cache.partCount(EndpointId("e")) == 0);
}

// Guards against parts counted for the weights at the time of placement although the endpoint answered with newer ones.
Test(PrefixCache, answerNamesOtherVersion_partsBelongToThatVersion)
{
    PrefixCache cache;
    cache.recordSent(1, holder(), capacity, first, 0, start);
    cache.recordBegun(1, 2);
    cr_assert(heldTokens(cache, first) == 0);
    cr_assert(heldTokens(cache, first, holder("m", 2)) == 330);
    cache.recordEnded(1);
    cr_assert(heldTokens(cache, first, holder("m", 2)) == 330);
}

// Guards against memory of the leader that grows with the number of prompts or of endpoints that have left.
Test(PrefixCache, manySmallPartsAndRemovedEndpoint_memoryIsBounded)
{
    PrefixCache cache;
    for (std::uint64_t number = 1; number <= 6000; ++number) {
        cache.recordSent(number, holder(), 1'000'000, { { number, 1 } }, 0, start);
        cache.recordBegun(number, 1);
        cache.recordEnded(number);
    }
    cr_assert(cache.partCount(EndpointId("e")) <= 4096);
    cache.retainOnly({});
    cr_assert(cache.partCount(EndpointId("e")) == 0);
    cr_assert(heldTokens(cache, { { 6000, 1 } }) == 0);
}

// Guards against predictions for endpoints whose memory is not configured.
Test(PrefixCache, noCapacity_nothingIsPredicted)
{
    PrefixCache cache;
    cache.recordSent(1, holder(), 0, first, 0, start);
    cache.recordBegun(1, 1);
    cr_assert(heldTokens(cache, first) == 0);
}

// Guards against memory that counts as taken after its request has ended, or as free while a request needs it.
Test(PrefixCache, requestsRunAndEnd_shortageCountsOnlyRunningOnes)
{
    PrefixCache cache;
    cr_assert(cache.findShortage(holder(), 5000) == 0, "an endpoint of which nothing is known has no known memory");
    cache.recordSent(1, holder(), capacity, first, 100, start);
    cache.recordSent(2, holder(), capacity, second, 0, start);
    cr_assert(cache.findShortage(holder(), 1000) == 330 + 40 + 100);
    cache.recordBegun(1, 1);
    cache.recordGenerated(1, 50);
    cr_assert(cache.findShortage(holder(), 1000) == 330 + 40 + 150);
    cache.recordEnded(1);
    cr_assert(cache.findShortage(holder(), 1000) == 300 + 40);
    run(cache, 3, { { 7, 10 } }, holder("m", 2));
    cr_assert(cache.findShortage(holder(), 1000) == 0, "discarded parts still count");
    cache.recordEnded(2);
    cr_assert(cache.findShortage(holder(), 1000) == 0);
}
