#include "azurepaddle/config/node_settings.hpp"

#include "azurepaddle/config/table.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace azurepaddle::config {

namespace {

    using internal::Constraint;
    using internal::Form;
    using internal::IniSection;
    using internal::Key;

    constexpr double maxPort = 65535;
    constexpr double hour = 3600;
    constexpr double mebi = 1024.0 * 1024.0;
    constexpr Constraint plainText { Form::Plain, 0, 0, {} };

    constexpr Constraint range(double minimum, double maximum) { return { Form::Plain, minimum, maximum, {} }; }
    constexpr Constraint choice(std::string_view choices) { return { Form::Choice, 0, 0, choices }; }

    std::span<const Key<NodeIdentitySettings>> identityKeys()
    {
        using S = NodeIdentitySettings;
        static const std::vector<Key<S>> keys {
            { "name", &S::name, plainText, true, "Name of the node, unique in the deployment." },
            { "data_centre", &S::dataCentre, plainText, true, "Data centre the node is in, spelled as endpoints announce it." },
            { "role", &S::role, choice("entry|store"), false, "`entry` serves callers and keeps nothing; `store` keeps the agreed state and serves endpoints and operators." },
            { "data_folder", &S::dataFolder, { Form::Path, 0, 0, {} }, false, "Folder of the log; required for the role store." },
            { "log_level", &S::logLevel, choice("debug|info|warning|error"), false, "Least severe level that is written to standard output." },
        };
        return keys;
    }

    std::span<const Key<NodeListenSettings>> listenKeys()
    {
        using S = NodeListenSettings;
        static const std::vector<Key<S>> keys {
            { "callers", &S::callers, plainText, false, "Address for callers and trainers; required for the role entry." },
            { "ready", &S::ready, plainText, false, "Address at which a load balancer asks whether the node is ready." },
            { "control", &S::control, plainText, false, "Address for endpoints, operators and trainers' versions; required for the role store." },
            { "metrics", &S::metrics, plainText, false, "Address that serves counters and histograms at /metrics; none if empty." },
        };
        return keys;
    }

    std::span<const Key<NodePeerSettings>> peerKeys()
    {
        using S = NodePeerSettings;
        static const std::vector<Key<S>> keys {
            { "address", &S::address, { Form::IpAddress, 0, 0, {} }, true, "Address for other nodes." },
            { "port", &S::port, range(1, maxPort), false, "Port for other nodes, the same on all of them." },
            { "listen_port", &S::listenPort, range(0, maxPort), false, "Port at which this node accepts other nodes, if a relay forwards `port` to it; 0: the same." },
            { "seeds", &S::seeds, plainText, true, "Addresses of store nodes to ask first, with any port. At the first start of a deployment they found its log." },
            { "secret", &S::secret, { Form::Secret, 0, 0, {} }, true, "Shared secret of the deployment's nodes." },
            { "first_start", &S::isFirstStart, plainText, false, "Whether the whole deployment starts for the first time, with empty disks." },
        };
        return keys;
    }

    std::span<const Key<NodeBoundSettings>> boundKeys()
    {
        using S = NodeBoundSettings;
        static const std::vector<Key<S>> keys {
            { "tolerated_losses", &S::toleratedLosses, range(0, 5), false, "Store nodes whose disks may be lost at once. The log has twice as many voters, plus one." },
            { "order_lease", &S::orderLease, range(0.1, 60), false, "Two nodes never give orders to endpoints within this time." },
            { "result_lifetime", &S::resultLifetime, range(1, 24 * hour), false, "How long results of a batch job can be read after its submission." },
            { "stop_timeout", &S::stopTimeout, range(0.5, hour), false, "Time from SIGTERM until the process is killed." },
            { "configuration_delay", &S::configurationDelay, range(0.1, hour), false, "An accepted configuration takes effect on all nodes within this time. An entry whose state may be older does not answer that a route does not exist." },
            { "max_connections", &S::maxConnections, range(8, 65536), false, "Open connections of callers beyond which new ones are closed." },
            { "max_job_bytes", &S::maxJobBytes, { Form::Bytes, mebi, 1024 * mebi, {} }, false, "Bodies and outputs of batch jobs held in memory; beyond it new jobs are refused." },
            { "memory", &S::memory, { Form::Bytes, 64 * mebi, 1024 * 1024 * mebi, {} }, false, "Memory that the process may use. A state larger than a sixth of it is not written as a snapshot: batch jobs are refused until it shrinks. Request bodies of all clients get three eighths of it, three quarters of this for one client address, with a further thirty-second for bodies of up to 64 KiB; answers that clients have not read get an eighth. Beyond it, requests are refused with 503 and the slowest readers are closed." },
            { "endpoint_bodies", &S::endpointBodies, { Form::Bytes, mebi, 1024 * 1024 * mebi, {} }, false, "Request bodies that this node has in progress at one endpoint, if more than one. Beyond it another endpoint is chosen, or the request is refused with 503." },
        };
        return keys;
    }

    std::span<const Key<NodeDutySettings>> dutyKeys()
    {
        using S = NodeDutySettings;
        static const std::vector<Key<S>> keys {
            { "address", &S::address, plainText, false, "Address of the platform, as `ip:port`; no duties if empty." },
            { "kinds", &S::kinds, plainText, false, "Duties to perform: `usage` reports the requests of each workspace, `scale` orders endpoints. Other kinds are ignored." },
            { "calls_per_second", &S::callsPerSecond, range(0.1, 100'000), false, "Calls that the platform accepts from all nodes together." },
            { "usage_window", &S::usageWindow, range(1, hour), false, "Length of the windows for which requests are counted. They begin at multiples of it since 1970." },
            { "usage_delay", &S::usageDelay, range(1, hour), false, "Time after the end of a window by which its report is due. After half of it the counts of the window are sealed, and later ones are ignored." },
        };
        return keys;
    }

    void check(const NodeSettings& settings, std::string_view file, Problems& problems)
    {
        const auto require = [&](bool isGood, std::string_view section, std::string_view key, std::string_view reason) {
            if (!isGood)
                problems.push_back({ std::string(file), std::string(section), std::string(key), std::string(reason) });
        };
        const auto isAddress = [](const std::string& text) { return text.empty() || parseAddress(text).has_value(); };
        require(isAddress(settings.listen.callers), "listen", "callers", "must be ip:port");
        require(isAddress(settings.listen.ready), "listen", "ready", "must be ip:port");
        require(isAddress(settings.listen.control), "listen", "control", "must be ip:port");
        require(isAddress(settings.listen.metrics), "listen", "metrics", "must be ip:port");
        require(isAddress(settings.duties.address), "duties", "address", "must be ip:port");
        for (const std::string& seed : settings.peer.seeds)
            require(parseAddress(seed).has_value(), "peer", "seeds", "must be a list of ip:port");
        if (settings.isStore()) {
            require(!settings.node.dataFolder.empty(), "node", "data_folder", "required for the role store");
            require(!settings.listen.control.empty(), "listen", "control", "required for the role store");
        } else {
            require(!settings.listen.callers.empty(), "listen", "callers", "required for the role entry");
        }
    }

}

bool NodeDutySettings::includes(std::string_view kind) const
{
    return !address.empty() && std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

LogLevel NodeSettings::logLevel() const noexcept
{
    if (node.logLevel == "debug")
        return LogLevel::Debug;
    if (node.logLevel == "warning")
        return LogLevel::Warning;
    return node.logLevel == "error" ? LogLevel::Error : LogLevel::Info;
}

std::vector<InstanceAddress> NodeSettings::seedPeers() const
{
    std::vector<InstanceAddress> peers;
    for (const std::string& seed : this->peer.seeds) {
        if (const auto address = parseAddress(seed))
            peers.push_back({ address->ip, static_cast<std::uint16_t>(peer.port) });
    }
    return peers;
}

tl::expected<NodeSettings, Problems> parseNodeSettings(std::string_view text, std::string_view file)
{
    Problems problems;
    NodeSettings settings;
    bool hasNode = false;
    for (const IniSection& section : internal::readIni(text, file, problems)) {
        hasNode = hasNode || section.title == "node";
        if (section.title == "node")
            internal::readSection(section, identityKeys(), file, settings.node, problems);
        else if (section.title == "listen")
            internal::readSection(section, listenKeys(), file, settings.listen, problems);
        else if (section.title == "peer")
            internal::readSection(section, peerKeys(), file, settings.peer, problems);
        else if (section.title == "bounds")
            internal::readSection(section, boundKeys(), file, settings.bounds, problems);
        else if (section.title == "duties")
            internal::readSection(section, dutyKeys(), file, settings.duties, problems);
        else
            problems.push_back({ std::string(file), section.title, {}, "unknown section" });
    }
    if (!hasNode)
        problems.push_back({ std::string(file), "node", {}, "section is missing" });
    check(settings, file, problems);
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return settings;
}

tl::expected<NodeSettings, Problems> loadNodeSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::unexpected(Problems { { path, {}, {}, "cannot be read" } });
    const std::string text { std::istreambuf_iterator<char>(file), {} };
    return parseNodeSettings(text, path);
}

std::string nodeSettingsDocumentation()
{
    std::string text = "# Settings of a node\n\nThis page is printed by `azurepaddle-node --settings`. Forms and units are those of [settings.md](settings.md).\n\n";
    text += internal::documentSection("node", identityKeys());
    text += internal::documentSection("listen", listenKeys());
    text += internal::documentSection("peer", peerKeys());
    text += internal::documentSection("bounds", boundKeys());
    text += internal::documentSection("duties", dutyKeys());
    text.pop_back();
    return text;
}

}
