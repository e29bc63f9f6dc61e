#include "azurepaddle/control/instances.hpp"

#include <algorithm>
#include <limits>

namespace azurepaddle::control {

InstanceReply Instances::issue(const IssueInstance& request)
{
    for (const auto& [instance, record] : m_records) {
        if (record.nonce != request.nonce)
            continue;
        return { record.isLost ? InstanceStatus::Lost : InstanceStatus::Issued, instance, record.incarnation };
    }
    const InstanceId instance(fmt::format("instance-{}", ++m_issuedCount));
    m_records.emplace(instance, InstanceRecord { request.nonce, request.dataCentre, request.address, 0, false });
    return { InstanceStatus::Issued, instance, 0 };
}

InstanceReply Instances::start(const StartInstance& request)
{
    const auto found = m_records.find(request.instance);
    if (found == m_records.end())
        return { InstanceStatus::Unknown, request.instance, 0 };
    InstanceRecord& record = found->second;
    if (record.isLost)
        return { InstanceStatus::Lost, request.instance, record.incarnation };
    const auto dead = m_highestDeadIncarnation.find(request.instance);
    const std::uint64_t last = std::max(record.incarnation, dead == m_highestDeadIncarnation.end() ? 0 : dead->second);
    if (request.incarnation <= last)
        return { InstanceStatus::IncarnationUsed, request.instance, last };
    record.incarnation = request.incarnation;
    record.address = request.address;
    recordDead(request.instance, request.incarnation - 1);
    return { InstanceStatus::Started, request.instance, request.incarnation };
}

InstanceReply Instances::reportDead(const ReportDead& report)
{
    recordDead(report.instance, report.incarnation);
    return { InstanceStatus::Recorded, report.instance, m_highestDeadIncarnation[report.instance] };
}

InstanceReply Instances::markLost(const MarkInstanceLost& request)
{
    recordDead(request.instance, std::numeric_limits<std::uint64_t>::max());
    const auto found = m_records.find(request.instance);
    if (found == m_records.end())
        return { InstanceStatus::Unknown, request.instance, 0 };
    found->second.isLost = true;
    return { InstanceStatus::Lost, request.instance, found->second.incarnation };
}

bool Instances::isDead(const Holder& holder) const
{
    const auto found = m_highestDeadIncarnation.find(holder.instance);
    return found != m_highestDeadIncarnation.end() && holder.incarnation <= found->second;
}

void Instances::recordDead(const InstanceId& instance, std::uint64_t incarnation)
{
    std::uint64_t& last = m_highestDeadIncarnation[instance];
    last = std::max(last, incarnation);
}

}
