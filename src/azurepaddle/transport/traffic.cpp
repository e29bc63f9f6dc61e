#include "azurepaddle/transport/traffic.hpp"

namespace azurepaddle::transport {

MethodTraffic& TrafficMeter::entry(std::string_view method)
{
    return m_counters.methods[std::string(method)];
}

void TrafficMeter::countIn(std::string_view method, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    MethodTraffic& traffic = entry(method);
    ++traffic.messagesIn;
    traffic.bytesIn += bytes;
}

void TrafficMeter::countOut(std::string_view method, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    MethodTraffic& traffic = entry(method);
    ++traffic.messagesOut;
    traffic.bytesOut += bytes;
}

void TrafficMeter::countWireIn(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_counters.wireBytesIn += bytes;
}

void TrafficMeter::countWireOut(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_counters.wireBytesOut += bytes;
}

void TrafficMeter::countOpened()
{
    const std::lock_guard lock(m_mutex);
    ++m_counters.connectionsOpened;
}

void TrafficMeter::countSilent()
{
    const std::lock_guard lock(m_mutex);
    ++m_counters.connectionsSilent;
}

TrafficSnapshot TrafficMeter::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

}
