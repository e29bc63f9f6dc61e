#pragma once

#include "azurepaddle/http/server.hpp"
#include "azurepaddle/pipeline/run_service.hpp"

namespace azurepaddle::http {

/// Adds the routes of trainers: submit groups, pull samples, announce a version, reset a run.
void addTrainerRoutes(HttpServer& server, pipeline::RunService& runs);

}
