#pragma once

#include "azurepaddle/gateway/forwarder.hpp"

#include <memory>

namespace azurepaddle::gateway {

/// The answer to a caller's request for a stream. Events that arrive before the stream is opened are kept.
class CallerStream final : public StreamSink, public std::enable_shared_from_this<CallerStream> {
public:
    /// Called when the stream begins, with its origin and the function that opens it.
    using BeginHandler = std::function<void(const registry::StreamOrigin&, const std::function<void()>& open)>;

    CallerStream(http1::ExchangePointer exchange, BeginHandler onBegin)
        : m_exchange(std::move(exchange))
        , m_onBegin(std::move(onBegin))
    {
    }

    /// Set right after the request is sent, to cancel it if the caller reads too slowly.
    void setCall(std::weak_ptr<ForwardCall> call) { m_call = std::move(call); }
    void onBegin(const http1::Response& head, const registry::StreamOrigin& origin) override;
    void onEvents(std::string bytes) override;
    /// Sends the events that were kept, and from now on each event as it arrives.
    void open();
    /// Ends the answer. If it is not complete, the connection is closed, so that the caller sees that it is cut.
    void end(StreamState state);

private:
    void finishIfEnded();

    http1::ExchangePointer m_exchange;
    BeginHandler m_onBegin;
    std::weak_ptr<ForwardCall> m_call;
    http1::Response m_head;
    std::string m_kept;
    StreamState m_end = StreamState::NotBegun; ///< Set once the answer has ended.
    bool m_isOpen = false;
};

}
