#pragma once

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/invariant.hpp"

#include <memory>
#include <mutex>

namespace azurepaddle::pipeline {

/// The configuration in force on this instance. Its number never falls. Thread-safe.
class ConfigurationHolder {
public:
    /// Null before the first configuration is installed.
    [[nodiscard]] std::shared_ptr<const config::Configuration> current() const
    {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }

    /// Number in force, 0 for none.
    [[nodiscard]] std::uint64_t number() const
    {
        const auto held = current();
        return held ? held->number() : 0;
    }

    /// The text that the configuration was read from.
    [[nodiscard]] std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }

    void install(config::Configuration configuration, std::string text)
    {
        const std::lock_guard lock(m_mutex);
        AZUREPADDLE_INVARIANT(!m_current || configuration.number() >= m_current->number(), "a configuration number fell");
        m_current = std::make_shared<const config::Configuration>(std::move(configuration));
        m_text = std::move(text);
    }

    /// Notes that the log confirmed the configuration in force at this time.
    void confirm(TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        m_confirmed = now;
        m_isConfirmed = true;
    }

    /// Whether the log confirmed the configuration within this time, and there is one.
    [[nodiscard]] bool isConfirmed(TimePoint now, Duration within) const
    {
        const std::lock_guard lock(m_mutex);
        return m_current && m_isConfirmed && now - m_confirmed <= within;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const config::Configuration> m_current;
    std::string m_text;
    TimePoint m_confirmed {};
    bool m_isConfirmed = false;
};

}
