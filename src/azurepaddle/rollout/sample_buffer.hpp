#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/rollout/sample.hpp"

#include <map>
#include <memory>
#include <optional>

namespace azurepaddle::rollout {

/// A complete sample that waits to be scored, handed off or confirmed.
struct BufferedSample {
    std::shared_ptr<const SampleBody> body;
    VersionRange versions;
    TimePoint readyAt {}; ///< When it was complete, and scored if the run is.
    std::optional<double> score;
    TimePoint started {}; ///< When its generation was started.
};

/// Bodies of samples with the number of bytes they take.
class SampleBuffer {
public:
    /// Stores a sample in place of an earlier one of the same key.
    void put(const SampleKey& key, BufferedSample sample);
    void remove(const SampleKey& key);
    void setScore(const SampleKey& key, double score, TimePoint now);

    /// The sample, or null.
    [[nodiscard]] const BufferedSample* find(const SampleKey& key) const;
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }
    [[nodiscard]] std::size_t size() const noexcept { return m_samples.size(); }

private:
    std::map<SampleKey, BufferedSample> m_samples;
    std::size_t m_bytes = 0;
};

}
