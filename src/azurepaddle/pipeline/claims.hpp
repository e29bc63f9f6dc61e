#pragma once

#include "azurepaddle/pipeline/control_port.hpp"
#include "azurepaddle/pipeline/request.hpp"

#include <optional>

namespace azurepaddle::pipeline {

/// The stored response that is returned to a retry of a completed request with the same idempotency key.
struct RecordedResponse {
    int httpStatus = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const RecordedResponse&, const RecordedResponse&) = default;
};

/// Claims idempotency keys in the replicated log, so that a non-idempotent request runs at most once over all
/// instances.
class IdempotencyClaims {
public:
    explicit IdempotencyClaims(ControlPort control)
        : m_control(std::move(control))
    {
    }

    [[nodiscard]] static bool isNeeded(const WorkItem& item) noexcept { return !item.isIdempotent && !item.idempotencyKey.empty(); }

    /// Claims the key. Returns no response if the request may be sent, or the recorded response if it ran before.
    [[nodiscard]] PipelineResult<std::optional<RecordedResponse>> claim(const WorkItem& item) const;

    /// Records the outcome, so that retries receive it. If the log does not accept it in time, recording continues in
    /// the background without delaying the client; until it completes, retries are rejected as "in progress".
    void complete(const WorkItem& item, control::ClaimResult result) const;

    /// Releases the claim, in the background if the log is slow. Allowed only if no byte of the request was sent.
    void release(const WorkItem& item) const;

private:
    ControlPort m_control;
};

}
