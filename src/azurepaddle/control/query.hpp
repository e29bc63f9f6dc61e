#pragma once

#include "azurepaddle/control/command.hpp"
#include "azurepaddle/control/control_state.hpp"

#include <variant>

namespace azurepaddle::control {

/// Asks for the update to the configuration in force, for an instance that holds the given number.
struct ConfigurationQuery {
    static constexpr std::uint32_t tag = 1;
    std::uint64_t since = 0;

    bool operator==(const ConfigurationQuery&) const = default;
    MSGPACK_DEFINE(since)
};

/// Asks for the numbers and digests accepted so far, the newest last.
struct HistoryQuery {
    static constexpr std::uint32_t tag = 2;
    std::uint32_t limit = 100;

    bool operator==(const HistoryQuery&) const = default;
    MSGPACK_DEFINE(limit)
};

/// Asks for the record of a run.
struct RunQuery {
    static constexpr std::uint32_t tag = 3;
    RunName run;

    bool operator==(const RunQuery&) const = default;
    MSGPACK_DEFINE(run)
};

/// Asks for a summary of all runs.
struct RunsQuery {
    static constexpr std::uint32_t tag = 4;

    bool operator==(const RunsQuery&) const = default;
    MSGPACK_DEFINE()
};

/// Asks for all suspects and blocked requests.
struct SuspectsQuery {
    static constexpr std::uint32_t tag = 5;

    bool operator==(const SuspectsQuery&) const = default;
    MSGPACK_DEFINE()
};

/// Asks for the order leases.
struct OrderLeasesQuery {
    static constexpr std::uint32_t tag = 6;

    bool operator==(const OrderLeasesQuery&) const = default;
    MSGPACK_DEFINE()
};

using ControlQuery = std::variant<ConfigurationQuery, HistoryQuery, RunQuery, RunsQuery, SuspectsQuery, OrderLeasesQuery>;

/// Update to the configuration in force, and all suspected fingerprints, which every instance needs with little delay.
struct ConfigurationAnswer {
    static constexpr std::uint32_t tag = 1;
    ConfigurationUpdate update;
    std::vector<Fingerprint> suspects;

    bool operator==(const ConfigurationAnswer&) const = default;
    MSGPACK_DEFINE(update, suspects)
};

struct HistoryAnswer {
    static constexpr std::uint32_t tag = 2;
    std::vector<ConfigurationEntry> entries;

    bool operator==(const HistoryAnswer&) const = default;
    MSGPACK_DEFINE(entries)
};

struct RunAnswer {
    static constexpr std::uint32_t tag = 3;
    bool exists = false;
    RunRecord record;

    bool operator==(const RunAnswer&) const = default;
    MSGPACK_DEFINE(exists, record)
};

struct RunSummary {
    RunName run;
    Holder owner;
    Epoch epoch = 0;
    WeightVersion version = 0;
    Sequence confirmed = 0;
    Sequence highest = 0;
    std::uint64_t openGroups = 0;

    bool operator==(const RunSummary&) const = default;
    MSGPACK_DEFINE(run, owner, epoch, version, confirmed, highest, openGroups)
};

struct RunsAnswer {
    static constexpr std::uint32_t tag = 4;
    std::vector<RunSummary> runs;

    bool operator==(const RunsAnswer&) const = default;
    MSGPACK_DEFINE(runs)
};

struct SuspectsAnswer {
    static constexpr std::uint32_t tag = 5;
    std::map<Fingerprint, SuspectRecord> records;

    bool operator==(const SuspectsAnswer&) const = default;
    MSGPACK_DEFINE(records)
};

struct OrderLeasesAnswer {
    static constexpr std::uint32_t tag = 6;
    std::map<ServiceName, OrderLease> leases;

    bool operator==(const OrderLeasesAnswer&) const = default;
    MSGPACK_DEFINE(leases)
};

using ControlAnswer = std::variant<ConfigurationAnswer, HistoryAnswer, RunAnswer, RunsAnswer, SuspectsAnswer, OrderLeasesAnswer>;

/// Answers a query from a state.
[[nodiscard]] ControlAnswer answerQuery(const ControlState& state, const ControlQuery& query);

[[nodiscard]] std::string encodeQuery(const ControlQuery& query);
[[nodiscard]] tl::expected<ControlQuery, ControlError> decodeQuery(std::string_view bytes);
[[nodiscard]] std::string encodeAnswer(const ControlAnswer& answer);
[[nodiscard]] tl::expected<ControlAnswer, ControlError> decodeAnswer(std::string_view bytes);

}
