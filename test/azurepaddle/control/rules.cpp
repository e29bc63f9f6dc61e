#include "azurepaddle/control/fixture.hpp"
#include "azurepaddle/control/group_of.hpp"

#include "azurepaddle/control/tagged.hpp"
#include "azurepaddle/core/digest.hpp"

using namespace azurepaddle;
using namespace azurepaddle::control;
using namespace azurepaddle::control::test;

// Guards against a configuration number that decreases, and against replies that hide which configuration is in force.
Test(Configurations, eachNumberAndContent_submitted_getsItsReply)
{
    Fixture fixture;
    cr_assert(fixture.submit(5, "five").status == ConfigurationStatus::Accepted);
    cr_assert(fixture.submit(5, "five").status == ConfigurationStatus::AlreadyAccepted);
    cr_assert(fixture.submit(5, "other").status == ConfigurationStatus::Conflict);
    cr_assert(fixture.submit(9, "nine").status == ConfigurationStatus::Accepted);
    cr_assert(fixture.submit(5, "five").status == ConfigurationStatus::Superseded);
    cr_assert(fixture.submit(5, "other").status == ConfigurationStatus::Stale);
    const ConfigurationReply stale = fixture.submit(7, "five");
    cr_assert(stale.status == ConfigurationStatus::Stale && stale.number == 9 && stale.digest == sha256Hex("nine"));
    cr_assert(fixture.state.configurations().text() == "nine");
}

// Guards against an update after which an instance with an older configuration has another text than the one in force.
Test(Configurations, instanceAtAnyNumber_updated_hasTextInForce)
{
    Fixture fixture;
    std::vector<std::string> texts { "" };
    for (std::uint64_t number = 1; number <= 200; ++number) {
        texts.push_back("[a]\nx = " + std::to_string(number * 7) + std::string(300, 'c') + "\n" + (number % 3 == 0 ? "[b]\n" : ""));
        static_cast<void>(fixture.submit(number, texts.back()));
    }
    for (std::uint64_t number = 0; number <= 200; ++number) {
        const ConfigurationUpdate update = fixture.state.configurations().updateSince(number);
        cr_assert(applyUpdate(texts[number], update).value() == texts.back());
        cr_assert(number < 198 || !update.isFull);
    }
    cr_assert(!applyUpdate("held something else", fixture.state.configurations().updateSince(199)));
}

// Guards against a request that runs twice because its claim was granted twice or transferred to another holder.
Test(Claims, claimedKey_claimedAgain_isNeverGranted)
{
    Fixture fixture;
    cr_assert(fixture.claim("r1", holder("a")).status == ClaimStatus::Granted);
    cr_assert(fixture.claim("r2", holder("b")).status == ClaimStatus::InProgress);
    cr_assert(fixture.claim("r3", holder("b"), 0, "other body").status == ClaimStatus::BodyDiffers);
    static_cast<void>(fixture.apply(ReportDead { InstanceId("a"), 1 }));
    cr_assert(fixture.claim("r4", holder("b")).status == ClaimStatus::Unknown);
    cr_assert(fixture.complete("r1", holder("b")).status == ClaimStatus::NotHolder);
    cr_assert(fixture.release("r1", holder("a", 2)).status == ClaimStatus::NotHolder);
    cr_assert(fixture.complete("r1", holder("a")).status == ClaimStatus::Completed);
    const ClaimReply done = fixture.claim("r5", holder("b"));
    cr_assert(done.status == ClaimStatus::Done && done.result.body == "response" && done.request == RequestId("r1"));
    cr_assert(fixture.release("r1", holder("a")).status == ClaimStatus::NotHolder);
}

// Guards against a late release that frees the claim of a later request of the same holder.
Test(Claims, releasedClaim_grantedAgain_ignoresOldRelease)
{
    Fixture fixture;
    static_cast<void>(fixture.claim("r1", holder("a")));
    cr_assert(fixture.release("r1", holder("a")).status == ClaimStatus::Released);
    cr_assert(fixture.complete("r1", holder("a")).status == ClaimStatus::NotHolder);
    cr_assert(fixture.claim("r2", holder("b"), 0, "other body").status == ClaimStatus::BodyDiffers);
    cr_assert(fixture.claim("r2", holder("a")).status == ClaimStatus::Granted);
    cr_assert(fixture.release("r1", holder("a")).status == ClaimStatus::NotHolder);
    cr_assert(fixture.claim("r3", holder("b")).status == ClaimStatus::InProgress);
}

// Guards against a key that is accepted as new after its claim has expired, so that the request runs twice.
Test(Claims, keyOlderThanWindow_claimed_isRefused)
{
    Fixture fixture;
    cr_assert(fixture.claim("r1", holder("a"), startTime).status == ClaimStatus::Granted);
    const Claim unseenKey { { TenantName("red"), "key" }, RequestId("r0"), "digest", holder("a"), startTime - retention, retention };
    cr_assert(fixture.expect<ClaimReply>(unseenKey).status == ClaimStatus::KeyTooOld);
    fixture.now += retention + 2 * maxClockDifference;
    cr_assert(fixture.claim("r2", holder("a"), startTime).status == ClaimStatus::KeyTooOld);
    cr_assert(fixture.state.claims().records().empty());
    // Keys of expired claims are refused also if the retention window has been raised since.
    const Claim withLongerRetention { { TenantName("blue"), "key" }, RequestId("r3"), "digest", holder("a"), startTime, 10 * retention };
    cr_assert(fixture.expect<ClaimReply>(withLongerRetention).status == ClaimStatus::KeyTooOld);
    cr_assert(fixture.claim("r4", holder("a"), fixture.now + maxClockDifference + 1).status == ClaimStatus::KeyTimeAhead);
    cr_assert(fixture.claim("r5", holder("a")).status == ClaimStatus::Granted);
}

// Guards against unbounded memory use by large responses, and against a claim by an incarnation that was reported dead.
Test(Claims, largeResponseAndDeadHolder_handled_keepBounds)
{
    Fixture fixture;
    static_cast<void>(fixture.claim("r1", holder("a")));
    static_cast<void>(fixture.complete("r1", holder("a"), std::string(Claims::maxResultBody + 1, 'x')));
    cr_assert(fixture.state.claims().resultBytes() == 0);
    const ClaimReply done = fixture.claim("r2", holder("a"));
    cr_assert(done.status == ClaimStatus::Done && !done.result.hasBody && done.result.body.empty());
    static_cast<void>(fixture.apply(ReportDead { InstanceId("c"), 3 }));
    const Claim claimOfDeadHolder { { TenantName("blue"), "key2" }, RequestId("r3"), "digest", holder("c", 3), 0, retention };
    cr_assert(fixture.expect<ClaimReply>(claimOfDeadHolder).status == ClaimStatus::HolderDead);
}

// Guards against unbounded memory use by many small responses, and against a byte count that differs from what is
// stored.
Test(Claims, manyResponses_completed_areKeptUpToLimit)
{
    Fixture fixture;
    const std::size_t bodiesThatFit = Claims::maxResultBytes / Claims::maxResultBody;
    for (std::size_t i = 0; i <= bodiesThatFit; ++i) {
        const ClaimKey key { TenantName("blue"), std::to_string(i) };
        static_cast<void>(fixture.apply(Claim { key, RequestId("r"), "digest", holder("a"), 0, retention }));
        const ClaimResult result { ClaimOutcome::Succeeded, 200, "text/plain", std::string(Claims::maxResultBody, 'x'), true };
        cr_assert(fixture.expect<ClaimReply>(CompleteClaim { key, RequestId("r"), holder("a"), result }).status == ClaimStatus::Completed);
    }
    const auto& records = fixture.state.claims().records();
    cr_assert(fixture.state.claims().resultBytes() == Claims::maxResultBytes);
    cr_assert(!records.at({ TenantName("blue"), std::to_string(bodiesThatFit) }).result.hasBody);
    fixture.now += retention + 2 * maxClockDifference;
    static_cast<void>(fixture.apply(AdvanceTime {}));
    cr_assert(fixture.state.claims().resultBytes() == 0);
}

// Guards against two holders of one order lease, and against a new holder that sends orders while those of the
// previous holder may still arrive.
Test(OrderLeases, secondHolder_acquiring_waitsForLeaseAndOrders)
{
    Fixture fixture;
    const ServiceName service("models");
    const auto acquire = [&](const Holder& leaseHolder) { return fixture.expect<OrderLeaseReply>(AcquireOrderLease { service, leaseHolder, 3'000 }); };
    cr_assert(acquire(holder("a")).epoch == 1);
    fixture.now += 2'999;
    const OrderLeaseReply held = acquire(holder("b"));
    cr_assert(held.status == OrderLeaseStatus::Held && held.wait == 1 + maxClockDifference);
    cr_assert(acquire(holder("a")).epoch == 1);
    fixture.now += 3'000 + maxClockDifference;
    const OrderLeaseReply granted = acquire(holder("b"));
    cr_assert(granted.status == OrderLeaseStatus::Granted && granted.epoch == 2 && granted.wait == maxOrderDeadline);
    cr_assert(fixture.expect<OrderLeaseReply>(ReleaseOrderLease { service, holder("a"), 1 }).status == OrderLeaseStatus::NotHolder);
    cr_assert(fixture.expect<OrderLeaseReply>(ReleaseOrderLease { service, holder("b"), 2 }).status == OrderLeaseStatus::Released);
    const OrderLeaseReply after = acquire(holder("b", 2));
    cr_assert(after.epoch == 3 && after.wait == maxOrderDeadline);
}

// Guards against one request that crashes a third endpoint.
Test(Suspects, crashesAndTrials_reported_blockAfterSecond)
{
    Fixture fixture;
    const Fingerprint fingerprint("f");
    const auto acquire = [&] { return fixture.expect<SuspectReply>(AcquireTrial { fingerprint, holder("a"), 1'000, {} }); };
    const auto finish = [&](Epoch epoch, TrialResult result) { return fixture.expect<SuspectReply>(FinishTrial { fingerprint, epoch, result, EndpointId("e"), 0 }).status; };
    const ReportSuspect report { fingerprint, EndpointId("e"), TenantName("blue"), 0 };
    cr_assert(acquire().status == SuspectStatus::NotSuspected);
    cr_assert(fixture.expect<SuspectReply>(report).status == SuspectStatus::Suspected);
    const SuspectReply first = acquire();
    cr_assert(first.status == SuspectStatus::TrialGranted);
    cr_assert(acquire().status == SuspectStatus::TrialInProgress);
    cr_assert(finish(first.epoch, TrialResult::NotRun) == SuspectStatus::Suspected);
    const SuspectReply second = acquire();
    cr_assert(finish(first.epoch, TrialResult::Clean) == SuspectStatus::NotHolder);
    cr_assert(finish(second.epoch, TrialResult::Crashed) == SuspectStatus::Blocked);
    cr_assert(acquire().status == SuspectStatus::Blocked);
    static_cast<void>(fixture.apply(UnblockSuspect { fingerprint }));
    cr_assert(acquire().status == SuspectStatus::NotSuspected);
    static_cast<void>(fixture.apply(report));
    cr_assert(finish(acquire().epoch, TrialResult::Clean) == SuspectStatus::NotSuspected);
    cr_assert(fixture.state.suspects().records().empty());
}

// Guards against another trial after one without a result, whose holder may have failed together with the endpoint.
Test(Suspects, trialWithoutResult_expired_blocksUntilLateResult)
{
    Fixture fixture;
    const Fingerprint fingerprint("f");
    static_cast<void>(fixture.apply(ReportSuspect { fingerprint, EndpointId("e"), TenantName("blue"), 0 }));
    const Epoch epoch = fixture.expect<SuspectReply>(AcquireTrial { fingerprint, holder("a"), 1'000, {} }).epoch;
    fixture.now += 1'000 + maxClockDifference;
    cr_assert(fixture.expect<SuspectReply>(AcquireTrial { fingerprint, holder("b"), 1'000, {} }).status == SuspectStatus::Blocked);
    cr_assert(fixture.expect<SuspectReply>(FinishTrial { fingerprint, epoch, TrialResult::Clean, EndpointId("e"), 0 }).status == SuspectStatus::NotSuspected);
}

// Guards against a fingerprint that is blocked after one crash, because several copies of the request were running on
// the endpoint.
Test(Suspects, oneCrash_reportedTwice_countsOnce)
{
    Fixture fixture;
    const auto report = [&](std::uint64_t incarnation) {
        return fixture.expect<SuspectReply>(ReportSuspect { Fingerprint("f"), EndpointId("e"), TenantName("blue"), incarnation });
    };
    cr_assert(report(7).crashes == 1);
    cr_assert(report(7).crashes == 1 && report(7).status == SuspectStatus::Suspected);
    cr_assert(report(8).status == SuspectStatus::Blocked);
}

// Guards against a crash that is attributed to a suspect although another one on the same endpoint caused it.
Test(Suspects, twoSuspects_onOneEndpoint_runOneAfterTheOther)
{
    Fixture fixture;
    const auto acquire = [&](const char* fingerprint, const char* endpoint) {
        return fixture.expect<SuspectReply>(AcquireTrial { Fingerprint(fingerprint), holder("a"), 1'000, EndpointId(endpoint) });
    };
    for (const char* fingerprint : { "f", "g" })
        static_cast<void>(fixture.apply(ReportSuspect { Fingerprint(fingerprint), EndpointId("dead"), TenantName("blue"), 1 }));
    const SuspectReply first = acquire("f", "e");
    cr_assert(first.status == SuspectStatus::TrialGranted);
    cr_assert(acquire("g", "e").status == SuspectStatus::TrialInProgress);
    cr_assert(fixture.expect<SuspectReply>(FinishTrial { Fingerprint("f"), first.epoch, TrialResult::Clean, EndpointId("e"), 1 }).status == SuspectStatus::NotSuspected);
    cr_assert(acquire("g", "e").status == SuspectStatus::TrialGranted);
}

// Guards against two instances with one identity, and against a lost identity that is started again.
Test(Instances, lostIdentity_started_isRefused)
{
    Fixture fixture;
    const auto issue = [&](const std::string& nonce) { return fixture.expect<InstanceReply>(IssueInstance { nonce, DataCentreName("east"), "1:1" }); };
    const InstanceId first = issue("n1").instance;
    cr_assert(issue("n1").instance == first);
    cr_assert(issue("n2").instance != first);
    const auto start = [&](std::uint64_t incarnation) { return fixture.expect<InstanceReply>(StartInstance { first, incarnation, "1:1" }).status; };
    cr_assert(start(4) == InstanceStatus::Started);
    cr_assert(start(4) == InstanceStatus::IncarnationUsed);
    cr_assert(start(5) == InstanceStatus::Started);
    cr_assert(fixture.state.instances().isDead({ first, 4 }) && !fixture.state.instances().isDead({ first, 5 }));
    static_cast<void>(fixture.apply(MarkInstanceLost { first }));
    cr_assert(start(6) == InstanceStatus::Lost);
    cr_assert(issue("n1").status == InstanceStatus::Lost);
    cr_assert(fixture.state.instances().isDead({ first, 6 }));
}

// Guards against a command that is applied twice because its reply was lost.
Test(ControlState, command_retried_returnsFirstReply)
{
    Fixture fixture;
    ControlCommand command = fixture.command(AcquireRun { RunName("run"), holder("a"), 1'000 });
    const ControlReply first = fixture.state.apply(command);
    command.time = fixture.now += replyRetention - 1;
    static_cast<void>(fixture.acquireRun(holder("b")));
    cr_assert(fixture.state.apply(command) == first);
    command.time = fixture.now += 1 + maxClockDifference;
    const ControlReply late = fixture.state.apply(command);
    cr_assert(std::get<Rejected>(late).reason == RejectionReason::TooLate);
    cr_assert(fixture.state.cachedReplies() == 1);
    command.id = CommandId("ahead");
    command.issued = fixture.now + maxClockDifference + 1;
    cr_assert(std::get<Rejected>(fixture.state.apply(command)).reason == RejectionReason::ClockAhead);
}

// Guards against leases and retention windows that are extended because the clock of a new leader is behind.
Test(ControlState, earlierTime_applied_doesNotMoveLogTimeBack)
{
    Fixture fixture;
    ControlCommand command = fixture.command(AcquireOrderLease { ServiceName("models"), holder("a"), 1'000 });
    static_cast<void>(fixture.state.apply(command));
    command = fixture.command(AcquireOrderLease { ServiceName("models"), holder("b"), 1'000 });
    command.time = fixture.now + 900;
    cr_assert(std::get<OrderLeaseReply>(fixture.state.apply(command)).wait == 600);
    command.id = CommandId("other");
    command.time = fixture.now;
    cr_assert(std::get<OrderLeaseReply>(fixture.state.apply(command)).wait == 600 && fixture.state.now() == fixture.now + 900);
}

// Guards against an oversized field that is stored in the replicated state.
Test(ControlState, invalidField_applied_isRejectedWithName)
{
    Fixture fixture;
    const auto rejected = fixture.expect<Rejected>(AcquireOrderLease { ServiceName(std::string(300, 's')), holder("a"), 1'000 });
    cr_assert(rejected.detail == "service of 300 bytes exceeds 256");
    cr_assert(fixture.expect<Rejected>(AcquireRun { RunName("run"), holder("a"), maxLeaseDuration + 1 }).detail.starts_with("duration"));
}

// Guards against a command of a newer version that is misread, and against damaged bytes that crash the process.
Test(Command, unknownTagAndDamage_decoded_areErrors)
{
    Fixture fixture;
    const ControlCommand command = fixture.command(SubmitGroups { RunName("run"), 1, { { GroupId("g"), 1, "prompt", 2, 10 } } });
    cr_assert(decodeCommand(encodeCommand(command)).value() == command);
    const ControlReply reply = fixture.state.apply(command);
    cr_assert(decodeReply(encodeReply(reply)).value() == reply);
    const auto unknown = decodeReply(codec::encode(internal::TaggedValue { 999, "" }));
    cr_assert(unknown.error().code() == ControlErrorCode::UnknownTag);
    cr_assert(unknown.error().message() == "tag 999 is not known to this version");
    const std::string bytes = encodeCommand(command);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        cr_assert(!decodeCommand(std::string_view(bytes).substr(0, size)));
    cr_assert(!fixture.state.restore("damaged"));
}

// Guards against state that is written to a group other than its owner.
Test(GroupOf, keys_mapped_goToHomeOrGlobalGroup)
{
    const GroupLayout layout { LogGroupName("global"), { { TenantName("blue"), LogGroupName("west") } }, { { RunName("run"), LogGroupName("east") } } };
    cr_assert(groupOf(keyOf(Claim { { TenantName("blue"), "k" }, {}, {}, {}, 0, 0 }), layout) == LogGroupName("west"));
    cr_assert(groupOf(keyOf(Claim { { TenantName("red"), "k" }, {}, {}, {}, 0, 0 }), layout) == LogGroupName("global"));
    cr_assert(groupOf(keyOf(ResetRun { RunName("run"), 0, 0, 0, 0, 0 }), layout) == LogGroupName("east"));
    cr_assert(groupOf(keyOf(ReportSuspect { Fingerprint("f"), {}, TenantName("blue") }), layout) == LogGroupName("global"));
}
