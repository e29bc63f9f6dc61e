#include "azurepaddle/http1/server_connection.hpp"

#include <utility>

namespace azurepaddle::http1::internal {

ServerConnection::ServerConnection(std::shared_ptr<Server::Shared> shared, asio::ip::tcp::socket socket)
    : m_shared(std::move(shared))
    , m_socket(std::move(socket))
    , m_parser(m_shared->limits.message)
    , m_lastActivity(m_shared->clock.now())
    , m_messageStart(m_lastActivity)
{
}

void ServerConnection::start()
{
    std::error_code ignored;
    m_socket.non_blocking(true, ignored);
    openShares();
    read();
}

/// Prepares the room for answers. The client is closed later, because the callers of this connection may be writing to it.
void ServerConnection::openShares()
{
    if (!m_shared->budget)
        return;
    m_answerShare = std::make_unique<AnswerShare>(m_shared->budget, [weak = weak_from_this(), shared = m_shared.get()] {
        asio::post(shared->io, [weak] {
            if (const auto connection = weak.lock())
                connection->close();
        });
    });
}

void ServerConnection::read()
{
    if (m_isReading || m_isClosed || m_unparsed.size() > maxUnparsedBytes || m_droppedBytes > maxDroppedBytes)
        return;
    m_isReading = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
        self->m_isReading = false;
        if (self->m_isClosed)
            return;
        if (error)
            return self->close();
        self->onReadable();
    });
}

/// Reads into the buffer of the server, so that thousands of waiting connections hold no buffers.
void ServerConnection::onReadable()
{
    std::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(m_shared->buffer), error);
    if (error == asio::error::would_block)
        return read();
    onRead(error, size);
}

void ServerConnection::onRead(const std::error_code& error, std::size_t size)
{
    if (m_isClosed)
        return;
    if (error)
        return close();
    if (m_closesAfterWrite) {
        m_droppedBytes += size;
        return read();
    }
    m_lastActivity = m_shared->clock.now();
    m_unparsed.append(m_shared->buffer.data(), size);
    if (!m_isBusy)
        parse();
    read();
}

void ServerConnection::parse()
{
    if (m_unparsed.empty() || m_closesAfterWrite)
        return;
    if (!m_parser.hasStarted())
        m_messageStart = m_lastActivity;
    const bool wasHeaderDone = m_parser.isHeaderDone();
    const std::string bytes = std::exchange(m_unparsed, {});
    const std::size_t before = m_parser.receivedBodyBytes();
    const auto taken = m_parser.feed(bytes);
    if (!taken)
        return refuse(taken.error());
    m_unparsed = bytes.substr(*taken);
    if (!(m_parser.isHeaderDone() ? reserveBody(m_parser.receivedBodyBytes() - before) : reserveHeader()))
        return refuseForMemory();
    if (m_parser.isDone())
        return dispatch();
    if (!wasHeaderDone && m_parser.isHeaderDone() && !m_parser.isHttp10() && m_parser.request().fields.hasToken("Expect", "100-continue"))
        write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::dispatch()
{
    Request request = std::move(m_parser.request());
    m_isHttp10 = m_parser.isHttp10();
    m_parser = RequestParser(m_shared->limits.message);
    m_isBusy = true;
    m_closesAfterResponse = m_isHttp10 || request.fields.hasToken("Connection", "close");
    if (m_bodyShare)
        m_bodyShare->complete();
    const auto exchange = std::make_shared<Exchange>(shared_from_this(), std::move(request), m_shared->clock.now(), std::move(m_bodyShare));
    m_exchange = exchange;
    m_shared->handler(exchange);
}

/// Reserves room for a header of which only a part has arrived. False if there is none.
bool ServerConnection::reserveHeader()
{
    if (!m_shared->budget || !m_parser.hasStarted() || m_bodyShare)
        return true;
    openBodyShare();
    return m_bodyShare->resize(m_shared->limits.message.headerBytes, m_lastActivity);
}

void ServerConnection::openBodyShare()
{
    if (m_bodyShare)
        return;
    std::error_code ignored;
    m_bodyShare = std::make_unique<BodyShare>(m_shared->budget, m_socket.remote_endpoint(ignored).address().to_string(), [weak = weak_from_this()] {
        if (const auto connection = weak.lock())
            connection->close();
    });
}

/// Reserves the room that the body needs next: all of it if its size is known. False if there is none.
bool ServerConnection::reserveBody(std::size_t received)
{
    const auto declared = m_parser.declaredBodyBytes();
    const std::size_t size = declared ? static_cast<std::size_t>(*declared) : m_parser.receivedBodyBytes();
    if (!m_shared->budget || size == 0)
        return true;
    openBodyShare();
    m_bodyShare->recordProgress(received, m_lastActivity);
    if (size <= m_bodyShare->bytes())
        return true;
    const std::size_t needed = declared || m_parser.isDone() ? size : (size / chunkedStepBytes + 1) * chunkedStepBytes;
    if (!m_bodyShare->resize(needed, m_lastActivity))
        return false;
    // Memory is occupied only when it is written, so a large reservation for a body of unknown size costs none.
    if (declared)
        m_parser.reserveBody(needed);
    else if (needed > chunkedStepBytes)
        m_parser.reserveBody(static_cast<std::size_t>(m_shared->limits.message.bodyBytes));
    return true;
}

void ServerConnection::refuse(const ParseError& error)
{
    Response response;
    response.status = error.code() == ParseErrorCode::HeaderTooLarge ? 431 : error.code() == ParseErrorCode::BodyTooLarge ? 413
                                                                                                                          : 400;
    response.body = error.message() + "\n";
    refuseRequest(std::move(response));
}

/// Refuses a request before its body is received. It is never run.
void ServerConnection::refuseForMemory()
{
    refuseRequest({ 503, {}, { { "Retry-After", "1" } }, "too many request bodies are in progress\n" });
}

/// Responds to a request that is not received completely, and closes the connection.
void ServerConnection::refuseRequest(Response response)
{
    m_parser = RequestParser(m_shared->limits.message);
    m_unparsed = {};
    m_bodyShare.reset();
    m_closesAfterResponse = true;
    m_isBusy = true;
    respond(std::move(response), false);
}

void ServerConnection::addConnectionFields(Response& response)
{
    m_closesAfterResponse = m_closesAfterResponse || m_shared->isDraining;
    response.fields.erase("Connection");
    response.fields.erase("Content-Length");
    response.fields.erase("Transfer-Encoding");
    if (m_closesAfterResponse)
        response.fields.add("Connection", "close");
}

void ServerConnection::respond(Response response, bool isHead)
{
    addConnectionFields(response);
    std::string head = serializeHead(response, Framing::Length);
    const bool isSmall = response.body.size() <= smallBodyBytes;
    if (!isHead && isSmall)
        head.append(response.body);
    write(std::move(head));
    if (!isHead && !isSmall)
        write(std::move(response.body));
    finishResponse();
}

void ServerConnection::beginStream(Response head)
{
    addConnectionFields(head);
    m_isStreaming = true;
    m_resetsOnClose = m_isHttp10;
    write(serializeHead(head, m_isHttp10 ? Framing::ConnectionEnd : Framing::Chunked));
}

void ServerConnection::sendChunk(std::string_view bytes)
{
    if (!bytes.empty())
        write(m_isHttp10 ? std::string(bytes) : serializeChunk(bytes));
}

void ServerConnection::endStream()
{
    m_isStreaming = false;
    if (!m_isHttp10)
        write(serializeChunk({}));
    finishResponse();
}

void ServerConnection::cutStream()
{
    m_closesAfterResponse = true;
    finishResponse();
}

void ServerConnection::finishResponse()
{
    m_isBusy = false;
    m_lastActivity = m_shared->clock.now();
    if (m_closesAfterResponse) {
        m_closesAfterWrite = true;
        return flush();
    }
    // Posted, because the handler may still hold the exchange to which it has just responded.
    asio::post(m_shared->io, [self = shared_from_this()] {
        if (!self->m_isClosed && !self->m_isBusy)
            self->parse();
        self->read();
    });
}

void ServerConnection::write(std::string bytes)
{
    if (m_isClosed)
        return;
    m_unsentBytes += bytes.size();
    if (m_answerShare)
        m_answerShare->add(bytes.size(), m_shared->clock.now());
    m_output.push_back(std::move(bytes));
    flush();
}

void ServerConnection::flush()
{
    if (m_isWriting || m_isClosed)
        return;
    if (m_output.empty()) {
        if (!m_closesAfterWrite)
            return;
        if (m_isStreaming && m_resetsOnClose)
            return close();
        m_resetsOnClose = false;
        // The client closes after the last response. Closing first with unread bytes would reset the connection before the
        // response is delivered.
        std::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return;
    }
    m_isWriting = true;
    m_socket.async_write_some(asio::buffer(m_output.front()) + m_sentBytes, [self = shared_from_this()](std::error_code error, std::size_t size) {
        self->m_isWriting = false;
        if (self->m_isClosed)
            return;
        if (error)
            return self->close();
        self->onWritten(size);
        self->flush();
    });
}

void ServerConnection::onWritten(std::size_t size)
{
    m_lastActivity = m_shared->clock.now();
    if (m_answerShare)
        m_answerShare->recordProgress(m_lastActivity);
    m_sentBytes += size;
    if (m_sentBytes < m_output.front().size())
        return;
    m_sentBytes = 0;
    m_unsentBytes -= m_output.front().size();
    if (m_answerShare)
        m_answerShare->remove(m_output.front().size());
    m_output.pop_front();
}

void ServerConnection::checkTimeouts(TimePoint now)
{
    constexpr Duration lingerTimeout = std::chrono::seconds(1);
    if (m_isClosed || m_isBusy)
        return;
    const bool isInHeader = m_parser.hasStarted() && !m_parser.isHeaderDone();
    if (m_closesAfterWrite && now - m_lastActivity > lingerTimeout)
        return close();
    if (isInHeader && now - m_messageStart > m_shared->limits.headerTimeout) {
        m_closesAfterResponse = true;
        m_isBusy = true;
        return respond({ 408, {}, {}, "the header was not received within the timeout\n" }, false);
    }
    if (now - m_lastActivity > m_shared->limits.idleTimeout)
        close();
}

void ServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    std::error_code ignored;
    if (m_resetsOnClose)
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_bodyShare.reset();
    if (m_answerShare)
        m_answerShare->clear();
    if (const auto exchange = m_exchange.lock())
        exchange->clientLeft();
    m_shared->connections.erase(shared_from_this());
}

}
