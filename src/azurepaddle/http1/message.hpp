#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::http1 {

/// One header field, its name spelled as it was received.
struct Field {
    std::string name;
    std::string value;

    friend bool operator==(const Field&, const Field&) = default;
};

/// The header fields of a message in their order. Names are compared without regard to case.
class Fields {
public:
    Fields() = default;
    Fields(std::initializer_list<Field> fields)
        : m_fields(fields)
    {
    }

    /// The value of the first field with this name, or an empty view.
    [[nodiscard]] std::string_view find(std::string_view name) const noexcept;
    [[nodiscard]] bool contains(std::string_view name) const noexcept;
    /// Whether a comma-separated field lists this token.
    [[nodiscard]] bool hasToken(std::string_view name, std::string_view token) const noexcept;
    void add(std::string name, std::string value) { m_fields.push_back({ std::move(name), std::move(value) }); }
    /// Replaces all fields of this name by one.
    void set(std::string name, std::string value);
    void erase(std::string_view name);
    /// Removes what concerns only the connection the message came on, and its framing.
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
    std::string reason; ///< Empty for the usual phrase of the status.
    Fields fields;
    std::string body;

    friend bool operator==(const Response&, const Response&) = default;
};

/// How the body of a response is delimited.
enum class Framing : unsigned char {
    Length,
    Chunked,
    None, ///< A status without a body.
};

/// The path of a target, without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

/// The decoded value of a query parameter, if the target has it.
[[nodiscard]] std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

/// A whole request with its length.
[[nodiscard]] std::string serialize(const Request& request);

/// The head of a response: with the length of its body, or chunked.
[[nodiscard]] std::string serializeHead(const Response& response, Framing framing);

/// One chunk of a chunked body. An empty text makes the final chunk.
[[nodiscard]] std::string serializeChunk(std::string_view bytes);

[[nodiscard]] std::string_view reasonPhrase(unsigned status) noexcept;

[[nodiscard]] bool equalNames(std::string_view left, std::string_view right) noexcept;

}
