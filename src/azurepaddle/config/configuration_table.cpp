#include "azurepaddle/config/configuration_table.hpp"

namespace azurepaddle::config::internal {

namespace {

    constexpr double kibi = 1024;
    constexpr double gibi = 1024 * 1024 * kibi;
    constexpr double hour = 3600;
    constexpr double day = 24 * hour;
    // The largest integer such that a double, the type of bounds, represents it and all smaller ones exactly.
    constexpr double maxNumber = 9007199254740991;

    constexpr Constraint plainName { Form::Name, 0, 0, {} };

    constexpr Constraint range(double minimum, double maximum) { return { Form::Plain, minimum, maximum, {} }; }
    constexpr Constraint bytes(double minimum, double maximum) { return { Form::Bytes, minimum, maximum, {} }; }

    constexpr Constraint deadline = range(0.1, day);
    constexpr Constraint weight = range(0.01, 1000);
    constexpr Constraint share = range(0, 1);

}

std::span<const Key<Configuration::Sections>> numberKeys()
{
    using S = Configuration::Sections;
    static const std::vector<Key<S>> keys {
        { "number", &S::number, range(1, maxNumber), true, "Number of this configuration; a new configuration needs a higher one." },
    };
    return keys;
}

std::span<const Key<DefaultsConfiguration>> defaultsKeys()
{
    using S = DefaultsConfiguration;
    static const std::vector<Key<S>> keys {
        { "deadline_short", &S::deadlineShort, deadline, false, "Deadline of short requests that state none." },
        { "deadline_long", &S::deadlineLong, deadline, false, "Deadline of long requests that state none." },
        { "short_tokens", &S::shortTokens, range(1, 1e6), false, "Estimated tokens, prompt and response together, up to which a request counts as short." },
        { "claim_retention", &S::claimRetention, range(60, 30 * day), false, "How long the claim of a non-idempotent request is kept; older keys are rejected." },
        { "retry_budget", &S::retryBudget, share, false, "Retries for each first attempt, over all tenants together." },
        { "exclusion_fraction", &S::exclusionFraction, range(0, 0.9), false, "Largest part of a service's endpoints that may be excluded as slow." },
        { "long_share", &S::longShare, range(0.01, 1), false, "Part of an endpoint's slots that long work may use." },
    };
    return keys;
}

std::span<const Key<TenantConfiguration>> tenantKeys()
{
    using S = TenantConfiguration;
    static const std::vector<Key<S>> keys {
        { "token_sha256", &S::tokenSha256, { Form::Sha256, 0, 0, {} }, true, "Digests of the bearer tokens that identify the tenant; give two while a token is replaced." },
        { "weight", &S::weight, weight, false, "Share of the tenant relative to the weights of other busy tenants." },
        { "max_queued_requests", &S::maxQueuedRequests, range(1, 1e6), false, "Requests of the tenant that may wait at one instance." },
        { "max_queued_bytes", &S::maxQueuedBytes, bytes(kibi, 64 * gibi), false, "Bytes of the tenant's requests that may wait at one instance." },
        { "max_queue_time", &S::maxQueueTime, range(0.01, hour), false, "Longest wait before a request is rejected as not-run." },
        { "retry_budget", &S::retryBudget, share, false, "Retries for each first attempt of the tenant.", true },
    };
    return keys;
}

std::span<const Key<ServiceConfiguration>> serviceKeys()
{
    using S = ServiceConfiguration;
    static const std::vector<Key<S>> keys {
        { "kind", &S::kind, { Form::Choice, 0, 0, "engine|plain" }, false, "`engine` for model engines, `plain` for other services." },
        { "idempotent", &S::idempotent, {}, false, "Whether requests that say nothing about themselves may be repeated." },
        { "deadline_short", &S::deadlineShort, deadline, false, "Deadline of short requests that state none.", true },
        { "deadline_long", &S::deadlineLong, deadline, false, "Deadline of long requests that state none.", true },
        { "checks_fencing", &S::checksFencing, {}, false, "Whether the endpoints reject orders with an old fencing token." },
        { "exclusion_fraction", &S::exclusionFraction, range(0, 0.9), false, "Largest part of the endpoints that may be excluded as slow.", true },
        { "long_share", &S::longShare, range(0.01, 1), false, "Part of an endpoint's slots that long work may use.", true },
        { "hedging", &S::hedging, {}, false, "Whether a second copy of a slow idempotent request may be sent." },
        { "hedge_budget", &S::hedgeBudget, range(0, 0.5), false, "Second copies for each request." },
        { "weight_size", &S::weightBytes, { Form::Bytes, 1, 1e13, {} }, false, "Size of one version of the weights in the weight store." },
        { "store_rate", &S::storeBytesPerSecond, { Form::Bytes, 1, 1e13, {} }, false, "Bytes per second that prefetches of this service may read from the weight store." },
        { "version_source", &S::versionSource, plainName, false, "Run whose trainer announces the weight versions of this service." },
    };
    return keys;
}

std::span<const Key<RunConfiguration>> runKeys()
{
    using S = RunConfiguration;
    static const std::vector<Key<S>> keys {
        { "tenant", &S::tenant, plainName, true, "Tenant that the run belongs to and whose token its trainer uses." },
        { "service", &S::service, plainName, true, "Service of kind engine that generates the samples." },
        { "weight", &S::weight, weight, false, "Share of the run relative to the tenant's other runs and its requests, which weigh 1." },
        { "max_group_size", &S::maxGroupSize, range(1, 4096), false, "Samples that one group may ask for." },
        { "max_groups", &S::maxGroups, range(1, 1e6), false, "Groups that may be submitted and not yet confirmed." },
        { "max_sample_tokens", &S::maxSampleTokens, range(1, 1e7), false, "Tokens that one sample may ask for." },
        { "staleness_versions", &S::stalenessVersions, range(0, 1000), false, "Versions by which a sample may be behind the trainer when it is handed off." },
        { "staleness_time", &S::stalenessTime, range(0, day), false, "Time since its weight version was superseded after which a sample is not handed off; 0 for no bound." },
        { "scoring_service", &S::scoringService, plainName, false, "Service of kind plain that scores each sample before delivery." },
        { "samples_per_handoff", &S::samplesPerHandoff, range(1, 65536), false, "Samples in one reply to a trainer; groups are never divided." },
    };
    return keys;
}

}
