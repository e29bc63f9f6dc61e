#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/core/random.hpp"

#include <algorithm>
#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::config;

namespace {

const std::string digestA(64, 'a');

std::string sample()
{
    return "[run gold]\ntenant = blue\nservice = model\n"
           "[configuration]\nnumber = 3\n"
           "[tenant blue]\ntoken_sha256 = "
        + digestA + "\n"
                    "[service model]\nversion_source = gold\n"
                    "[defaults]\nlong_share = 0.25\n";
}

Configuration parsed(const std::string& text)
{
    const auto result = parseConfiguration(text, "test.ini");
    cr_assert(result.has_value(), "%s", result ? "" : describe(result.error()).c_str());
    return *result;
}

bool isRefused(const std::string& text, const std::string& section, const std::string& key, const std::string& reason)
{
    const auto result = parseConfiguration(text, "test.ini");
    if (result)
        return false;
    return std::any_of(result.error().begin(), result.error().end(), [&](const Problem& problem) {
        return problem.section == section && problem.key == key && problem.reason.find(reason) != std::string::npos;
    });
}

}

// Guards against defaults that are applied only to sections after them.
Test(Configuration, defaultsAtTheEnd_parsed_reachEarlierSections)
{
    const Configuration configuration = parsed(sample());
    cr_assert(configuration.number() == 3);
    cr_assert(configuration.service(ServiceName("model"))->longShare == 0.25);
    cr_assert(configuration.run(RunName("gold"))->tenant == "blue");
    cr_assert(*configuration.tenantByTokenDigest(digestA) == TenantName("blue"));
    cr_assert(configuration.tenantByTokenDigest(std::string(64, 'b')) == nullptr);
}

// Guards against a digest that changes between instances or on a second submission of equal content.
Test(Configuration, canonicalText_parsedAgain_isEqual)
{
    const Configuration configuration = parsed(sample());
    const Configuration again = parsed(configuration.canonicalText());
    cr_assert(again == configuration);
    cr_assert(again.digest() == configuration.digest());
}

// Guards against a digest that depends on comments or spelling, and one that misses a changed value.
Test(Configuration, digest_dependsOnContentOnly)
{
    const Configuration plain = parsed(sample());
    cr_assert(parsed("; comment\n" + sample() + "deadline_long = 600 s\n").digest() == plain.digest());
    cr_assert(parsed(sample() + "deadline_long = 601 s\n").digest() != plain.digest());
}

// Guards against a report that stops at the first problem.
Test(Configuration, manyProblems_parsed_areAllReported)
{
    const std::string text = "[tenant blue]\nweight = heavy\ncolour = red\n[service x]\nkind = engin\nlong_share = 2\n"
                             "[shelf]\n[run r]\ntenant = nobody\nservice = nothing\nmax_group_size = 9\nsamples_per_handoff = 8\n";
    cr_assert(isRefused(text, "configuration", "number", "required"));
    cr_assert(isRefused(text, "tenant blue", "token_sha256", "required"));
    cr_assert(isRefused(text, "tenant blue", "weight", "not a number"));
    cr_assert(isRefused(text, "tenant blue", "colour", "unknown key"));
    cr_assert(isRefused(text, "service x", "kind", "not one of engine|plain"));
    cr_assert(isRefused(text, "service x", "long_share", "out of range"));
    cr_assert(isRefused(text, "shelf", "", "unknown section"));
    cr_assert(isRefused(text, "run r", "tenant", "not configured"));
    cr_assert(isRefused(text, "run r", "service", "not configured"));
    cr_assert(isRefused(text, "run r", "max_group_size", "never divided"));
}

// Guards against two tenants with one token, and a service that follows the versions of another service's run.
Test(Configuration, contradictions_parsed_areRefused)
{
    cr_assert(isRefused(sample() + "[tenant red]\ntoken_sha256 = " + digestA + "\n", "tenant red", "token_sha256", "tenant blue"));
    cr_assert(isRefused(sample() + "[service other]\nversion_source = gold\n", "service other", "version_source", "uses service model"));
    cr_assert(isRefused(sample() + "[service desk]\nkind = plain\nchecks_fencing = yes\n", "service desk", "checks_fencing", "plain"));
    cr_assert(isRefused(sample() + "deadline_short = 1 h\n", "defaults", "deadline_short", "longer"));
}

// Guards against input that inih cuts or merges without an error.
Test(Configuration, inputThatInihCuts_parsed_isRefused)
{
    cr_assert(isRefused(sample() + "[tenant " + std::string(60, 'x') + "]\n", "tenant " + std::string(60, 'x'), "", "at most 49"));
    cr_assert(isRefused(sample() + "long_share = 0." + std::string(300, '5') + "\n", "defaults", "", "at most 197"));
    cr_assert(isRefused(sample() + "[defaults]\n", "defaults", "", "given twice"));
    cr_assert(isRefused(sample() + "just words\n", "defaults", "", "neither a section nor key"));
    cr_assert(isRefused("number = 1\n" + sample(), "", "", "before the first section"));
    cr_assert(isRefused(sample() + "long_share = 0.3\n", "defaults", "long_share", "given 2 times"));
    cr_assert(isRefused(sample() + std::string(1, '\0'), "", "", "zero byte"));
}

// Guards against a duration without a unit that is read as milliseconds or seconds.
Test(Configuration, durationWithoutUnit_parsed_isRefused)
{
    cr_assert(isRefused(sample() + "deadline_long = 600\n", "defaults", "deadline_long", "not a duration"));
    cr_assert(isRefused(sample() + "deadline_long = nan s\n", "defaults", "deadline_long", "not a duration"));
    cr_assert(isRefused(sample() + "deadline_long = -1 s\n", "defaults", "deadline_long", "out of range"));
}

// Guards against changes that an operator does not see before applying them.
Test(Configuration, diff_listsEveryChange)
{
    const Configuration before = parsed(sample());
    const Configuration after = parsed("[configuration]\nnumber = 4\n[tenant blue]\nweight = 2\ntoken_sha256 = " + digestA + "\n[service model]\n");
    const std::vector<std::string> expected {
        "[configuration] number: 3 -> 4",
        "[defaults] long_share: 0.25 -> 0.5",
        "[tenant blue] weight: 1 -> 2",
        "[service model] long_share: 0.25 -> 0.5",
        "[service model] version_source: gold -> none",
        "- [run gold]",
    };
    cr_assert(diff(before, after) == expected);
    cr_assert(diff(before, before).empty());
}

// Guards against input that crashes the parser, and accepted input whose canonical text means something else.
Test(Configuration, changedBytes_parsed_areRefusedOrRoundTrip)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr int rounds = 3000;
    constexpr std::string_view alphabet = "[]=:;#\n \t,.0123456789-abcdefyn\r\0\xff";
    Random random(seed);
    int accepted = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string text = sample();
        for (std::uint64_t changes = 1 + random.below(3); changes > 0; --changes)
            text[random.below(text.size())] = alphabet[random.below(alphabet.size())];
        const auto result = parseConfiguration(text, "test.ini");
        if (!result) {
            cr_assert(!result.error().empty(), "seed %lu round %d", seed, round);
            continue;
        }
        ++accepted;
        const auto again = parseConfiguration(result->canonicalText(), "canonical");
        cr_assert(again.has_value() && *again == *result, "seed %lu round %d", seed, round);
    }
    cr_assert(accepted > 0);
}
