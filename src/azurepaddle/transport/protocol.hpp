#pragma once

#include <string_view>

/// Names of the header fields of peer requests and responses.
namespace azurepaddle::transport::internal {

inline constexpr std::string_view pathPrefix = "/peer/";
inline constexpr std::string_view secretScheme = "Bearer ";
inline constexpr std::string_view secretField = "authorization";
inline constexpr std::string_view requestIdField = "x-azurepaddle-request-id";
inline constexpr std::string_view deadlineField = "x-azurepaddle-deadline-ms"; ///< Remaining time when the request is sent, in milliseconds.
inline constexpr std::string_view errorField = "x-azurepaddle-error"; ///< Name of a PeerErrorCode; the body is the message.
/// The name under which requests with an unregistered method are counted.
inline constexpr std::string_view otherMethods = "other";

}
