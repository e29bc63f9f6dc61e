#include "azurepaddle/admission/size_estimator.hpp"

#include <algorithm>

namespace azurepaddle::admission {

namespace {

    constexpr double smoothing = 0.05;

    std::size_t indexOf(WorkClass workClass) noexcept
    {
        return workClass == WorkClass::Short ? 0 : 1;
    }

}

SizeEstimate SizeEstimator::estimate(const RequestProfile& profile) const
{
    // Without a stated work class, the stated token limit decides it. The history is kept per class and does not
    // influence the class, so that it cannot turn short work into long work.
    const double limit = profile.maxTokens.value_or(m_settings.defaultOutputTokens);
    const WorkClass workClass = profile.workClass.value_or(limit > m_settings.longWorkTokens ? WorkClass::Long : WorkClass::Short);
    double output = historicOutputTokens(profile, workClass);
    if (output <= 0)
        output = limit;
    if (profile.maxTokens)
        output = std::min(output, *profile.maxTokens);
    output = std::max(1.0, output);
    return { profile.promptTokens, output, cost(profile.promptTokens, output), workClass };
}

void SizeEstimator::onFinished(const TenantName& tenant, const RunName& run, WorkClass workClass, double outputTokens)
{
    const Key key { tenant, run };
    Shard& shard = m_shards[KeyHash {}(key) % shardCount];
    const std::lock_guard lock(shard.mutex);
    if (shard.histories.size() >= m_settings.maxHistories / shardCount && shard.histories.count(key) == 0)
        shard.histories.erase(shard.histories.begin());
    History& history = shard.histories[key][indexOf(workClass)];
    ++history.count;
    history.mean += std::max(smoothing, 1.0 / static_cast<double>(history.count)) * (outputTokens - history.mean);
}

double SizeEstimator::historicOutputTokens(const RequestProfile& profile, WorkClass workClass) const
{
    const Key key { profile.tenant, profile.run };
    const Shard& shard = m_shards[KeyHash {}(key) % shardCount];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.histories.find(key);
    if (found == shard.histories.end())
        return 0;
    const History& history = found->second[indexOf(workClass)];
    return history.count < m_settings.minHistory ? 0 : history.mean;
}

double SizeEstimator::cost(double promptTokens, double outputTokens) const noexcept
{
    return std::max(1.0, m_settings.promptTokenCost * promptTokens + outputTokens);
}

}
