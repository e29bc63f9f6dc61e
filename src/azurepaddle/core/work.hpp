#pragma once

#include <string_view>

namespace azurepaddle {

/// The size class of a request. Long work may use only part of an endpoint's slots.
enum class WorkClass : unsigned char {
    Short,
    Long,
};

/// The name of a work class as it appears in headers and metrics.
[[nodiscard]] constexpr std::string_view workClassName(WorkClass workClass) noexcept
{
    return workClass == WorkClass::Short ? "short" : "long";
}

}
