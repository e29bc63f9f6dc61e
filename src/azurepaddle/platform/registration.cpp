#include "azurepaddle/platform/registration.hpp"

#include "azurepaddle/platform/json.hpp"

#include <algorithm>
#include <asio/ip/address.hpp>

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

    // Greatest whole number that all implementations of JSON represent exactly.
    constexpr std::uint64_t maxCount = (1ULL << 53U) - 1;
    // More than any endpoint runs at once.
    constexpr std::uint64_t maxSlots = 65'536;
    // Longer than any name of a release.
    constexpr std::size_t maxSoftwareVersionBytes = 256;

    /// Returns a member that is a whole number up to a maximum; empty if it is missing or anything else.
    std::optional<std::uint64_t> countUpTo(std::uint64_t maximum, const Json& json, const char* name)
    {
        const auto count = countOf(json, name);
        return count && *count <= maximum ? count : std::nullopt;
    }

    /// Returns the address of an endpoint; empty unless it is a numeric IP address with a port.
    std::optional<InstanceAddress> decodeAddress(const Json& json)
    {
        const auto address = parseAddress(textOf(json, "address").value_or(std::string()));
        std::error_code error;
        if (address)
            static_cast<void>(asio::ip::make_address(address->ip, error));
        return error ? std::nullopt : address;
    }

    /// Returns the versions by model; empty if a version is out of range.
    std::optional<std::map<std::string, WeightVersion>> decodeVersions(const Json& json)
    {
        std::map<std::string, WeightVersion> versions;
        const Json* models = listOf(json, "models");
        for (const Json& model : models ? *models : Json::array()) {
            const auto name = textOf(model, "name");
            const auto version = countOf(model, "version");
            if (version && *version > maxCount)
                return std::nullopt;
            if (name && version)
                versions[*name] = *version;
        }
        return versions;
    }

    /// Returns the version of the endpoint's software; empty if it is missing, empty or too long.
    std::optional<SoftwareVersion> decodeSoftware(const Json& json)
    {
        auto name = textOf(json, "version");
        if (!name || name->empty() || name->size() > maxSoftwareVersionBytes)
            return std::nullopt;
        return SoftwareVersion(std::move(*name));
    }

    // Longer notices are shortened to this, so that they can be added to points in time.
    constexpr double maxLeavesMs = 3'600'000;

    /// Whether the endpoint is of the cheap kind, false if it does not say; empty if that is not a truth value.
    std::optional<bool> decodeSpot(const Json& json)
    {
        return json.contains("spot") ? internal::flagOf(json, "spot") : std::optional(false);
    }

    /// Whether the time until the endpoint leaves is missing or a number from 0.
    bool isLeavesValid(const Json& json)
    {
        return !json.contains("leaves_ms") || internal::numberOf(json, "leaves_ms").value_or(-1) >= 0;
    }

    /// Returns the time until a draining endpoint leaves; empty if it names none or is not draining.
    std::optional<std::uint64_t> decodeLeaves(const Json& json, registry::EndpointState state)
    {
        const auto ms = internal::numberOf(json, "leaves_ms");
        if (!ms || state != registry::EndpointState::Draining)
            return std::nullopt;
        return static_cast<std::uint64_t>(std::min(*ms, maxLeavesMs));
    }

    /// Returns the start time of an endpoint, 0 if it names none; empty if that is anything else than a whole number.
    std::optional<std::uint64_t> decodeStart(const Json& json)
    {
        return json.contains("born") ? countUpTo(maxCount, json, "born") : std::optional<std::uint64_t>(0);
    }

}

std::optional<registry::EndpointHeartbeat> decodeHeartbeat(std::string_view id, std::string_view body)
{
    const auto json = internal::parseJson(body);
    if (!json || !json->is_object())
        return std::nullopt;
    const auto service = textOf(*json, "service");
    const auto address = decodeAddress(*json);
    const auto zone = textOf(*json, "zone");
    const auto slots = countUpTo(maxSlots, *json, "slots");
    const auto state = decodeState(textOf(*json, "state").value_or(std::string()));
    const auto sequence = countUpTo(maxCount, *json, "sequence");
    // `version` is the version of the software; those of the weights are listed by model.
    const auto software = decodeSoftware(*json);
    const auto startedMs = decodeStart(*json);
    const auto versions = decodeVersions(*json);
    const auto isSpot = decodeSpot(*json);
    if (id.empty() || !service || service->empty() || !address || !zone || !slots || *slots == 0 || !state || !sequence || !startedMs || !versions || !software || !isSpot || !isLeavesValid(*json))
        return std::nullopt;
    registry::EndpointRecord record { EndpointId(std::string(id)), *startedMs, ServiceName(*service), address->ip, address->port,
        DataCentreName(*zone), static_cast<std::uint32_t>(*slots), *state, *versions, *software, *isSpot };
    return registry::EndpointHeartbeat { std::move(record), *sequence, decodeLeaves(*json, *state) };
}

registry::EndpointIncarnation decodeLeave(std::string_view id, std::string_view body)
{
    const auto json = internal::parseJson(body);
    return { EndpointId(std::string(id)), json ? countOf(*json, "born").value_or(0) : 0 };
}

}
