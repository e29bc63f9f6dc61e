#pragma once

#include <string>

namespace azurepaddle::internal {

/// Prints the broken invariant to standard error and aborts the process.
[[noreturn]] void failInvariant(const char* condition, const std::string& message, const char* file, int line) noexcept;

}

/// Stops the process with one line on standard error when a guarantee of the service is broken, also in release builds.
/// The message is evaluated only on failure.
#define AZUREPADDLE_INVARIANT(condition, message)                                            \
    do {                                                                                     \
        if (!(condition)) [[unlikely]]                                                       \
            ::azurepaddle::internal::failInvariant(#condition, message, __FILE__, __LINE__); \
    } while (false)
