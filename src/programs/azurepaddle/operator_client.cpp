#include "operator_client.hpp"

#include "azurepaddle/http1/grammar.hpp"

#include <fmt/format.h>
#include <httplib.h>

namespace azurepaddle::tool {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 2000 };

    /// Describes why a response is none by the grammar of HTTP, of which httplib checks little; empty if it is one.
    std::optional<std::string> findFault(const httplib::Response& response)
    {
        const auto status = static_cast<unsigned>(response.status);
        http1::Response names { status, response.reason, {}, {} }; // httplib decodes values, so that only names are as received.
        http1::Fields fields;
        for (const auto& [name, value] : response.headers) {
            names.fields.add(name, {});
            fields.add(name, value);
        }
        const auto fault = http1::findFault(names);
        return fault ? fault : http1::findFramingFault(status, fields, response.version == "HTTP/1.0");
    }

    Result<Json> readAnswer(const std::string& address, const std::string& path, const httplib::Response& response)
    {
        const Json body = Json::parse(response.body, nullptr, false);
        if (response.status == 401 || response.status == 403)
            return makeError(ExitCode::Unauthorized, fmt::format("{} refused the operator token", address));
        const bool isSuccess = response.status >= 200 && response.status < 300;
        if (body.is_object() && (isSuccess || body.contains("result")))
            return body;
        if (response.status == 503)
            return makeError(ExitCode::Unreachable, fmt::format("{} is not ready: {}", address, body.is_object() ? body.value("detail", body.value("title", std::string("no reason given"))) : "no reason given"));
        if (isSuccess || !body.is_object())
            return makeError(ExitCode::BadAnswer, fmt::format("{} answered {} with status {} and no JSON object", address, path, response.status));
        const std::string reason = body.value("detail", body.value("title", std::string("no reason given")));
        return makeError(ExitCode::Refused, fmt::format("{} answered {} with status {}: {}", address, path, response.status, reason));
    }

}

Result<Json> OperatorClient::list(const std::string& key) const
{
    auto answer = get("/v1/" + key);
    if (!answer)
        return answer;
    const auto found = answer->find(key);
    if (found == answer->end() || !found->is_array())
        return makeError(ExitCode::BadAnswer, fmt::format("/v1/{}: the answer has no array \"{}\"", key, key));
    for (const Json& entry : *found) {
        if (!entry.is_object())
            return makeError(ExitCode::BadAnswer, fmt::format("/v1/{}: an element of \"{}\" is not an object", key, key));
    }
    return *found;
}

Result<Json> OperatorClient::call(const std::string& method, const std::string& path, const std::string& body, const std::string& contentType) const
{
    std::string reasons;
    for (const std::string& address : m_options.instances) {
        auto answer = callInstance(address, method, path, body, contentType);
        if (answer || answer.error().code() != ExitCode::Unreachable)
            return answer;
        reasons += (reasons.empty() ? "" : "; ") + answer.error().message();
    }
    return makeError(ExitCode::Unreachable, "no instance answered: " + reasons);
}

Result<Json> OperatorClient::callInstance(const std::string& address, const std::string& method, const std::string& path, const std::string& body, const std::string& contentType) const
{
    const bool hasScheme = address.find("://") != std::string::npos;
    httplib::Client client(hasScheme ? address : "http://" + address);
    if (!client.is_valid())
        return makeError(ExitCode::BadUsage, fmt::format("--instance: \"{}\" is not an address", address));
    client.set_connection_timeout(std::min(connectTimeout, m_options.timeout));
    client.set_read_timeout(m_options.timeout);
    client.set_write_timeout(m_options.timeout);
    if (!m_options.tlsAuthority.empty())
        client.set_ca_cert_path(m_options.tlsAuthority);
    if (!m_options.token.empty())
        client.set_bearer_token_auth(m_options.token);
    const httplib::Result result = method == "GET" ? client.Get(path) : client.Post(path, body, contentType);
    if (!result)
        return makeError(ExitCode::Unreachable, fmt::format("{}: {}", address, httplib::to_string(result.error())));
    if (const auto fault = findFault(*result))
        return makeError(ExitCode::Unreachable, fmt::format("{}: the answer is not valid HTTP: {}", address, *fault));
    return readAnswer(address, path, *result);
}

}
