#pragma once

#include "azurepaddle/pipeline/error.hpp"
#include "azurepaddle/pipeline/request.hpp"

#include <memory>
#include <string_view>

namespace azurepaddle::pipeline {

/// Reads the JSON body of an engine request. Refuses what the pipeline could not keep its promises for.
[[nodiscard]] PipelineResult<Generation> parseGeneration(std::string_view body);

/// The service that the body's `model` names.
[[nodiscard]] PipelineResult<ServiceName> modelOf(std::string_view body);

/// First filter: finds the tenant of the token and the service, and turns the request into a checked work item.
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
