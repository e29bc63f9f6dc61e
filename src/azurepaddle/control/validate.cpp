#include "azurepaddle/control/validate.hpp"

#include "azurepaddle/control/run_ledger.hpp"

#include <algorithm>

namespace azurepaddle::control::internal {

namespace {

    using Problem = std::optional<std::string>;

    /// Limits of one command; sizes are in bytes. An encoded command must fit into one message of the codec.
    constexpr std::size_t maxConfigurationSize = 4U * 1024U * 1024U;
    constexpr std::size_t maxPromptSize = 1024U * 1024U;
    constexpr std::size_t maxGroupsPerCommand = 4096;
    constexpr std::size_t maxSubmissionSize = 8U * 1024U * 1024U;

    Problem checkName(std::string_view field, const std::string& name)
    {
        if (name.empty())
            return fmt::format("{} is missing", field);
        if (name.size() > maxNameSize)
            return fmt::format("{} of {} bytes exceeds {}", field, name.size(), maxNameSize);
        return std::nullopt;
    }

    template <typename Value>
    Problem checkRange(std::string_view field, Value value, Value minimum, Value maximum)
    {
        if (value < minimum || value > maximum)
            return fmt::format("{} of {} is outside {} to {}", field, value, minimum, maximum);
        return std::nullopt;
    }

    template <typename... Problems>
    Problem firstProblem(Problems... problems)
    {
        Problem first;
        static_cast<void>(((problems ? (first = std::move(problems), true) : false) || ...));
        return first;
    }

    Problem checkLeaseDuration(Milliseconds duration) { return checkRange<Milliseconds>("duration", duration, 1, maxLeaseDuration); }

    Problem check(const AdvanceTime&) { return std::nullopt; }

    Problem check(const SubmitConfiguration& action)
    {
        return firstProblem(checkRange<std::uint64_t>("number", action.number, 1, UINT64_MAX),
            checkRange<std::size_t>("size of the configuration", action.text.size(), 0, maxConfigurationSize));
    }

    Problem check(const IssueInstance& action)
    {
        return firstProblem(checkName("nonce", action.nonce), checkName("data centre", action.dataCentre.value()), checkName("address", action.address));
    }

    Problem check(const StartInstance& action)
    {
        return firstProblem(checkName("instance", action.instance.value()), checkName("address", action.address),
            checkRange<std::uint64_t>("incarnation", action.incarnation, 1, UINT64_MAX - 1));
    }

    Problem check(const ReportDead& action)
    {
        return firstProblem(checkName("instance", action.instance.value()),
            checkRange<std::uint64_t>("incarnation", action.incarnation, 0, UINT64_MAX - 1));
    }

    Problem check(const MarkInstanceLost& action) { return checkName("instance", action.instance.value()); }

    Problem check(const AcquireOrderLease& action)
    {
        return firstProblem(checkName("service", action.service.value()), checkName("holder", action.holder.instance.value()),
            checkLeaseDuration(action.duration));
    }

    Problem check(const ReleaseOrderLease& action) { return checkName("service", action.service.value()); }

    Problem checkClaimant(const ClaimKey& key, const RequestId& request, const Holder& holder)
    {
        return firstProblem(checkName("tenant", key.tenant.value()), checkName("key", key.key), checkName("request", request.value()),
            checkName("holder", holder.instance.value()));
    }

    Problem check(const Claim& action)
    {
        return firstProblem(checkClaimant(action.key, action.request, action.holder), checkName("body digest", action.bodyDigest),
            checkRange<Milliseconds>("retention", action.retention, 1, Claims::maxRetention),
            checkRange<LogTime>("first-seen time", action.keyFirstSeen, 0, INT64_MAX / 2));
    }

    Problem check(const CompleteClaim& action)
    {
        if (action.result.contentType.size() > maxNameSize)
            return "content type is too long";
        return checkClaimant(action.key, action.request, action.holder);
    }

    Problem check(const ReleaseClaim& action) { return checkClaimant(action.key, action.request, action.holder); }

    Problem check(const ReportSuspect& action)
    {
        return firstProblem(checkName("fingerprint", action.fingerprint.value()), checkName("endpoint", action.endpoint.value()),
            checkName("tenant", action.tenant.value()));
    }

    Problem check(const AcquireTrial& action)
    {
        return firstProblem(checkName("fingerprint", action.fingerprint.value()), checkName("holder", action.holder.instance.value()),
            checkLeaseDuration(action.duration));
    }

    Problem check(const FinishTrial& action)
    {
        return firstProblem(checkName("fingerprint", action.fingerprint.value()),
            checkRange<std::size_t>("size of the endpoint", action.endpoint.value().size(), 0, maxNameSize));
    }

    Problem check(const UnblockSuspect& action) { return checkName("fingerprint", action.fingerprint.value()); }

    Problem check(const AcquireRun& action)
    {
        return firstProblem(checkName("run", action.run.value()), checkName("holder", action.holder.instance.value()), checkLeaseDuration(action.duration));
    }

    Problem check(const ReleaseRun& action) { return checkName("run", action.run.value()); }

    Problem check(const GroupSpec& spec)
    {
        return firstProblem(checkName("group", spec.group.value()),
            checkRange<std::uint32_t>("samples", spec.samples, 1, RunLedger::maxSamplesPerGroup),
            checkRange<std::size_t>("size of the prompt", spec.prompt.size(), 0, maxPromptSize));
    }

    Problem check(const SubmitGroups& action)
    {
        std::size_t bytes = 0;
        for (const GroupSpec& spec : action.groups) {
            if (auto problem = check(spec))
                return problem;
            bytes += spec.prompt.size();
        }
        return firstProblem(checkName("run", action.run.value()), checkRange<std::size_t>("groups", action.groups.size(), 1, maxGroupsPerCommand),
            checkRange<std::size_t>("size of all prompts", bytes, 0, maxSubmissionSize));
    }

    Problem check(const SetTrainerVersion& action) { return checkName("run", action.run.value()); }

    Problem check(const RecordHandOff& action)
    {
        return firstProblem(checkName("run", action.run.value()), checkRange<std::size_t>("voided groups", action.voided.size(), 0, RunLedger::maxGroups),
            checkRange<std::size_t>("assigned groups", action.assigned.size(), 0, RunLedger::maxGroups));
    }

    Problem check(const ResetRun& action)
    {
        return firstProblem(checkName("run", action.run.value()), checkRange<Sequence>("cursor", action.cursor, 1, UINT64_MAX / 2));
    }

    Problem check(const RemoveRun& action) { return checkName("run", action.run.value()); }

}

std::optional<std::string> findInvalidField(const ControlAction& action)
{
    return std::visit([](const auto& alternative) { return check(alternative); }, action);
}

}
