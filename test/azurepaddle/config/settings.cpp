#include "azurepaddle/config/settings.hpp"
#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/config/documentation.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <fstream>
#include <iterator>

using namespace azurepaddle;
using namespace azurepaddle::config;

namespace {

std::string readRepositoryFile(const std::string& path)
{
    std::ifstream stream(std::string(AZUREPADDLE_SOURCE_FOLDER "/") + path);
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

const std::string secrets = "[secrets]\nendpoint = 0123456789abcdef\noperator = fedcba9876543210\n";

std::string sample()
{
    return "[instance]\nname = a\ndata_centre = x\nroles = entry, control\ndata_folder = d\n"
           "[peer]\nsecret = 0123456789abcdef\nseeds = b=10.0.0.2:7400\n  c=10.0.0.3:7400\nvoters = a b c\n"
        + secrets;
}

bool isRefused(const std::string& text, const std::string& section, const std::string& key, const std::string& reason)
{
    const auto result = parseSettings(text, "test.ini");
    if (result)
        return false;
    return std::any_of(result.error().begin(), result.error().end(), [&](const Problem& problem) {
        return problem.section == section && problem.key == key && problem.reason.find(reason) != std::string::npos;
    });
}

}

// Guards against lists that lose the elements on continued lines.
Test(Settings, listOnSeveralLines_parsed_isComplete)
{
    const auto settings = parseSettings(sample(), "test.ini");
    cr_assert(settings.has_value(), "%s", settings ? "" : describe(settings.error()).c_str());
    const std::vector<SeedAddress> expected { { "b", "10.0.0.2", 7400 }, { "c", "10.0.0.3", 7400 } };
    cr_assert(settings->seeds() == expected);
    cr_assert(settings->isVoter());
    cr_assert(settings->hasRole("control"));
    cr_assert(settings->http().threads == 512);
}

// Guards against a daemon that starts without secrets, identity or a disk it needs.
Test(Settings, missingOrContradictoryKeys_parsed_areRefused)
{
    cr_assert(isRefused("", "instance", "name", "required"));
    cr_assert(isRefused("", "secrets", "endpoint", "required"));
    cr_assert(isRefused("", "peer", "secret", "neither"));
    cr_assert(isRefused("[instance]\nroles = control\n", "instance", "data_folder", "control"));
    cr_assert(isRefused(sample() + "endpoint_file = f\n", "secrets", "endpoint", "contradicts"));
    cr_assert(isRefused(sample() + "[http]\ntls_key = k\n", "http", "tls_key", "together"));
    cr_assert(isRefused(sample() + "[http]\naddress = localhost\n", "http", "address", "not an IP address"));
    cr_assert(isRefused(sample() + "[timing]\nraft_election = 200 ms\n", "timing", "raft_election", "three times"));
    cr_assert(isRefused("[instance]\nname = a\n[peer]\nvoters = a d\n", "peer", "voters", "names d"));
    cr_assert(isRefused("[instance]\nname = a\n[peer]\nvoters = a d\n", "peer", "voters", "even number"));
}

// Guards against secrets that reach the log through a problem report.
Test(Settings, shortSecret_reported_isNotPrinted)
{
    const auto result = parseSettings("[secrets]\nendpoint = hunter2\n", "test.ini");
    cr_assert(!result.has_value());
    cr_assert(describe(result.error()).find("hunter2") == std::string::npos);
    cr_assert(isRefused("[secrets]\nendpoint = hunter2\n", "secrets", "endpoint", "at least 16"));
}

// Guards against a missing secret file that is taken for an empty secret.
Test(Settings, missingSecretFile_loaded_isRefused)
{
    const auto result = loadSettings(AZUREPADDLE_SOURCE_FOLDER "/config/azurepaddled.ini");
    cr_assert(!result.has_value());
    cr_assert(result.error().size() == 3);
    cr_assert(loadSettings("no-such-file").error().front().reason == "cannot be read");
}

// Guards against examples that no longer parse.
Test(Examples, files_parsed_areValid)
{
    cr_assert(parseSettings(readRepositoryFile("config/azurepaddled.ini"), "azurepaddled.ini").has_value());
    for (const char* name : { "config/sk-west.ini", "config/kwara.ini" }) {
        const auto result = parseConfiguration(readRepositoryFile(name), name);
        cr_assert(result.has_value(), "%s", result ? "" : describe(result.error()).c_str());
    }
}

// Guards against documentation that differs from the table of keys.
Test(Documentation, settingsPage_isCurrent)
{
    cr_assert(readRepositoryFile("docs/settings.md") == settingsDocumentation(), "run `azurepaddled --settings > docs/settings.md`");
}
