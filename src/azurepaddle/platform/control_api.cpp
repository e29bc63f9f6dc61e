#include "azurepaddle/platform/control_api.hpp"

#include "azurepaddle/platform/configuration.hpp"
#include "azurepaddle/platform/json.hpp"
#include "azurepaddle/platform/registration.hpp"
#include "azurepaddle/platform/replies.hpp"

namespace azurepaddle::platform {

namespace {

    // Callers try another instance after one second without a response.
    constexpr Duration callTimeout = std::chrono::milliseconds(900);

    /// Returns the part of a path between a prefix and a suffix; empty if the path lacks either.
    std::optional<std::string_view> between(std::string_view path, std::string_view prefix, std::string_view suffix)
    {
        if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) || !path.ends_with(suffix))
            return std::nullopt;
        return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    }

}

void ControlApi::handle(const http1::ExchangePointer& exchange)
{
    const http1::Request& request = exchange->request();
    const std::string_view path = http1::pathOf(request.target);
    const bool isPost = request.method == "POST";
    if (!exchange->mayDecode(internal::parsedBytes(request.body)))
        return exchange->respond(unavailable("too many request bodies are in progress"));
    if (const auto id = between(path, "/-/replicas/", "/heartbeat"); id && isPost)
        return receiveHeartbeat(exchange, *id);
    if (const auto id = between(path, "/-/replicas/", "/deregister"); id && isPost)
        return deregister(exchange, *id);
    if (path == "/-/config/replace" && isPost)
        return putConfiguration(exchange);
    if (path == "/-/config/read" && request.method == "GET")
        return readConfiguration(exchange);
    if (path == "/-/version-put" && isPost)
        return publishVersion(exchange);
    if (const auto instance = between(path, "/-/retire/", "/begin"); instance && isPost)
        return retire(exchange, *instance, true);
    if (const auto instance = between(path, "/-/retire/", "/read"); instance && request.method == "GET")
        return retire(exchange, *instance, false);
    exchange->respond(plain(404, "unknown path or method"));
}

void ControlApi::receiveHeartbeat(const http1::ExchangePointer& exchange, std::string_view id)
{
    const auto heartbeat = decodeHeartbeat(id, exchange->request().body);
    if (!heartbeat) {
        m_log.warning("heartbeat id={} invalid bytes={}", id, exchange->request().body.size());
        return exchange->respond(plain(400, "the heartbeat is invalid"));
    }
    if (m_local.acceptHeartbeat(*heartbeat))
        return exchange->respond(json(200, "{}"));
    m_leader.send(registry::HeartbeatRequest { *heartbeat }, m_clock.now() + callTimeout, [this, exchange, id = heartbeat->record.id](const registry::LeaderResult<registry::Acknowledgement>& reply) {
        if (!reply)
            return exchange->respond(unavailable("the leader did not accept the heartbeat"));
        const auto better = m_local.preferredInstanceFor(id);
        // All control instances listen on the same port.
        exchange->respond(json(200, better ? internal::Json({ { "heartbeat-addr", formatAddress({ better->ip, m_controlPort }) } }).dump() : "{}"));
    });
}

void ControlApi::deregister(const http1::ExchangePointer& exchange, std::string_view id)
{
    m_leader.send(registry::DeregisterRequest { decodeLeave(id, exchange->request().body) }, m_clock.now() + callTimeout, [exchange](const registry::LeaderResult<registry::Acknowledgement>& reply) {
        exchange->respond(reply ? plain(200, "gone") : unavailable("the leader did not accept the deregistration"));
    });
}

void ControlApi::putConfiguration(const http1::ExchangePointer& exchange)
{
    const std::string& text = exchange->request().body;
    const auto table = decodeConfiguration(text);
    const auto problem = table ? gateway::validate(*table) : std::optional(gateway::ConfigurationProblem { table.error() });
    if (problem) {
        m_log.info("configuration bytes={} refused: {}", text.size(), problem->message);
        return exchange->respond(plain(400, problem->message));
    }
    const registry::ConfigurationDocument document { table->version(), text };
    m_leader.send(registry::PutConfigurationRequest { document }, m_clock.now() + callTimeout, [exchange](const registry::LeaderResult<registry::PutConfigurationReply>& reply) {
        if (!reply)
            return exchange->respond(noReply(reply.error()));
        const bool isConflict = reply->outcome == registry::ConfigurationOutcome::Conflict;
        exchange->respond(isConflict ? plain(409, "a configuration with this version and other content is active") : plain(200, "accepted"));
    });
}

void ControlApi::readConfiguration(const http1::ExchangePointer& exchange)
{
    m_leader.send(registry::ReadConfigurationRequest {}, m_clock.now() + callTimeout, [exchange](const registry::LeaderResult<registry::ReadConfigurationReply>& reply) {
        if (!reply || reply->document.version == 0)
            return exchange->respond(unavailable("this instance cannot determine the newest configuration"));
        exchange->respond(json(200, reply->document.text));
    });
}

void ControlApi::publishVersion(const http1::ExchangePointer& exchange)
{
    const auto json = internal::parseJson(exchange->request().body);
    const auto model = json ? internal::textOf(*json, "model") : std::nullopt;
    const auto version = json ? internal::countOf(*json, "version") : std::nullopt;
    if (!model || !version)
        return exchange->respond(plain(400, "the call lacks model or version"));
    m_leader.send(registry::PublishVersionRequest { { batch::ModelName(*model), *version } }, m_clock.now() + callTimeout, [exchange](const registry::LeaderResult<registry::Acknowledgement>& reply) {
        exchange->respond(reply ? plain(200, "recorded") : unavailable("the leader did not record the version"));
    });
}

void ControlApi::retire(const http1::ExchangePointer& exchange, std::string_view instance, bool isBegin)
{
    m_leader.send(registry::RetireRequest { std::string(instance), isBegin }, m_clock.now() + callTimeout, [exchange, isBegin](const registry::LeaderResult<registry::RetireReply>& reply) {
        if (!reply)
            return exchange->respond(unavailable("the leader did not accept the request"));
        switch (reply->state) {
        case registry::RetireState::Unknown:
            return exchange->respond(isBegin ? plain(404, "no such instance") : json(200, R"({"state":"active"})"));
        case registry::RetireState::TooFewRemaining:
            return exchange->respond(plain(409, "too few instances would remain"));
        case registry::RetireState::Active:
            return exchange->respond(json(200, R"({"state":"active"})"));
        case registry::RetireState::Completed:
            return exchange->respond(json(200, R"({"state":"completed"})"));
        }
    });
}

}
