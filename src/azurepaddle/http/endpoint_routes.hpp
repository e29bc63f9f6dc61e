#pragma once

#include "azurepaddle/http/server.hpp"
#include "azurepaddle/pipeline/endpoint_service.hpp"

namespace azurepaddle::http {

/// Adds the routes by which endpoints announce themselves and leave. An empty secret admits everyone.
void addEndpointRoutes(HttpServer& server, pipeline::EndpointService& endpoints, const std::string& secret);

/// Answers 401 and returns false unless the request carries the secret as bearer token.
[[nodiscard]] bool checkSecret(const httplib::Request& request, httplib::Response& response, const std::string& secret);

}
