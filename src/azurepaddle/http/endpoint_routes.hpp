#pragma once

#include "azurepaddle/http/server.hpp"
#include "azurepaddle/pipeline/endpoint_service.hpp"

namespace azurepaddle::http {

/// Adds the routes for the registration and deregistration of endpoints. An empty secret disables authentication.
void addEndpointRoutes(HttpServer& server, pipeline::EndpointService& endpoints, const std::string& secret);

/// Responds with status 401 and returns false unless the request contains the secret as bearer token.
[[nodiscard]] bool checkSecret(const httplib::Request& request, httplib::Response& response, const std::string& secret);

}
