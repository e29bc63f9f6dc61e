#include "fault_gate.hpp"

namespace azurepaddle::standin {

void FaultGate::apply(const Json& fault, const std::vector<int>& openPorts)
{
    const std::scoped_lock lock(m_mutex);
    m_isAcceptSilent = fault.value("silent_accept", m_isAcceptSilent);
    if (fault.value("silent_open", false))
        m_silentPorts.insert(openPorts.begin(), openPorts.end());
    if (fault.contains("silent_after_tokens")) {
        m_silentAfterTokens = fault.at("silent_after_tokens").get<std::uint64_t>();
        m_silentStreamsLeft = fault.value("silent_count", 1U);
    }
    m_changed.notify_all();
}

void FaultGate::passRequest(int remotePort)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_isStopping || !(m_isAcceptSilent || m_silentPorts.contains(remotePort)); });
}

void FaultGate::passStream(int remotePort, const std::string& requestId, std::uint64_t tokens)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_isStopping || !isStreamSilent(remotePort, requestId, tokens); });
}

void FaultGate::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_isStopping = true;
    m_changed.notify_all();
}

bool FaultGate::isStreamSilent(int remotePort, const std::string& requestId, std::uint64_t tokens)
{
    const std::string stream = requestId + "@" + std::to_string(remotePort);
    if (m_silentPorts.contains(remotePort) || m_silentStreams.contains(stream))
        return true;
    if (!m_silentAfterTokens || tokens < *m_silentAfterTokens || m_silentStreamsLeft == 0)
        return false;
    --m_silentStreamsLeft;
    m_silentStreams.insert(stream);
    return true;
}

}
