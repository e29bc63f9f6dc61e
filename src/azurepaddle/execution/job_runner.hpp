#pragma once

#include "azurepaddle/batch/placement.hpp"
#include "azurepaddle/batch/score_plan.hpp"
#include "azurepaddle/execution/item_text.hpp"
#include "azurepaddle/execution/protocol.hpp"
#include "azurepaddle/execution/speed_meter.hpp"
#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/registry/leader_service.hpp"

#include <memory>
#include <unordered_map>

namespace azurepaddle::execution {

namespace internal {

    // Output of an item that does not say how much it expects.
    constexpr std::uint64_t defaultExpectedTokens = 1000;
    // The size of an event is not known before; this suffices to compare items.
    constexpr std::uint64_t tokensPerEvent = 56;
    // What failed is tried again after this long.
    constexpr Duration retryDelay = std::chrono::milliseconds(30);

}

/// Runs the items of all open jobs while its instance leads: sends them to endpoints, goes on elsewhere when an endpoint
/// fails or slows down, has their texts scored where a job asks for it, and lists their results. What it knows beyond the
/// agreed state is lost with the leadership; the next leader runs unlisted items again.
template <typename Protocol>
class JobRunner {
public:
    /// Reward calls go through the forwarder, whose endpoints the balancer knows.
    JobRunner(asio::io_context& io, http1::ClientPool& pool, registry::ServiceGroup& group, const registry::StateMachine& machine, registry::Liveness& liveness, gateway::Forwarder<Protocol>& forwarder, gateway::Balancer& balancer, metrics::Registry& metrics);

    /// Called with a job to which results were appended.
    void setOnResultsRecorded(std::function<void(const batch::JobId&)> onResultsRecorded) { m_onResultsRecorded = std::move(onResultsRecorded); }
    /// Replaces the routes by which items find their service.
    void setRoutes(std::shared_ptr<const gateway::RouteTable> routes);
    void onLeadership(bool isLeading);
    /// Takes over new jobs, drops ended ones and starts what can start.
    void update();
    /// Looks for silent and slow endpoints.
    void tick();

    /// Items of a model that run at an endpoint.
    [[nodiscard]] std::uint32_t running(const EndpointId& endpoint, const batch::ModelName& model) const;
    /// Whether items of a model wait for a slot.
    [[nodiscard]] bool areItemsWaiting(const batch::ModelName& model) const;
    /// Says that an endpoint loads weights of a model and pauses its items.
    void setLoading(const EndpointId& endpoint, const batch::ModelName& model, bool isLoading);
    /// Moves the items of a model away from an endpoint. False if they do not fit elsewhere.
    [[nodiscard]] bool evacuate(const EndpointId& endpoint, const batch::ModelName& model);

private:
    enum class Stage : std::uint8_t {
        Waiting,
        Running,
        Scoring, ///< Its text is complete and waits for its score.
        Recording, ///< Its result is being agreed on.
    };

    /// One item of an open job.
    struct Run {
        batch::JobId job;
        batch::ItemId item;
        std::string host;
        batch::ModelName model;
        WeightVersion minVersion = 0;
        bool isSingleVersion = false;
        bool isCarried = false;
        std::uint64_t longTokensThreshold = 0; ///< From this much output on an item of the job is long.
        bool isLong = false; ///< By the estimate of its submitter, or by what it generated.
        std::uint32_t maxAttempts = 1;
        Duration retention {};
        Stage stage = Stage::Waiting;
        std::uint64_t number = 0; ///< Of the run, new for each.
        EndpointId endpoint;
        http1::ClientCallPointer call;
        std::shared_ptr<http1::EventStreamParser> parser;
        unsigned status = 0; ///< Of the response in progress.
        gateway::AnswerClass answerClass = gateway::AnswerClass::Answer;
        WeightVersion version = 0; ///< Of the events that arrive now.
        TimePoint acceptedAt;
        TimePoint startedAt;
        TimePoint lastEventAt;
        TimePoint notBefore;
        unsigned eventsFromEndpoint = 0; ///< Received from the present endpoint.
        batch::ItemFailures failures; ///< Under this leader and those before.
        std::shared_ptr<gateway::ForwardCall> rewardCall; ///< Null while it waits to be sent.
        std::shared_ptr<const gateway::RouteTable> rewardRoutes; ///< Those that gave the route of its reward call.
        std::shared_ptr<const gateway::Route> rewardRoute; ///< As for requests that may be repeated. Null if there is none.
        unsigned rewardAttempts = 0;
        std::optional<batch::ItemResult> reusedResult; ///< Its text, if an earlier job completed it.
        std::shared_ptr<const gateway::RouteTable> routes; ///< Those that gave the service.
        ServiceName service;
    };
    using RunPointer = std::shared_ptr<Run>;

    struct CachedText {
        ItemText text;
        TimePoint lastUsedAt;
    };

    /// Items of one kind are interchangeable for the endpoints that can run them.
    using PlacementKey = std::pair<batch::ModelName, ServiceName>;

    /// The runs that meet a condition and whose item is known, by kind.
    template <typename Condition>
    [[nodiscard]] std::map<PlacementKey, std::vector<RunPointer>> runsByPlacementKey(Condition condition) const;
    void synchronizeJobs();
    void addRun(const batch::Job& job, const batch::ItemSpec& item, std::uint64_t longTokensThreshold, const std::vector<const batch::Job*>& jobs);
    void markIfLong(const RunPointer& run);
    void reuseText(const RunPointer& run);
    void cancelRun(const RunPointer& run, std::string_view reason);
    void recordFailures(const Run& run);
    void placeWaitingItems();
    [[nodiscard]] std::vector<batch::EndpointLoad> loadsOf(const batch::ModelName& model, const ServiceName& service, TimePoint now) const;
    [[nodiscard]] const ServiceName& serviceOf(Run& run, const batch::ItemSpec& spec) const;
    void start(const RunPointer& run, const EndpointId& endpoint);
    [[nodiscard]] bool onHead(const RunPointer& run, const http1::Response& head);
    void onBody(const RunPointer& run, const std::string& bytes);
    void onEvent(const RunPointer& run, http1::StreamEvent event);
    void onEnd(const RunPointer& run, const http1::CallEnd& end);
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
    void move(const RunPointer& run, const EndpointId& target, std::string_view cause);
    void finish(const RunPointer& run, batch::ItemResult result);
    void scheduleFlush(Duration delay = Duration::zero());
    void proposeResults();
    void onResultsRecorded(const registry::RecordResults& command);
    void requeueResults(const registry::RecordResults& command);
    void recordPartialTexts(TimePoint now);
    void abandonExpired(TimePoint now);
    void evictTexts(TimePoint now);
    void requeueSilentItems(TimePoint now);
    void moveItemsFromSlowEndpoints(TimePoint now);
    [[nodiscard]] std::set<EndpointId> findSlowEndpoints(TimePoint now) const;
    [[nodiscard]] batch::RunningItem runningItemOf(const Run& run, std::size_t index, TimePoint now) const;
    [[nodiscard]] std::uint64_t remainingTokens(const Run& run) const;
    [[nodiscard]] std::optional<WeightVersion> requiredVersion(const Run& run) const;
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
    std::map<EndpointId, std::uint32_t> m_longItems; ///< Running ones.
    std::map<EndpointId, std::set<batch::ModelName>> m_loadingModels;
    std::map<EndpointId, TimePoint> m_avoidUntil;
    std::map<GroupId, EndpointId> m_lastEndpointOfGroup;
    std::vector<RunPointer> m_awaitingScore; ///< In the order in which their texts were completed.
    std::vector<batch::TextPart> m_completedTexts; ///< Ends of texts, not yet proposed.
    std::map<batch::JobId, registry::RecordResults> m_results; ///< Finished, not yet proposed.
    std::set<ServiceName> m_forwardedServices; ///< Whose endpoints the balancer knows.
    std::uint64_t m_endpointsRevision = 0; ///< Of the directory that the balancer knows.
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
