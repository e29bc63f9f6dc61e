#pragma once

#include "azurepaddle/http1/server.hpp"

#include <array>

namespace azurepaddle::http1 {

/// State shared by the connections of a server.
struct Server::Shared {
    asio::io_context& io;
    Handler handler;
    ServerLimits limits;
    std::shared_ptr<BodyBudget> budget; ///< Null if there is none.
    bool isDraining = false;
    bool isClosed = false;
    std::unordered_set<std::shared_ptr<internal::ServerConnection>> connections;
    SystemClock clock {};
    std::array<char, std::size_t { 16 } * 1024> buffer {}; ///< For each read; no connection keeps it.
};

namespace internal {

    /// One connection of a client.
    class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
    public:
        ServerConnection(std::shared_ptr<Server::Shared> shared, asio::ip::tcp::socket socket);

        void start();
        /// Closes the connection if it has been idle, or its request incomplete, for longer than allowed.
        void checkTimeouts(TimePoint now);
        void close();
        [[nodiscard]] bool isIdle() const noexcept { return !m_isBusy && !m_parser.hasStarted() && m_unparsed.empty(); }
        [[nodiscard]] bool isBusy() const noexcept { return m_isBusy; }
        [[nodiscard]] bool isClosed() const noexcept { return m_isClosed; }
        [[nodiscard]] std::size_t unsentBytes() const noexcept { return m_unsentBytes; }

        void respond(Response response, bool isHead);
        void beginStream(Response head);
        void sendChunk(std::string_view bytes);
        void endStream();
        void cutStream();

    private:
        void read();
        void onReadable();
        void onRead(const std::error_code& error, std::size_t size);
        void parse();
        void dispatch();
        void refuse(const ParseError& error);
        void refuseForMemory();
        void refuseRequest(Response response);
        [[nodiscard]] bool reserveHeader();
        [[nodiscard]] bool reserveBody(std::size_t received);
        void openBodyShare();
        void openShares();
        void write(std::string bytes);
        void flush();
        void onWritten(std::size_t size);
        void finishResponse();
        void addConnectionFields(Response& response);

        // Maximum number of bytes read of pipelined requests before their turn.
        static constexpr std::size_t maxUnparsedBytes = 32U * 1024U;
        // Maximum number of bytes read and dropped after a response that closes the connection.
        static constexpr std::size_t maxDroppedBytes = 256U * 1024U;
        // Room for a body of unknown size is reserved in steps of this size.
        static constexpr std::size_t chunkedStepBytes = 64U * 1024U;
        // A body up to this size is copied behind its head, which costs less than a second write.
        static constexpr std::size_t smallBodyBytes = 16U * 1024U;

        std::shared_ptr<Server::Shared> m_shared;
        asio::ip::tcp::socket m_socket;
        RequestParser m_parser;
        std::string m_unparsed; ///< Bytes received after the end of the current request.
        std::weak_ptr<Exchange> m_exchange;
        TimePoint m_lastActivity;
        TimePoint m_messageStart;
        std::unique_ptr<BodyShare> m_bodyShare; ///< For the body being received. Null without a budget or body.
        std::unique_ptr<AnswerShare> m_answerShare; ///< Null without a budget.
        std::size_t m_droppedBytes = 0;
        std::deque<std::string> m_output;
        std::size_t m_sentBytes = 0; ///< Of the first string of the output.
        std::size_t m_unsentBytes = 0; ///< Size of the output.
        bool m_isReading = false;
        bool m_isWriting = false;
        bool m_isBusy = false; ///< A request is being processed.
        bool m_closesAfterResponse = false;
        bool m_closesAfterWrite = false;
        bool m_isHttp10 = false; ///< The current request is one of HTTP/1.0.
        bool m_isStreaming = false; ///< The body of a response is sent in parts and not complete.
        bool m_resetsOnClose = false; ///< A plain end would make the body look whole, which ends with the connection and is not sent yet.
        bool m_isClosed = false;
    };

}

}
