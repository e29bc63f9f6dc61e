#include "azurepaddle/http1/parser.hpp"

#include "azurepaddle/http1/grammar.hpp"
#include "azurepaddle/http1/head_scanner.hpp"

// Boost 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

namespace azurepaddle::http1 {

namespace {

    namespace beast = boost::beast;

    std::string toText(beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    /// Collects the parts of a message that the parser of Boost.Beast reports. Refuses responses that Beast accepts although
    /// their body cannot be delimited or decoded for certain.
    template <bool isRequest>
    class Collector final : public beast::http::basic_parser<isRequest> {
    public:
        std::string method;
        std::string target;
        unsigned status = 0;
        std::string reason;
        Fields fields;
        std::string body;
        bool isHttp10 = false;
        std::string fault; ///< Why the message is refused; empty if Beast refuses it, or nothing does.

    private:
        using Code = beast::error_code;

        void on_request_impl(beast::http::verb, beast::string_view methodText, beast::string_view targetText, int version, Code&) override
        {
            isHttp10 = version == http10;
            method = toText(methodText);
            target = toText(targetText);
        }
        void on_response_impl(int code, beast::string_view reasonText, int version, Code&) override
        {
            isHttp10 = version == http10;
            status = static_cast<unsigned>(code);
            reason = toText(reasonText);
        }
        void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value, Code&) override
        {
            // Trailers are not part of the head (RFC 9110, section 6.5.1).
            if (isRequest || !m_isHeadComplete)
                fields.add(toText(name), toText(value));
        }
        void on_header_impl(Code& code) override
        {
            m_isHeadComplete = true;
            if constexpr (!isRequest)
                refuseFor(findFramingFault(status, fields, isHttp10), code);
        }
        void on_body_init_impl(const boost::optional<std::uint64_t>&, Code&) override { }
        std::size_t on_body_impl(beast::string_view bytes, Code&) override
        {
            body.append(bytes.data(), bytes.size());
            return bytes.size();
        }
        void on_chunk_header_impl(std::uint64_t, beast::string_view extensions, Code& code) override
        {
            // Beast checks the bytes of extensions but not of their quoted values.
            if (!isRequest && !isText(toText(extensions)))
                refuseFor("a chunk extension holds a control byte", code);
        }
        std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, Code&) override
        {
            body.append(bytes.data(), bytes.size());
            return bytes.size();
        }
        void on_finish_impl(Code&) override { }

        void refuseFor(const std::optional<std::string>& found, Code& code)
        {
            if (!found)
                return;
            fault = *found;
            code = beast::http::error::bad_value; // Any error stops Beast.
        }

        static constexpr int http10 = 10; ///< As Beast encodes the version.

        bool m_isHeadComplete = false;
    };

    ParseError translate(const beast::error_code& code)
    {
        using Error = beast::http::error;
        if (code == Error::header_limit)
            return { ParseErrorCode::HeaderTooLarge, "the header exceeds the limit" };
        if (code == Error::body_limit)
            return { ParseErrorCode::BodyTooLarge, "the body exceeds the limit" };
        if (code == Error::partial_message || code == Error::end_of_stream)
            return { ParseErrorCode::Truncated, "the connection was closed within a message" };
        return { ParseErrorCode::Malformed, code.message() };
    }

    /// Feeds a parser, which needs its unconsumed bytes again together with new ones.
    template <bool isRequest>
    class Feeder {
    public:
        explicit Feeder(const MessageLimits& limits)
            : m_maxUnread(limits.headerBytes)
        {
            parser.header_limit(limits.headerBytes);
            parser.body_limit(limits.bodyBytes);
            parser.eager(true);
        }

        tl::expected<std::size_t, ParseError> feed(std::string_view bytes)
        {
            hasStarted = hasStarted || !bytes.empty();
            const std::size_t held = m_unread.size();
            m_unread.append(bytes);
            std::size_t used = 0;
            while (!parser.is_done() && used < m_unread.size()) {
                beast::error_code code;
                const std::size_t taken = parser.put(boost::asio::const_buffer(m_unread.data() + used, m_unread.size() - used), code);
                used += taken;
                if (code == beast::http::error::need_more)
                    break;
                if (code)
                    return tl::unexpected(parser.fault.empty() ? translate(code) : ParseError(ParseErrorCode::Malformed, parser.fault));
                if (taken == 0)
                    break;
            }
            if (parser.is_done()) {
                m_unread.clear();
                return used > held ? used - held : 0;
            }
            m_unread.erase(0, used);
            // Beast limits the header itself, but neither the line before a chunk nor the trailer after the last one.
            if (m_unread.size() > m_maxUnread)
                return tl::unexpected(ParseError(ParseErrorCode::HeaderTooLarge, "a line exceeds the limit of headers"));
            return bytes.size();
        }

        Collector<isRequest> parser;
        bool hasStarted = false;

    private:
        std::size_t m_maxUnread;
        std::string m_unread;
    };

}

struct RequestParser::Implementation {
    Feeder<true> feeder;
    Request request;
    bool isMoved = false;
};

RequestParser::RequestParser(const MessageLimits& limits)
    : m_implementation(new Implementation { Feeder<true>(limits), {} })
{
}

RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&&) noexcept = default;

tl::expected<std::size_t, ParseError> RequestParser::feed(std::string_view bytes)
{
    return m_implementation->feeder.feed(bytes);
}

bool RequestParser::hasStarted() const noexcept
{
    return m_implementation->feeder.hasStarted;
}

bool RequestParser::isHeaderDone() const noexcept
{
    return m_implementation->feeder.parser.is_header_done();
}

bool RequestParser::isDone() const noexcept
{
    return m_implementation->feeder.parser.is_done();
}

std::optional<std::uint64_t> RequestParser::declaredBodyBytes() const
{
    const auto& parser = m_implementation->feeder.parser;
    if (!parser.is_header_done())
        return std::nullopt;
    if (const auto length = parser.content_length())
        return *length;
    return parser.chunked() ? std::nullopt : std::optional<std::uint64_t>(0);
}

std::size_t RequestParser::receivedBodyBytes() const noexcept
{
    return m_implementation->feeder.parser.body.size();
}

bool RequestParser::isHttp10() const noexcept
{
    return m_implementation->feeder.parser.isHttp10;
}

void RequestParser::reserveBody(std::size_t bytes)
{
    m_implementation->feeder.parser.body.reserve(bytes);
}

Request& RequestParser::request() noexcept
{
    auto& [feeder, request, isMoved] = *m_implementation;
    if (isMoved)
        return request;
    if (isDone()) {
        isMoved = true;
        request = { std::move(feeder.parser.method), std::move(feeder.parser.target), std::move(feeder.parser.fields), std::move(feeder.parser.body) };
    } else {
        request = { feeder.parser.method, feeder.parser.target, feeder.parser.fields, {} };
    }
    return request;
}

struct ResponseParser::Implementation {
    Feeder<false> feeder;
    Response head;
    internal::HeadScanner scanner {};
};

ResponseParser::ResponseParser(const MessageLimits& limits)
    : m_implementation(new Implementation { Feeder<false>(limits), {} })
{
}

ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&&) noexcept = default;

tl::expected<std::size_t, ParseError> ResponseParser::feed(std::string_view bytes)
{
    auto& [feeder, head, scanner] = *m_implementation;
    const bool wasHeaderDone = feeder.parser.is_header_done();
    // Beast examines a head only when it has its end.
    const auto scanned = wasHeaderDone ? tl::expected<void, ParseError>() : scanner.feed(bytes);
    if (!scanned)
        return tl::unexpected(scanned.error());
    auto taken = feeder.feed(bytes);
    if (taken && !wasHeaderDone && feeder.parser.is_header_done())
        head = { feeder.parser.status, feeder.parser.reason, feeder.parser.fields, {} };
    return taken;
}

tl::expected<void, ParseError> ResponseParser::feedEnd()
{
    beast::error_code code;
    m_implementation->feeder.parser.put_eof(code);
    if (code || !isDone())
        return tl::unexpected(code ? translate(code) : ParseError(ParseErrorCode::Truncated, "the connection was closed within a message"));
    return {};
}

bool ResponseParser::hasStarted() const noexcept
{
    return m_implementation->feeder.hasStarted;
}

bool ResponseParser::isHeaderDone() const noexcept
{
    return m_implementation->feeder.parser.is_header_done();
}

bool ResponseParser::isDone() const noexcept
{
    return m_implementation->feeder.parser.is_done();
}

bool ResponseParser::keepsAlive() const noexcept
{
    return m_implementation->feeder.parser.keep_alive() && !announcesForbiddenBody(head().status, head().fields);
}

const Response& ResponseParser::head() const noexcept
{
    return m_implementation->head;
}

std::string ResponseParser::takeBody()
{
    return std::exchange(m_implementation->feeder.parser.body, {});
}

}
