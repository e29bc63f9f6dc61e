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
class IdempotencyClaims {
public:
    explicit IdempotencyClaims(ControlPort control)
        : m_control(std::move(control))
    {
    }

    /// Whether the request needs a claim.
    [[nodiscard]] static bool isNeeded(const WorkItem& item) noexcept { return !item.isIdempotent && !item.idempotencyKey.empty(); }

    /// Claims the key. Nothing if the request may be sent; the recorded answer if it ran before.
    [[nodiscard]] PipelineResult<std::optional<RecordedAnswer>> claim(const WorkItem& item) const;

    /// Records the outcome, so that a repetition gets it. When the log does not take it soon, the caller is not kept
    /// waiting: recording goes on in the background, and until then repetitions are told "in progress".
    void complete(const WorkItem& item, control::ClaimResult result) const;

    /// Gives the claim up, in the background if the log is slow. Only if no byte of the request was sent.
    void release(const WorkItem& item) const;

private:
    ControlPort m_control;
};

}
