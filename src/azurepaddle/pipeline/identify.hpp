#pragma once

#include "azurepaddle/pipeline/error.hpp"
#include "azurepaddle/pipeline/request.hpp"

#include <memory>
#include <string_view>

namespace azurepaddle::pipeline {

/// Parses the JSON body of an engine request. Rejects options whose guarantees the pipeline cannot provide.
[[nodiscard]] PipelineResult<Generation> parseGeneration(std::string_view body);

/// Returns the service named by the `model` field of the body.
[[nodiscard]] PipelineResult<ServiceName> parseModelName(std::string_view body);

/// First stage of the pipeline: authenticates the tenant by its token, resolves the service and converts the request
/// into a validated work item.
class RequestValidator {
public:
    explicit RequestValidator(const SystemClock& clock) noexcept
        : m_clock(clock)
    {
    }

    [[nodiscard]] PipelineResult<WorkItem> operator()(
        CallerRequest request, std::shared_ptr<const config::Configuration> configuration) const;

private:
    const SystemClock& m_clock;
};

}
