#pragma once

#include "azurepaddle/config/settings.hpp"
#include "azurepaddle/http/body_room.hpp"
#include "azurepaddle/http/taskqueue.hpp"
#include "azurepaddle/pipeline/error.hpp"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace azurepaddle::http {

/// Sends an error as problem+json, with Retry-After if the request may be retried.
void answerProblem(httplib::Response& response, const pipeline::PipelineError& error);

/// Sends a JSON text.
void answerJson(httplib::Response& response, const std::string& body);

/// Returns the bearer token of a request, or an empty text.
[[nodiscard]] std::string bearerToken(const httplib::Request& request);

/// The HTTP server of an instance with its limits. Routes are added before start. Requests beyond the thread limit and,
/// while draining, requests of callers are refused as not run.
class HttpServer {
public:
    explicit HttpServer(const config::HttpSettings& settings);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    [[nodiscard]] httplib::Server& routes() noexcept { return *m_server; }

    /// Binds the address and starts to serve. On failure, writes a message to standard error and returns false.
    [[nodiscard]] bool start();

    /// Refuses further requests of callers and trainers.
    void drain() noexcept { m_draining = true; }

    /// Closes the connections. No request may be in progress, because the library aborts streams.
    void stop();

private:
    [[nodiscard]] httplib::Server::HandlerResponse beforeRouting(const httplib::Request& request, httplib::Response& response);
    [[nodiscard]] bool reserveBody(const httplib::Request& request);

    config::HttpSettings m_settings;
    BodyRoom m_bodies;
    std::unique_ptr<httplib::Server> m_server;
    std::atomic<bool> m_draining = false;
    std::thread m_thread;
};

}
