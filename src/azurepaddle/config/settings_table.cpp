#include "azurepaddle/config/settings_table.hpp"

namespace azurepaddle::config::internal {

namespace {

    constexpr double kibi = 1024;
    constexpr double mebi = 1024 * kibi;
    constexpr double gibi = 1024 * mebi;
    constexpr double hour = 3600;
    constexpr double maxPort = 65535;

    constexpr Constraint plainName { Form::Name, 0, 0, {} };
    constexpr Constraint path { Form::Path, 0, 0, {} };
    constexpr Constraint secret { Form::Secret, 0, 0, {} };
    constexpr Constraint ipAddress { Form::IpAddress, 0, 0, {} };

    constexpr Constraint range(double minimum, double maximum) { return { Form::Plain, minimum, maximum, {} }; }
    constexpr Constraint bytes(double minimum, double maximum) { return { Form::Bytes, minimum, maximum, {} }; }
    constexpr Constraint choice(std::string_view choices) { return { Form::Choice, 0, 0, choices }; }

}

std::span<const Key<InstanceSettings>> instanceKeys()
{
    using S = InstanceSettings;
    static const std::vector<Key<S>> keys {
        { "name", &S::name, plainName, true, "Name of the instance, unique in the deployment; a seed and a voter are named by it." },
        { "data_centre", &S::dataCentre, plainName, true, "Data centre the instance is in, spelled as endpoints announce it." },
        { "roles", &S::roles, choice("entry|control"), false, "`entry` serves callers and trainers; `control` may vote on the log and needs a data folder." },
        { "data_folder", &S::dataFolder, path, false, "Folder for the log and the instance's identity; without it the instance keeps nothing on disk." },
        { "log_level", &S::logLevel, choice("debug|info|warning|error"), false, "Least severe level that is written to standard error." },
        { "drain_timeout", &S::drainTimeout, range(0, 24 * hour), false, "How long a stopping instance lets requests in progress finish before it reports them as unknown." },
    };
    return keys;
}

std::span<const Key<HttpSettings>> httpKeys()
{
    using S = HttpSettings;
    static const std::vector<Key<S>> keys {
        { "address", &S::address, ipAddress, false, "Address to listen on." },
        { "port", &S::port, range(1, maxPort), false, "Port to listen on." },
        { "threads", &S::threads, range(4, 4096), false, "Threads that serve requests; a stream holds one for its whole duration." },
        { "upstream_threads", &S::upstreamThreads, range(4, 4096), false, "Threads that read from endpoints; at least as many streams can run at once." },
        { "max_connections", &S::maxConnections, range(8, 65536), false, "Open connections beyond which new ones are closed." },
        { "connection_queue", &S::connectionQueue, range(0, 65536), false, "Connections that may wait for a thread before requests are rejected as not-run." },
        { "max_body", &S::maxBodyBytes, bytes(kibi, gibi), false, "Largest request body; a larger one is rejected before it is read." },
        { "max_bodies", &S::maxBodiesBytes, bytes(2 * kibi, 1024 * gibi), false, "Request bodies in memory of all callers together, of which one address may hold three quarters; a further thirty-second is for bodies of up to 64 KiB; at least twice `max_body` is used. Beyond it, requests are rejected as not-run before their body is read." },
        { "max_header", &S::maxHeaderBytes, bytes(kibi, mebi), false, "Largest sum of the request line and all headers." },
        { "stream_queue", &S::streamQueue, range(1, 65536), false, "Events of one stream that wait for a slow caller before the endpoint is read no further." },
        { "read_timeout", &S::readTimeout, range(0.1, hour), false, "How long a caller may take between two parts of a request." },
        { "write_timeout", &S::writeTimeout, range(0.1, hour), false, "How long a caller may take to accept a part of a response." },
        { "keep_alive_timeout", &S::keepAliveTimeout, range(0.1, hour), false, "How long an idle connection stays open." },
        { "keep_alive_requests", &S::keepAliveRequests, range(1, 1e6), false, "Requests served on one connection before it is closed." },
        { "connect_timeout", &S::connectTimeout, range(0.01, 60), false, "How long connecting to an endpoint may take." },
        { "silence_timeout", &S::silenceTimeout, range(0.05, hour), false, "Silence of an endpoint after which it is asked over a new connection whether the request runs." },
        { "tls_certificate", &S::tlsCertificate, path, false, "Certificate chain in PEM; with it the interface is served over TLS only." },
        { "tls_key", &S::tlsKey, path, false, "Private key of the certificate in PEM." },
    };
    return keys;
}

std::span<const Key<PeerSettings>> peerKeys()
{
    using S = PeerSettings;
    static const std::vector<Key<S>> keys {
        { "address", &S::address, ipAddress, false, "Address to listen on, which is also told to other instances." },
        { "port", &S::port, range(1, maxPort), false, "Port to listen on." },
        { "seeds", &S::seeds, { Form::PeerAddress, 0, 0, {} }, false, "Instances that are contacted at start; this instance may be among them." },
        { "voters", &S::voters, plainName, false, "Names of the instances that hold the log. The first founds a new log; a replacement of a named instance is taken in." },
        { "secret", &S::secret, secret, false, "Secret shared by all instances." },
        { "secret_file", &S::secretFile, path, false, "File whose first line is the secret." },
        { "tls_certificate", &S::tlsCertificate, path, false, "Certificate chain in PEM that this instance presents to others." },
        { "tls_key", &S::tlsKey, path, false, "Private key of the certificate in PEM." },
        { "tls_authority", &S::tlsAuthority, path, false, "Certificate in PEM of the authority that signs the certificates of all instances." },
        { "threads", &S::threads, range(1, 64), false, "Threads that serve connections between instances." },
        { "max_message", &S::maxMessageBytes, bytes(64 * kibi, gibi), false, "Largest message between instances." },
        { "max_queued_messages", &S::maxQueuedMessages, range(16, 1e6), false, "Messages to one instance that may wait; further ones fail as not sent." },
    };
    return keys;
}

std::span<const Key<SecretSettings>> secretKeys()
{
    using S = SecretSettings;
    static const std::vector<Key<S>> keys {
        { "endpoint", &S::endpoint, secret, false, "Bearer secret with which endpoints announce themselves and which is sent with orders." },
        { "endpoint_file", &S::endpointFile, path, false, "File whose first line is the endpoint secret." },
        { "operator", &S::operators, secret, false, "Bearer secret of operators." },
        { "operator_file", &S::operatorsFile, path, false, "File whose first line is the operator secret." },
    };
    return keys;
}

std::span<const Key<TimingSettings>> timingKeys()
{
    using S = TimingSettings;
    static const std::vector<Key<S>> keys {
        { "raft_heartbeat", &S::raftHeartbeat, range(0.01, 10), false, "Interval at which a leader contacts its followers." },
        { "raft_election", &S::raftElection, range(0.05, 60), false, "Shortest silence of a leader after which an election starts; the longest is twice as long." },
        { "gossip_interval", &S::gossipInterval, range(0.02, 10), false, "Interval at which instances exchange membership, endpoints and loads." },
        { "peer_ping", &S::peerPing, range(0.05, 60), false, "How long another instance may take to answer a ping before its connection is replaced." },
        { "endpoint_lease", &S::endpointLease, range(0.5, 5), false, "How long an endpoint counts as present after its last announcement." },
        { "run_lease", &S::runLease, range(0.5, 60), false, "How long an instance owns a run after its last renewal." },
        { "order_lease", &S::orderLease, range(0.5, 60), false, "How long an instance may send orders after its last renewal." },
        { "order_deadline", &S::orderDeadline, range(0.1, 60), false, "How long one order to an endpoint may take." },
        { "configuration_confirm", &S::configurationConfirm, range(1, hour), false, "Time without a confirmed configuration after which the instance reports that it is not ready." },
    };
    return keys;
}

std::span<const Key<LimitSettings>> limitKeys()
{
    using S = LimitSettings;
    static const std::vector<Key<S>> keys {
        { "tenant_shards", &S::tenantShards, range(1, 1024), false, "Shards of the queues by tenant, each with its own lock." },
        { "endpoint_shards", &S::endpointShards, range(1, 1024), false, "Shards of the load estimates by endpoint, each with its own lock." },
        { "run_shards", &S::runShards, range(1, 1024), false, "Shards of the runs by name, each with its own lock." },
        { "max_endpoints", &S::maxEndpoints, range(1, 1e6), false, "Endpoints that the instance keeps; announcements of further ones are refused." },
        { "max_candidates", &S::maxCandidates, range(2, 4096), false, "Endpoints of one service among which the instance chooses." },
        { "max_queued_requests", &S::maxQueuedRequests, range(1, 1e6), false, "Requests of all tenants that may wait at this instance." },
        { "max_queued_bytes", &S::maxQueuedBytes, bytes(64 * kibi, 64 * gibi), false, "Bytes of the requests of all tenants that may wait at this instance." },
        { "max_sample_bytes", &S::maxSampleBytes, bytes(64 * kibi, 64 * gibi), false, "Bytes of the samples that wait for their trainers at this instance." },
        { "max_response", &S::maxResponseBytes, bytes(kibi, gibi), false, "Largest response of an endpoint, or size of all events of its stream." },
        { "max_suspects", &S::maxSuspects, range(16, 1e6), false, "Requests under suspicion of crashing endpoints that the instance keeps." },
    };
    return keys;
}

}
