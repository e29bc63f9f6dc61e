#pragma once

#include "azurepaddle/http/server.hpp"
#include "azurepaddle/pipeline/run_service.hpp"

namespace azurepaddle::http {

/// Adds the routes of trainers, which submit groups, pull samples, publish versions and reset runs.
void addTrainerRoutes(HttpServer& server, pipeline::RunService& runs);

}
