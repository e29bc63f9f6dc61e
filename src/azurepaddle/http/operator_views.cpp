#include "azurepaddle/http/operator_views.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::http::internal {

namespace {

    constexpr Duration readDeadline = std::chrono::seconds(5);
    constexpr double msPerSecond = 1000;
    constexpr std::uint32_t historyShown = 100;

    std::int64_t toMs(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    std::string leaderOf(const OperatorParts& parts)
    {
        return parts.control.leader();
    }

    std::string endpointState(const OperatorParts& parts, const membership::EndpointStatus& status)
    {
        if (status.hasLeft || status.leaseRemaining <= Duration::zero())
            return "lost";
        if (status.record->draining)
            return "draining";
        const auto health = parts.router.health(status.record->announcement.id);
        return health == routing::Health::Normal ? "serving" : "slow";
    }

    std::string endpointReason(const membership::EndpointStatus& status, const std::string& state)
    {
        if (status.hasLeft)
            return "it left";
        if (state == "lost")
            return "its lease ended without a renewal";
        if (state == "slow")
            return "slower than its peers";
        return state == "draining" ? "an operator drains it" : "";
    }

    Json describeEndpoint(const OperatorParts& parts, const membership::EndpointStatus& status, TimePoint now)
    {
        const auto& announcement = status.record->announcement;
        const std::string state = endpointState(parts, status);
        return { { "id", announcement.id.value() }, { "service", announcement.service.value() }, { "address", announcement.address }, { "state", state },
            { "reason", endpointReason(status, state) }, { "data_centre", announcement.dataCentre.value() }, { "versions", announcement.versions },
            { "adapters", announcement.adapters }, { "slots", announcement.slots }, { "running", announcement.running }, { "queued", announcement.queued },
            { "outstanding_tokens", announcement.outstandingTokens }, { "incarnation", announcement.incarnation },
            { "report_age_ms", toMs(now - status.record->updatedAt) }, { "lease_ms", std::max<std::int64_t>(0, toMs(status.leaseRemaining)) } };
    }

    Json describeHistogram(const std::string& measure, const metrics::Labels& labels, const metrics::HistogramSnapshot& histogram)
    {
        Json buckets = Json::array();
        for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
            if (histogram.counts[i] == 0)
                continue;
            const double upper = metrics::upperBoundSeconds(i) * msPerSecond;
            buckets.push_back({ { "upper_ms", std::isfinite(upper) ? Json(upper) : Json() }, { "count", histogram.counts[i] } });
        }
        return { { "tenant", labels.tenant.value() }, { "class", labels.workClass ? std::string(workClassName(*labels.workClass)) : "all" }, { "measure", measure },
            { "count", histogram.count }, { "p50_ms", histogram.quantile(0.5) * msPerSecond }, { "p99_ms", histogram.quantile(0.99) * msPerSecond }, { "buckets", buckets } };
    }

    std::uint64_t countOf(const metrics::Snapshot& snapshot, const std::string& name, const TenantName& tenant)
    {
        std::uint64_t sum = 0;
        const auto found = snapshot.counters.find(name);
        if (found == snapshot.counters.end())
            return 0;
        for (const auto& [labels, count] : found->second)
            sum += labels.tenant == tenant ? count : 0;
        return sum;
    }

    std::string utcTime(WallTime time)
    {
        const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
        std::tm fields {};
        gmtime_r(&seconds, &fields);
        char text[32];
        std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &fields);
        return text;
    }

    std::string hexOf(const std::array<char, 32>& digest)
    {
        std::string text;
        for (const char byte : digest)
            text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
        return text;
    }

}

Json configurationView(const OperatorParts& parts)
{
    const std::string text = parts.holder.text();
    return { { "number", parts.holder.number() }, { "digest", text.empty() ? std::string() : sha256Hex(text) }, { "text", text } };
}

Json statusView(const OperatorParts& parts)
{
    const auto self = parts.exchange.instances().front().message;
    const bool ready = parts.isReady();
    const auto endpoints = parts.directory.statuses();
    const auto live = std::count_if(endpoints.begin(), endpoints.end(), [](const auto& status) { return !status.hasLeft && status.leaseRemaining > Duration::zero(); });
    Json status { { "instance", parts.instance }, { "incarnation", self.incarnation }, { "state", self.isDraining ? "draining" : ready ? "ready"
                                                                                                                                       : "not-ready" },
        { "reason", ready || self.isDraining ? "" : "the newest configuration is not confirmed" }, { "data_centre", self.dataCentre.value() },
        { "configuration", parts.holder.number() }, { "leader", leaderOf(parts) }, { "endpoints", live }, { "requests_running", parts.callers.inProgress() } };
    if (parts.group) {
        const auto view = parts.group->status();
        status["term"] = view.raft.term;
        status["log_index"] = view.raft.commitIndex;
        // Operators wait for these before they stop another instance, so uncommitted changes must not show.
        status["log_voters"] = view.committedMembership.voters.size();
        status["log_learners"] = view.committedMembership.learners.size();
        status["log_is_voter"] = view.committedMembership.voters.contains(view.raft.id);
        status["claims"] = view.claims;
    }
    return { { "status", Json::array({ status }) } };
}

Json instancesView(const OperatorParts& parts)
{
    Json list = Json::array();
    const std::string leader = leaderOf(parts);
    for (const auto& view : parts.exchange.instances()) {
        const auto& message = view.message;
        list.push_back({ { "name", message.name.value() }, { "state", view.state == "leaving" ? "draining" : view.state }, { "ready", message.isReady }, { "data_centre", message.dataCentre.value() },
            { "roles", message.roles }, { "incarnation", message.incarnation }, { "configuration", message.configuration }, { "address", message.httpAddress },
            { "leader", message.name.value() == leader } });
    }
    return { { "instances", list } };
}

Json endpointsView(const OperatorParts& parts)
{
    Json list = Json::array();
    const TimePoint now = SystemClock().now();
    for (const auto& status : parts.directory.statuses())
        list.push_back(describeEndpoint(parts, status, now));
    return { { "endpoints", list } };
}

Json runsView(const OperatorParts& parts)
{
    Json list = Json::array();
    const auto configuration = parts.holder.current();
    const auto answer = parts.control.read(control::RunsQuery {}, SystemClock().now() + readDeadline);
    const auto* runs = answer ? std::get_if<control::RunsAnswer>(&*answer) : nullptr;
    const auto views = parts.runs.views();
    for (const auto& summary : runs ? runs->runs : std::vector<control::RunSummary>()) {
        Json entry { { "name", summary.run.value() }, { "owner", summary.owner.instance.value() }, { "version", summary.version }, { "cursor", summary.confirmed }, { "groups", summary.openGroups } };
        if (const auto* run = configuration ? configuration->run(summary.run) : nullptr) {
            entry["tenant"] = run->tenant;
            entry["service"] = run->service;
        }
        const auto view = std::find_if(views.begin(), views.end(), [&](const auto& candidate) { return candidate.name == summary.run; });
        if (view != views.end()) {
            entry["samples_running"] = view->running;
            entry["samples_stale"] = view->counters.discardedStale;
            entry["samples_delivered"] = view->counters.handedOff;
        }
        list.push_back(std::move(entry));
    }
    return { { "runs", list } };
}

Json tenantsView(const OperatorParts& parts)
{
    Json list = Json::array();
    const auto configuration = parts.holder.current();
    if (!configuration)
        return { { "tenants", list } };
    const auto snapshot = parts.metrics.snapshot();
    for (const auto& [name, tenant] : configuration->tenants()) {
        list.push_back({ { "name", name.value() }, { "weight", tenant.weight }, { "tokens", countOf(snapshot, "azurepaddle_tokens_total", name) },
            { "answered", countOf(snapshot, "azurepaddle_requests_answered_total", name) }, { "refused", countOf(snapshot, "azurepaddle_requests_refused_total", name) } });
    }
    return { { "tenants", list } };
}

Json histogramsView(const OperatorParts& parts)
{
    const std::map<std::string, std::string> measures { { "azurepaddle_request_seconds", "latency" }, { "azurepaddle_first_token_seconds", "first_token" }, { "azurepaddle_queue_seconds", "queue" } };
    Json list = Json::array();
    const auto snapshot = parts.metrics.snapshot();
    for (const auto& [metric, measure] : measures) {
        const auto found = snapshot.histograms.find(metric);
        if (found == snapshot.histograms.end())
            continue;
        for (const auto& [labels, histogram] : found->second)
            list.push_back(describeHistogram(measure, labels, histogram));
    }
    return { { "histograms", list } };
}

Json ordersView(const OperatorParts& parts)
{
    Json list = Json::array();
    for (const auto& order : parts.weights.orders()) {
        list.push_back({ { "endpoint", order.action.endpoint.value() }, { "action", weights::orderName(order.action.kind) }, { "version", order.action.version },
            { "state", order.state }, { "fencing_token", order.fencingToken }, { "time", utcTime(order.time) }, { "reason", order.reason } });
    }
    return { { "orders", list } };
}

pipeline::PipelineResult<Json> historyView(const OperatorParts& parts)
{
    const auto answer = parts.control.read(control::HistoryQuery { historyShown }, SystemClock().now() + readDeadline);
    if (!answer)
        return tl::unexpected(pipeline::toPipelineError(answer.error()));
    Json list = Json::array();
    if (const auto* history = std::get_if<control::HistoryAnswer>(&*answer)) {
        for (auto entry = history->entries.rbegin(); entry != history->entries.rend(); ++entry)
            list.push_back({ { "number", entry->number }, { "digest", hexOf(entry->digest) }, { "in_force", entry == history->entries.rbegin() } });
    }
    return Json { { "history", list } };
}

pipeline::PipelineResult<Json> suspectsView(const OperatorParts& parts)
{
    const auto answer = parts.control.read(control::SuspectsQuery {}, SystemClock().now() + readDeadline);
    if (!answer)
        return tl::unexpected(pipeline::toPipelineError(answer.error()));
    Json list = Json::array();
    if (const auto* suspects = std::get_if<control::SuspectsAnswer>(&*answer)) {
        for (const auto& [fingerprint, record] : suspects->records) {
            Json endpoints = Json::array();
            for (const auto& endpoint : record.endpoints)
                endpoints.push_back(endpoint.value());
            list.push_back({ { "fingerprint", fingerprint.value() }, { "tenant", record.tenant.value() }, { "crashes", record.crashes }, { "blocked", record.isBlocked() }, { "endpoints", endpoints } });
        }
    }
    return Json { { "suspects", list } };
}

}
