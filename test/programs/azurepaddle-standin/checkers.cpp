#include "azurepaddle/core/digest.hpp"
#include "prefix_cache.hpp"
#include "pull_checker.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::standin;

namespace {

const std::vector<Span> spans { { 0, 3, 1 }, { 3, 2, 2 } };

std::string sampleText(const std::string& prompt, std::uint64_t index)
{
    return spanText(sha256Hex(prompt), index, spans, 0, 5);
}

nlohmann::json sample(std::uint64_t sequence, const std::string& group, std::uint64_t index)
{
    return { { "sequence", sequence }, { "group", group }, { "index", index }, { "text", sampleText("prompt " + group, index) }, { "spans", toJson(spans) } };
}

/// A checker that expects the groups a and b with two samples each.
struct Fixture {
    Violations violations;
    PullChecker checker { violations, 1, false };

    Fixture()
    {
        checker.expect("a", { "prompt a", 2, 5 });
        checker.expect("b", { "prompt b", 2, 5 });
    }

    std::optional<Delivery> accept(const std::vector<nlohmann::json>& samples, std::uint64_t nextCursor, Pull pull = { 7, 10, 2 })
    {
        return checker.accept(pull, { { "pull", 7 }, { "cursor", 10 }, { "next_cursor", nextCursor }, { "samples", samples } });
    }
};

}

// Guards against a label check that accepts a wrong version, a foreign answer, or a shortened text.
Test(TextFault, wrongLabelPromptIndexOrLength_isFound)
{
    const std::string text = sampleText("p", 0);
    cr_assert(!findTextFault("p", 0, spans, text));
    cr_assert(findTextFault("p", 0, { { 0, 5, 1 } }, text));
    cr_assert(findTextFault("p", 0, { { 0, 4, 1 }, { 4, 1, 2 } }, text));
    cr_assert(findTextFault("q", 0, spans, text));
    cr_assert(findTextFault("p", 1, spans, text));
    cr_assert(findTextFault("p", 0, spans, text.substr(tokenBytes)));
    cr_assert(findTextFault("p", 0, { { 0, 3, 1 }, { 4, 1, 2 } }, text));
}

// Guards against violations that are reported where there are none, in particular at a gap left by voided numbers.
Test(PullChecker, correctReply_accepted_hasNoViolation)
{
    Fixture fixture;
    const auto delivery = fixture.accept({ sample(12, "a", 0), sample(13, "a", 1), sample(20, "b", 1), sample(21, "b", 0) }, 21);
    cr_assert(fixture.violations.total() == 0, "%s", fixture.violations.toJson().dump().c_str());
    cr_assert(delivery->cursor == 21);
    cr_assert(delivery->groups.size() == 2);
    cr_assert(delivery->staleness == std::vector<std::uint64_t>(4, 1));
}

// Guards against a sample that is delivered twice and counted once.
Test(PullChecker, groupDeliveredTwice_isViolation)
{
    Fixture fixture;
    cr_assert(fixture.accept({ sample(11, "a", 0), sample(12, "a", 1) }, 12).has_value());
    cr_assert(fixture.accept({ sample(13, "a", 0), sample(14, "a", 1) }, 14).has_value());
    cr_assert(fixture.violations.count("twice") == 1);
}

// Guards against divided groups, disorder, foreign groups and a cursor that does not name the last sample.
Test(PullChecker, faultyReplies_areViolations)
{
    Fixture fixture;
    cr_assert(fixture.accept({ sample(12, "a", 0) }, 12).has_value());
    cr_assert(fixture.violations.count("divided") == 1);
    cr_assert(fixture.accept({ sample(9, "b", 0), sample(8, "b", 1) }, 10).has_value());
    cr_assert(fixture.violations.count("order") == 2);
    cr_assert(fixture.accept({ sample(15, "c", 0) }, 16).has_value());
    cr_assert(fixture.violations.count("foreign") == 1);
    cr_assert(fixture.violations.count("cursor") == 1);
}

// Guards against a staleness check that looks at the newest span instead of the oldest.
Test(PullChecker, oldFirstSpan_isStale)
{
    Fixture fixture;
    cr_assert(fixture.accept({ sample(11, "a", 0), sample(12, "a", 1) }, 12, { 7, 10, 3 }).has_value());
    cr_assert(fixture.violations.count("stale") == 2);
}

// Guards against a late reply to an older pull that moves the cursor.
Test(PullChecker, replyToOlderPull_isIgnored)
{
    Fixture fixture;
    cr_assert(!fixture.accept({ sample(11, "a", 0), sample(12, "a", 1) }, 12, { 8, 10, 2 }).has_value());
    cr_assert(!fixture.checker.hasReceived("a"));
}

// Guards against a cache that counts a hit behind a missing block, or that exceeds its memory.
Test(PrefixCache, lruEviction_keepsLimitAndHitsFromTheStart)
{
    PrefixCache cache(3);
    const auto first = prefixHashes(std::string(2 * prefixBlockBytes, 'a'));
    cr_assert(first.size() == 2);
    cr_assert(cache.use(first, 1) == 0);
    cr_assert(cache.use(first, 2) == 2);
    cr_assert(cache.use(prefixHashes(std::string(2 * prefixBlockBytes, 'b')), 3) == 0);
    cr_assert(cache.size() == 3);
    cr_assert(cache.takeEvents(3).size() == 5);
}
