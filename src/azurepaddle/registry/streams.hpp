#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/ident.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::registry {

/// Identifies an event stream of a caller: the identifier of the request that brought its first event.
using StreamId = Identifier<struct StreamTag>;

/// What began a stream. Only endpoints of the same service with the same software can continue it.
struct StreamOrigin {
    ServiceName service;
    SoftwareVersion software;

    friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
    MSGPACK_DEFINE(service, software)
};

struct StreamRecord {
    StreamId id;
    StreamOrigin origin;

    friend bool operator==(const StreamRecord&, const StreamRecord&) = default;
    MSGPACK_DEFINE(id, origin)
};

/// The replicated origins of the streams that began last. Bounded: a new stream replaces the oldest one. Deterministic.
class Streams {
public:
    /// More than the streams that begin within the longest time for which a caller takes one up.
    static constexpr std::size_t maxStreams = 16'384;
    /// Streams with a longer identifier are not recorded, so that the records stay small.
    static constexpr std::size_t maxIdBytes = 128;

    /// Records a stream. If it is already recorded with another origin, its origin becomes unknown for good, because two
    /// streams then have the same identifier.
    void record(const StreamRecord& stream);
    /// Empty if the stream is not recorded or its origin is ambiguous.
    [[nodiscard]] std::optional<StreamOrigin> find(const StreamId& id) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_origins.size(); }

    [[nodiscard]] std::vector<StreamRecord> snapshot() const;
    void restore(const std::vector<StreamRecord>& streams);

private:
    std::map<StreamId, StreamOrigin> m_origins; ///< An ambiguous origin has an empty software version.
    std::deque<StreamId> m_oldestFirst;
};

}
