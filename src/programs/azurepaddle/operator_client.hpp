#pragma once

#include "tool.hpp"

namespace azurepaddle::tool {

/// Calls the instances in turn until one answers. A call that is repeated at the next instance must be idempotent; all
/// calls of operators are.
class OperatorClient {
public:
    explicit OperatorClient(const CommonOptions& options)
        : m_options(options)
    {
    }

    /// The JSON of an answer with status 200 to 299, or with a "result" member of any status.
    [[nodiscard]] Result<Json> get(const std::string& path) const { return call("GET", path, {}, {}); }
    [[nodiscard]] Result<Json> post(const std::string& path, const std::string& body, const std::string& contentType) const { return call("POST", path, body, contentType); }

    /// The array of objects under this key of GET /v1/<key>.
    [[nodiscard]] Result<Json> list(const std::string& key) const;

private:
    [[nodiscard]] Result<Json> call(const std::string& method, const std::string& path, const std::string& body, const std::string& contentType) const;
    [[nodiscard]] Result<Json> callInstance(const std::string& address, const std::string& method, const std::string& path, const std::string& body, const std::string& contentType) const;

    const CommonOptions& m_options;
};

}
