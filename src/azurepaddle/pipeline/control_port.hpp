#pragma once

#include "azurepaddle/control/command.hpp"
#include "azurepaddle/pipeline/error.hpp"

#include <functional>

namespace azurepaddle::pipeline {

/// The way to the replicated log. `submit` waits for the reply, at most until the deadline; an error says with its
/// outcome whether the command may have been applied.
struct ControlPort {
    std::function<PipelineResult<control::ControlReply>(control::ControlAction, TimePoint)> submit;
    control::Holder self; ///< This process.
    std::function<void(std::function<void()>)> defer = {}; ///< Runs a task in the background. Empty: tasks run at once.
};

/// Runs a task that nobody waits for.
inline void deferOrRun(const ControlPort& port, std::function<void()> task)
{
    if (port.defer)
        port.defer(std::move(task));
    else
        task();
}

/// Submits an action whose reply is of the type given.
template <typename Reply>
[[nodiscard]] PipelineResult<Reply> submitFor(const ControlPort& port, control::ControlAction action, TimePoint deadline)
{
    auto reply = port.submit(std::move(action), deadline);
    if (!reply)
        return tl::unexpected(reply.error());
    if (auto* typed = std::get_if<Reply>(&*reply))
        return std::move(*typed);
    if (const auto* rejected = std::get_if<control::Rejected>(&*reply))
        return refuse(PipelineErrorCode::BadRequest, rejected->detail);
    return refuse(PipelineErrorCode::ControlUnavailable, "the log answered with a reply of another kind");
}

}
