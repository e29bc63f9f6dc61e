#include "azurepaddle/registry/state_machine.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;

namespace {

const StreamOrigin origin { ServiceName("models"), SoftwareVersion("v1") };

StreamId streamId(std::size_t number)
{
    return StreamId("stream-" + std::to_string(number));
}

struct StreamsFixture {
    Streams streams;
};

}

// Guards against a stream that cannot be continued because its origin was not kept.
Test(Streams, streamRecorded_origin_isFound)
{
    StreamsFixture fixture;
    fixture.streams.record({ streamId(1), origin });
    fixture.streams.record({ streamId(1), origin });
    cr_assert(fixture.streams.find(streamId(1)) == origin);
    cr_assert(!fixture.streams.find(streamId(2)));
    cr_assert(fixture.streams.size() == 1);
}

// Guards against a stream that is continued with the origin of another one of the same identifier.
Test(Streams, identifierUsedTwice_origin_isUnknown)
{
    StreamsFixture fixture;
    fixture.streams.record({ streamId(1), origin });
    fixture.streams.record({ streamId(1), { ServiceName("models"), SoftwareVersion("v2") } });
    cr_assert(!fixture.streams.find(streamId(1)));
    fixture.streams.record({ streamId(1), origin });
    cr_assert(!fixture.streams.find(streamId(1)));
}

// Guards against memory that grows with the number of streams, or with the length of their identifiers.
Test(Streams, manyStreams_oldest_isForgotten)
{
    StreamsFixture fixture;
    for (std::size_t number = 0; number <= Streams::maxStreams; ++number)
        fixture.streams.record({ streamId(number), origin });
    cr_assert(fixture.streams.size() == Streams::maxStreams);
    cr_assert(!fixture.streams.find(streamId(0)));
    cr_assert(fixture.streams.find(streamId(1)) == origin);
    const StreamId tooLong(std::string(Streams::maxIdBytes + 1, 'x'));
    fixture.streams.record({ tooLong, origin });
    cr_assert(!fixture.streams.find(tooLong));
}

// Guards against a restarted store that forgets what began streams, or the order in which it forgets them.
Test(Streams, snapshot_restored_isEqual)
{
    StateMachine machine;
    static_cast<void>(machine.apply(encodeCommand(RecordStreams { { { streamId(2), origin }, { streamId(1), origin } } })));
    StateMachine restored;
    cr_assert(restored.restore(machine.snapshot()));
    cr_assert(restored.streams().find(streamId(1)) == origin);
    cr_assert(restored.streams().snapshot() == machine.streams().snapshot());
}

// Guards against callers who do not name their stream and are refused although only one software version ever served,
// and against a guess where there were several.
Test(SoftwareHistory, streamNotRecorded_soleVersionOfService_isItsOrigin)
{
    StateMachine machine;
    const auto set = [&machine](const std::string& id, const std::string& software) {
        EndpointRecord record;
        record.id = EndpointId(id);
        record.startedMs = 1;
        record.service = origin.service;
        record.software = SoftwareVersion(software);
        static_cast<void>(machine.apply(encodeCommand(SetEndpoint { record })));
    };
    cr_assert(!machine.originOf({}, origin.service));
    set("1", "v1");
    cr_assert(machine.originOf({}, origin.service) == origin);
    cr_assert(machine.originOf(streamId(1), origin.service) == origin);
    cr_assert(!machine.originOf({}, {}));
    set("2", "v2");
    static_cast<void>(machine.apply(encodeCommand(DeregisterEndpoint { { EndpointId("1"), 1 } })));
    StateMachine restored;
    cr_assert(restored.restore(machine.snapshot()));
    cr_assert(!restored.originOf({}, origin.service));
}

// Guards against the software of endpoints that an earlier release registered, which nobody knows.
Test(SoftwareHistory, unknownSoftware_isNoOrigin)
{
    SoftwareHistory history;
    history.record(origin.service, {});
    cr_assert(!history.soleVersionOf(origin.service));
    history.record(origin.service, origin.software);
    cr_assert(!history.soleVersionOf(origin.service));
}
