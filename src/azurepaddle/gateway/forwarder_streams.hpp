#pragma once

// Event streams that are passed on event by event.

#include "azurepaddle/gateway/forwarder.hpp"

namespace azurepaddle::gateway {

/// Whether the events of an attempt are passed on as they arrive.
template <typename Protocol>
bool Forwarder<Protocol>::isStreamed(const PendingRequest& pending, const Attempt& attempt)
{
    constexpr unsigned ok = 200;
    return pending.task.sink && attempt.answerClass == AnswerClass::Answer && attempt.response.status == ok;
}

template <typename Protocol>
void Forwarder<Protocol>::onStreamBytes(const PendingPointer& pending, std::uint64_t number, const std::string& bytes)
{
    Attempt& attempt = pending->attempts.at(number);
    const auto events = attempt.splitter.feed(bytes);
    if (!events)
        return failAttempt(pending, number, "an event is too large");
    if (!events->empty() && !passOn(*pending, attempt, *events))
        failAttempt(pending, number, "event out of order");
}

/// Passes complete events on. Returns false, without passing any on, if one of them is not the next of the stream.
template <typename Protocol>
bool Forwarder<Protocol>::passOn(PendingRequest& pending, const Attempt& attempt, const std::vector<http1::RawEvent>& events)
{
    std::uint64_t last = pending.lastEvent;
    bool isNumbered = pending.isNumbered;
    std::string bytes;
    for (const http1::RawEvent& event : events) {
        const auto number = event.id.empty() ? std::nullopt : Protocol::eventNumber(http1::StreamEvent { event.id, {}, {} });
        if (number && *number != last + 1)
            return false;
        last = number.value_or(last);
        isNumbered = isNumbered && number;
        bytes += event.bytes;
    }
    const registry::StreamOrigin origin { attempt.endpoint.service, attempt.endpoint.software };
    if (!std::exchange(pending.isStreaming, true)) {
        pending.task.origin = origin;
        pending.task.sink->onBegin(attempt.response, origin);
    }
    pending.lastEvent = last;
    pending.isNumbered = isNumbered;
    pending.task.sink->onEvents(std::move(bytes));
    return true;
}

/// Ends an attempt whose endpoint sends an invalid answer.
template <typename Protocol>
void Forwarder<Protocol>::failAttempt(const PendingPointer& pending, std::uint64_t number, const std::string& cause)
{
    pending->attempts.at(number).call->cancel();
    onEnd(pending, number, { http1::CallEndKind::Failed, true, cause });
}

}
