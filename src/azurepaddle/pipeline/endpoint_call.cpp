#include "azurepaddle/pipeline/endpoint_call.hpp"

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/http1/grammar.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace azurepaddle::pipeline {

namespace {

    constexpr std::size_t readBufferBytes = 16U * 1024U;

    bool wouldBlock(const asio::error_code& error)
    {
        return error == asio::error::would_block || error == asio::error::try_again;
    }

}

EndpointCall::EndpointCall(asio::io_context& io, const CallLimits& limits)
    : m_limits(limits)
    , m_io(io)
    , m_socket(io)
    , m_parser(limits.message)
{
}

CallEnd EndpointCall::run(const std::string& address, const http1::Request& request, const std::stop_token& stop, const BodyConsumer& onBody)
{
    if (!connect(address))
        return CallEnd::NotConnected;
    // Ends a wait on the other thread. The callback is destroyed before the socket is closed.
    const std::stop_callback onStop(stop, [socket = m_socket.native_handle()] { ::shutdown(socket, SHUT_RDWR); });
    CallEnd end = write(http1::serialize(request));
    if (end == CallEnd::Complete)
        end = read(stop, onBody);
    return end != CallEnd::Complete && stop.stop_requested() ? CallEnd::Stopped : end;
}

CallEnd EndpointCall::fail(CallEnd end, std::string message)
{
    m_message = std::move(message);
    return end;
}

/// Waits until the socket is ready, at most until the deadline of the call. An error or a closed connection counts as
/// ready: the next operation reports it.
bool EndpointCall::wait(Direction direction, Duration timeout)
{
    const TimePoint now = m_clock.now();
    const TimePoint end = std::min(m_limits.deadline, timeout < TimePoint::max() - now ? now + timeout : TimePoint::max());
    pollfd waiting { m_socket.native_handle(), static_cast<short>(direction == Direction::Read ? POLLIN : POLLOUT), 0 };
    for (;;) {
        constexpr Duration longestPoll = std::chrono::seconds(60);
        const Duration remaining = std::clamp<Duration>(end - m_clock.now(), Duration::zero(), longestPoll);
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
        const int ready = ::poll(&waiting, 1, static_cast<int>(milliseconds));
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return false;
        if (m_clock.now() >= end)
            return false;
    }
}

/// Connects to the first address that accepts: a name may have addresses of both IP versions.
bool EndpointCall::connect(const std::string& address)
{
    const auto parsed = parseAddress(address);
    if (!parsed) {
        m_message = "the address is malformed";
        return false;
    }
    asio::error_code error;
    const auto found = asio::ip::tcp::resolver(m_io).resolve(parsed->ip, std::to_string(parsed->port), error);
    m_message = error ? error.message() : "the name has no address";
    return std::any_of(found.begin(), found.end(), [this](const auto& entry) { return connectTo(entry.endpoint()); });
}

bool EndpointCall::connectTo(const asio::ip::tcp::endpoint& endpoint)
{
    asio::error_code error;
    m_socket = asio::ip::tcp::socket(m_io);
    m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (!error)
        m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    if (!error)
        m_socket.connect(endpoint, error);
    if (error == asio::error::in_progress || wouldBlock(error)) {
        int result = ETIMEDOUT;
        socklen_t size = sizeof(result);
        if (wait(Direction::Write, m_limits.connectTimeout))
            ::getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &result, &size);
        error = asio::error_code(result, asio::error::get_system_category());
    }
    m_message = error ? error.message() : std::string();
    return !error;
}

CallEnd EndpointCall::write(std::string_view bytes)
{
    asio::error_code error;
    m_write.begin();
    while (!bytes.empty()) {
        const std::size_t written = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        bytes.remove_prefix(written);
        // A failed write does not end the call: an answer that arrived early is read first.
        if (error && !wouldBlock(error))
            break;
        if (error && !wait(Direction::Write, m_limits.writeTimeout))
            return fail(CallEnd::TimedOut, "the endpoint does not take the request");
    }
    m_write.finish(error);
    return CallEnd::Complete;
}

CallEnd EndpointCall::read(const std::stop_token& stop, const BodyConsumer& onBody)
{
    std::array<char, readBufferBytes> buffer {};
    while (!m_isDone) {
        if (m_clock.now() >= m_limits.deadline || !wait(Direction::Read, m_limits.progressTimeout))
            return fail(CallEnd::TimedOut, m_clock.now() >= m_limits.deadline ? "the deadline passed" : "nothing arrived in time");
        asio::error_code error;
        const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
        if (wouldBlock(error))
            continue;
        // The end of the connection may come from the stop, so that it does not complete an answer without a length.
        if (stop.stop_requested())
            return CallEnd::Stopped;
        if (error == asio::error::eof)
            return feedEnd(onBody);
        if (error)
            return fail(CallEnd::Lost, error.message());
        if (const CallEnd end = feed({ buffer.data(), size }, onBody); end != CallEnd::Complete)
            return end;
    }
    return CallEnd::Complete;
}

/// Parses received bytes. Interim responses are skipped.
CallEnd EndpointCall::feed(std::string_view bytes, const BodyConsumer& onBody)
{
    while (!bytes.empty() && !m_isDone) {
        const auto taken = m_parser.feed(bytes);
        if (!taken)
            return fail(CallEnd::Invalid, taken.error().message());
        bytes.remove_prefix(*taken);
        m_bytesBeforeHead += m_hasHead ? 0 : *taken;
        const bool isInterim = m_parser.isHeaderDone() && http1::isInterim(m_parser.head().status);
        if (isInterim) {
            if (m_bytesBeforeHead > m_limits.message.headerBytes)
                return fail(CallEnd::Invalid, fmt::format("interim responses exceed {} bytes", m_limits.message.headerBytes));
            m_parser = http1::ResponseParser(m_limits.message);
            continue;
        }
        if (!deliverBody(onBody))
            return CallEnd::Stopped;
        m_isDone = m_parser.isDone();
        if (!m_isDone)
            return CallEnd::Complete;
    }
    return CallEnd::Complete;
}

CallEnd EndpointCall::feedEnd(const BodyConsumer& onBody)
{
    const bool isComplete = m_parser.hasStarted() && m_parser.feedEnd().has_value();
    if (!isComplete)
        return fail(CallEnd::Lost, "the connection was closed before the answer was complete");
    if (!deliverBody(onBody))
        return CallEnd::Stopped;
    return isBroken() ? fail(CallEnd::Lost, "the connection broke before the request was taken") : CallEnd::Complete;
}

/// Whether the end of the connection is none that the endpoint made itself. Waits for a bounded time while it is undecided.
bool EndpointCall::isBroken()
{
    const TimePoint end = std::min(m_limits.deadline, m_clock.now() + http1::RequestWrite::maxUndecidedTime);
    for (;;) {
        const http1::ConnectionEnd meaning = m_write.meaningOfEnd(m_socket.native_handle());
        if (meaning != http1::ConnectionEnd::Undecided || m_clock.now() >= end)
            return meaning == http1::ConnectionEnd::Broken;
        std::this_thread::sleep_for(http1::RequestWrite::checkInterval);
    }
}

bool EndpointCall::deliverBody(const BodyConsumer& onBody)
{
    if (!m_parser.isHeaderDone())
        return true;
    if (!std::exchange(m_hasHead, true))
        m_head = m_parser.head();
    const std::string body = m_parser.takeBody();
    return body.empty() || onBody(m_head, body);
}

}
