#include "azurepaddle/http1/event_splitter.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle::http1;

namespace {

struct SplitterFixture {
    EventSplitter splitter { 64 };

    /// Feeds a text in parts of this size.
    std::vector<RawEvent> feed(std::string_view text, std::size_t partBytes)
    {
        std::vector<RawEvent> events;
        for (std::size_t at = 0; at < text.size(); at += partBytes) {
            const auto completed = splitter.feed(text.substr(at, partBytes));
            cr_assert(completed.has_value());
            events.insert(events.end(), completed->begin(), completed->end());
        }
        return events;
    }
};

}

// Guards against events that change on their way, or are passed on in part, wherever the bytes are split.
Test(EventSplitter, bytesSplitAnywhere_eventsAreUnchanged)
{
    constexpr std::string_view text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\ndata: d\n\nid: 3\ndata: e\n";
    const std::vector<RawEvent> expected { { "id: 1\ndata: a\n\n", "1" }, { "id:2\r\ndata: b\r\ndata: c\r\n\r\n", "2" }, { ": comment\n\n", "" }, { "data: d\n\n", "" } };
    for (std::size_t partBytes = 1; partBytes <= text.size(); ++partBytes) {
        SplitterFixture fixture;
        cr_assert(fixture.feed(text, partBytes) == expected, "parts of %zu bytes", partBytes);
        cr_assert(fixture.splitter.isWithinEvent());
    }
}

// Guards against an endless event that takes all memory.
Test(EventSplitter, eventTooLarge_isRefused)
{
    SplitterFixture fixture;
    cr_assert(!fixture.splitter.feed(std::string(65, 'x')));
}
