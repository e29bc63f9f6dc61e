#include "load.hpp"

#include "azurepaddle/core/digest.hpp"

#include <fmt/format.h>
#include <thread>

namespace azurepaddle::standin {

namespace {

    constexpr std::size_t sharedPrefixBytes = 512;
    constexpr std::chrono::milliseconds resendDelay { 200 };
    constexpr std::size_t maxListed = 20000;

    using Steady = std::chrono::steady_clock;

    double since(Steady::time_point start)
    {
        return std::chrono::duration<double, std::milli>(Steady::now() - start).count();
    }

    bool isLost(const std::string& result)
    {
        return result == "lost" || result == "cut" || result.ends_with(" unknown");
    }

}

CallerLoad::CallerLoad(const LoadOptions& options, InstanceAccess access, std::vector<LoadTenant> tenants)
    : m_options(options)
    , m_access(std::move(access))
    , m_tenants(std::move(tenants))
    , m_random(options.seed)
{
}

Job CallerLoad::makeJob(std::uint64_t number)
{
    double total = 0;
    for (const LoadTenant& tenant : m_tenants)
        total += tenant.weight;
    Job job;
    double pick = m_random.uniform() * total;
    while (job.tenant + 1 < m_tenants.size() && pick >= m_tenants[job.tenant].weight)
        pick -= m_tenants[job.tenant++].weight;
    const bool isPlain = !m_options.plainService.empty() && m_random.chance(m_options.plainFraction);
    const bool isLong = m_random.chance(m_options.longFraction);
    const bool isPoison = number < m_options.poisonRequests;
    job.kind = isPoison ? "poison" : isPlain ? "plain"
        : isLong                             ? "long"
                                             : "short";
    job.isStreamed = m_random.chance(m_options.streamFraction);
    job.tokens = job.kind == "long" ? m_options.longTokens : m_options.shortTokens;
    job.key = fmt::format("{}-{}-{}", m_options.prefix, m_options.seed, number);
    const std::string shared(sharedPrefixBytes, static_cast<char>('a' + job.tenant % 26));
    job.prompt = fmt::format("{} {} {}", shared, isPoison ? m_options.poisonMarker : "task", job.key);
    if (job.kind == "plain")
        job.prompt = Json { { "caller", job.key }, { "amount", m_random.below(1000) } }.dump();
    job.instance = m_random.below(m_access.addresses.size());
    return job;
}

void CallerLoad::run()
{
    const auto begin = Steady::now();
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < m_options.concurrency; ++i)
        callers.emplace_back([this] { work(); });
    auto next = begin;
    for (std::uint64_t number = 0; number < m_options.requests; ++number) {
        Job job = makeJob(number);
        next += std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(m_random.exponential(1 / m_options.rate)));
        std::this_thread::sleep_until(next);
        job.start = next;
        const std::scoped_lock lock(m_mutex);
        m_jobs.push_back(std::move(job));
        m_changed.notify_one();
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_isFinished = true;
    }
    m_changed.notify_all();
    for (std::thread& caller : callers)
        caller.join();
    m_elapsedMs = since(begin);
}

void CallerLoad::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_isFinished || !m_jobs.empty(); });
        if (m_jobs.empty())
            return;
        const Job job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        m_latencies.add("caller-wait", since(job.start));
        perform(job);
        lock.lock();
    }
}

void CallerLoad::perform(const Job& job)
{
    Result result;
    std::uint64_t sent = 0;
    do {
        if (sent > 0)
            std::this_thread::sleep_for(resendDelay);
        const std::size_t instance = (job.instance + sent) % m_access.addresses.size();
        result = job.kind == "plain" ? sendPlain(job, instance) : sendCompletion(job, instance);
        ++sent;
    } while (isLost(result) && sent <= m_options.resends);
    finish(job, result, sent);
}

httplib::Headers CallerLoad::headersOf(const Job& job) const
{
    httplib::Headers headers {
        { "Authorization", "Bearer " + m_tenants[job.tenant].token },
        { "X-Azurepaddle-Deadline-Ms", std::to_string(m_options.deadlineMs) },
        { "Content-Type", "application/json" },
    };
    if (job.kind != "plain")
        headers.emplace("X-Azurepaddle-Class", job.kind == "long" ? "long" : "short");
    return headers;
}

CallerLoad::Result CallerLoad::sendCompletion(const Job& job, std::size_t instance)
{
    const auto client = makeClient({ {}, {}, m_access.tlsAuthority }, m_access.addresses[instance], { std::chrono::milliseconds(1000), std::chrono::milliseconds(m_options.timeoutMs) });
    const Json body { { "model", m_options.service }, { "prompt", job.prompt }, { "max_tokens", job.tokens }, { "stream", job.isStreamed } };
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = headersOf(job);
    request.body = body.dump();
    StreamReader reader;
    std::string received;
    bool hasText = false;
    if (job.isStreamed) {
        request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            received.append(data, size);
            if (reader.feed({ data, size }) && !hasText)
                m_latencies.add(job.kind + "-first-token", since(job.start));
            hasText = !reader.answer().text.empty();
            return true;
        };
    }
    const httplib::Result result = client->send(request);
    return job.isStreamed ? judgeStream(job, result, reader, received) : judgeWhole(job, result);
}

CallerLoad::Result CallerLoad::judgeStream(const Job& job, const httplib::Result& result, const StreamReader& reader, const std::string& body)
{
    if (result && result->status != 200)
        return judgeRefusal(job, result->status, body);
    const Answer& answer = reader.answer();
    if (!answer.outcome.empty())
        return "200 " + answer.outcome;
    if (!answer.isDone)
        return answer.text.empty() ? "lost" : "cut";
    return judgeAnswer(job, answer, result ? result->headers : httplib::Headers {});
}

CallerLoad::Result CallerLoad::judgeWhole(const Job& job, const httplib::Result& result)
{
    if (!result)
        return "lost";
    if (result->status != 200)
        return judgeRefusal(job, result->status, result->body);
    const auto answer = readWhole(result->body);
    if (!answer) {
        m_violations.add("malformed", job.key);
        return "malformed";
    }
    return judgeAnswer(job, *answer, result->headers);
}

CallerLoad::Result CallerLoad::judgeAnswer(const Job& job, const Answer& answer, const httplib::Headers& headers)
{
    std::vector<std::uint64_t> versions;
    const auto header = headers.find("X-Azurepaddle-Weight-Versions");
    for (const std::string& version : splitCommas(header == headers.end() ? "" : header->second))
        versions.push_back(std::strtoull(version.c_str(), nullptr, 10));
    if (const auto fault = findAnswerFault(answer, job.prompt, job.tokens, versions)) {
        m_violations.add("answer", fmt::format("{} ({}): {}", job.key, job.kind, *fault));
        return "wrong";
    }
    return "ok";
}

CallerLoad::Result CallerLoad::sendPlain(const Job& job, std::size_t instance)
{
    const auto client = makeClient({ {}, {}, m_access.tlsAuthority }, m_access.addresses[instance], { std::chrono::milliseconds(1000), std::chrono::milliseconds(m_options.timeoutMs) });
    httplib::Headers headers = headersOf(job);
    headers.emplace("Idempotency-Key", job.key);
    headers.emplace("X-Azurepaddle-Non-Idempotent", "true");
    const auto firstSeen = std::chrono::system_clock::now() - std::chrono::duration_cast<std::chrono::system_clock::duration>(Steady::now() - job.start);
    headers.emplace("X-Azurepaddle-Key-First-Seen", std::to_string(std::chrono::system_clock::to_time_t(firstSeen)));
    const auto reply = callOnce(*client, "POST", fmt::format("/v1/services/{}/{}", m_options.plainService, m_options.plainPath), headers, job.prompt);
    if (!reply)
        return "lost";
    if (reply->status != 200)
        return judgeRefusal(job, reply->status, reply->body);
    const Json body = reply->json();
    if (body.is_object() && body.value("key", std::string()) == job.key && body.value("body_digest", std::string()) == sha256Hex(job.prompt))
        return "ok";
    m_violations.add("answer", fmt::format("{} got the answer of another call: {}", job.key, reply->body.substr(0, 200)));
    return "wrong";
}

CallerLoad::Result CallerLoad::judgeRefusal(const Job& job, int status, const std::string& body)
{
    const Json problem = Json::parse(body, nullptr, false);
    const std::string outcome = problem.is_object() ? problem.value("outcome", std::string()) : std::string();
    if (outcome.empty())
        m_violations.add("refusal", fmt::format("{} was refused with status {} and no outcome", job.key, status));
    else if (outcome == "not-run" && status >= 429 && !problem.contains("retry_after_ms"))
        m_violations.add("refusal", fmt::format("{} was refused with status {} and no retry_after_ms", job.key, status));
    return fmt::format("{} {}", status, outcome.empty() ? "none" : outcome);
}

void CallerLoad::finish(const Job& job, const Result& result, std::uint64_t sent)
{
    m_latencies.add(result == "ok" ? job.kind : job.kind + "-refused", since(job.start));
    const std::scoped_lock lock(m_mutex);
    ++m_results[job.kind][result];
    m_resent += sent - 1;
    if (result == "ok" && job.kind != "plain")
        m_tenantTokens[m_tenants[job.tenant].name] += job.tokens;
    if (job.kind == "plain" && m_keys[result].size() < maxListed)
        m_keys[result].push_back(job.key);
    if (job.kind != "plain" && sent == 1 && result.ends_with(" not-run") && m_notRunPrompts.size() < maxListed)
        m_notRunPrompts.push_back(sha256Hex(job.prompt));
}

Json CallerLoad::report() const
{
    const std::scoped_lock lock(m_mutex);
    return { { "elapsed_ms", m_elapsedMs }, { "results", m_results }, { "resent", m_resent }, { "tenant_tokens", m_tenantTokens },
        { "latency_ms", m_latencies.toJson() }, { "keys", m_keys }, { "not_run_prompts", m_notRunPrompts }, { "violations", m_violations.toJson() } };
}

}
