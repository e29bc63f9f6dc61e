#include "azurepaddle/pipeline/run_service.hpp"

#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/pipeline/trainer_format.hpp"

#include <algorithm>
#include <thread>

namespace azurepaddle::pipeline {

namespace {

    constexpr Duration ownerRetryDelay = std::chrono::milliseconds(100);
    constexpr Duration forwardMargin = std::chrono::milliseconds(200);

    /// The reply of the owning instance to a forwarded call.
    struct ForwardReply {
        std::uint8_t code = 0; ///< 0 on success, otherwise 1 + PipelineErrorCode.
        std::uint8_t outcome = 0;
        std::int64_t retryMs = 0;
        std::string text; ///< The reply's JSON text, or the error message.
        bool isOwner = true;
        MSGPACK_DEFINE(code, outcome, retryMs, text, isOwner)
    };

    ForwardReply toForwardReply(const PipelineResult<std::string>& result)
    {
        if (result)
            return { 0, 0, 0, *result, true };
        const auto& error = result.error();
        const auto retryMs = std::chrono::ceil<std::chrono::milliseconds>(error.retryAfter()).count();
        return { static_cast<std::uint8_t>(1 + static_cast<unsigned>(error.code())), static_cast<std::uint8_t>(error.outcome()), retryMs, error.message(), true };
    }

    PipelineResult<std::string> toResult(const ForwardReply& reply)
    {
        if (reply.code == 0)
            return reply.text;
        const auto code = static_cast<PipelineErrorCode>(std::min<unsigned>(reply.code - 1U, static_cast<unsigned>(PipelineErrorCode::ControlUnavailable)));
        const auto outcome = static_cast<Outcome>(std::min<unsigned>(reply.outcome, static_cast<unsigned>(Outcome::Failed)));
        return fail(code, outcome, reply.text, std::chrono::milliseconds(reply.retryMs));
    }

}

RunService::RunService(RunDependencies dependencies, std::string self, std::map<std::string, InstanceAddress> peers, transport::PeerClient& client)
    : m_dependencies(std::move(dependencies))
    , m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_client(client)
{
}

void RunService::registerHandlers(transport::PeerServer& server)
{
    server.handle(
        "run",
        [this](const transport::PeerRequest& request) -> transport::PeerReply {
            const auto call = codec::decode<TrainerCall>(request.body);
            if (!call)
                return tl::unexpected(call.error().message());
            const auto worker = localWorker(call->run);
            if (!worker)
                return codec::encode(ForwardReply { 0, 0, 0, {}, false });
            return codec::encode(toForwardReply(serve(*worker, *call, request.deadline)));
        },
        { 64, 1024 });
}

PipelineResult<void> RunService::authorize(const std::string& token, const RunName& run) const
{
    const auto configuration = m_dependencies.configuration.current();
    if (!configuration)
        return refuse(PipelineErrorCode::ControlUnavailable, "this instance has no configuration yet", std::chrono::seconds(1));
    const TenantName* tenant = configuration->tenantByTokenDigest(sha256Hex(token));
    if (!tenant)
        return refuse(PipelineErrorCode::Unauthenticated, "the bearer token is missing or unknown");
    const auto* configured = configuration->run(run);
    if (!configured)
        return refuse(PipelineErrorCode::NotFound, fmt::format("run \"{}\" is not configured", run));
    if (configured->tenant != tenant->value())
        return refuse(PipelineErrorCode::Forbidden, fmt::format("run \"{}\" belongs to another tenant", run));
    return {};
}

std::shared_ptr<RunWorker> RunService::localWorker(const RunName& run)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_owners.find(run);
    if (found == m_owners.end() || !found->second.worker)
        return nullptr;
    if (found->second.worker->isOwner())
        return found->second.worker;
    found->second = {};
    return nullptr;
}

void RunService::setOwner(const RunName& run, const std::string& instance)
{
    const std::lock_guard lock(m_mutex);
    m_owners[run].instance = instance;
}

std::string RunService::ownerOf(const RunName& run)
{
    const std::lock_guard lock(m_mutex);
    return m_owners[run].instance;
}

PipelineResult<std::string> RunService::handle(const TrainerCall& call, TimePoint deadline)
{
    PipelineResult<std::string> lastError = refuse(PipelineErrorCode::ControlUnavailable, "the owner of the run could not be reached in time", ownerRetryDelay);
    while (m_dependencies.clock.now() + forwardMargin < deadline) {
        if (const auto worker = localWorker(call.run))
            return serve(*worker, call, deadline);
        std::string owner = ownerOf(call.run);
        if (owner.empty() || owner == m_self) {
            const auto acquired = acquire(call.run, deadline);
            if (!acquired)
                return tl::unexpected(acquired.error());
            owner = *acquired;
            setOwner(call.run, owner);
            if (owner == m_self)
                continue;
        }
        auto result = forward(owner, call, deadline);
        if (result || result.error().outcome() != Outcome::NotRun || result.error().code() != PipelineErrorCode::ControlUnavailable)
            return result;
        lastError = std::move(result);
        setOwner(call.run, {});
        std::this_thread::sleep_for(ownerRetryDelay);
    }
    return lastError;
}

/// Tries to acquire the lease of the run. Returns the name of the owner, which is this instance on success.
PipelineResult<std::string> RunService::acquire(const RunName& run, TimePoint deadline)
{
    std::shared_ptr<std::mutex> acquireMutex;
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasReleasedRuns)
            return refuse(PipelineErrorCode::Draining, "this instance is shutting down", ownerRetryDelay);
        auto& entry = m_acquireMutexes[run];
        if (!entry)
            entry = std::make_shared<std::mutex>();
        acquireMutex = entry;
    }
    const std::lock_guard acquireLock(*acquireMutex);
    if (localWorker(run))
        return m_self;
    const TimePoint requestedAt = m_dependencies.clock.now();
    const control::AcquireRun request { run, m_dependencies.control.self, std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.lease).count() };
    const auto reply = submitFor<control::RunReply>(m_dependencies.control, request, deadline);
    if (!reply)
        return refuse(reply.error().code(), reply.error().message(), ownerRetryDelay);
    if (reply->status == control::RunStatus::Held)
        return reply->owner.instance.value();
    if (reply->status != control::RunStatus::Granted)
        return refuse(PipelineErrorCode::Overloaded, "the run could not be taken over: " + reply->detail, ownerRetryDelay);
    const auto record = m_dependencies.readRun(run, deadline);
    if (!record)
        return refuse(record.error().code(), record.error().message(), ownerRetryDelay);
    const std::lock_guard lock(m_mutex);
    if (record->epoch == reply->epoch)
        m_owners[run] = { std::make_shared<RunWorker>(m_dependencies, run, *record, requestedAt), m_self };
    return m_self;
}

PipelineResult<std::string> RunService::forward(const std::string& owner, const TrainerCall& call, TimePoint deadline)
{
    const auto peer = m_peers.find(owner);
    if (peer == m_peers.end())
        return refuse(PipelineErrorCode::ControlUnavailable, fmt::format("the owner {} of the run is not among the seeds", owner), ownerRetryDelay);
    const auto response = m_client.call(peer->second, "run", codec::encode(call), deadline);
    if (!response) {
        const Outcome outcome = response.error().outcome();
        return fail(PipelineErrorCode::ControlUnavailable, outcome, fmt::format("the owner {} of the run: {}", owner, response.error().message()), ownerRetryDelay);
    }
    const auto reply = codec::decode<ForwardReply>(*response);
    if (!reply)
        return fail(PipelineErrorCode::ControlUnavailable, Outcome::Unknown, reply.error().message(), ownerRetryDelay);
    if (!reply->isOwner)
        return refuse(PipelineErrorCode::ControlUnavailable, fmt::format("{} does not own the run any more", owner), ownerRetryDelay);
    return toResult(*reply);
}

PipelineResult<std::string> RunService::serve(RunWorker& worker, const TrainerCall& call, TimePoint deadline) const
{
    switch (call.kind) {
    case TrainerCallKind::Groups: {
        const auto groups = parseGroups(call.body);
        if (!groups)
            return tl::unexpected(groups.error());
        return worker.submitGroups(*groups, deadline).map([] { return std::string("{}"); });
    }
    case TrainerCallKind::Version: {
        const auto version = parseVersion(call.body);
        if (!version)
            return tl::unexpected(version.error());
        return worker.setVersion(version->version, deadline).map([] { return std::string("{}"); });
    }
    case TrainerCallKind::Reset: {
        const auto reset = parseReset(call.body);
        if (!reset)
            return tl::unexpected(reset.error());
        return worker.reset(reset->heldCursor, reset->version, reset->step, deadline).map([](control::Sequence cursor) { return fmt::format(R"({{"cursor":{}}})", cursor); });
    }
    case TrainerCallKind::Pull:
        break;
    }
    const auto pull = parsePull(call.body);
    if (!pull)
        return tl::unexpected(pull.error());
    const TimePoint waitUntil = std::min(deadline - forwardMargin, m_dependencies.clock.now() + pull->maxWait);
    const auto reply = worker.pull(pull->request, waitUntil, deadline);
    if (!reply)
        return tl::unexpected(reply.error());
    return formatPullReply(*reply);
}

void RunService::tick()
{
    std::vector<std::shared_ptr<RunWorker>> workers;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [run, owner] : m_owners) {
            if (owner.worker)
                workers.push_back(owner.worker);
        }
    }
    for (const auto& worker : workers)
        worker->tick();
}

void RunService::releaseRuns()
{
    std::vector<std::shared_ptr<RunWorker>> workers;
    {
        const std::lock_guard lock(m_mutex);
        m_hasReleasedRuns = true;
        for (auto& [run, owner] : m_owners) {
            if (owner.worker)
                workers.push_back(owner.worker);
        }
    }
    for (const auto& worker : workers)
        worker->release();
}

std::vector<RunView> RunService::views() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RunView> views;
    for (const auto& [run, owner] : m_owners) {
        if (owner.worker && owner.worker->isOwner())
            views.push_back(owner.worker->view());
    }
    return views;
}

std::size_t RunService::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t pulls = 0;
    for (const auto& [run, owner] : m_owners)
        pulls += owner.worker ? owner.worker->inProgress() : 0;
    return pulls;
}

}
