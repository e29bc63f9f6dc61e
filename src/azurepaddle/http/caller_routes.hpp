#pragma once

#include "azurepaddle/http/server.hpp"
#include "azurepaddle/pipeline/caller_service.hpp"
#include "azurepaddle/pipeline/configuration_holder.hpp"

namespace azurepaddle::http {

/// Adds the routes of callers: completions, chat completions and plain services.
void addCallerRoutes(HttpServer& server, pipeline::CallerService& callers, const pipeline::ConfigurationHolder& configuration);

}
