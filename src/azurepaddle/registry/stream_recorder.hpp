#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/requests.hpp"

namespace azurepaddle::registry {

/// Records the origins of streams at the leader and looks them up there. One message with records is in flight at a
/// time; streams that begin meanwhile are recorded together by the next one.
class StreamRecorder {
public:
    using RecordCallback = std::function<void(bool isRecorded)>;
    using FindCallback = std::function<void(const LeaderResult<FindStreamReply>&)>;

    StreamRecorder(asio::io_context& io, LeaderClient& leader)
        : m_io(io)
        , m_leader(leader)
    {
    }

    /// Records a stream and calls back once it is durable, or if no leader confirmed it in time.
    void record(const StreamRecord& stream, RecordCallback onRecorded);
    /// Looks up what began a stream, at most until the deadline.
    void find(const FindStreamRequest& request, TimePoint deadline, const FindCallback& onFound);

private:
    struct Waiting {
        StreamRecord stream;
        RecordCallback onRecorded;
    };

    void send();

    asio::io_context& m_io;
    LeaderClient& m_leader;
    const Log m_log { "streams" };
    const SystemClock m_clock {};
    std::vector<Waiting> m_waiting;
    bool m_isSending = false;
};

}
