#include "azurepaddle/http/server.hpp"

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/http/problem.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace azurepaddle::http {

namespace {

    using pipeline::PipelineError;
    using pipeline::PipelineErrorCode;

    constexpr int listenBacklog = 1024;
    constexpr std::size_t overflowThreads = 8;
    constexpr Duration overloadRetry = std::chrono::milliseconds(500);
    constexpr Duration drainRetry = std::chrono::milliseconds(100);
    constexpr std::string_view bearerPrefix = "Bearer ";

    /// Whether the path starts new work. All other paths are also served while the instance drains.
    bool startsWork(const std::string& path)
    {
        return path == "/v1/completions" || path == "/v1/chat/completions" || path.starts_with("/v1/services/") || path.starts_with("/v1/runs/");
    }

    /// Debian's library sets the listen backlog to 5, so that bursts of connections are dropped. A second call of listen
    /// increases it.
    template <typename Base>
    class DeepServer final : public Base {
    public:
        using Base::Base;

        void deepenBacklog() const { ::listen(this->svr_sock_, listenBacklog); }
    };

    std::unique_ptr<httplib::Server> makeServer(const config::HttpSettings& settings)
    {
        if (settings.tlsCertificate.empty())
            return std::make_unique<DeepServer<httplib::Server>>();
        return std::make_unique<DeepServer<httplib::SSLServer>>(settings.tlsCertificate.c_str(), settings.tlsKey.c_str());
    }

    void deepenBacklog(const httplib::Server& server)
    {
        if (const auto* plain = dynamic_cast<const DeepServer<httplib::Server>*>(&server))
            plain->deepenBacklog();
        else if (const auto* secure = dynamic_cast<const DeepServer<httplib::SSLServer>*>(&server))
            secure->deepenBacklog();
    }

    std::size_t headerBytes(const httplib::Request& request)
    {
        std::size_t bytes = 0;
        for (const auto& [name, value] : request.headers)
            bytes += name.size() + value.size();
        return bytes;
    }

    /// Makes the library close the connection after the response. It does so only if the content provider fails; otherwise
    /// it would read the body that follows as the line of a next request, which has no limit.
    void closeAfter(httplib::Response& response)
    {
        response.headers.erase("Content-Type");
        response.set_chunked_content_provider(problemContentType, [body = std::exchange(response.body, {})](std::size_t, httplib::DataSink& sink) {
            sink.write(body.data(), body.size());
            sink.done();
            return false;
        });
    }

}

void answerProblem(httplib::Response& response, const PipelineError& error)
{
    response.status = httpStatus(error.code());
    response.set_header("X-Azurepaddle-Outcome", std::string(outcomeName(error.outcome())));
    if (error.retryAfter() > Duration::zero())
        response.set_header("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(error.retryAfter()).count()));
    response.set_content(problemBody(error), problemContentType);
}

void answerJson(httplib::Response& response, const std::string& body)
{
    response.set_content(body, "application/json");
}

std::string bearerToken(const httplib::Request& request)
{
    const std::string value = request.get_header_value("Authorization");
    return value.starts_with(bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string();
}

HttpServer::HttpServer(const config::HttpSettings& settings)
    : m_settings(settings)
    , m_bodies(std::max(settings.maxBodiesBytes, 2 * settings.maxBodyBytes))
    , m_server(makeServer(settings))
{
    m_server->new_task_queue = [this, threads = settings.threads] { return new BoundedTaskQueue(threads, overflowThreads, [this] { m_bodies.release(); }); };
    m_server->set_payload_max_length(settings.maxBodyBytes);
    m_server->set_read_timeout(settings.readTimeout);
    m_server->set_write_timeout(settings.writeTimeout);
    m_server->set_keep_alive_timeout(std::chrono::duration_cast<std::chrono::seconds>(settings.keepAliveTimeout).count());
    m_server->set_keep_alive_max_count(settings.keepAliveRequests);
    m_server->set_tcp_nodelay(true);
    m_server->set_pre_routing_handler([this](const auto& request, auto& response) { return beforeRouting(request, response); });
    m_server->set_exception_handler([](const auto&, auto& response, const std::exception_ptr& thrown) {
        std::string message = "unexpected exception";
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception& exception) {
            message = exception.what();
        } catch (...) {
            message = "unexpected exception of unknown type";
        }
        Log("http").error("request handler failed: {}", message);
        answerProblem(response, PipelineError(PipelineErrorCode::EndpointFailed, Outcome::Unknown, "the instance failed to handle the request"));
    });
    m_server->set_error_handler([](const auto& request, auto& response) {
        if (!response.body.empty() || response.content_provider_)
            return;
        const auto code = response.status == 413 ? PipelineErrorCode::TooLarge : response.status == 404 ? PipelineErrorCode::NotFound
                                                                                                        : PipelineErrorCode::BadRequest;
        const int status = response.status;
        answerProblem(response, PipelineError(code, Outcome::NotRun, "status " + std::to_string(status) + " for " + request.method + " " + request.path));
        response.status = status;
    });
}

HttpServer::~HttpServer()
{
    stop();
}

bool HttpServer::start()
{
    if (!m_server->is_valid() || !m_server->bind_to_port(m_settings.address.c_str(), static_cast<int>(m_settings.port))) {
        Log("http").error("cannot listen on {}:{}", m_settings.address, m_settings.port);
        return false;
    }
    deepenBacklog(*m_server);
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    while (!m_server->is_running())
        std::this_thread::yield();
    return true;
}

void HttpServer::stop()
{
    m_server->stop();
    if (m_thread.joinable())
        m_thread.join();
}

/// Reserves room for the body of a request, which the library reads after this. A chunked body may have any size up to
/// the limit.
bool HttpServer::reserveBody(const httplib::Request& request)
{
    const bool isChunked = request.has_header("Transfer-Encoding");
    const std::string length = request.get_header_value("Content-Length");
    std::uint64_t declared = 0;
    // A malformed length counts as the largest body, whatever the library makes of it.
    if (!length.empty() && std::from_chars(length.data(), length.data() + length.size(), declared).ec != std::errc())
        declared = m_settings.maxBodyBytes;
    return m_bodies.reserve(request.remote_addr, isChunked ? m_settings.maxBodyBytes : std::min<std::uint64_t>(declared, m_settings.maxBodyBytes));
}

httplib::Server::HandlerResponse HttpServer::beforeRouting(const httplib::Request& request, httplib::Response& response)
{
    using Handled = httplib::Server::HandlerResponse;
    if (headerBytes(request) > m_settings.maxHeaderBytes) {
        answerProblem(response, PipelineError(PipelineErrorCode::TooLarge, Outcome::NotRun, "the headers exceed the limit"));
        response.status = 431;
        return Handled::Handled;
    }
    if (isOverflowThread() && startsWork(request.path)) {
        response.set_header("Connection", "close");
        answerProblem(response, PipelineError(PipelineErrorCode::Overloaded, Outcome::NotRun, "this instance carries its maximum of connections", overloadRetry));
        return Handled::Handled;
    }
    if (m_draining && startsWork(request.path)) {
        response.set_header("Connection", "close");
        answerProblem(response, PipelineError(PipelineErrorCode::Draining, Outcome::NotRun, "this instance is shutting down", drainRetry));
        return Handled::Handled;
    }
    if (!reserveBody(request)) {
        response.set_header("Connection", "close");
        answerProblem(response, PipelineError(PipelineErrorCode::Overloaded, Outcome::NotRun, "too many request bodies are in progress", overloadRetry));
        response.status = 503;
        closeAfter(response);
        return Handled::Handled;
    }
    return Handled::Unhandled;
}

}
