#include "azurepaddle/pipeline/configuration_service.hpp"

#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/core/log.hpp"

namespace azurepaddle::pipeline {

namespace {

    constexpr Duration controlRetryDelay = std::chrono::seconds(1);

    std::string statusName(control::ConfigurationStatus status)
    {
        switch (status) {
        case control::ConfigurationStatus::Accepted:
            return "accepted";
        case control::ConfigurationStatus::AlreadyAccepted:
            return "already-accepted";
        case control::ConfigurationStatus::Superseded:
            return "superseded";
        case control::ConfigurationStatus::Conflict:
            return "conflict";
        case control::ConfigurationStatus::Stale:
            return "stale";
        }
        return "stale";
    }

}

PipelineError toPipelineError(const control::ClientError& error)
{
    const bool mayHaveRun = error.code() == control::ClientErrorCode::Unknown;
    return { PipelineErrorCode::ControlUnavailable, mayHaveRun ? Outcome::Unknown : Outcome::NotRun, error.message(), controlRetryDelay };
}

PipelineResult<SubmissionResult> ConfigurationService::submit(const std::string& text, TimePoint deadline)
{
    const auto parsed = config::parseConfiguration(text, "configuration");
    if (!parsed)
        return SubmissionResult { "invalid", m_holder.number(), {}, parsed.error() };
    const auto reply = m_control.submit(control::SubmitConfiguration { parsed->number(), text }, deadline);
    if (!reply)
        return tl::unexpected(toPipelineError(reply.error()));
    if (const auto* rejected = std::get_if<control::Rejected>(&*reply))
        return refuse(PipelineErrorCode::BadRequest, rejected->detail);
    const auto* configurationReply = std::get_if<control::ConfigurationReply>(&*reply);
    if (!configurationReply)
        return refuse(PipelineErrorCode::ControlUnavailable, "the log answered with a reply of another kind");
    static_cast<void>(refresh(deadline));
    return SubmissionResult { statusName(configurationReply->status), configurationReply->number, configurationReply->digest, {} };
}

bool ConfigurationService::refresh(TimePoint deadline)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint requestedAt = SystemClock().now();
    const auto answer = m_control.read(control::ConfigurationQuery { m_holder.number() }, deadline);
    if (!answer)
        return false;
    const auto* newest = std::get_if<control::ConfigurationAnswer>(&*answer);
    if (!newest)
        return false;
    for (const auto& fingerprint : newest->suspects)
        m_suspects.addSuspect(routing::Fingerprint(fingerprint.value()));
    if (newest->update.number != m_holder.number() && !install(newest->update))
        return false;
    m_holder.confirm(requestedAt);
    return true;
}

bool ConfigurationService::install(const control::ConfigurationUpdate& update)
{
    auto text = control::applyUpdate(m_holder.text(), update);
    if (!text) {
        // The deltas do not apply to the text held here, so the full text is read instead; it applies to any state.
        const auto full = m_control.read(control::ConfigurationQuery { 0 }, SystemClock().now() + controlRetryDelay);
        const auto* answer = full ? std::get_if<control::ConfigurationAnswer>(&*full) : nullptr;
        if (!answer)
            return false;
        text = control::applyUpdate({}, answer->update);
    }
    auto parsed = text ? config::parseConfiguration(*text, "configuration") : tl::unexpected(config::Problems());
    if (!parsed) {
        Log("configuration").error("number {} cannot be read by this software version", update.number);
        return false;
    }
    if (parsed->number() < m_holder.number())
        return false;
    m_holder.install(*parsed, std::move(*text));
    Log("configuration").info("number {} is in force", parsed->number());
    m_onInstalled(*parsed);
    return true;
}

}
