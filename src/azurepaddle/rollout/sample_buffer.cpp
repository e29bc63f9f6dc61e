#include "azurepaddle/rollout/sample_buffer.hpp"

namespace azurepaddle::rollout {

void SampleBuffer::put(const SampleKey& key, BufferedSample sample)
{
    remove(key);
    m_bytes += sample.body->bytes();
    m_samples.emplace(key, std::move(sample));
}

void SampleBuffer::remove(const SampleKey& key)
{
    const auto found = m_samples.find(key);
    if (found == m_samples.end())
        return;
    m_bytes -= found->second.body->bytes();
    m_samples.erase(found);
}

void SampleBuffer::setScore(const SampleKey& key, double score, TimePoint now)
{
    const auto found = m_samples.find(key);
    if (found == m_samples.end())
        return;
    found->second.score = score;
    found->second.readyAt = now;
}

const BufferedSample* SampleBuffer::find(const SampleKey& key) const
{
    const auto found = m_samples.find(key);
    return found == m_samples.end() ? nullptr : &found->second;
}

}
