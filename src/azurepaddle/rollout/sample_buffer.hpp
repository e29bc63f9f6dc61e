#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/rollout/sample.hpp"

#include <map>
#include <memory>
#include <optional>

namespace azurepaddle::rollout {

/// A completed sample that has yet to be scored, handed off or confirmed.
struct BufferedSample {
    std::shared_ptr<const SampleBody> body;
    VersionRange versions;
    TimePoint readyAt {}; ///< Time at which the sample was completed, or scored if the run is scored.
    std::optional<double> score;
    TimePoint started {}; ///< Start of the generation.
};

/// Stores the bodies of completed samples and tracks their total size.
class SampleBuffer {
public:
    /// Stores a sample and replaces an earlier one with the same key.
    void put(const SampleKey& key, BufferedSample sample);
    void remove(const SampleKey& key);
    void setScore(const SampleKey& key, double score, TimePoint now);

    /// Returns the sample, or null if it is not buffered.
    [[nodiscard]] const BufferedSample* find(const SampleKey& key) const;
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }
    [[nodiscard]] std::size_t size() const noexcept { return m_samples.size(); }

private:
    std::map<SampleKey, BufferedSample> m_samples;
    std::size_t m_bytes = 0;
};

}
