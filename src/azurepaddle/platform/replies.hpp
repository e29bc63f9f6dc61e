#pragma once

#include "azurepaddle/http1/message.hpp"
#include "azurepaddle/registry/leader_client.hpp"

namespace azurepaddle::platform {

/// A response with a line of text.
[[nodiscard]] inline http1::Response plain(unsigned status, std::string text)
{
    return { status, {}, { { "Content-Type", "text/plain" } }, std::move(text) + "\n" };
}

[[nodiscard]] inline http1::Response json(unsigned status, std::string body)
{
    return { status, {}, { { "Content-Type", "application/json" } }, std::move(body) };
}

[[nodiscard]] inline http1::Response bytes(unsigned status, std::string body)
{
    return { status, {}, { { "Content-Type", "application/octet-stream" } }, std::move(body) };
}

/// A response for a request that was not executed; the caller may retry soon.
[[nodiscard]] inline http1::Response unavailable(std::string reason)
{
    http1::Response response = plain(503, std::move(reason));
    response.fields.add("Retry-After", "0.2");
    return response;
}

/// The response for a request to which the leader did not reply.
[[nodiscard]] inline http1::Response noReply(registry::LeaderErrorCode code)
{
    return code == registry::LeaderErrorCode::NotRun ? unavailable("no leader took the request") : plain(504, "the leader's reply was lost");
}

}
