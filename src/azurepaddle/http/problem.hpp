#pragma once

#include "azurepaddle/pipeline/error.hpp"

#include <string>

namespace azurepaddle::http {

/// Media type of error answers, from RFC 9457.
constexpr auto problemContentType = "application/problem+json";

/// Returns the HTTP status code of an error.
[[nodiscard]] int httpStatus(pipeline::PipelineErrorCode code) noexcept;

/// Encodes the error as a JSON object with type, title, status, detail, outcome and retry_after_ms.
[[nodiscard]] std::string problemBody(const pipeline::PipelineError& error);

}
