#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/http1/parser.hpp"
#include "azurepaddle/http1/request_write.hpp"

#include <asio.hpp>
#include <functional>
#include <stop_token>
#include <string>
#include <string_view>

namespace azurepaddle::pipeline {

/// Time and size limits of one call to an endpoint.
struct CallLimits {
    Duration connectTimeout {};
    Duration writeTimeout {}; ///< Longest wait until a part of the request is taken.
    Duration progressTimeout {}; ///< Longest wait for bytes of the answer.
    TimePoint deadline = TimePoint::max(); ///< Ends the call, also while bytes arrive.
    http1::MessageLimits message; ///< Of the answer; interim responses count towards the head.

    friend bool operator==(const CallLimits&, const CallLimits&) = default;
};

/// How a call ended.
enum class CallEnd : unsigned char {
    Complete,
    NotConnected, ///< No byte was sent.
    Lost, ///< The connection ended before the answer was complete.
    TimedOut,
    Invalid, ///< The bytes are not an answer, or exceed the limits.
    Stopped, ///< The stop token or the consumer of the body ended the call.
};

/// Sends one request over a new connection and reads its answer on the calling thread, with bounded memory: an endpoint
/// may send bytes that are no answer, without end.
class EndpointCall {
public:
    using BodyConsumer = std::function<bool(const http1::Response& head, std::string_view bytes)>;

    /// The context only creates the socket; nothing runs on it.
    EndpointCall(asio::io_context& io, const CallLimits& limits);

    /// Passes each part of the body to the consumer, which returns false to end the call. Must be called once.
    [[nodiscard]] CallEnd run(const std::string& address, const http1::Request& request, const std::stop_token& stop, const BodyConsumer& onBody);
    [[nodiscard]] bool hasHead() const noexcept { return m_hasHead; }
    /// Status and fields of the answer, once its head has arrived.
    [[nodiscard]] const http1::Response& head() const noexcept { return m_head; }
    /// Why the call did not complete, for log lines and error messages.
    [[nodiscard]] const std::string& message() const noexcept { return m_message; }

private:
    enum class Direction : unsigned char {
        Read,
        Write,
    };

    [[nodiscard]] bool connect(const std::string& address);
    [[nodiscard]] bool connectTo(const asio::ip::tcp::endpoint& endpoint);
    [[nodiscard]] CallEnd write(std::string_view bytes);
    [[nodiscard]] CallEnd read(const std::stop_token& stop, const BodyConsumer& onBody);
    [[nodiscard]] CallEnd feed(std::string_view bytes, const BodyConsumer& onBody);
    [[nodiscard]] CallEnd feedEnd(const BodyConsumer& onBody);
    [[nodiscard]] bool isBroken();
    [[nodiscard]] bool deliverBody(const BodyConsumer& onBody);
    [[nodiscard]] bool wait(Direction direction, Duration timeout);
    CallEnd fail(CallEnd end, std::string message);

    const CallLimits m_limits;
    const SystemClock m_clock {};
    asio::io_context& m_io;
    asio::ip::tcp::socket m_socket;
    http1::RequestWrite m_write;
    http1::ResponseParser m_parser;
    http1::Response m_head;
    bool m_hasHead = false;
    std::size_t m_bytesBeforeHead = 0; ///< Bytes received until the head of the final response was complete.
    bool m_isDone = false;
    std::string m_message;
};

}
