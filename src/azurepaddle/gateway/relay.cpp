#include "azurepaddle/gateway/relay.hpp"

namespace azurepaddle::gateway {

RelayFields toRelayFields(const http1::Fields& fields)
{
    RelayFields encoded;
    encoded.reserve(fields.size());
    for (const http1::Field& field : fields)
        encoded.emplace_back(field.name, field.value);
    return encoded;
}

http1::Fields fromRelayFields(const RelayFields& fields)
{
    http1::Fields decoded;
    for (const auto& [name, value] : fields)
        decoded.add(name, value);
    return decoded;
}

}
