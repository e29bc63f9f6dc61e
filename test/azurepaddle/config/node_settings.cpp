#include "azurepaddle/config/node_settings.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::config;

namespace {

const std::string store = R"([node]
name = storage-a-1
data_centre = a
role = store
data_folder = /data/store

[listen]
control = 10.1.0.13:8166

[peer]
address = 10.1.0.13
port = 7720
seeds = 10.1.0.13:8166,10.2.0.43:8166
secret = only-a-test-secret-here
first_start = yes

[bounds]
tolerated_losses = 1
order_lease = 3000ms
stop_timeout = 8s
)";

std::size_t problemsOf(const std::string& text)
{
    const auto settings = parseNodeSettings(text, "node.ini");
    return settings ? 0 : settings.error().size();
}

std::string without(std::string text, const std::string& line)
{
    const std::size_t at = text.find(line);
    return text.erase(at, line.size() + 1);
}

}

// Guards against settings of a platform's template that are not understood.
Test(NodeSettings, storeSettings_read_giveAllValues)
{
    const auto settings = parseNodeSettings(store, "node.ini");
    cr_assert(settings.has_value());
    cr_assert(settings->isStore());
    cr_assert(settings->peer.isFirstStart);
    cr_assert(settings->peerAddress() == InstanceAddress({ "10.1.0.13", 7720 }));
    cr_assert(settings->seedPeers() == std::vector<InstanceAddress>({ { "10.1.0.13", 7720 }, { "10.2.0.43", 7720 } }));
    cr_assert(settings->bounds.orderLease == std::chrono::seconds(3));
}

// Guards against a node behind a relay that listens where the relay does.
Test(NodeSettings, listenPort_givenOrNot_isWhereTheNodeListens)
{
    cr_assert(parseNodeSettings(store, "node.ini")->peerListenAddress() == InstanceAddress({ "10.1.0.13", 7720 }));
    std::string relayed = store;
    relayed.replace(relayed.find("port = 7720"), 11, "port = 7720\nlisten_port = 7721");
    const auto settings = parseNodeSettings(relayed, "node.ini");
    cr_assert(settings->peerAddress() == InstanceAddress({ "10.1.0.13", 7720 }));
    cr_assert(settings->peerListenAddress() == InstanceAddress({ "10.1.0.13", 7721 }));
}

// Guards against a node that starts with settings it cannot work with.
Test(NodeSettings, missingOrWrongValues_read_areAllReported)
{
    cr_assert(problemsOf(without(store, "data_folder = /data/store")) == 1);
    cr_assert(problemsOf(without(store, "control = 10.1.0.13:8166")) == 1);
    cr_assert(problemsOf(without(store, "secret = only-a-test-secret-here")) == 1);
    cr_assert(problemsOf(store + "unknown = 1\n") == 1);
    cr_assert(problemsOf(store + "[other]\nkey = 1\n") == 1);
    std::string wrong = store;
    wrong.replace(wrong.find("10.2.0.43:8166"), 14, "not-an-address");
    cr_assert(problemsOf(wrong) == 1);
}

// Guards against a settings page that leaves out a key.
Test(NodeSettings, documentation_printed_namesEverySection)
{
    const std::string text = nodeSettingsDocumentation();
    for (const char* section : { "[node]", "[listen]", "[peer]", "[bounds]", "tolerated_losses" })
        cr_assert(text.find(section) != std::string::npos);
}
