#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::http1 {

/// One header field, with its name spelled as received.
struct Field {
    std::string name;
    std::string value;

    friend bool operator==(const Field&, const Field&) = default;
};

/// The header fields of a message in their order. Names are case-insensitive.
class Fields {
public:
    Fields() = default;
    Fields(std::initializer_list<Field> fields)
        : m_fields(fields)
    {
    }

    /// Returns the value of the first field with this name, or an empty view.
    [[nodiscard]] std::string_view find(std::string_view name) const noexcept;
    [[nodiscard]] bool contains(std::string_view name) const noexcept;
    /// Returns the elements of a comma-separated field in their order, without empty ones. The views last as long as the
    /// fields are unchanged.
    [[nodiscard]] std::vector<std::string_view> elements(std::string_view name) const;
    /// Whether a comma-separated field lists this token.
    [[nodiscard]] bool hasToken(std::string_view name, std::string_view token) const;
    void add(std::string name, std::string value) { m_fields.push_back({ std::move(name), std::move(value) }); }
    /// Replaces all fields with this name by one field.
    void set(std::string name, std::string value);
    void erase(std::string_view name);
    /// Removes the hop-by-hop fields and those that delimit the body.
    void eraseHopByHop();

    [[nodiscard]] auto begin() const noexcept { return m_fields.begin(); }
    [[nodiscard]] auto end() const noexcept { return m_fields.end(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_fields.size(); }

    friend bool operator==(const Fields&, const Fields&) = default;

private:
    std::vector<Field> m_fields;
};

struct Request {
    std::string method;
    std::string target; ///< Path and query as received, not decoded.
    Fields fields;
    std::string body;

    friend bool operator==(const Request&, const Request&) = default;
};

struct Response {
    unsigned status = 200;
    std::string reason; ///< Empty for the standard phrase of the status.
    Fields fields;
    std::string body;

    friend bool operator==(const Response&, const Response&) = default;
};

/// How the body of a response is delimited.
enum class Framing : unsigned char {
    Length,
    Chunked,
    ConnectionEnd, ///< By the end of the connection, for recipients that do not know chunks.
};

/// Returns the path of a request target, without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

/// Returns the decoded value of a query parameter; empty if the target lacks it.
[[nodiscard]] std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

/// Encodes a complete request with a Content-Length.
[[nodiscard]] std::string serialize(const Request& request);

/// Encodes the head of a request with a Content-Length, for a body of this size. The body of the request itself is not
/// used.
[[nodiscard]] std::string serializeHead(const Request& request, std::size_t bodyBytes);

/// Returns a copy of a request without its body, which may be large.
[[nodiscard]] Request withoutBody(const Request& request);

/// Encodes the head of a response, with the field that delimits its body, if one does.
[[nodiscard]] std::string serializeHead(const Response& response, Framing framing);

/// Encodes one chunk of a chunked body. An empty text yields the final chunk.
[[nodiscard]] std::string serializeChunk(std::string_view bytes);

[[nodiscard]] std::string_view reasonPhrase(unsigned status) noexcept;

[[nodiscard]] bool equalNames(std::string_view left, std::string_view right) noexcept;

}
