#pragma once

#include "azurepaddle/core/ident.hpp"

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace azurepaddle::routing {

/// Identifies the content of a request. It is the same on all instances and for every repetition.
using Fingerprint = Identifier<struct FingerprintTag>;

/// Returns the fingerprint of a request, a digest of tenant, model and body.
[[nodiscard]] Fingerprint fingerprintOf(const TenantName& tenant, std::string_view model, std::string_view body);

/// Tracks the fingerprints in progress at each endpoint, and those suspected of having crashed an endpoint because they
/// were in progress when it failed. The number of crashes over all instances, the trial lease and the block of a
/// fingerprint are kept in the replicated log instead. Thread-safe.
class SuspectTracker {
public:
    void onSent(const Fingerprint& fingerprint, const EndpointId& endpoint);

    /// Records that a request ended on the endpoint for any reason other than a failure of the endpoint.
    void onEnded(const Fingerprint& fingerprint, const EndpointId& endpoint);

    /// Marks all fingerprints in progress on a failed endpoint as suspects and returns them. The caller must record
    /// these suspicions in the log before any retry. Reporting the same failure again returns nothing.
    [[nodiscard]] std::vector<Fingerprint> onEndpointFailed(const EndpointId& endpoint);

    /// Whether the fingerprint is a suspect: it may run only under a trial lease, and without a hedged copy.
    [[nodiscard]] bool isSuspect(const Fingerprint& fingerprint) const;

    /// Adds a suspect recorded by another instance.
    void addSuspect(const Fingerprint& fingerprint);

    /// Clears the suspicion. To be called when a request with this fingerprint finished without a crash.
    void clear(const Fingerprint& fingerprint);

private:
    mutable std::mutex m_mutex;
    std::unordered_map<EndpointId, std::unordered_map<Fingerprint, std::size_t>> m_inProgress;
    std::unordered_set<Fingerprint> m_suspects;
};

}
