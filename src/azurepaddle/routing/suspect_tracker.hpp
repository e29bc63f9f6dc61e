#pragma once

#include "azurepaddle/core/ident.hpp"

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace azurepaddle::routing {

/// Identifies the content of a request over all instances and repetitions.
using Fingerprint = Identifier<struct FingerprintTag>;

/// The fingerprint of a request: a digest of tenant, model and body.
[[nodiscard]] Fingerprint fingerprintOf(const TenantName& tenant, std::string_view model, std::string_view body);

/// Knows which fingerprints are in progress where, and which became suspects because their endpoint died. The count of
/// crashes over all instances, the trial lease and the block are in the log, not here. Thread-safe.
class SuspectTracker {
public:
    void onSent(const Fingerprint& fingerprint, const EndpointId& endpoint);

    /// The request ended on this endpoint in any way other than the endpoint's death.
    void onEnded(const Fingerprint& fingerprint, const EndpointId& endpoint);

    /// Makes suspects of everything in progress on the endpoint and returns it. The caller records these suspicions in
    /// the log before any retry. A second report of the same death returns nothing.
    [[nodiscard]] std::vector<Fingerprint> onEndpointFailed(const EndpointId& endpoint);

    /// Whether the fingerprint is a suspect: it may run only under a trial lease, and without a hedged copy.
    [[nodiscard]] bool isSuspect(const Fingerprint& fingerprint) const;

    /// Takes over a suspect recorded by another instance.
    void addSuspect(const Fingerprint& fingerprint);

    /// One clean finish clears the suspicion.
    void clear(const Fingerprint& fingerprint);

private:
    mutable std::mutex m_mutex;
    std::unordered_map<EndpointId, std::unordered_map<Fingerprint, std::size_t>> m_inProgress;
    std::unordered_set<Fingerprint> m_suspects;
};

}
