#include "targets.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace azurepaddle::bench {

namespace {

    constexpr double chartWidth = 640; // Pixels.
    constexpr double barHeight = 14;
    constexpr double labelWidth = 120;

    nlohmann::json jsonOfResult(const Result& result)
    {
        nlohmann::json bars = nlohmann::json::array();
        for (const metrics::Bar& bar : result.shortHistogram.bars(20))
            bars.push_back({ { "upper_s", bar.upperSeconds }, { "count", bar.count } });
        const Violations& broken = result.violations;
        return { { "scenario", result.scenario }, { "policy", result.policy }, { "short_p50_s", quantile(result.shortLatency, 0.5) },
            { "short_p99_s", quantile(result.shortLatency, 0.99) }, { "short_wait_p99_s", quantile(result.shortWait, 0.99) },
            { "long_p99_s", quantile(result.longLatency, 0.99) }, { "plain_p99_s", quantile(result.plainLatency, 0.99) }, { "idle_fraction", result.idleFraction },
            { "steps", result.steps }, { "samples", result.samples }, { "stale_discarded", result.staleDiscarded }, { "staleness", result.staleness },
            { "lowest_share", result.lowestShare }, { "refused", result.refused }, { "failed", result.failed }, { "hedges", result.hedges },
            { "retries", result.retries }, { "endpoints_lost_to_request", result.endpointsLostToRequest }, { "short_histogram", bars },
            { "broken", { { "sample_twice", broken.sampleTwice }, { "sample_missing", broken.sampleMissing }, { "sample_stale", broken.sampleStale }, { "sample_mislabelled", broken.sampleMislabelled }, { "wrong_answer", broken.wrongAnswer }, { "not_run_ran", broken.notRunRan }, { "ran_twice", broken.ranTwice }, { "unanswered", broken.unanswered }, { "endpoints_lost", broken.endpointsLost } } } };
    }

    /// Horizontal bars of one figure for the policies of one scenario.
    std::string chart(const std::vector<const Result*>& results, std::string_view title, double (*figure)(const Result&))
    {
        double highest = 0;
        for (const Result* result : results)
            highest = std::max(highest, figure(*result));
        if (highest <= 0)
            return {};
        const double height = barHeight * static_cast<double>(results.size()) + 24;
        std::string svg = fmt::format("<svg width=\"{}\" height=\"{}\" role=\"img\"><text x=\"0\" y=\"14\" font-weight=\"bold\">{}</text>\n", chartWidth, height, title);
        double y = 22;
        for (const Result* result : results) {
            const double width = (chartWidth - labelWidth - 60) * figure(*result) / highest;
            const char* colour = result->policy == policyName(Policy::Service) ? "#1b6ca8" : (result->policy == policyName(Policy::Oracle) ? "#4c9f70" : "#b0b0b0");
            svg += fmt::format("<text x=\"0\" y=\"{:.0f}\">{}</text><rect x=\"{}\" y=\"{:.0f}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/><text x=\"{:.1f}\" y=\"{:.0f}\">{:.3f}</text>\n",
                y + 10, result->policy, labelWidth, y, width, barHeight - 3, colour, labelWidth + width + 4, y + 10, figure(*result));
            y += barHeight;
        }
        return svg + "</svg>\n";
    }

    /// The fraction of short requests that took longer, on logarithmic axes.
    std::string tailPlot(const std::vector<const Result*>& results)
    {
        constexpr double height = 220;
        constexpr double lowest = 0.1; // Seconds at the left edge.
        constexpr double decades = 3;
        std::string svg = fmt::format("<svg width=\"{}\" height=\"{}\" role=\"img\"><text x=\"0\" y=\"14\" font-weight=\"bold\">Fraction of short requests slower than (0.1 s to 100 s, 1 to 0.001)</text>\n", chartWidth, height + 24);
        for (const Result* result : results) {
            std::vector<double> sorted = result->shortLatency;
            std::sort(sorted.begin(), sorted.end());
            std::string points;
            for (double remaining = 1; remaining >= 0.001 && !sorted.empty(); remaining *= 0.85) {
                const auto rank = static_cast<std::size_t>((1 - remaining) * static_cast<double>(sorted.size() - 1));
                const double x = chartWidth * std::log10(std::max(lowest, sorted[rank]) / lowest) / decades;
                points += fmt::format("{:.1f},{:.1f} ", x, 20 - height * std::log10(remaining) / decades);
            }
            const char* colour = result->policy == policyName(Policy::Service) ? "#1b6ca8" : (result->policy == policyName(Policy::Oracle) ? "#4c9f70" : "#b0b0b0");
            svg += fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" points=\"{}\"><title>{}</title></polyline>\n", colour, points, result->policy);
        }
        return svg + "</svg>\n";
    }

    std::string htmlOfScenario(const DeploymentResults& results, const std::string& scenario)
    {
        std::vector<const Result*> chosen;
        for (const Result& result : results.results) {
            if (result.scenario == scenario)
                chosen.push_back(&result);
        }
        std::string html = fmt::format("<h3>{}</h3>\n", scenario);
        html += tailPlot(chosen);
        html += chart(chosen, "p99 of short requests, s", [](const Result& result) { return quantile(result.shortLatency, 0.99); });
        html += chart(chosen, "p99 wait of short requests, s", [](const Result& result) { return quantile(result.shortWait, 0.99); });
        html += chart(chosen, "trainer idle fraction", [](const Result& result) { return result.idleFraction; });
        return html;
    }

}

std::string jsonOf(const std::vector<DeploymentResults>& all, const RunOptions& options)
{
    nlohmann::json json = { { "seed", options.seed }, { "seconds", options.seconds }, { "warm_up_s", options.warmUp } };
    for (const DeploymentResults& results : all) {
        nlohmann::json targets = nlohmann::json::array();
        for (const Target& target : judge(results))
            targets.push_back({ { "name", target.name }, { "figure", target.figure }, { "bound", target.bound }, { "met", target.isMet() }, { "information", target.isInformation } });
        nlohmann::json rows = nlohmann::json::array();
        for (const Result& result : results.results)
            rows.push_back(jsonOfResult(result));
        json["deployments"].push_back({ { "name", results.deployment.name }, { "targets", targets }, { "results", rows } });
    }
    return json.dump(2) + "\n";
}

std::string htmlOf(const std::vector<DeploymentResults>& all, const RunOptions& options)
{
    std::string html = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>azurepaddle-bench</title>\n"
                       "<style>body{font:13px sans-serif;margin:2em}svg{display:block;margin:1em 0}svg text{font:11px sans-serif}td,th{padding:2px 8px;text-align:left}"
                       ".missed{color:#b00020}</style></head><body>\n<h1>azurepaddle-bench</h1>\n";
    html += fmt::format("<p>Seed {}, {} s of virtual time, the first {} s not counted. Blue: the service; green: the oracle; grey: the baselines.</p>\n", options.seed, options.seconds, options.warmUp);
    for (const DeploymentResults& results : all) {
        html += fmt::format("<h2>{}</h2>\n<table><tr><th>target</th><th>figure</th><th>bound</th><th></th></tr>\n", results.deployment.name);
        for (const Target& target : judge(results))
            html += fmt::format("<tr class=\"{}\"><td>{}</td><td>{:.3f}</td><td>{:.3f}</td><td>{}</td></tr>\n", target.isMet() || target.isInformation ? "met" : "missed", target.name, target.figure, target.bound, target.isInformation ? "for information" : (target.isMet() ? "met" : "missed"));
        html += "</table>\n";
        std::vector<std::string> seen;
        for (const Result& result : results.results) {
            if (std::find(seen.begin(), seen.end(), result.scenario) != seen.end())
                continue;
            seen.push_back(result.scenario);
            html += htmlOfScenario(results, result.scenario);
        }
    }
    return html + "</body></html>\n";
}

}
