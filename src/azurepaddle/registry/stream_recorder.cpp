#include "azurepaddle/registry/stream_recorder.hpp"

#include <utility>

namespace azurepaddle::registry {

namespace {

    // The first event of a stream waits at most this long for its record. Later the stream is served without one, and
    // cannot be taken up.
    constexpr Duration recordTimeout = std::chrono::milliseconds(600);

}

void StreamRecorder::record(const StreamRecord& stream, RecordCallback onRecorded)
{
    m_waiting.push_back({ stream, std::move(onRecorded) });
    if (!m_isSending)
        send();
}

void StreamRecorder::send()
{
    m_isSending = true;
    const auto waiting = std::make_shared<const std::vector<Waiting>>(std::exchange(m_waiting, {}));
    RecordStreamsRequest request;
    for (const Waiting& entry : *waiting)
        request.streams.push_back(entry.stream);
    m_leader.send(request, m_clock.now() + recordTimeout, [this, waiting](const LeaderResult<Acknowledgement>& reply) {
        if (!reply)
            m_log.warning("streams={} outcome=not-recorded", waiting->size());
        // Deferred, because this callback may run before m_leader.send() has returned.
        asio::post(m_io, [this, waiting, isRecorded = reply.has_value()] {
            m_isSending = false;
            for (const Waiting& entry : *waiting)
                entry.onRecorded(isRecorded);
            if (!m_isSending && !m_waiting.empty())
                send();
        });
    });
}

void StreamRecorder::find(const FindStreamRequest& request, TimePoint deadline, const FindCallback& onFound)
{
    m_leader.send(request, deadline, onFound);
}

}
