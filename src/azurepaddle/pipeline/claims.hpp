#pragma once

#include "azurepaddle/pipeline/control_port.hpp"
#include "azurepaddle/pipeline/request.hpp"

#include <optional>

namespace azurepaddle::pipeline {

/// The answer that a repeated request with a completed key gets.
struct RecordedAnswer {
    int httpStatus = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const RecordedAnswer&, const RecordedAnswer&) = default;
};

/// Claims idempotency keys in the log, so that a non-idempotent request runs at most once over all instances.
class ClaimKeeper {
public:
    explicit ClaimKeeper(ControlPort control)
        : m_control(std::move(control))
    {
    }

    /// Whether the request needs a claim.
    [[nodiscard]] static bool isNeeded(const WorkItem& item) noexcept { return !item.isIdempotent && !item.idempotencyKey.empty(); }

    /// Claims the key. Nothing if the request may be sent; the recorded answer if it ran before.
    [[nodiscard]] PipelineResult<std::optional<RecordedAnswer>> claim(const WorkItem& item) const;

    /// Records the outcome. Retries until the log has it or the time is up; an unrecorded claim stays "unknown".
    void complete(const WorkItem& item, control::ClaimResult result) const;

    /// Gives the claim up. Only if no byte of the request was sent.
    void release(const WorkItem& item) const;

private:
    ControlPort m_control;
};

}
