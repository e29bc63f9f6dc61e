#pragma once

#include "azurepaddle/batch/placement.hpp"
#include "azurepaddle/batch/prefix_cache.hpp"
#include "azurepaddle/batch/score_plan.hpp"
#include "azurepaddle/execution/item_text.hpp"
#include "azurepaddle/execution/pending_item.hpp"
#include "azurepaddle/execution/protocol.hpp"
#include "azurepaddle/execution/speed_meter.hpp"
#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/registry/leader_service.hpp"

#include <memory>
#include <unordered_map>

namespace azurepaddle::execution {

namespace internal {

    // Assumed output length of an item without an estimate.
    constexpr std::uint64_t defaultExpectedTokens = 1000;
    // Assumed number of tokens per event. The real number is not known in advance; this one suffices to compare items.
    constexpr std::uint64_t tokensPerEvent = 56;
    // Delay before an item or a proposal that failed is retried.
    constexpr Duration retryDelay = std::chrono::milliseconds(30);

}

/// Runs the items of all open jobs while this instance is the leader: sends them to endpoints, resumes them at another
/// endpoint when one fails or slows down, requests scores for their texts where a job requires it, and records their
/// results. State beyond the replicated state is lost with the leadership; the next leader runs items without a
/// recorded result again.
template <typename Protocol>
class JobRunner {
public:
    /// Reward calls are sent through the forwarder, which selects endpoints with this balancer. The limiter must decide
    /// about a permit before `acquire` returns.
    JobRunner(asio::io_context& io, http1::ClientPool& pool, registry::ServiceGroup& group, const registry::StateMachine& machine, registry::Liveness& liveness, gateway::Forwarder<Protocol>& forwarder, gateway::Balancer& balancer, gateway::SendLimiter& limiter, metrics::Registry& metrics);

    /// Sets the function called with the job after results were appended to it.
    void setOnResultsRecorded(std::function<void(const batch::JobId&)> onResultsRecorded) { m_onResultsRecorded = std::move(onResultsRecorded); }
    /// Replaces the routes that map items and reward calls to services.
    void setRoutes(std::shared_ptr<const gateway::RouteTable> routes);
    void onLeadership(bool isLeading);
    /// Adds new jobs, removes ended ones, and starts the items and reward calls for which there is capacity.
    void update();
    /// Records partial texts, abandons expired items, moves items away from silent and slow endpoints, evicts unused
    /// texts and what is known of removed endpoints, and calls `update`.
    void tick();

    /// Returns the number of items of a model that run at an endpoint.
    [[nodiscard]] std::uint32_t running(const EndpointId& endpoint, const batch::ModelName& model) const;
    /// Whether any item of a model is waiting for a slot.
    [[nodiscard]] bool areItemsWaiting(const batch::ModelName& model) const;
    /// Returns the items that wait or run.
    [[nodiscard]] std::vector<PendingItem> pendingItems() const;
    /// Sets whether an endpoint is loading weights of a model, which pauses the items of that model there.
    void setLoading(const EndpointId& endpoint, const batch::ModelName& model, bool isLoading);
    /// Moves the items of a model to other endpoints. Returns false if they do not fit there.
    [[nodiscard]] bool evacuate(const EndpointId& endpoint, const batch::ModelName& model);

private:
    enum class Stage : std::uint8_t {
        Waiting,
        Running,
        Scoring, ///< The text is complete and the score is outstanding.
        Recording, ///< The result is being proposed to the replicated log.
    };

    enum class Slowness : std::uint8_t {
        Current, ///< Much slower than others at the moment, or draining.
        Lasting, ///< Slower than others, without a slowdown.
    };

    /// One item of an open job.
    struct Run {
        batch::JobId job;
        batch::ItemId item;
        std::string host;
        WorkspaceName workspace;
        batch::ModelName model;
        WeightVersion minVersion = 0;
        bool isSingleVersion = false;
        bool isCarriedOver = false;
        std::uint64_t longTokensThreshold = 0; ///< Items of the job with at least this output length count as long.
        bool isLong = false; ///< According to the estimate of the submitter, or to the output generated so far.
        std::uint32_t maxAttempts = 1;
        Duration retention {};
        Stage stage = Stage::Waiting;
        std::uint64_t number = 0; ///< Identifies the current run or scoring; callbacks of earlier ones are ignored.
        EndpointId endpoint;
        http1::ClientCallPointer call;
        std::shared_ptr<http1::EventStreamParser> parser;
        unsigned status = 0; ///< Status of the response in progress.
        gateway::AnswerClass answerClass = gateway::AnswerClass::Answer;
        WeightVersion version = 0; ///< Weight version of the events being received.
        TimePoint acceptedAt;
        TimePoint startedAt;
        TimePoint lastEventAt;
        TimePoint notBefore;
        TimePoint waitingSince; ///< Time of its acceptance, or of the end of its last run.
        unsigned eventsFromEndpoint = 0; ///< Number of events received from the current endpoint.
        batch::ItemFailures failures; ///< Counted under this leader and earlier ones.
        std::shared_ptr<gateway::ForwardCall> rewardCall; ///< Null while the call is waiting to be sent.
        std::shared_ptr<const gateway::RouteTable> rewardRoutes; ///< Table from which `rewardRoute` was taken.
        std::shared_ptr<const gateway::Route> rewardRoute; ///< Route of the reward call, marked as idempotent. Null if none matches.
        unsigned rewardAttempts = 0;
        std::optional<batch::ItemResult> reusedResult; ///< Result of an earlier job that completed the item, used in place of a new text.
        std::shared_ptr<const gateway::RouteTable> routes; ///< Table from which `service` was taken.
        ServiceName service;
    };
    using RunPointer = std::shared_ptr<Run>;

    struct CachedText {
        ItemText text;
        TimePoint lastUsedAt;
    };

    /// Items with the same model and service can run at the same endpoints and are placed together.
    using PlacementKey = std::pair<batch::ModelName, ServiceName>;

    /// Returns the runs that meet a condition and whose item exists in the replicated state, by placement key.
    template <typename Condition>
    [[nodiscard]] std::map<PlacementKey, std::vector<RunPointer>> runsByPlacementKey(Condition condition) const;
    void synchronizeJobs();
    void addRun(const batch::Job& job, const batch::ItemSpec& item, std::uint64_t longTokensThreshold, const std::vector<const batch::Job*>& jobs);
    void markIfLong(const RunPointer& run);
    void reuseText(const RunPointer& run);
    void cancelRun(const RunPointer& run, std::string_view reason);
    void recordFailures(const Run& run, const std::function<void()>& onRecorded = {});
    void placeWaitingItems();
    [[nodiscard]] std::vector<batch::EndpointLoad> loadsOf(const batch::ModelName& model, const ServiceName& service, TimePoint now) const;
    [[nodiscard]] std::uint64_t kvCapacityOf(const ServiceName& service) const;
    [[nodiscard]] batch::PromptKnowledge promptsOf(const PlacementKey& key, TimePoint now) const;
    void recordPrompt(const Run& run, const batch::ItemSpec& spec, const registry::EndpointRecord& record, TimePoint now);
    [[nodiscard]] const ServiceName& serviceOf(Run& run, const batch::ItemSpec& spec) const;
    [[nodiscard]] bool acquirePermit(const EndpointId& endpoint);
    void setCaller(http1::Request& request, const WorkspaceName& workspace) const;
    void startIfPermitted(const RunPointer& run, const batch::Placement& placement);
    void start(const RunPointer& run, const EndpointId& endpoint);
    void recordLimit(const Run& run, const http1::Response& head);
    [[nodiscard]] bool onHead(const RunPointer& run, const http1::Response& head);
    void onBody(const RunPointer& run, const std::string& bytes);
    void onEvent(const RunPointer& run, http1::StreamEvent event);
    void onEnd(const RunPointer& run, const http1::CallEnd& end);
    [[nodiscard]] Duration refusalAvoidanceFor(const EndpointId& endpoint);
    void onRefused(const RunPointer& run);
    void onFailure(const RunPointer& run);
    void onStreamEnd(const RunPointer& run);
    void onTextComplete(const RunPointer& run);
    void dispatchRewardCalls();
    void findRewardRoute(Run& run, const batch::RewardCall& reward) const;
    void sendReward(const RunPointer& run);
    void onRewardResult(const RunPointer& run, const gateway::ForwardResult& result, unsigned maxAttempts);
    void onScore(const RunPointer& run, std::string score);
    void stopScoring(const RunPointer& run);
    [[nodiscard]] std::map<GroupId, std::size_t> openItemsByGroup(const batch::JobId& job) const;
    void updateBalancerEndpoints();
    void stop(const RunPointer& run);
    void requeue(const RunPointer& run, std::string_view cause, Duration delay);
    void move(const RunPointer& run, const EndpointId& target, std::string_view cause, const std::string& details = {});
    void finish(const RunPointer& run, batch::ItemResult result);
    void scheduleFlush(Duration delay = Duration::zero());
    void proposeResults();
    void onResultsRecorded(const registry::RecordResults& command);
    void requeueResults(const registry::RecordResults& command);
    void recordPartialTexts(TimePoint now);
    void abandonExpired(TimePoint now);
    void evictUnused(TimePoint now);
    void requeueSilentItems(TimePoint now);
    void moveItemsFromSlowEndpoints(TimePoint now);
    [[nodiscard]] std::map<EndpointId, Slowness> findSlowEndpoints(TimePoint now) const;
    [[nodiscard]] batch::RunningItem runningItemOf(const Run& run, std::size_t index, TimePoint now) const;
    [[nodiscard]] std::uint64_t remainingTokens(const Run& run) const;
    [[nodiscard]] Duration tokenTime(TimePoint now) const;
    [[nodiscard]] std::optional<WeightVersion> requiredVersion(const Run& run) const;
    [[nodiscard]] std::optional<batch::HeldText> heldTextOf(const Run& run) const;
    [[nodiscard]] const batch::ItemSpec* specOf(const Run& run) const { return m_machine.jobs().findItem(run.job, run.item); }
    [[nodiscard]] ItemText& textOf(const Run& run) { return m_texts[run.item].text; }
    void scheduleUpdate();
    void avoid(const EndpointId& endpoint, Duration duration);
    void markDraining(const EndpointId& endpoint);

    asio::io_context& m_io;
    http1::ClientPool& m_pool;
    registry::ServiceGroup& m_group;
    const registry::StateMachine& m_machine;
    registry::Liveness& m_liveness;
    gateway::Forwarder<Protocol>& m_forwarder;
    gateway::Balancer& m_balancer;
    gateway::SendLimiter& m_limiter;
    metrics::Registry& m_metrics;
    const Log m_log { "items" };
    const SystemClock m_clock {};
    std::function<void(const batch::JobId&)> m_onResultsRecorded;
    std::shared_ptr<const gateway::RouteTable> m_routes = std::make_shared<const gateway::RouteTable>();
    bool m_isLeading = false;
    std::uint64_t m_nextNumber = 1;
    std::map<batch::JobId, std::map<batch::ItemId, RunPointer>> m_runs;
    std::map<batch::ItemId, CachedText> m_texts;
    std::map<EndpointId, std::map<batch::ModelName, std::uint32_t>> m_running;
    std::map<EndpointId, std::uint32_t> m_longItems; ///< Number of long items running at each endpoint.
    std::map<EndpointId, std::set<batch::ModelName>> m_loadingModels;
    std::map<EndpointId, TimePoint> m_avoidUntil;
    std::map<EndpointId, unsigned> m_refusals; ///< Refusals of each endpoint since it last took an item.
    std::map<GroupId, EndpointId> m_lastEndpointOfGroup;
    batch::PrefixCache m_prefixCache;
    bool m_isAnyHeldBack = false; ///< Whether an item waits until the beginning of its prompt is processed for another one.
    std::vector<RunPointer> m_awaitingScore; ///< Items whose score is outstanding, in the order in which their texts were completed.
    std::vector<batch::TextPart> m_completedTexts; ///< Last parts of texts that are not proposed yet.
    std::map<batch::JobId, registry::RecordResults> m_results; ///< Results that are not proposed yet.
    std::set<ServiceName> m_forwardedServices; ///< Services whose endpoints are passed to the balancer.
    std::uint64_t m_endpointsRevision = 0; ///< Revision of the directory last passed to the balancer.
    SpeedMeter m_speedMeter;
    TimePoint m_nextTextRecording {};
    TimePoint m_nextTextSweep {};
    bool m_isUpdateScheduled = false;
    bool m_isFlushScheduled = false;
};

}

#include "azurepaddle/execution/job_runner_decide.hpp" // IWYU pragma: export
#include "azurepaddle/execution/job_runner_list.hpp" // IWYU pragma: export
#include "azurepaddle/execution/job_runner_score.hpp" // IWYU pragma: export
#include "azurepaddle/execution/job_runner_send.hpp" // IWYU pragma: export
#include "azurepaddle/execution/job_runner_watch.hpp" // IWYU pragma: export
