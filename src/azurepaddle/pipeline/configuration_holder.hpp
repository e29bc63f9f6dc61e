#pragma once

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/invariant.hpp"

#include <memory>
#include <mutex>

namespace azurepaddle::pipeline {

/// Holds the configuration in force on this instance. Its number never decreases. Thread-safe.
class ConfigurationHolder {
public:
    /// Returns null until the first configuration is installed.
    [[nodiscard]] std::shared_ptr<const config::Configuration> current() const
    {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }

    /// Number of the configuration in force, or 0 if there is none.
    [[nodiscard]] std::uint64_t number() const
    {
        const auto configuration = current();
        return configuration ? configuration->number() : 0;
    }

    /// The text from which the configuration in force was parsed.
    [[nodiscard]] std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }

    void install(config::Configuration configuration, std::string text)
    {
        const std::lock_guard lock(m_mutex);
        AZUREPADDLE_INVARIANT(!m_current || configuration.number() >= m_current->number(), "the new configuration has a lower number than the one in force");
        m_current = std::make_shared<const config::Configuration>(std::move(configuration));
        m_text = std::move(text);
    }

    /// Records that the log confirmed the configuration in force at this time.
    void confirm(TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        m_confirmedAt = now;
        m_isConfirmed = true;
    }

    /// Whether a configuration is installed and the log confirmed it no longer than `maxAge` ago.
    [[nodiscard]] bool isConfirmed(TimePoint now, Duration maxAge) const
    {
        const std::lock_guard lock(m_mutex);
        return m_current && m_isConfirmed && now - m_confirmedAt <= maxAge;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const config::Configuration> m_current;
    std::string m_text;
    TimePoint m_confirmedAt {};
    bool m_isConfirmed = false;
};

}
