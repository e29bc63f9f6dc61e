#include "azurepaddle/execution/job_runner.hpp"
#include "azurepaddle/execution/weight_loader.hpp"
#include "azurepaddle/http1/server.hpp"
#include "azurepaddle/registry/store_group.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace azurepaddle;
using namespace azurepaddle::execution;
using namespace std::chrono_literals;

namespace {

const ServiceName serviceName("models");
const ServiceName rewardService("rewards");
const batch::RewardCall scoreCall { "r", "host", "/score/1", "reward body" };
const batch::ModelName model("m");
const batch::JobId jobId("job");
constexpr std::uint64_t eventsOfItem = 6;

/// Minimal encoding of items and orders for these tests.
struct TestProtocol {
    static std::string requestId(const http1::Request& request) { return std::string(request.fields.find("Id")); }
    static std::optional<Duration> clientTimeout(const http1::Request&) { return std::nullopt; }
    static http1::Request forEndpoint(const http1::Request& request, const EndpointId&, Duration) { return request; }
    static gateway::AnswerClass classify(const http1::Response& head, std::string_view)
    {
        if (head.status == 421)
            return gateway::AnswerClass::WrongEndpoint;
        return head.fields.contains("Not-Run") ? gateway::AnswerClass::NotRun : gateway::AnswerClass::Answer;
    }
    static std::optional<gateway::LoadReport> loadOf(const http1::Response&) { return std::nullopt; }
    static bool isLeaving(const http1::Response& head) { return head.fields.contains("Leaving"); }
    static http1::Request continueAfter(const http1::Request& request, std::uint64_t) { return request; }
    static std::optional<double> limitOf(const http1::Response& head) { return head.fields.contains("Limit") ? std::optional(std::stod(std::string(head.fields.find("Limit")))) : std::nullopt; }
    static void setCaller(http1::Request& request, const gateway::Caller& caller) { request.fields.set("Workspace", caller.workspace.value()); }
    static http1::Request rewardRequest(const batch::RewardCall& reward)
    {
        return { "POST", reward.path, { { "Host", reward.host }, { "Id", reward.id } }, reward.body };
    }
    static std::string scoreOf(const http1::Response& head) { return std::string(head.fields.find("Score")); }
    static http1::Request itemRequest(const batch::ItemSpec& item, const std::string& host, const EndpointId&, std::uint64_t held)
    {
        return { "POST", item.path, { { "Host", host }, { "Id", item.id.value() }, { "After", std::to_string(held) } }, item.body };
    }
    static std::optional<WeightVersion> versionOf(const http1::Response& head) { return numberOf(head.fields.find("Version")); }
    static std::optional<WeightVersion> versionOf(const http1::StreamEvent&) { return std::nullopt; }
    static std::optional<std::uint64_t> eventNumber(const http1::StreamEvent& event) { return numberOf(event.id); }
    static http1::Request loadRequest(const LoadOrder& order)
    {
        return { "POST", "/order", { { "Host", "e" }, { "Version", std::to_string(order.version) }, { "Holder", order.holder } }, {} };
    }
    static http1::Request statusRequest(const EndpointId&) { return { "GET", "/status", { { "Host", "e" } }, {} }; }
    static std::optional<EndpointStatus> parseStatus(const std::string& body)
    {
        const auto version = numberOf(body);
        return version ? std::optional(EndpointStatus { { { model.value(), *version } }, false, 0 }) : std::nullopt;
    }

private:
    static std::optional<std::uint64_t> numberOf(std::string_view text)
    {
        if (text.empty())
            return std::nullopt;
        return std::stoull(std::string(text));
    }
};

enum class Behaviour : std::uint8_t {
    Completes,
    AbortsAfterThree, ///< Closes the connection after three events.
    Crashes, ///< Closes its server and all connections when an item or reward call arrives, as a crashed process does.
    RefusesItems, ///< Refuses each item as not run, as a full endpoint does.
    Fails, ///< Responds with status 500.
    FailsWithEvents, ///< Responds with status 500 and a body that reads like further events.
    Unprocessable, ///< Responds with status 422.
    SilentAfterThree,
    CompletesWhileDraining, ///< Completes the item and reports in the response that it is draining.
    CompletesWithLimit, ///< Completes the item and names a limit of two requests per second in the response.
    Scores, ///< A reward service that returns scores.
    AnswersWithoutScore, ///< A reward service whose responses carry no score.
};

/// An endpoint that runs on the event loop of the test.
struct Endpoint {
    Endpoint(asio::io_context& io, std::string name, Behaviour initialBehaviour, WeightVersion initialVersion)
        : id(std::move(name))
        , behaviour(initialBehaviour)
        , version(initialVersion)
        , abortTimer(io)
        , server(io, [this](const http1::ExchangePointer& exchange) { handle(exchange); })
    {
        cr_assert(server.listen({ "127.0.0.1", 0 }).has_value());
    }
    ~Endpoint() { server.close(); }

    void handle(const http1::ExchangePointer& exchange)
    {
        const http1::Request& request = exchange->request();
        if (request.target == "/status")
            return exchange->respond({ 200, {}, {}, std::to_string(version) });
        if (request.target == "/order") {
            ++orderCount;
            version = std::stoull(std::string(request.fields.find("Version")));
            return exchange->respond({ 202, {}, {}, {} });
        }
        if (request.target.starts_with("/score/"))
            return score(exchange);
        resumePositions.push_back(std::stoull(std::string(request.fields.find("After"))));
        if (behaviour == Behaviour::Crashes) {
            server.close();
            return exchange->abort();
        }
        if (behaviour == Behaviour::RefusesItems)
            return exchange->respond({ 503, {}, { { "Not-Run", "1" } }, {} });
        if (behaviour == Behaviour::Fails || behaviour == Behaviour::Unprocessable)
            return exchange->respond({ behaviour == Behaviour::Fails ? 500U : 422U, {}, {}, {} });
        if (behaviour == Behaviour::FailsWithEvents)
            return exchange->respond({ 500, {}, {}, "id: 4\ndata: error text\n\n" });
        stream(exchange, resumePositions.back());
    }

    void score(const http1::ExchangePointer& exchange)
    {
        rewardCalls.emplace_back(fieldOf(*exchange, "Id"), exchange->request().body);
        if (behaviour == Behaviour::Crashes) {
            server.close();
            return exchange->abort();
        }
        if (behaviour == Behaviour::Fails)
            return exchange->respond({ 500, {}, {}, {} });
        if (behaviour == Behaviour::SilentAfterThree) {
            unfinishedExchange = exchange;
            return;
        }
        http1::Response response;
        if (behaviour == Behaviour::Scores)
            response.fields.add("Score", "score of " + fieldOf(*exchange, "Id"));
        exchange->respond(std::move(response));
    }

    static std::string fieldOf(const http1::Exchange& exchange, std::string_view field) { return std::string(exchange.request().fields.find(field)); }

    void stream(const http1::ExchangePointer& exchange, std::uint64_t held)
    {
        http1::Response head { 200, {}, { { "Version", std::to_string(version) } }, {} };
        if (behaviour == Behaviour::CompletesWhileDraining)
            head.fields.add("Leaving", "1");
        if (behaviour == Behaviour::CompletesWithLimit)
            head.fields.add("Limit", "2");
        const bool isCompleted = behaviour == Behaviour::Completes || behaviour == Behaviour::CompletesWhileDraining || behaviour == Behaviour::CompletesWithLimit;
        exchange->beginStream(std::move(head));
        const std::uint64_t last = isCompleted ? eventsOfItem : 3;
        for (std::uint64_t number = held + 1; number <= last; ++number)
            exchange->sendChunk(fmt::format("id: {}\ndata: {} {}\n\n", number, eventText, number));
        if (isCompleted)
            return exchange->endStream();
        unfinishedExchange = exchange;
        if (behaviour == Behaviour::AbortsAfterThree)
            abortAfterDelay();
    }

    /// Closes the connection after a delay, in which the events sent so far arrive.
    void abortAfterDelay()
    {
        abortTimer.expires_after(50ms);
        abortTimer.async_wait([this](std::error_code error) {
            if (!error)
                unfinishedExchange->abort();
        });
    }

    EndpointId id;
    Behaviour behaviour;
    WeightVersion version;
    std::string eventText = "event"; ///< Text before the number in the data of each event.
    asio::steady_timer abortTimer;
    http1::Server server;
    std::vector<std::uint64_t> resumePositions; ///< For each run, the number of events after which it was to resume.
    std::vector<std::pair<std::string, std::string>> rewardCalls; ///< Identifiers and bodies of reward calls.
    unsigned orderCount = 0;
    http1::ExchangePointer unfinishedExchange;
};

/// A leader with its own log and registered endpoints.
struct RunnerFixture : fixture::StoreGroup {
    const SystemClock clock {};
    registry::Liveness liveness;
    metrics::Registry metrics;
    http1::ClientPool pool { io, {} };
    Random random { 3 };
    gateway::Balancer balancer { DataCentreName("a") };
    gateway::CrashGuard guard { [](const InstanceAddress&, const http1::ProbeCallback&) {}, metrics };
    registry::PermitTable permits;
    gateway::SendLimiter limiter { "store", [this](const registry::PermitRequest& request, TimePoint, const gateway::PermitCallback& onReply) { onReply(permits.request(request, clock.now()), clock.now()); }, random };
    gateway::Forwarder<TestProtocol> forwarder { io, pool, balancer, guard, limiter, random, metrics, 1024U * 1024U };
    JobRunner<TestProtocol> runner { io, pool, group, machine, liveness, forwarder, balancer, limiter, metrics };
    OrderWindow window { group, machine, { "store", 200ms } };
    WeightLoader<TestProtocol> loader { io, pool, group, machine, liveness, runner, metrics, window };
    std::vector<std::unique_ptr<Endpoint>> endpoints;

    RunnerFixture()
    {
        gateway::Route route { "r", "host", "/items/", gateway::RouteKind::Batch, { { serviceName, 1 } } };
        gateway::Route scores { "s", "host", "/score/", gateway::RouteKind::NonIdempotent, { { rewardService, 1 } } };
        scores.timeout = 1s;
        const std::vector services { gateway::Service { serviceName, {}, 64, { model }, 100'000 }, gateway::Service { rewardService, {}, 64, {} } };
        const auto routes = std::make_shared<const gateway::RouteTable>(1, std::vector { route, scores }, services, http1::ServerLimits {});
        runner.setRoutes(routes);
        loader.setRoutes(routes);
        start();
        cr_assert(runUntil([&] { return group.hasCurrentState(); }));
        runner.onLeadership(true);
        setLeading(true);
    }
    ~RunnerFixture()
    {
        runner.onLeadership(false);
    }

    void setLeading(bool isLeading)
    {
        window.onLeadership(isLeading);
        loader.onLeadership(isLeading);
    }

    bool runUntil(const std::function<bool()>& condition, Duration limit = 20s)
    {
        const TimePoint end = clock.now() + limit;
        while (!condition() && clock.now() < end) {
            io.run_for(5ms);
            runner.tick();
            window.tick();
            loader.tick();
        }
        return condition();
    }

    void apply(const registry::Command& command)
    {
        bool isApplied = false;
        group.propose(registry::encodeCommand(command), [&](const cluster::ProposalResult& result) { isApplied = result.status == cluster::ProposalStatus::Applied; });
        cr_assert(runUntil([&] { return isApplied; }));
    }

    Endpoint& add(const std::string& name, Behaviour behaviour, WeightVersion version = 1, const ServiceName& service = serviceName, const std::string& software = "v1")
    {
        endpoints.push_back(std::make_unique<Endpoint>(io, name, behaviour, version));
        Endpoint& endpoint = *endpoints.back();
        registry::EndpointRecord record;
        record.id = endpoint.id;
        record.startedMs = 1;
        record.service = service;
        record.ip = endpoint.server.address().ip;
        record.port = endpoint.server.address().port;
        record.slots = 4;
        record.versions = { { model.value(), version } };
        record.software = SoftwareVersion(software);
        apply(registry::SetEndpoint { record });
        cr_assert(liveness.recordHeartbeat(registry::EndpointHeartbeat { record, 1 }.status(), clock.now()));
        return endpoint;
    }

    /// Adds an endpoint whose software marks the events that it generates.
    Endpoint& addWithSoftware(const std::string& name, Behaviour behaviour, const std::string& software)
    {
        Endpoint& endpoint = add(name, behaviour, 1, serviceName, software);
        endpoint.eventText = software;
        return endpoint;
    }

    void deregister(const Endpoint& endpoint)
    {
        apply(registry::DeregisterEndpoint { { endpoint.id, 1 } });
    }

    void submit(WeightVersion minVersion = 1, std::uint32_t maxAttempts = 3, const batch::RewardCall& reward = {}, int items = 1, bool isSingleVersion = false, std::uint64_t tokens = 400)
    {
        batch::JobSpec job;
        job.id = jobId;
        job.host = "host";
        job.model = model;
        job.minVersion = minVersion;
        job.maxAttempts = maxAttempts;
        job.retentionMs = 60'000;
        job.isSingleVersion = isSingleVersion;
        for (int item = 0; item < items; ++item)
            job.items.push_back({ batch::ItemId(item == 0 ? "item" : "item" + std::to_string(item)), "/items/1", {}, "body", GroupId("g"), 10, tokens, reward });
        apply(registry::AcceptJob { job });
    }

    /// Waits for a result of the job and returns it if it is the only one.
    std::optional<batch::ItemResult> result()
    {
        static_cast<void>(runUntil([&] { return !machine.jobs().find(jobId)->results.empty(); }));
        const auto& results = machine.jobs().find(jobId)->results;
        return results.size() == 1 ? std::optional(machine.jobs().load(results.front())) : std::nullopt;
    }
};

std::string expectedOutput(std::string_view eventText = "event")
{
    std::string text;
    for (std::uint64_t number = 1; number <= eventsOfItem; ++number)
        text += (number == 1 ? "" : "\n") + fmt::format("{} {}", eventText, number);
    return text;
}

}

// Guards against a prompt that an endpoint processed and that is not expected there, and against one that is expected there
// after a restart.
Test(JobRunner, promptsShareAPart_itIsCountedAsHeldUntilRestart)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Completes);
    const auto run = [&](const std::string& name, std::uint64_t ownPart) {
        batch::JobSpec job;
        job.id = batch::JobId(name);
        job.host = "host";
        job.model = model;
        job.retentionMs = 60'000;
        job.items = { { batch::ItemId(name), "/items/1", {}, "body", GroupId("g"), 10, 400, {}, { { 1, 1000 }, { ownPart, 20 } } } };
        fixture.apply(registry::AcceptJob { job });
        cr_assert(fixture.runUntil([&] { return !fixture.machine.jobs().find(job.id)->results.empty(); }));
    };
    metrics::Counter& held = fixture.metrics.counter("items_prompt_tokens_held_total");
    run("first", 2);
    cr_assert(held.value() == 0);
    run("second", 3);
    cr_assert(held.value() == 1000);
    cr_assert(fixture.metrics.counter("items_prompt_tokens_total").value() == 2 * 1020);
    registry::EndpointRecord restarted = *fixture.machine.directory().find(endpoint.id);
    restarted.startedMs = 2;
    fixture.apply(registry::SetEndpoint { restarted });
    cr_assert(fixture.liveness.recordHeartbeat(registry::EndpointHeartbeat { restarted, 1 }.status(), fixture.clock.now()));
    run("third", 4);
    cr_assert(held.value() == 1000, "what the endpoint held before its restart is expected there");
}

// Guards against items that wait without end for the first item of their group, which their endpoint refuses to begin.
Test(JobRunner, firstItemOfGroupIsRefused_othersDoNotWaitForIt)
{
    RunnerFixture fixture;
    Endpoint& endpoint = fixture.add("a", Behaviour::RefusesItems);
    batch::JobSpec job;
    job.id = jobId;
    job.host = "host";
    job.model = model;
    job.retentionMs = 60'000;
    for (std::uint64_t item = 0; item < 8; ++item)
        job.items.push_back({ batch::ItemId(std::to_string(item)), "/items/1", {}, "body", GroupId("g"), 10, 400, {}, { { 1, 1000 }, { 2 + item, 20 } } });
    fixture.apply(registry::AcceptJob { job });
    cr_assert(fixture.runUntil([&] { return endpoint.resumePositions.size() >= 3; }));
    endpoint.behaviour = Behaviour::Completes;
    cr_assert(fixture.runUntil([&] { return fixture.machine.jobs().find(jobId)->results.size() == 8; }));
}

// Guards against a text with a missing or duplicate event at the point where an item resumes at another endpoint.
Test(JobRunner, connectionEndsMidway_itemContinuesElsewhere_textIsComplete)
{
    RunnerFixture fixture;
    const Endpoint& aborting = fixture.add("a", Behaviour::AbortsAfterThree);
    fixture.submit();
    cr_assert(fixture.runUntil([&] { return aborting.resumePositions.size() >= 2; }));
    const Endpoint& healthy = fixture.add("b", Behaviour::Completes);
    const auto result = fixture.result();
    cr_assert(result && result->state == batch::ResultState::Completed);
    cr_assert(result->output == expectedOutput());
    cr_assert(result->versions == std::vector<WeightVersion> { 1 });
    cr_assert(healthy.resumePositions == std::vector<std::uint64_t> { 3 });
}

// Guards against the error of the endpoint at which an item resumes in the middle of the item's text.
Test(JobRunner, connectionEndsMidway_nextEndpointFails_textHasNoErrorInIt)
{
    RunnerFixture fixture;
    Endpoint& endpoint = fixture.add("a", Behaviour::AbortsAfterThree);
    fixture.submit(1, 9);
    cr_assert(fixture.runUntil([&] { return endpoint.resumePositions.size() == 1; }));
    endpoint.behaviour = Behaviour::FailsWithEvents;
    cr_assert(fixture.runUntil([&] { return endpoint.resumePositions.size() >= 3; }));
    endpoint.behaviour = Behaviour::Completes;
    const auto result = fixture.result();
    cr_assert(result && result->output == expectedOutput());
    cr_assert(endpoint.resumePositions.back() == 3);
}

// Guards against items that are sent to an endpoint beyond the limit that it names.
Test(JobRunner, endpointNamesLimit_itemsWaitForPermits)
{
    RunnerFixture fixture;
    const Endpoint& limited = fixture.add("a", Behaviour::CompletesWithLimit);
    fixture.submit(1, 3, {}, 20);
    cr_assert(fixture.runUntil([&] { return !limited.resumePositions.empty(); }));
    static_cast<void>(fixture.runUntil([] { return false; }, 4s));
    // The first 4 were sent to the 4 slots before an answer named the limit.
    cr_assert(limited.resumePositions.size() >= 4 + 6 && limited.resumePositions.size() <= 4 + 9, "%zu items were sent", limited.resumePositions.size());
    fixture.add("b", Behaviour::Completes);
    cr_assert(fixture.runUntil([&] { return fixture.machine.jobs().find(jobId)->results.size() == 20; }));
    cr_assert(limited.resumePositions.size() <= 4 + 13, "the items did not go to the endpoint without a limit");
}

// Guards against an item that remains at an endpoint which has stopped sending events.
Test(JobRunner, endpointStopsSending_itemContinuesElsewhere)
{
    RunnerFixture fixture;
    const Endpoint& silent = fixture.add("a", Behaviour::SilentAfterThree);
    fixture.submit();
    cr_assert(fixture.runUntil([&] { return !silent.resumePositions.empty(); }));
    const Endpoint& healthy = fixture.add("b", Behaviour::Completes);
    const auto result = fixture.result();
    cr_assert(result && result->output == expectedOutput());
    cr_assert(healthy.resumePositions == std::vector<std::uint64_t> { 3 });
}

// Guards against an item that is treated as silent because its endpoint sends no events while it loads weights.
Test(JobRunner, endpointLoads_itemCountsAsSilentOnlyAfterwards)
{
    RunnerFixture fixture;
    const Endpoint& silent = fixture.add("a", Behaviour::SilentAfterThree);
    fixture.submit();
    cr_assert(fixture.runUntil([&] { return silent.unfinishedExchange != nullptr; }));
    fixture.runner.setLoading(silent.id, model, true);
    static_cast<void>(fixture.runUntil([] { return false; }, 1s));
    fixture.runner.setLoading(silent.id, model, false);
    static_cast<void>(fixture.runUntil([] { return false; }, 500ms));
    metrics::Counter& repeated = fixture.metrics.counter("items_repeated_total");
    cr_assert(repeated.value() == 0);
    cr_assert(fixture.runUntil([&] { return repeated.value() == 1; }));
}

// Guards against an item that is only retried at a full endpoint, and against a refusal counted as a failed attempt.
Test(JobRunner, endpointFull_itemRunsElsewhere)
{
    RunnerFixture fixture;
    fixture.add("a", Behaviour::RefusesItems);
    fixture.submit(1, 1);
    static_cast<void>(fixture.runUntil([&] { return fixture.endpoints[0]->resumePositions.size() >= 3; }));
    fixture.add("b", Behaviour::Completes);
    const auto result = fixture.result();
    cr_assert(result && result->state == batch::ResultState::Completed);
}

// Guards against an item that fails in each run and is retried without limit.
Test(JobRunner, itemFailsAtEachRun_isAbandonedAfterMaxAttempts)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Fails);
    fixture.submit(1, 3);
    const auto result = fixture.result();
    cr_assert(result && result->state == batch::ResultState::Abandoned);
    cr_assert(endpoint.resumePositions.size() == 3);
}

// Guards against a new leader that resets the attempt count of a failing item.
Test(JobRunner, itemFailsAtEachRun_leadershipChanges_attemptCountIsKept)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Fails);
    fixture.submit(1, 4);
    for (unsigned failures = 1; failures <= 3; ++failures) {
        cr_assert(fixture.runUntil([&] { return fixture.machine.jobs().failuresOf(jobId, batch::ItemId("item")).runs == failures; }));
        fixture.runner.onLeadership(false);
        fixture.runner.onLeadership(true);
    }
    const auto result = fixture.result();
    cr_assert(result && result->state == batch::ResultState::Abandoned);
    cr_assert(endpoint.resumePositions.size() == 4);
}

// Guards against a valid item that is never placed again because several endpoints crashed while running it.
Test(JobRunner, endpointsCrashDuringItem_healthyEndpointAdded_itemIsCompleted)
{
    RunnerFixture fixture;
    constexpr unsigned crashes = 8;
    for (unsigned number = 0; number < crashes; ++number)
        fixture.add(fmt::format("crashing {}", number), Behaviour::Crashes);
    fixture.submit(1, 1);
    cr_assert(fixture.runUntil([&] { return std::all_of(fixture.endpoints.begin(), fixture.endpoints.end(), [](const auto& endpoint) { return endpoint->resumePositions.size() == 1; }); }));
    fixture.add("calm", Behaviour::Completes);
    const auto result = fixture.result();
    cr_assert(result && result->state == batch::ResultState::Completed);
    cr_assert(result->output == expectedOutput());
}

// Guards against a sample whose beginning and end were generated by different software of the endpoints.
Test(JobRunner, connectionEndsMidway_onlyOtherSoftwareRemains_textIsGeneratedAgain)
{
    RunnerFixture fixture;
    const Endpoint& aborting = fixture.addWithSoftware("a", Behaviour::AbortsAfterThree, "v1");
    fixture.submit();
    cr_assert(fixture.runUntil([&] { return aborting.resumePositions.size() >= 2; }));
    const Endpoint& other = fixture.addWithSoftware("b", Behaviour::Completes, "v2");
    fixture.deregister(aborting);
    const auto result = fixture.result();
    cr_assert(result && result->output == expectedOutput("v2"));
    cr_assert(other.resumePositions == std::vector<std::uint64_t> { 0 });
}

// Guards against an item of a single-version job that waits for weights which no endpoint holds any more, or that is sent
// to other weights again and again with a text that they cannot continue.
Test(JobRunner, weightsOfBegunItemAreGone_singleVersionJob_textIsGeneratedAgain)
{
    RunnerFixture fixture;
    const Endpoint& aborting = fixture.add("a", Behaviour::AbortsAfterThree, 1);
    fixture.submit(1, 3, {}, 1, true);
    cr_assert(fixture.runUntil([&] { return aborting.resumePositions.size() >= 2; }));
    const Endpoint& newer = fixture.add("b", Behaviour::Completes, 2);
    fixture.deregister(aborting);
    const auto result = fixture.result();
    cr_assert(result && result->output == expectedOutput());
    cr_assert(result->versions == std::vector<WeightVersion> { 2 });
    cr_assert(newer.resumePositions == std::vector<std::uint64_t> { 0 });
}

// Guards against output that is discarded although an endpoint with the software that generated it can continue it.
Test(JobRunner, connectionEndsMidway_bothSoftwareVersionsServe_itemContinuesOnItsOwn)
{
    RunnerFixture fixture;
    Endpoint& aborting = fixture.addWithSoftware("a", Behaviour::AbortsAfterThree, "v1");
    fixture.submit();
    cr_assert(fixture.runUntil([&] { return !aborting.resumePositions.empty(); }));
    const Endpoint& other = fixture.addWithSoftware("b", Behaviour::Completes, "v2");
    const Endpoint& same = fixture.addWithSoftware("c", Behaviour::Completes, "v1");
    fixture.deregister(aborting);
    const auto result = fixture.result();
    cr_assert(result && result->output == expectedOutput("v1"));
    cr_assert(other.resumePositions.empty());
    cr_assert(same.resumePositions == std::vector<std::uint64_t> { 3 });
}

// Guards against an item that is abandoned because endpoints of the reward service crashed during its call.
Test(JobRunner, rewardServiceCrashesDuringCall_healthyEndpointAdded_itemIsScored)
{
    RunnerFixture fixture;
    for (unsigned number = 0; number < 6; ++number)
        fixture.add(fmt::format("crashing {}", number), Behaviour::Crashes, 1, rewardService);
    fixture.add("a", Behaviour::Completes);
    fixture.submit(1, 1, scoreCall);
    cr_assert(fixture.runUntil([&] { return std::all_of(fixture.endpoints.begin(), fixture.endpoints.end() - 1, [](const auto& endpoint) { return endpoint->rewardCalls.size() == 1; }); }));
    fixture.add("calm", Behaviour::Scores, 1, rewardService);
    const auto result = fixture.result();
    cr_assert(result && result->score == "score of r");
}

// Guards against repeated runs of an item that no endpoint can process (status 422).
Test(JobRunner, itemUnprocessable_isAbandonedImmediately)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Unprocessable);
    fixture.submit(1, 3);
    const auto result = fixture.result();
    cr_assert(result && result->state == batch::ResultState::Abandoned);
    cr_assert(endpoint.resumePositions.size() == 1);
}

// Guards against tokens from weights older than the job allows, when the directory records a newer version for the
// endpoint than it holds.
Test(JobRunner, endpointHasOlderWeightsThanRecorded_itsTokensAreNotUsed)
{
    RunnerFixture fixture;
    Endpoint& endpoint = fixture.add("a", Behaviour::Completes, 2);
    endpoint.version = 1;
    fixture.submit(2);
    cr_assert(fixture.runUntil([&] { return !endpoint.resumePositions.empty(); }));
    fixture.add("b", Behaviour::Completes, 2);
    const auto result = fixture.result();
    cr_assert(result && result->versions == std::vector<WeightVersion> { 2 });
}

// Guards against items that continue to run after their submitter has ended the job.
Test(JobRunner, jobEnded_itemIsStopped)
{
    RunnerFixture fixture;
    const Endpoint& silent = fixture.add("a", Behaviour::SilentAfterThree);
    fixture.submit();
    cr_assert(fixture.runUntil([&] { return silent.unfinishedExchange != nullptr; }));
    fixture.apply(registry::EndJob { jobId });
    cr_assert(fixture.runUntil([&] { return !silent.unfinishedExchange->isOpen(); }));
    cr_assert(fixture.machine.jobs().find(jobId)->results.empty());
}

// Guards against an item that stays at an endpoint which announced that it leaves, until its connection is cut. Items with
// less than half a second of work stay, because they end before the endpoint leaves.
Test(JobRunner, endpointAnnouncesThatItLeaves_itsItemIsMoved)
{
    RunnerFixture fixture;
    const Endpoint& leaving = fixture.add("a", Behaviour::SilentAfterThree);
    constexpr std::uint64_t longItemTokens = 4000;
    fixture.submit(1, 3, {}, 1, false, longItemTokens);
    cr_assert(fixture.runUntil([&] { return fixture.runner.pendingItems().size() == 1 && fixture.runner.pendingItems().front().endpoint == leaving.id; }));
    const Endpoint& other = fixture.add("b", Behaviour::Completes);
    registry::EndpointRecord record = *fixture.machine.directory().find(leaving.id);
    record.state = registry::EndpointState::Draining;
    fixture.apply(registry::SetEndpoint { record });
    const auto result = fixture.result();
    cr_assert(result && result->output == expectedOutput());
    cr_assert(other.resumePositions.size() == 1);
    cr_assert(leaving.resumePositions.size() == 1);
    cr_assert(fixture.metrics.counter("items_moved_total").value() == 1);
}

// Guards against items that wait without limit because the version they need is never ordered.
Test(WeightLoader, versionPublished_isOrderedOnceAndItemsRunUnderIt)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Completes);
    fixture.submit(2);
    fixture.apply(registry::PublishVersion { model, 2 });
    const auto result = fixture.result();
    cr_assert(result && result->versions == std::vector<WeightVersion> { 2 });
    cr_assert(endpoint.orderCount == 1);
}

// Guards against items that wait after a change of the leader until each endpoint has sent a heartbeat, because the next
// leader does not know which endpoints hold the weights.
Test(WeightLoader, leadershipChangesAfterLoad_itemRunsBeforeNextHeartbeat)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Completes);
    fixture.apply(registry::PublishVersion { model, 2 });
    cr_assert(fixture.runUntil([&] { return fixture.machine.directory().find(endpoint.id)->versionOf(model) == 2; }));
    fixture.setLeading(false);
    fixture.runner.onLeadership(false);
    fixture.liveness.clear();
    fixture.liveness.startTracking(fixture.machine.directory(), fixture.clock.now());
    fixture.runner.onLeadership(true);
    fixture.submit(2);
    const auto result = fixture.result();
    cr_assert(result && result->versions == std::vector<WeightVersion> { 2 });
}

// Guards against orders outside the recorded window, whose age a successor could not determine: orders are sent only
// while the window is recorded as open, and the window is closed once they are answered.
Test(WeightLoader, ordersAnswered_windowIsClosed)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Completes);
    fixture.apply(registry::PublishVersion { model, 2 });
    cr_assert(fixture.runUntil([&] { return fixture.machine.orders().isOpen; }));
    cr_assert(fixture.runUntil([&] { return endpoint.orderCount == 1; }));
    cr_assert(fixture.runUntil([&] { return !fixture.machine.orders().isOpen; }));
}

// Guards against a new leader that sends orders while orders of the earlier leader may still be in flight.
Test(WeightLoader, earlierHolderWasSending_firstOrderWaitsForItsLease)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Completes);
    fixture.apply(registry::ClaimOrders { "other", fixture.group.status().term - 1 });
    fixture.apply(registry::SetOrderWindow { fixture.group.status().term - 1, true });
    const TimePoint begin = fixture.clock.now();
    fixture.setLeading(true);
    fixture.apply(registry::PublishVersion { model, 2 });
    cr_assert(fixture.runUntil([&] { return endpoint.orderCount == 1; }));
    cr_assert(fixture.clock.now() - begin >= 200ms);
    cr_assert(fixture.machine.orders().holder.instance == "store");
}

// Guards against a scored item that is recorded without its score, or whose reward call is altered before it is sent.
Test(JobRunner, itemNeedsScore_isRecordedWithIt)
{
    RunnerFixture fixture;
    const Endpoint& scorer = fixture.add("s", Behaviour::Scores, 1, rewardService);
    fixture.add("a", Behaviour::Completes);
    fixture.submit(1, 3, scoreCall);
    const auto result = fixture.result();
    cr_assert(result && result->state == batch::ResultState::Completed);
    cr_assert(result->output == expectedOutput());
    cr_assert(result->score == "score of r");
    cr_assert(scorer.rewardCalls == (std::vector<std::pair<std::string, std::string>> { { "r", "reward body" } }));
}

// Guards against an item that is abandoned before its reward call has failed as often as allowed, or that is never
// abandoned.
Test(JobRunner, rewardCallAlwaysFails_itemIsAbandonedAfterMaxAttempts)
{
    RunnerFixture fixture;
    const Endpoint& scorer = fixture.add("s", Behaviour::Fails, 1, rewardService);
    const Endpoint& endpoint = fixture.add("a", Behaviour::Completes);
    fixture.submit(1, 3, scoreCall);
    const auto result = fixture.result();
    cr_assert(result && result->state == batch::ResultState::Abandoned);
    cr_assert(scorer.rewardCalls.size() == 3);
    cr_assert(endpoint.resumePositions.size() == 1, "the text was generated again");
}

// Guards against a successful response without a score that is recorded as a result, or that leads to abandoning the
// item.
Test(JobRunner, rewardServiceAnswersWithoutScore_callIsRepeated)
{
    RunnerFixture fixture;
    Endpoint& scorer = fixture.add("s", Behaviour::AnswersWithoutScore, 1, rewardService);
    fixture.add("a", Behaviour::Completes);
    fixture.submit(1, 1, scoreCall);
    cr_assert(fixture.runUntil([&] { return scorer.rewardCalls.size() >= 4; }));
    cr_assert(fixture.machine.jobs().find(jobId)->results.empty());
    scorer.behaviour = Behaviour::Scores;
    cr_assert(fixture.result()->score == "score of r");
}

// Guards against a new leader that generates a complete text again because its score was still outstanding.
Test(JobRunner, leadershipChangesBeforeScore_textIsNotGeneratedAgain)
{
    RunnerFixture fixture;
    const Endpoint& endpoint = fixture.add("a", Behaviour::Completes);
    fixture.submit(1, 3, scoreCall);
    cr_assert(fixture.runUntil([&] { return fixture.machine.texts().isComplete(batch::ItemId("item")); }));
    fixture.runner.onLeadership(false);
    fixture.runner.onLeadership(true);
    fixture.add("s", Behaviour::Scores, 1, rewardService);
    const auto result = fixture.result();
    cr_assert(result && result->output == expectedOutput() && result->score == "score of r");
    cr_assert(endpoint.resumePositions.size() == 1);
}

// Guards against a reward call that continues after its job has ended.
Test(JobRunner, jobEndedDuringRewardCall_callIsStopped)
{
    RunnerFixture fixture;
    const Endpoint& scorer = fixture.add("s", Behaviour::SilentAfterThree, 1, rewardService);
    fixture.add("a", Behaviour::Completes);
    fixture.submit(1, 3, scoreCall);
    cr_assert(fixture.runUntil([&] { return scorer.unfinishedExchange != nullptr; }));
    fixture.apply(registry::EndJob { jobId });
    cr_assert(fixture.runUntil([&] { return !scorer.unfinishedExchange->isOpen(); }));
    static_cast<void>(fixture.runUntil([] { return false; }, 300ms));
    cr_assert(scorer.rewardCalls.size() == 1);
    cr_assert(fixture.machine.jobs().find(jobId)->results.empty());
}

// Guards against sending new items to an endpoint whose response reported that it is draining.
Test(JobRunner, responseReportsDraining_nextItemRunsElsewhere)
{
    RunnerFixture fixture;
    const Endpoint& leaving = fixture.add("a", Behaviour::CompletesWhileDraining);
    fixture.submit();
    cr_assert(fixture.result());
    const Endpoint& other = fixture.add("b", Behaviour::Completes);
    batch::JobSpec next = fixture.machine.jobs().find(jobId)->spec;
    next.id = batch::JobId("next");
    next.items.front().id = batch::ItemId("other item");
    fixture.apply(registry::AcceptJob { next });
    cr_assert(fixture.runUntil([&] { return !fixture.machine.jobs().find(next.id)->results.empty(); }));
    cr_assert(leaving.resumePositions.size() == 1);
    cr_assert(other.resumePositions.size() == 1);
}

// Guards against a result that joins the recorded text of an earlier job, generated by weights too old for the later
// job, with the score of the text that replaced it.
Test(JobRunner, recordedTextTooOldForLaterJob_newTextIsRecorded)
{
    RunnerFixture fixture;
    Endpoint& endpoint = fixture.add("a", Behaviour::Completes);
    fixture.submit(1, 3, scoreCall);
    cr_assert(fixture.runUntil([&] { return fixture.machine.texts().isComplete(batch::ItemId("item")); }));
    fixture.apply(registry::EndJob { jobId });
    endpoint.version = 2;
    fixture.liveness.recordVersion(endpoint.id, model, 2);
    fixture.add("s", Behaviour::Scores, 1, rewardService);
    batch::JobSpec next = fixture.machine.jobs().find(jobId)->spec;
    next.id = batch::JobId("next");
    next.minVersion = 2;
    next.items.front().reward = scoreCall;
    fixture.apply(registry::AcceptJob { next });
    cr_assert(fixture.runUntil([&] { return !fixture.machine.jobs().find(next.id)->results.empty(); }));
    const auto result = fixture.machine.jobs().load(fixture.machine.jobs().find(next.id)->results.front());
    cr_assert(result.versions == std::vector<WeightVersion> { 2 });
    cr_assert(endpoint.resumePositions.size() == 2);
}
