#include "azurepaddle/http/endpoint_routes.hpp"

#include "azurepaddle/core/digest.hpp"

namespace azurepaddle::http {

bool checkSecret(const httplib::Request& request, httplib::Response& response, const std::string& secret)
{
    if (secret.empty() || equalSecrets(bearerToken(request), secret))
        return true;
    answerProblem(response, { pipeline::PipelineErrorCode::Unauthenticated, Outcome::NotRun, "the bearer secret is missing or wrong" });
    return false;
}

void addEndpointRoutes(HttpServer& server, pipeline::EndpointService& endpoints, const std::string& secret)
{
    server.routes().Post("/v1/endpoints/announce", [&endpoints, secret](const httplib::Request& request, httplib::Response& response) {
        if (!checkSecret(request, response, secret))
            return;
        const auto announced = endpoints.announce(request.body);
        if (!announced)
            return answerProblem(response, announced.error());
        answerJson(response, "{}");
    });
    server.routes().Post("/v1/endpoints/leave", [&endpoints, secret](const httplib::Request& request, httplib::Response& response) {
        if (!checkSecret(request, response, secret))
            return;
        const auto left = endpoints.leave(request.body);
        if (!left)
            return answerProblem(response, left.error());
        answerJson(response, "{}");
    });
}

}
