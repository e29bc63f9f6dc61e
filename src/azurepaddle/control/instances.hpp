#pragma once

#include "azurepaddle/control/types.hpp"

#include <map>

namespace azurepaddle::control {

/// Issues an identity to an instance. The instance keeps the random nonce, so that a repeated request returns the same
/// identity.
struct IssueInstance {
    static constexpr std::uint32_t tag = 10;
    std::string nonce;
    DataCentreName dataCentre;
    std::string address;

    bool operator==(const IssueInstance&) const = default;
    MSGPACK_DEFINE(nonce, dataCentre, address)
};

/// Starts an incarnation, which must be higher than all earlier ones. Holders with a lower incarnation count as dead
/// from then on.
struct StartInstance {
    static constexpr std::uint32_t tag = 11;
    InstanceId instance;
    std::uint64_t incarnation = 0;
    std::string address;

    bool operator==(const StartInstance&) const = default;
    MSGPACK_DEFINE(instance, incarnation, address)
};

/// Reports that this incarnation and those before it have ended. The report is wrong if the process is only paused.
struct ReportDead {
    static constexpr std::uint32_t tag = 12;
    InstanceId instance;
    std::uint64_t incarnation = 0;

    bool operator==(const ReportDead&) const = default;
    MSGPACK_DEFINE(instance, incarnation)
};

/// Retires an identity permanently, for example because its disk is lost.
struct MarkInstanceLost {
    static constexpr std::uint32_t tag = 13;
    InstanceId instance;

    bool operator==(const MarkInstanceLost&) const = default;
    MSGPACK_DEFINE(instance)
};

enum class InstanceStatus : unsigned char {
    Issued,
    Started,
    Recorded, ///< The report is recorded.
    Lost, ///< The identity is marked lost and cannot be started again.
    Unknown, ///< No such identity was issued.
    IncarnationUsed, ///< The incarnation is not higher than the last one, which the reply names.
};

struct InstanceReply {
    static constexpr std::uint32_t tag = 10;
    InstanceStatus status = InstanceStatus::Unknown;
    InstanceId instance;
    std::uint64_t incarnation = 0; ///< Last incarnation started or reported dead.

    bool operator==(const InstanceReply&) const = default;
    MSGPACK_DEFINE(status, instance, incarnation)
};

struct InstanceRecord {
    std::string nonce;
    DataCentreName dataCentre;
    std::string address;
    std::uint64_t incarnation = 0;
    bool isLost = false;

    bool operator==(const InstanceRecord&) const = default;
    MSGPACK_DEFINE(nonce, dataCentre, address, incarnation, isLost)
};

/// Identities of instances and their incarnations that have ended.
class Instances {
public:
    [[nodiscard]] InstanceReply issue(const IssueInstance& request);
    [[nodiscard]] InstanceReply start(const StartInstance& request);
    [[nodiscard]] InstanceReply reportDead(const ReportDead& report);
    [[nodiscard]] InstanceReply markLost(const MarkInstanceLost& request);

    /// True if the incarnation was reported dead, was followed by a higher one, or its identity is lost.
    [[nodiscard]] bool isDead(const Holder& holder) const;
    [[nodiscard]] const std::map<InstanceId, InstanceRecord>& records() const noexcept { return m_records; }

    bool operator==(const Instances&) const = default;
    MSGPACK_DEFINE(m_records, m_highestDeadIncarnation, m_issuedCount)

private:
    void recordDead(const InstanceId& instance, std::uint64_t incarnation);

    std::map<InstanceId, InstanceRecord> m_records;
    /// By instance, also of instances whose identity another log group issued.
    std::map<InstanceId, std::uint64_t> m_highestDeadIncarnation;
    std::uint64_t m_issuedCount = 0;
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::InstanceStatus)
