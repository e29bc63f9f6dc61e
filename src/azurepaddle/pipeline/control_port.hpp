#pragma once

#include "azurepaddle/control/command.hpp"
#include "azurepaddle/pipeline/error.hpp"

#include <functional>

namespace azurepaddle::pipeline {

/// Access to the replicated log. `submit` waits for the reply until the deadline at most. The outcome of an error tells
/// whether the command may have been applied.
struct ControlPort {
    std::function<PipelineResult<control::ControlReply>(control::ControlAction, TimePoint)> submit;
    control::Holder self; ///< Identifies this process.
    /// Runs a task in the background. If empty, tasks run in the calling thread.
    std::function<void(std::function<void()>)> defer = {};
};

/// Runs a task whose result is not needed: through `defer` if it is set, otherwise in the calling thread.
inline void deferOrRun(const ControlPort& port, std::function<void()> task)
{
    if (port.defer)
        port.defer(std::move(task));
    else
        task();
}

/// Submits an action and returns its reply as the given type. A rejection or a reply of another type is an error.
template <typename Reply>
[[nodiscard]] PipelineResult<Reply> submitFor(const ControlPort& port, control::ControlAction action, TimePoint deadline)
{
    auto reply = port.submit(std::move(action), deadline);
    if (!reply)
        return tl::unexpected(reply.error());
    if (auto* typedReply = std::get_if<Reply>(&*reply))
        return std::move(*typedReply);
    if (const auto* rejected = std::get_if<control::Rejected>(&*reply))
        return refuse(PipelineErrorCode::BadRequest, rejected->detail);
    return refuse(PipelineErrorCode::ControlUnavailable, "the log answered with a reply of another kind");
}

}
