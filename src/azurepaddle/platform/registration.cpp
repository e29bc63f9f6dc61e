#include "azurepaddle/platform/registration.hpp"

#include "azurepaddle/platform/json.hpp"

namespace azurepaddle::platform {

namespace {

    using internal::countOf;
    using internal::Json;
    using internal::listOf;
    using internal::textOf;

    std::optional<registry::EndpointState> decodeState(std::string_view text)
    {
        if (text == "ready")
            return registry::EndpointState::Ready;
        if (text == "draining")
            return registry::EndpointState::Draining;
        return std::nullopt;
    }

    std::map<std::string, WeightVersion> decodeVersions(const Json& json)
    {
        std::map<std::string, WeightVersion> versions;
        if (const Json* models = listOf(json, "models")) {
            for (const Json& model : *models) {
                const auto name = textOf(model, "name");
                const auto version = countOf(model, "version");
                if (name && version)
                    versions[*name] = *version;
            }
        }
        return versions;
    }

}

std::optional<registry::EndpointHeartbeat> decodeHeartbeat(std::string_view id, std::string_view body)
{
    const auto json = internal::parseJson(body);
    if (!json || !json->is_object())
        return std::nullopt;
    const auto service = textOf(*json, "service");
    const auto address = parseAddress(textOf(*json, "address").value_or(std::string()));
    const auto zone = textOf(*json, "zone");
    const auto slots = countOf(*json, "slots");
    const auto state = decodeState(textOf(*json, "state").value_or(std::string()));
    const auto sequence = countOf(*json, "sequence");
    if (id.empty() || !service || service->empty() || !address || !zone || !slots || *slots == 0 || !state || !sequence)
        return std::nullopt;
    // `born` is the start time of the process, `version` the version of its software.
    const std::uint64_t startedMs = countOf(*json, "born").value_or(0);
    registry::EndpointRecord record { EndpointId(std::string(id)), startedMs, ServiceName(*service), address->ip, address->port,
        DataCentreName(*zone), static_cast<std::uint32_t>(*slots), *state, decodeVersions(*json) };
    return registry::EndpointHeartbeat { std::move(record), *sequence };
}

registry::EndpointIncarnation decodeLeave(std::string_view id, std::string_view body)
{
    const auto json = internal::parseJson(body);
    return { EndpointId(std::string(id)), json ? countOf(*json, "born").value_or(0) : 0 };
}

}
