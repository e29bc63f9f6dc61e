#include "client.hpp"

namespace azurepaddle::standin {

Json HttpReply::json() const
{
    return Json::parse(body, nullptr, false);
}

std::unique_ptr<httplib::Client> makeClient(const InstanceAccess& access, const std::string& address, const CallLimits& limits)
{
    const bool hasScheme = address.find("://") != std::string::npos;
    auto client = std::make_unique<httplib::Client>(hasScheme ? address : "http://" + address);
    client->set_connection_timeout(limits.connect);
    client->set_read_timeout(limits.read);
    client->set_write_timeout(limits.read);
    client->set_tcp_nodelay(true);
    client->enable_server_certificate_verification(!access.tlsAuthority.empty());
    if (!access.tlsAuthority.empty())
        client->set_ca_cert_path(access.tlsAuthority);
    if (!access.token.empty())
        client->set_bearer_token_auth(access.token);
    return client;
}

tl::expected<HttpReply, std::string> callOnce(httplib::Client& client, const std::string& method, const std::string& path, const httplib::Headers& headers, const std::string& body)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = headers;
    request.body = body;
    if (method != "GET")
        request.set_header("Content-Type", "application/json");
    const httplib::Result result = client.send(request);
    if (!result)
        return tl::unexpected(httplib::to_string(result.error()));
    return HttpReply { result->status, result->headers, result->body };
}

InstanceCaller::InstanceCaller(InstanceAccess access, CallLimits limits)
    : m_access(std::move(access))
    , m_limits(limits)
{
}

tl::expected<HttpReply, std::string> InstanceCaller::post(const std::string& path, const Json& body)
{
    const std::size_t count = m_access.addresses.size();
    std::size_t first = 0;
    {
        const std::scoped_lock lock(m_mutex);
        first = m_current;
    }
    tl::expected<HttpReply, std::string> reply = tl::unexpected(std::string("no instance is given"));
    for (std::size_t tried = 0; tried < count; ++tried) {
        const std::size_t at = (first + tried) % count;
        const auto client = makeClient(m_access, m_access.addresses[at], m_limits);
        reply = callOnce(*client, "POST", path, {}, body.dump());
        if (!reply || reply->status >= 500)
            continue;
        const std::scoped_lock lock(m_mutex);
        m_current = at;
        return reply;
    }
    return reply;
}

void InstanceCaller::moveOn()
{
    const std::scoped_lock lock(m_mutex);
    m_current = (m_current + 1) % std::max<std::size_t>(1, m_access.addresses.size());
}

}
