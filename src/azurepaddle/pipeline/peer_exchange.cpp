#include "azurepaddle/pipeline/peer_exchange.hpp"

namespace azurepaddle::pipeline {

namespace {

    constexpr Duration answerTimeout = std::chrono::milliseconds(800);

    struct ExchangeRequest {
        InstanceMessage self;
        std::string deltas; ///< An encoded request for deltas of the endpoint directory.
        MSGPACK_DEFINE(self, deltas)
    };

    struct ExchangeReply {
        InstanceMessage self;
        std::string deltas; ///< An encoded batch of deltas.
        MSGPACK_DEFINE(self, deltas)
    };

}

PeerExchange::PeerExchange(ExchangeOptions options, const SystemClock& clock, LiveDirectory& directory, routing::SuspectTracker& suspects,
    const ConfigurationHolder& configuration, transport::PeerClient& client)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_directory(directory)
    , m_suspects(suspects)
    , m_configuration(configuration)
    , m_client(client)
    , m_self(m_options.self)
{
}

void PeerExchange::registerHandlers(transport::PeerServer& server)
{
    server.handle("gossip", [this](const transport::PeerRequest& request) -> transport::PeerReply { return handleGossip(request.body); });
    server.handle("suspect", [this](const transport::PeerRequest& request) -> transport::PeerReply {
        m_suspects.addSuspect(routing::Fingerprint(request.body));
        return std::string();
    });
}

InstanceMessage PeerExchange::selfMessage() const
{
    InstanceMessage message;
    {
        const std::lock_guard lock(m_mutex);
        message = m_self;
    }
    message.configuration = m_configuration.number();
    return message;
}

std::string PeerExchange::handleGossip(const std::string& body)
{
    const auto request = codec::decode<ExchangeRequest>(body);
    ExchangeReply reply { selfMessage(), {} };
    if (!request)
        return codec::encode(reply);
    recordPeer(request->self);
    const auto deltas = membership::decodeRequest(request->deltas);
    if (deltas)
        reply.deltas = membership::encodeBatch(m_directory.answer(*deltas));
    return codec::encode(reply);
}

void PeerExchange::pull()
{
    const InstanceMessage self = selfMessage();
    for (const auto& [name, address] : m_options.peers) {
        {
            const std::lock_guard lock(m_mutex);
            if (std::exchange(m_hasPendingRequest[name], true))
                continue;
        }
        const TimePoint requestedAt = m_clock.now();
        const auto request = m_directory.makeRequest(InstanceId(name), membership::DeltaScope::Local);
        m_client.send(address, "gossip", codec::encode(ExchangeRequest { self, membership::encodeRequest(request) }), requestedAt + answerTimeout,
            [this, peer = name, requestedAt](const transport::CallResult& result) { onGossipReply(peer, requestedAt, result); });
    }
}

void PeerExchange::onGossipReply(const std::string& name, TimePoint requestedAt, const transport::CallResult& result)
{
    if (result) {
        const auto reply = codec::decode<ExchangeReply>(*result);
        if (reply) {
            recordPeer(reply->self);
            const auto batch = membership::decodeBatch(reply->deltas);
            if (batch)
                m_directory.merge(*batch, requestedAt);
        }
    }
    const std::lock_guard lock(m_mutex);
    m_hasPendingRequest[name] = false;
}

void PeerExchange::recordPeer(const InstanceMessage& message)
{
    const std::lock_guard lock(m_mutex);
    auto& view = m_views[message.name.value()];
    if (message.incarnation < view.message.incarnation)
        return;
    if (view.message.incarnation != 0 && message.incarnation > view.message.incarnation) {
        m_log.info("peer {} restarted: its incarnation increased", message.name);
        m_replacedIncarnations.push_back(view.message);
    }
    view.message = message;
    view.lastReceived = m_clock.now();
}

void PeerExchange::announceSuspect(const routing::Fingerprint& fingerprint)
{
    for (const auto& [name, address] : m_options.peers)
        m_client.send(address, "suspect", fingerprint.value(), m_clock.now() + answerTimeout);
}

void PeerExchange::setStatus(bool isReady, bool isDraining)
{
    const std::lock_guard lock(m_mutex);
    m_self.isReady = isReady;
    m_self.isDraining = isDraining;
}

void PeerExchange::setDemands(std::vector<DemandMessage> demands)
{
    const std::lock_guard lock(m_mutex);
    m_self.demands = std::move(demands);
}

std::string PeerExchange::stateOf(const InstanceView& view, TimePoint now) const
{
    if (view.message.isDraining)
        return "leaving";
    const Duration sinceLastMessage = now - view.lastReceived;
    if (sinceLastMessage > m_options.deadAfter)
        return "dead";
    return sinceLastMessage > m_options.suspectAfter ? "suspect" : "alive";
}

std::vector<InstanceView> PeerExchange::instances() const
{
    const TimePoint now = m_clock.now();
    std::vector<InstanceView> views { { selfMessage(), {}, now } };
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, view] : m_views)
        views.push_back(view);
    for (auto& view : views)
        view.state = stateOf(view, now);
    return views;
}

std::vector<InstanceMessage> PeerExchange::takeEndedIncarnations()
{
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    auto ended = std::exchange(m_replacedIncarnations, {});
    for (const auto& [name, view] : m_views) {
        auto& reported = m_reportedIncarnations[name];
        if (now - view.lastReceived <= m_options.deadAfter || reported == view.message.incarnation)
            continue;
        reported = view.message.incarnation;
        ended.push_back(view.message);
    }
    return ended;
}

}
