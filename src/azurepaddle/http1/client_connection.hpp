#pragma once

#include "azurepaddle/http1/client.hpp"
#include "azurepaddle/http1/request_write.hpp"

#include <array>

namespace azurepaddle::http1::internal {

class ClientConnection;

/// The connections to one address.
struct AddressConnections {
    std::vector<std::shared_ptr<ClientConnection>> idle; ///< In order of last use, the most recent one last.
    std::size_t open = 0;
};

/// State shared by the connections of a pool.
struct ClientShared {
    asio::io_context& io;
    MessageLimits limits;
    std::map<InstanceAddress, AddressConnections> addresses {};
    std::function<void(bool isReachable)> linkObserver {};
    std::function<void(const InstanceAddress&, const std::string& cause)> invalidAnswerObserver {};
    SystemClock clock {};

    void observeInvalidAnswer(const InstanceAddress& address, const std::string& cause) const
    {
        if (invalidAnswerObserver)
            invalidAnswerObserver(address, cause);
    }
    void observeLink(bool isReachable) const
    {
        if (linkObserver)
            linkObserver(isReachable);
    }
};

/// One connection. It carries one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(std::shared_ptr<ClientShared> shared, InstanceAddress address);

    /// Sends a request, after connecting if this connection is new.
    void begin(std::string head, std::shared_ptr<const std::string> body, const CallOptions& options, CallEvents events, std::uint64_t call);
    /// Ends the call with this number, if it is in progress.
    void cancel(std::uint64_t call);
    void close();
    /// Whether bytes of the request of this call may have reached the server.
    [[nodiscard]] bool isSent(std::uint64_t call) const noexcept { return m_call != call || m_isSent; }
    [[nodiscard]] bool isUsable(TimePoint now) const noexcept { return !m_isClosed && now < m_usableUntil; }

private:
    void connect();
    void setOptions();
    void writeRequest();
    void read();
    void onRead(const std::error_code& error, std::size_t size);
    void finishAtEnd();
    void decideEnd();
    void receive(std::string bytes);
    [[nodiscard]] bool deliverHead();
    void deliverBody();
    void onMessageComplete(const std::string& rest);
    void failInvalid(const ParseError& error);
    void finish(CallEndKind kind, std::string message);
    void armTimer(TimePoint at);
    void resetParser();

    static constexpr std::size_t readBytes = 4U * 1024U;

    std::shared_ptr<ClientShared> m_shared;
    InstanceAddress m_address;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    ResponseParser m_parser;
    std::array<char, readBytes> m_buffer {};
    std::string m_head;
    std::shared_ptr<const std::string> m_body; ///< Null once it is written.
    RequestWrite m_write;
    CallOptions m_options;
    std::shared_ptr<const CallEvents> m_events; ///< Shared with a running callback, which may end the call. Null if idle.
    std::uint64_t m_call = 0; ///< Number of the call in progress; 0 if idle.
    TimePoint m_connectBy; ///< Time by which the connection of the call must be established.
    TimePoint m_usableUntil;
    TimePoint m_undecidedUntil; ///< Time until which the end of the connection may stay undecided.
    bool m_isConnected = false;
    bool m_isSent = false;
    bool m_isHeadDelivered = false;
    bool m_isDiscarding = false; ///< The response being received belongs to another request.
    bool m_isClosed = false;
};

}
