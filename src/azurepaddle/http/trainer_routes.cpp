#include "azurepaddle/http/trainer_routes.hpp"

#include <map>

namespace azurepaddle::http {

namespace {

    constexpr Duration callDeadline = std::chrono::seconds(15);
    constexpr Duration pullDeadline = std::chrono::seconds(75);

    void serve(const httplib::Request& request, httplib::Response& response, pipeline::RunService& runs, pipeline::TrainerCallKind kind)
    {
        const RunName run(request.matches[1]);
        const auto authorized = runs.authorize(bearerToken(request), run);
        if (!authorized)
            return answerProblem(response, authorized.error());
        const Duration limit = kind == pipeline::TrainerCallKind::Pull ? pullDeadline : callDeadline;
        const auto answer = runs.handle({ kind, run, request.body }, SystemClock().now() + limit);
        if (!answer)
            return answerProblem(response, answer.error());
        answerJson(response, *answer);
    }

}

void addTrainerRoutes(HttpServer& server, pipeline::RunService& runs)
{
    const std::map<std::string, pipeline::TrainerCallKind> kinds {
        { "groups", pipeline::TrainerCallKind::Groups },
        { "pull", pipeline::TrainerCallKind::Pull },
        { "version", pipeline::TrainerCallKind::Version },
        { "reset", pipeline::TrainerCallKind::Reset },
    };
    for (const auto& [name, kind] : kinds) {
        server.routes().Post("/v1/runs/([^/]+)/" + name, [&runs, call = kind](const httplib::Request& request, httplib::Response& response) { serve(request, response, runs, call); });
    }
}

}
