#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace azurepaddle::scaling {

/// How an endpoint is paid for.
enum class EndpointKind : std::uint8_t {
    OnDemand,
    Spot, ///< Cheaper, but all of a data centre are withdrawn at once, at short notice.
};

}

MSGPACK_ADD_ENUM(azurepaddle::scaling::EndpointKind)

namespace azurepaddle::scaling {

/// The endpoints of one kind that a service has in a data centre, whose number is ordered together.
struct EndpointGroup {
    ServiceName service;
    DataCentreName dataCentre;
    EndpointKind kind = EndpointKind::OnDemand;

    friend auto operator<=>(const EndpointGroup&, const EndpointGroup&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const EndpointGroup&, const EndpointGroup&) = default;
    MSGPACK_DEFINE(service, dataCentre, kind)
};

/// An order of a number of endpoints. The number is absolute, so that a repetition changes nothing.
struct ScaleOrder {
    EndpointGroup group;
    std::uint32_t count = 0;

    friend bool operator==(const ScaleOrder&, const ScaleOrder&) = default;
    MSGPACK_DEFINE(group, count)
};

/// Within which limits and at which prices endpoints of a service are ordered, as configured.
struct ScalingRules {
    std::uint32_t minimum = 0; ///< Endpoints of both kinds together in each data centre.
    std::uint32_t maximum = 0; ///< Endpoints of both kinds together in each data centre.
    Duration bootTime {}; ///< Time from an order until its endpoints serve.
    std::optional<double> spotPrice; ///< Price of a spot endpoint relative to an on-demand one; empty if there are none.
    std::map<DataCentreName, double> prices; ///< Of an on-demand endpoint, by data centre in which endpoints may be ordered.

    friend bool operator==(const ScalingRules&, const ScalingRules&) = default;
};

}
