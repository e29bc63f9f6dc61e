#include "azurepaddle/batch/job_store.hpp"

#include <algorithm>

namespace azurepaddle::batch {

namespace {

    std::size_t bytesOf(const Job& job)
    {
        std::size_t bytes = 0;
        for (const ItemSpec& item : job.spec.items)
            bytes += item.body.size() + item.reward.body.size();
        for (const StoredResult& result : job.results)
            bytes += result.output.size;
        return bytes;
    }

}

JobStore::Entry& JobStore::insert(JobSpec spec, bool isEnded, std::uint64_t order)
{
    m_nextOrder = std::max(m_nextOrder, order + 1);
    Entry& entry = m_jobs[spec.id];
    for (std::size_t index = 0; index < spec.items.size(); ++index)
        entry.itemIndex.emplace(spec.items[index].id.value(), index);
    entry.job.spec = std::move(spec);
    entry.job.isEnded = isEnded;
    entry.job.order = order;
    m_bytes += bytesOf(entry.job);
    return entry;
}

AcceptOutcome JobStore::accept(JobSpec spec)
{
    if (m_jobs.contains(spec.id))
        return AcceptOutcome::AlreadyAccepted;
    insert(std::move(spec), false, m_nextOrder);
    return AcceptOutcome::Accepted;
}

bool JobStore::appendResult(Entry& entry, const ItemResult& result)
{
    const auto item = entry.itemIndex.find(result.id.value());
    if (item == entry.itemIndex.end() || !entry.resultIndex.emplace(result.id.value(), entry.job.results.size()).second)
        return false;
    releaseBody(entry.job.spec.items[item->second]);
    entry.job.failures.erase(result.id);
    m_bytes += result.output.size();
    entry.job.results.push_back({ result.id, result.state, m_outputs.append(result.output), result.versions, result.score });
    return true;
}

std::size_t JobStore::recordResults(const JobId& id, const std::vector<ItemResult>& results)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(results.begin(), results.end(), [&](const ItemResult& result) { return appendResult(found->second, result); }));
}

void JobStore::recordFailures(const JobId& id, const ItemFailures& failures)
{
    if (!findItem(id, failures.item) || hasResult(id, failures.item))
        return;
    ItemFailures& counts = m_jobs.at(id).job.failures[failures.item];
    counts = { failures.item, std::max(counts.runs, failures.runs), std::max(counts.rewardCalls, failures.rewardCalls) };
}

ItemFailures JobStore::failuresOf(const JobId& job, const ItemId& item) const
{
    const Job* stored = find(job);
    if (!stored || !stored->failures.contains(item))
        return { item };
    return stored->failures.at(item);
}

bool JobStore::end(const JobId& id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return false;
    found->second.job.isEnded = true;
    for (ItemSpec& item : found->second.job.spec.items)
        releaseBody(item);
    return true;
}

void JobStore::releaseBody(ItemSpec& item)
{
    m_bytes -= item.body.size() + item.reward.body.size();
    item.body = {};
    item.fields = {};
    item.reward.body = {};
}

void JobStore::remove(const JobId& id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    m_bytes -= bytesOf(found->second.job);
    for (const StoredResult& result : found->second.job.results)
        m_outputs.release(result.output);
    m_jobs.erase(found);
}

const Job* JobStore::find(const JobId& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second.job;
}

const ItemSpec* JobStore::findItem(const JobId& job, const ItemId& item) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return nullptr;
    const auto index = found->second.itemIndex.find(item.value());
    return index == found->second.itemIndex.end() ? nullptr : &found->second.job.spec.items[index->second];
}

bool JobStore::hasItemsOfOthers(const JobSpec& spec) const
{
    return std::any_of(m_jobs.begin(), m_jobs.end(), [&spec](const auto& stored) {
        const Entry& entry = stored.second;
        if (entry.job.spec.workspace.empty() || entry.job.spec.workspace == spec.workspace)
            return false;
        return std::any_of(spec.items.begin(), spec.items.end(), [&entry](const ItemSpec& item) { return entry.itemIndex.contains(item.id.value()); });
    });
}

bool JobStore::hasResult(const JobId& job, const ItemId& item) const
{
    const auto found = m_jobs.find(job);
    return found != m_jobs.end() && found->second.resultIndex.contains(item.value());
}

const std::string* JobStore::bodyOf(const JobId& job, const ItemId& item) const
{
    const Job* stored = find(job);
    const ItemSpec* spec = findItem(job, item);
    return stored && spec && !stored->isEnded && !hasResult(job, item) ? &spec->body : nullptr;
}

ItemResult JobStore::load(const StoredResult& result) const
{
    return { result.id, result.state, m_outputs.read(result.output), result.versions, result.score };
}

std::optional<ItemResult> JobStore::findCompleted(const ItemId& item, const RewardCall& reward) const
{
    const StoredResult* latest = nullptr;
    const Entry* latestJob = nullptr;
    for (const auto& [id, entry] : m_jobs) {
        const auto found = entry.resultIndex.find(item.value());
        if (found == entry.resultIndex.end() || (latestJob && entry.job.order < latestJob->job.order))
            continue;
        const StoredResult& result = entry.job.results[found->second];
        if (result.state != ResultState::Completed)
            continue;
        latest = &result;
        latestJob = &entry;
    }
    if (!latest)
        return std::nullopt;
    ItemResult result = load(*latest);
    if (latestJob->job.spec.items[latestJob->itemIndex.at(item.value())].reward.id != reward.id)
        result.score.clear();
    return result;
}

std::vector<const Job*> JobStore::jobs() const
{
    std::vector<const Job*> jobs;
    for (const auto& [id, entry] : m_jobs)
        jobs.push_back(&entry.job);
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) { return a->order < b->order; });
    return jobs;
}

std::vector<JobSnapshot> JobStore::snapshot() const
{
    std::vector<JobSnapshot> jobs;
    for (const auto& [id, entry] : m_jobs) {
        JobSnapshot& job = jobs.emplace_back(JobSnapshot { entry.job.spec, {}, entry.job.isEnded, entry.job.order, {} });
        for (const auto& [item, failures] : entry.job.failures)
            job.failures.push_back(failures);
        for (const StoredResult& result : entry.job.results)
            job.results.push_back(load(result));
    }
    return jobs;
}

void JobStore::restore(std::vector<JobSnapshot> jobs)
{
    m_jobs.clear();
    m_outputs.clear();
    m_nextOrder = 0;
    m_bytes = 0;
    for (JobSnapshot& job : jobs) {
        Entry& entry = insert(std::move(job.spec), job.isEnded, job.order);
        for (const ItemResult& result : job.results)
            appendResult(entry, result);
        for (const ItemFailures& failures : job.failures)
            entry.job.failures[failures.item] = failures;
    }
}

}
