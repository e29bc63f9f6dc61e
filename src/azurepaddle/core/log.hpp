#pragma once

#include <fmt/format.h>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace azurepaddle {

enum class LogLevel : unsigned char {
    Debug,
    Info,
    Warning,
    Error,
};

/// Sets up logging to standard error for the process, one line per record: time, level, component, message.
/// Call it once from the main function.
void startLogging(LogLevel level);

/// Sets up logging of decisions to standard output. A separate thread writes the lines from a bounded queue; when that is
/// full, lines are dropped and counted instead of delaying the caller. Call it once from the main function.
void startStructuredLogging(LogLevel level);

/// Writes the lines that are still queued. No line may be logged afterwards.
void stopLogging();

/// Writes log lines of one component. Copies share the component. Secrets must not be logged.
class Log {
public:
    explicit Log(std::string_view component);

    template <typename... Arguments>
    void debug(fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        write(LogLevel::Debug, format, std::forward<Arguments>(arguments)...);
    }

    template <typename... Arguments>
    void info(fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        write(LogLevel::Info, format, std::forward<Arguments>(arguments)...);
    }

    template <typename... Arguments>
    void warning(fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        write(LogLevel::Warning, format, std::forward<Arguments>(arguments)...);
    }

    template <typename... Arguments>
    void error(fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        write(LogLevel::Error, format, std::forward<Arguments>(arguments)...);
    }

private:
    struct Implementation;

    template <typename... Arguments>
    void write(LogLevel level, fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        if (isEnabled(level))
            writeLine(level, fmt::format(format, std::forward<Arguments>(arguments)...));
    }

    [[nodiscard]] bool isEnabled(LogLevel level) const;
    void writeLine(LogLevel level, const std::string& message) const;

    std::shared_ptr<const Implementation> m_implementation;
};

}
