#pragma once

namespace azurepaddle::http1 {

/// Whether a status states that the request succeeded.
[[nodiscard]] constexpr bool isSuccess(unsigned status) noexcept
{
    constexpr unsigned firstSuccess = 200;
    constexpr unsigned firstRedirection = 300;
    return status >= firstSuccess && status < firstRedirection;
}

}
