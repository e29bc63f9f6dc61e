#include "azurepaddle/batch/job_store.hpp"

#include <algorithm>

namespace azurepaddle::batch {

namespace {

    std::size_t bytesOf(const Job& job)
    {
        std::size_t bytes = 0;
        for (const ItemSpec& item : job.spec.items)
            bytes += item.body.size();
        for (const ItemResult& result : job.results)
            bytes += result.output.size();
        return bytes;
    }

}

void JobStore::insert(Job job)
{
    m_bytes += bytesOf(job);
    m_nextOrder = std::max(m_nextOrder, job.order + 1);
    Entry entry;
    for (std::size_t index = 0; index < job.spec.items.size(); ++index)
        entry.itemIndex.emplace(job.spec.items[index].id.value(), index);
    for (std::size_t position = 0; position < job.results.size(); ++position)
        entry.listed.emplace(job.results[position].id.value(), position);
    JobId id = job.spec.id;
    entry.job = std::move(job);
    m_jobs.emplace(std::move(id), std::move(entry));
}

AcceptOutcome JobStore::accept(JobSpec spec)
{
    if (m_jobs.contains(spec.id))
        return AcceptOutcome::Known;
    Job job;
    job.spec = std::move(spec);
    job.order = m_nextOrder;
    insert(std::move(job));
    return AcceptOutcome::Accepted;
}

std::size_t JobStore::list(const JobId& id, std::vector<ItemResult> results)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return 0;
    Entry& entry = found->second;
    std::size_t appended = 0;
    for (ItemResult& result : results) {
        const auto item = entry.itemIndex.find(result.id.value());
        if (item == entry.itemIndex.end() || !entry.listed.emplace(result.id.value(), entry.job.results.size()).second)
            continue;
        dropBody(entry.job.spec.items[item->second]);
        m_bytes += result.output.size();
        entry.job.results.push_back(std::move(result));
        ++appended;
    }
    return appended;
}

bool JobStore::end(const JobId& id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return false;
    found->second.job.isEnded = true;
    for (ItemSpec& item : found->second.job.spec.items)
        dropBody(item);
    return true;
}

void JobStore::dropBody(ItemSpec& item)
{
    m_bytes -= item.body.size();
    item.body = {};
    item.fields = {};
}

void JobStore::remove(const JobId& id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    m_bytes -= bytesOf(found->second.job);
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

bool JobStore::isListed(const JobId& job, const ItemId& item) const
{
    const auto found = m_jobs.find(job);
    return found != m_jobs.end() && found->second.listed.contains(item.value());
}

const ItemResult* JobStore::findCompleted(const ItemId& item) const
{
    const ItemResult* latest = nullptr;
    std::uint64_t order = 0;
    for (const auto& [id, entry] : m_jobs) {
        const auto found = entry.listed.find(item.value());
        if (found == entry.listed.end() || (latest && entry.job.order < order))
            continue;
        const ItemResult& result = entry.job.results[found->second];
        if (result.state != ResultState::Completed)
            continue;
        latest = &result;
        order = entry.job.order;
    }
    return latest;
}

std::vector<const Job*> JobStore::jobs() const
{
    std::vector<const Job*> jobs;
    for (const auto& [id, entry] : m_jobs)
        jobs.push_back(&entry.job);
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) { return a->order < b->order; });
    return jobs;
}

std::vector<Job> JobStore::snapshot() const
{
    std::vector<Job> jobs;
    for (const auto& [id, entry] : m_jobs)
        jobs.push_back(entry.job);
    return jobs;
}

void JobStore::restore(std::vector<Job> jobs)
{
    m_jobs.clear();
    m_nextOrder = 0;
    m_bytes = 0;
    for (Job& job : jobs)
        insert(std::move(job));
}

}
