#include "azurepaddle/registry/state_machine.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;

namespace {

EndpointRecord record(const std::string& id, std::uint64_t started = 1, const std::string& ip = "10.0.0.1")
{
    return { EndpointId(id), started, ServiceName("s"), ip, 80, DataCentreName("a"), 4, EndpointState::Ready, { { "m", 1 } } };
}

EndpointRecord draining(EndpointRecord endpoint)
{
    endpoint.state = EndpointState::Draining;
    return endpoint;
}

ConfigurationOutcome put(StateMachine& machine, std::uint64_t version, const std::string& text)
{
    return *codec::decode<ConfigurationOutcome>(machine.apply(encodeCommand(PutConfiguration { { version, text } })));
}

constexpr TimePoint start { std::chrono::seconds(100) };

}

// Guards against a configuration that is replaced by an older version, or by other content of the same version.
Test(StateMachine, configurations_put_highestVersionIsActive)
{
    StateMachine machine;
    cr_assert(put(machine, 5, "five") == ConfigurationOutcome::Accepted);
    cr_assert(put(machine, 3, "three") == ConfigurationOutcome::NotNewer);
    cr_assert(put(machine, 5, "five") == ConfigurationOutcome::NotNewer);
    cr_assert(put(machine, 5, "other") == ConfigurationOutcome::Conflict);
    cr_assert(machine.configuration() == ConfigurationDocument({ 5, "five" }));
    cr_assert(put(machine, 8, "eight") == ConfigurationOutcome::Accepted);
}

// Guards against a published weight version that decreases because an old message was delayed.
Test(StateMachine, publishedVersions_onlyIncrease)
{
    StateMachine machine;
    static_cast<void>(machine.apply(encodeCommand(PublishVersion { batch::ModelName("m"), 3 })));
    static_cast<void>(machine.apply(encodeCommand(PublishVersion { batch::ModelName("m"), 2 })));
    cr_assert(machine.publishedVersion(batch::ModelName("m")) == 3U);
    cr_assert(!machine.publishedVersion(batch::ModelName("other")));
}

// Guards against a new leader that knows only the versions with which endpoints registered, against a version of an
// earlier incarnation, and against polls of all entries that are answered because of a load.
Test(StateMachine, versionLoaded_recorded_isKeptForItsIncarnation)
{
    const batch::ModelName model("m");
    StateMachine machine;
    static_cast<void>(machine.apply(encodeCommand(SetEndpoint { record("e", 5) })));
    const std::uint64_t revision = machine.directory().revision();
    static_cast<void>(machine.apply(encodeCommand(RecordLoadedVersion { { EndpointId("e"), 5 }, model, 3 })));
    static_cast<void>(machine.apply(encodeCommand(RecordLoadedVersion { { EndpointId("e"), 5 }, model, 2 })));
    static_cast<void>(machine.apply(encodeCommand(RecordLoadedVersion { { EndpointId("e"), 4 }, model, 9 })));
    static_cast<void>(machine.apply(encodeCommand(RecordLoadedVersion { { EndpointId("f"), 5 }, model, 9 })));
    StateMachine restored;
    cr_assert(restored.restore(machine.snapshot()));
    cr_assert(restored.directory().records().size() == 1);
    cr_assert(restored.directory().find(EndpointId("e"))->versionOf(model) == 3);
    cr_assert(machine.directory().revision() == revision);
}

// Guards against an earlier holder of the order right that takes it back with a delayed claim.
Test(StateMachine, orderRight_claimWithLowerFence_isRefused)
{
    StateMachine machine;
    static_cast<void>(machine.apply(encodeCommand(ClaimOrders { "b", 4 })));
    static_cast<void>(machine.apply(encodeCommand(ClaimOrders { "a", 3 })));
    cr_assert(machine.orders().holder.instance == "b");
}

// Guards against state that is missing in snapshots, so that a new participant does not get it.
Test(StateMachine, snapshot_restored_isComplete)
{
    StateMachine machine;
    put(machine, 2, "two");
    batch::JobSpec job;
    job.id = batch::JobId("j");
    job.items.resize(1);
    job.items[0].id = batch::ItemId("i");
    static_cast<void>(machine.apply(encodeCommand(AcceptJob { job })));
    static_cast<void>(machine.apply(encodeCommand(RecordResults { job.id, { { batch::ItemId("i"), batch::ResultState::Completed, "text", { 1, 2 } } } })));
    static_cast<void>(machine.apply(encodeCommand(SetEndpoint { record("e") })));
    static_cast<void>(machine.apply(encodeCommand(PublishVersion { batch::ModelName("m"), 3 })));
    static_cast<void>(machine.apply(encodeCommand(ClaimOrders { "a", 7 })));
    static_cast<void>(machine.apply(encodeCommand(SetOrderWindow { 7, true })));
    static_cast<void>(machine.apply(encodeCommand(RetireInstance { "store-1" })));
    static_cast<void>(machine.apply(encodeCommand(ReportSuspects { { { EndpointId("e"), 1, { RequestFingerprint("f") } } }, {}, 5 })));
    StateMachine restored;
    cr_assert(restored.restore(machine.snapshot()));
    cr_assert(restored.configuration() == machine.configuration());
    cr_assert(restored.jobs().load(restored.jobs().find(job.id)->results[0]).output == "text");
    cr_assert(restored.directory().records() == machine.directory().records());
    cr_assert(restored.directory().revision() == machine.directory().revision());
    cr_assert(restored.publishedVersions() == machine.publishedVersions());
    cr_assert(restored.orders().holder.fence == 7 && restored.orders().isOpen && restored.orders().changes == 2);
    cr_assert(restored.retiring() == machine.retiring());
    cr_assert(restored.suspects().crashes() == machine.suspects().crashes());
    cr_assert(restored.suspects().revision() == 1);
}

// Guards against a new leader that does not know what was ordered, and against a snapshot of an earlier release, which has
// neither usage nor orders, that cannot be read.
Test(StateMachine, scaleOrders_recorded_lastOfEachGroupIsKept)
{
    const scaling::EndpointGroup onDemand { ServiceName("s"), DataCentreName("a"), scaling::EndpointKind::OnDemand };
    const scaling::EndpointGroup spot { ServiceName("s"), DataCentreName("a"), scaling::EndpointKind::Spot };
    StateMachine machine;
    const std::string empty = machine.snapshot();
    static_cast<void>(machine.apply(encodeCommand(RecordScaleOrder { { onDemand, 3 } })));
    static_cast<void>(machine.apply(encodeCommand(RecordScaleOrder { { spot, 5 } })));
    static_cast<void>(machine.apply(encodeCommand(RecordScaleOrder { { onDemand, 4 } })));
    StateMachine restored;
    cr_assert(restored.restore(machine.snapshot()));
    cr_assert(restored.scaleOrders() == std::vector<scaling::ScaleOrder>({ { spot, 5 }, { onDemand, 4 } }));
    // The earlier release writes an array of twelve elements, without the empty usage and the empty list of orders.
    const std::string added = "\x93\x90\x90\xc0\x90";
    std::string earlier = empty;
    cr_assert(earlier.front() == '\x9e' && earlier.ends_with(added));
    earlier.front() = '\x9c';
    earlier.resize(earlier.size() - added.size());
    cr_assert(restored.restore(earlier));
    cr_assert(restored.scaleOrders().empty() && !restored.usage().newestSealed());
}

// Guards against an endpoint whose record of an earlier release, without the kind, cannot be read, and against a time to
// leave that is replicated with each heartbeat.
Test(Liveness, endpointAnnouncesWhenItLeaves_timeIsKnownHereOnly)
{
    EndpointRecord endpoint = draining(record("e", 5));
    endpoint.isSpot = true;
    const EndpointHeartbeat heartbeat { endpoint, 7, 2300 };
    Liveness liveness;
    cr_assert(liveness.recordHeartbeat(heartbeat.status(), start));
    cr_assert(liveness.find(EndpointId("e"))->leavesAt == start + std::chrono::milliseconds(2300));
    Directory directory;
    directory.set(heartbeat.record);
    cr_assert(!directory.recordUpdateFrom(EndpointHeartbeat({ endpoint, 8, 1300 }).record));
    std::string bytes = codec::encode(record("f"));
    cr_assert(bytes.front() == '\x9b' && bytes.back() == '\xc2');
    bytes.front() = '\x9a';
    bytes.pop_back();
    cr_assert(codec::decode<EndpointRecord>(bytes) == record("f"));
}

// Guards against crash records that are never removed.
Test(StateMachine, crashesExpired_requestIsNoSuspect)
{
    StateMachine machine;
    const RequestFingerprint request("f");
    static_cast<void>(machine.apply(encodeCommand(ReportSuspects { { { EndpointId("e"), 1, { request } } }, {}, 5 })));
    cr_assert(machine.suspects().find(request));
    static_cast<void>(machine.apply(encodeCommand(ExpireCrashes { 6 })));
    cr_assert(!machine.suspects().find(request));
}

// Guards against bytes of another version that are decoded as a command.
Test(Commands, unknownBytes_decoded_areRefused)
{
    cr_assert(!decodeCommand("nonsense"));
    const auto command = decodeCommand(encodeCommand(EndJob { batch::JobId("j") }));
    cr_assert(command && std::get<EndJob>(*command).job == batch::JobId("j"));
}

// Guards against a draining or gone endpoint that becomes ready again through a delayed heartbeat.
Test(Directory, drainingEndpoint_lateHeartbeat_staysDraining)
{
    Directory directory;
    directory.set(draining(record("e")));
    cr_assert(!directory.recordUpdateFrom(record("e")));
    directory.deregister({ EndpointId("e"), 1 });
    cr_assert(!directory.recordUpdateFrom(record("e")));
    cr_assert(!directory.recordUpdateFrom(draining(record("e"))));
}

// Guards against a delayed heartbeat of a crashed endpoint whose address belongs to another endpoint by then.
Test(Directory, addressTakenByLaterStart_lateHeartbeat_changesNothing)
{
    Directory directory;
    directory.set(record("old", 1));
    directory.set(record("new", 2));
    cr_assert(directory.find(EndpointId("old"))->state == EndpointState::Gone);
    cr_assert(!directory.recordUpdateFrom(record("old", 1)));
    cr_assert(directory.find(EndpointId("new"))->state == EndpointState::Ready);
}

// Guards against an endpoint that restarts under its id and is treated as the incarnation that is gone.
Test(Directory, endpointRestarts_underItsId_isReady)
{
    Directory directory;
    directory.set(record("e", 1));
    directory.deregister({ EndpointId("e"), 1 });
    const auto change = directory.recordUpdateFrom(record("e", 2));
    cr_assert(change.has_value());
    directory.set(*change);
    cr_assert(directory.find(EndpointId("e"))->state == EndpointState::Ready);
    directory.deregister({ EndpointId("e"), 1 });
    cr_assert(directory.find(EndpointId("e"))->state == EndpointState::Ready);
}

// Guards against a log entry for each heartbeat: only changes are replicated, and weight versions alone are none.
Test(Directory, sameHeartbeat_otherVersions_changesNothing)
{
    Directory directory;
    directory.set(record("e"));
    EndpointRecord heartbeat = record("e");
    heartbeat.versions["m"] = 2;
    cr_assert(!directory.recordUpdateFrom(heartbeat));
}

// Guards against a delayed heartbeat that overwrites a newer one.
Test(Liveness, olderHeartbeat_noted_isRefused)
{
    Liveness liveness;
    cr_assert(liveness.recordHeartbeat(EndpointHeartbeat { record("e"), 5 }.status(), start));
    cr_assert(!liveness.recordHeartbeat(EndpointHeartbeat { record("e"), 4 }.status(), start));
    cr_assert(liveness.recordHeartbeat(EndpointHeartbeat { record("e", 2), 1 }.status(), start));
    cr_assert(!liveness.recordHeartbeat(EndpointHeartbeat { record("e", 1), 9 }.status(), start));
}

// Guards against a repeated load order because a heartbeat sent before the end of the load resets the version.
Test(Liveness, versionRecordedByOrder_olderHeartbeat_keepsIt)
{
    Liveness liveness;
    cr_assert(liveness.recordHeartbeat(EndpointHeartbeat { record("e"), 1 }.status(), start));
    liveness.recordVersion(EndpointId("e"), batch::ModelName("m"), 3);
    cr_assert(liveness.recordHeartbeat(EndpointHeartbeat { record("e"), 2 }.status(), start));
    cr_assert(liveness.find(EndpointId("e"))->versions.at("m") == 3);
}

// Guards against crashed endpoints that never time out, and against a new leader, which has received no heartbeats yet,
// that removes all endpoints at once.
Test(Liveness, endpointWithoutHeartbeats_timesOut_afterLimit)
{
    Directory directory;
    directory.set(record("e"));
    Liveness liveness;
    liveness.startTracking(directory, start);
    cr_assert(liveness.timedOut(directory, start + std::chrono::seconds(1), std::chrono::seconds(2)).empty());
    cr_assert(liveness.timedOut(directory, start + std::chrono::seconds(3), std::chrono::seconds(2)).size() == 1);
}

// Guards against a scored item whose text is lost or generated again. The result must contain the stored text.
Test(StateMachine, scoredItem_recorded_takesStoredText)
{
    StateMachine machine;
    batch::JobSpec job;
    job.id = batch::JobId("j");
    job.items.push_back({ batch::ItemId("i"), "/x", {}, "b", GroupId("g"), 1, 1, { "r", "h", "/s/", "rb" } });
    static_cast<void>(machine.apply(encodeCommand(AcceptJob { job })));
    static_cast<void>(machine.apply(encodeCommand(RecordResults { job.id, {}, { { batch::ItemId("i"), "early", batch::digestOf({ { "one", 2 } }) } } })));
    cr_assert(machine.jobs().find(job.id)->results.empty(), "a result was recorded without a text");
    static_cast<void>(machine.apply(encodeCommand(AppendTexts { { { batch::ItemId("i"), 1, { { "one", 2 } }, true } } })));
    static_cast<void>(machine.apply(encodeCommand(RecordResults { job.id, {}, { { batch::ItemId("i"), "score", batch::digestOf({ { "one", 2 } }) } } })));
    const auto result = machine.jobs().load(machine.jobs().find(job.id)->results.front());
    cr_assert(result == batch::ItemResult({ batch::ItemId("i"), batch::ResultState::Completed, "one", { 2 }, "score" }));
    cr_assert(machine.texts().size() == 0);
}

// Guards against a draining endpoint that becomes ready again through a change that was proposed before the drain.
Test(Directory, changeProposedBeforeDrain_appliedAfter_endpointStaysDraining)
{
    Directory directory;
    directory.set(draining(record("a")));
    directory.set(record("a"));
    cr_assert(directory.find(EndpointId("a"))->state == EndpointState::Draining);
    directory.set(record("a", 2));
    cr_assert(directory.find(EndpointId("a"))->state == EndpointState::Ready);
}

// Guards against new work for an endpoint that announced in a response that it is draining, and against a
// successor under its id or at its address that is treated as draining too.
Test(Liveness, endpointAnnouncesDraining_onlyThatIncarnationIsExcluded)
{
    Directory directory;
    directory.set(record("a"));
    directory.set(record("b", 1, "10.0.0.2"));
    Liveness liveness;
    liveness.recordDraining({ EndpointId("a"), 1 });
    cr_assert(!liveness.isAcceptingWork(*directory.find(EndpointId("a"))));
    cr_assert(liveness.isAcceptingWork(*directory.find(EndpointId("b"))));
    cr_assert(liveness.drainingEndpoints(directory).size() == 1);
    liveness.clear();
    cr_assert(!liveness.isAcceptingWork(*directory.find(EndpointId("a"))), "the draining notice was lost with the heartbeat entries");
    directory.set(record("a", 2));
    cr_assert(liveness.isAcceptingWork(*directory.find(EndpointId("a"))));
    cr_assert(liveness.drainingEndpoints(directory).empty());
}

// Guards against an entry instance that misses a change because the history reports only some of them.
Test(Directory, changesSinceRevision_containEachChangeOnce)
{
    Directory directory;
    directory.set(record("a"));
    directory.set(record("b", 1, "10.0.0.2"));
    const std::uint64_t known = directory.revision();
    cr_assert(directory.changesSince(known)->changed.empty());
    directory.set(draining(record("a")));
    directory.remove({ EndpointId("b"), 1 });
    const auto changes = directory.changesSince(known);
    cr_assert(changes->changed.size() == 1 && changes->changed.front().state == EndpointState::Draining);
    cr_assert(changes->removed == std::vector<EndpointId>({ EndpointId("b") }));
    cr_assert(directory.changesSince(0)->changed.size() == 1);
    cr_assert(!directory.changesSince(directory.revision() + 1));
}

// Guards against an endpoint that stays in use by entry instances after another one has taken its address.
Test(Directory, addressTaken_changesContainBoth)
{
    Directory directory;
    directory.set(record("a"));
    const std::uint64_t known = directory.revision();
    directory.set(record("b", 2));
    cr_assert(directory.changesSince(known)->changed.size() == 2);
}

// Guards against an incomplete history that is used as complete after a snapshot was restored or many endpoints were
// removed.
Test(Directory, revisionBeforeHistory_changesAreUnavailable)
{
    Directory directory;
    directory.restore({ record("a") }, 7);
    cr_assert(!directory.changesSince(6));
    cr_assert(directory.changesSince(7)->changed.empty());
    for (int i = 0; i < 600; ++i) {
        const std::string id = "e" + std::to_string(i);
        directory.set(record(id, 1, id));
        directory.remove({ EndpointId(id), 1 });
    }
    cr_assert(!directory.changesSince(7));
    cr_assert(directory.changesSince(directory.revision() - 2)->removed.size() == 1);
}

// Guards against heartbeat processing whose cost grows with the square of the number of endpoints: with a scan of all
// records for each heartbeat, this test with 3,000 endpoints takes minutes.
Test(Directory, manyEndpoints_heartbeats_costLittleEach, .timeout = 20)
{
    Directory directory;
    constexpr int endpoints = 3000;
    for (int i = 0; i < endpoints; ++i)
        directory.set(record("e" + std::to_string(i), 1, "10.0.0." + std::to_string(i)));
    for (int round = 0; round < 100; ++round) {
        for (int i = 0; i < endpoints; ++i)
            cr_assert(!directory.recordUpdateFrom(record("e" + std::to_string(i), 1, "10.0.0." + std::to_string(i))));
    }
}

// Guards against stale entries in the address index after endpoints change their address or are removed.
Test(Directory, endpointMoves_oldAddressIsFree)
{
    Directory directory;
    directory.set(record("a", 5));
    directory.set(record("a", 6, "10.0.0.2"));
    cr_assert(directory.recordUpdateFrom(record("b", 1)).has_value());
    cr_assert(!directory.recordUpdateFrom(record("b", 1, "10.0.0.2")));
    directory.remove({ EndpointId("a"), 6 });
    cr_assert(directory.recordUpdateFrom(record("b", 1, "10.0.0.2")).has_value());
}
