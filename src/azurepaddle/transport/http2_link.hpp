#pragma once

#include "azurepaddle/transport/byte_stream.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurepaddle::transport::internal {

struct HeaderField {
    std::string name;
    std::string value;
};

/// A request or response with the pseudo headers among its fields.
struct Http2Message {
    std::vector<HeaderField> fields;
    std::string body;

    /// The value of the first field with this name, or an empty view.
    [[nodiscard]] std::string_view find(std::string_view name) const noexcept;
};

/// The flow-control and stream limits that an end of a connection announces.
struct LinkLimits {
    std::uint32_t maxStreams = 128;
    std::uint32_t streamWindow = 1024U * 1024U;
    std::int32_t connectionWindow = 8 * 1024 * 1024;
    std::size_t maxHeaderBytes = 8192; ///< Names and values of one message, with 32 bytes a field as in RFC 9113.
};

/// Callbacks of a link. They run on the I/O thread. Empty callbacks are skipped.
struct LinkEvents {
    std::function<bool(std::int32_t, const Http2Message&)> onHead; ///< False discards the body.
    std::function<bool(std::int32_t, std::size_t, std::size_t)> onChunk; ///< Bytes so far and new; false discards the body.
    std::function<void(std::int32_t, Http2Message)> onMessage; ///< A complete message whose body was not discarded.
    std::function<void(std::int32_t)> onSent; ///< The header of the stream is about to be written to the socket.
    std::function<void(std::int32_t, std::uint32_t)> onStreamClosed; ///< With the HTTP/2 error code.
    std::function<void()> onReady; ///< The settings of the peer have been received.
    std::function<void()> onGoaway;
    std::function<void(const std::string&)> onDown; ///< The connection failed; not called after close.
};

/// An HTTP/2 connection, which moves bytes between a ByteStream and an nghttp2 session. Not thread-safe.
class Http2Link : public std::enable_shared_from_this<Http2Link> {
public:
    Http2Link(ByteStream stream, TlsRole role, const LinkLimits& limits, std::shared_ptr<TrafficMeter> traffic);
    Http2Link(const Http2Link&) = delete;
    Http2Link& operator=(const Http2Link&) = delete;
    ~Http2Link();

    void setEvents(LinkEvents events) { m_events = std::move(events); }

    /// Sends the settings and starts reading. The handshake must be complete.
    void start();

    /// Queues a request. Returns the identifier of its stream, or a negative number if the session accepts no more.
    [[nodiscard]] std::int32_t submitRequest(const std::vector<HeaderField>& fields, std::string body);
    void submitResponse(std::int32_t stream, const std::vector<HeaderField>& fields, std::string body);
    void reset(std::int32_t stream, std::uint32_t code);
    void ping();
    void goaway();
    void flush();

    /// Closes the socket without calling onDown.
    void close() noexcept;
    /// Closes the socket and calls onDown later, outside of any callback.
    void fail(const std::string& reason);

    [[nodiscard]] ByteStream& stream() noexcept { return m_stream; }
    [[nodiscard]] bool closed() const noexcept { return m_closed; }
    [[nodiscard]] bool ready() const noexcept { return m_ready; }
    [[nodiscard]] bool pingOutstanding() const noexcept { return m_pingOutstanding; }
    [[nodiscard]] TimePoint lastReceived() const noexcept { return m_lastReceived; }
    /// Start of the write in progress; TimePoint::max() if there is none.
    [[nodiscard]] TimePoint writingSince() const noexcept { return m_writing ? m_writeStart : TimePoint::max(); }

private:
    struct Incoming {
        Http2Message message;
        std::size_t headerBytes = 0;
        bool headSeen = false;
        bool discard = false;
        bool complete = false;
    };
    struct Outgoing {
        std::string body;
        std::size_t offset = 0;
    };
    struct Callbacks;
    struct SessionDeleter {
        void operator()(nghttp2_session* session) const noexcept { nghttp2_session_del(session); }
    };

    void openSession();
    void read();
    void onRead(std::size_t size);
    void finishWriting();
    void onWritten(std::error_code error);
    void onFrame(const nghttp2_frame& frame);
    void onHeaderBlock(std::int32_t stream);
    void onEndOfStream(std::int32_t stream);
    void onFrameWritten(const nghttp2_frame& frame);

    ByteStream m_stream;
    TlsRole m_role;
    LinkLimits m_limits;
    std::shared_ptr<TrafficMeter> m_traffic;
    LinkEvents m_events;
    std::unique_ptr<nghttp2_session, SessionDeleter> m_session;
    std::unordered_map<std::int32_t, Incoming> m_incoming;
    std::unordered_map<std::int32_t, Outgoing> m_outgoing;
    std::array<char, 16384> m_input {};
    std::string m_output;
    SystemClock m_clock;
    TimePoint m_lastReceived;
    TimePoint m_writeStart;
    bool m_writing = false;
    bool m_receiving = false;
    bool m_closed = false;
    bool m_ready = false;
    bool m_finished = false; ///< The session has ended and all its output is written.
    bool m_pingOutstanding = false;
};

}
