#include "azurepaddle/gateway/caller_stream.hpp"

namespace azurepaddle::gateway {

namespace {

    // A stream with more than this to send is ended: its caller reads too slowly, or its endpoint sends without end. The
    // caller can take it up later.
    constexpr std::size_t maxUnsentBytes = 1024U * 1024U;

}

void CallerStream::onBegin(const http1::Response& head, const registry::StreamOrigin& origin)
{
    m_head = head;
    m_head.body.clear();
    m_head.fields.eraseHopByHop();
    m_onBegin(origin, [self = shared_from_this()] { self->open(); });
}

void CallerStream::onEvents(std::string bytes)
{
    if (m_isOpen)
        m_exchange->sendChunk(bytes);
    else
        m_kept += bytes;
    if (m_kept.size() + m_exchange->unsentBytes() <= maxUnsentBytes)
        return;
    m_kept.clear();
    if (const auto call = m_call.lock())
        call->cancel();
    m_exchange->abort();
}

void CallerStream::open()
{
    m_isOpen = true;
    if (!m_exchange->isOpen())
        return;
    m_exchange->beginStream(m_head);
    if (!m_kept.empty())
        onEvents(std::exchange(m_kept, {}));
    finishIfEnded();
}

void CallerStream::end(StreamState state)
{
    m_end = state;
    if (m_isOpen)
        finishIfEnded();
}

void CallerStream::finishIfEnded()
{
    if (m_end == StreamState::Complete)
        m_exchange->endStream();
    else if (m_end == StreamState::Cut)
        m_exchange->cutStream();
}

}
