#include "server.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <sys/resource.h>
#include <thread>

namespace azurepaddle::standin {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr std::size_t maxPayloadBytes = 64U * 1024U * 1024U;
    constexpr std::size_t keepAliveRequests = 1000000;
    // Time for the answer to the call that asked for the refusal.
    constexpr std::chrono::milliseconds refusalDelay { 50 };

    sigset_t stopSignals()
    {
        sigset_t signals {};
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

    int portOf(const sockaddr_storage& address) noexcept
    {
        if (address.ss_family == AF_INET)
            return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
        if (address.ss_family == AF_INET6)
            return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
        return 0;
    }

}

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void StandinServer::Server::deepenBacklog() const
{
    ::listen(svr_sock_, listenBacklog);
}

StandinServer::StandinServer(const ListenAddress& listen)
    : m_listen(listen)
{
    m_server.new_task_queue = [threads = listen.threads] { return new httplib::ThreadPool(threads); };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(keepAliveRequests);
    m_server.set_payload_max_length(maxPayloadBytes);
    m_server.set_exception_handler([](const httplib::Request&, httplib::Response& response, std::exception_ptr failure) {
        try {
            std::rethrow_exception(std::move(failure));
        } catch (const Json::exception& error) {
            refuse(response, 400, error.what(), "not-run");
        } catch (const std::exception& error) {
            refuse(response, 500, error.what(), "unknown");
        }
    });
    bind(listen.port);
}

std::string StandinServer::address() const
{
    return fmt::format("{}:{}", m_listen.address, m_port);
}

void StandinServer::bind(int port)
{
    if (port == 0) {
        m_port = m_server.bind_to_any_port(m_listen.address);
        if (m_port <= 0)
            throw std::runtime_error(fmt::format("no free port on {}", m_listen.address));
    } else {
        if (!m_server.bind_to_port(m_listen.address, port))
            throw std::runtime_error(fmt::format("cannot listen on {}:{}", m_listen.address, port));
        m_port = port;
    }
    m_server.deepenBacklog();
}

void StandinServer::listenUntilStopped()
{
    while (!m_isStopping) {
        m_server.listen_after_bind();
        if (m_isStopping)
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(m_refuseMs.exchange(0)));
        bind(m_port);
    }
}

void StandinServer::run(const std::function<void()>& onStop)
{
    std::cout << Json { { "listening", address() } }.dump() << std::endl;
    std::thread listener([this] { listenUntilStopped(); });
    const sigset_t signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    onStop();
    m_isStopping = true;
    if (m_refuser.joinable())
        m_refuser.join();
    m_server.stop();
    endReading();
    listener.join();
}

void StandinServer::refuseFor(std::chrono::milliseconds duration)
{
    const std::scoped_lock lock(m_refuserMutex);
    if (m_refuser.joinable())
        m_refuser.join();
    m_refuser = std::thread([this, duration] {
        std::this_thread::sleep_for(refusalDelay);
        m_refuseMs = duration.count();
        m_server.stop();
        endReading();
    });
}

void StandinServer::endReading() const
{
    forEachConnection([](int socket, int) { ::shutdown(socket, SHUT_RD); });
}

void StandinServer::forEachConnection(const std::function<void(int socket, int remotePort)>& visit) const
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    const int last = static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 65536));
    for (int socket = 3; socket < last; ++socket) {
        sockaddr_storage local {};
        sockaddr_storage remote {};
        socklen_t localSize = sizeof(local);
        socklen_t remoteSize = sizeof(remote);
        if (getsockname(socket, reinterpret_cast<sockaddr*>(&local), &localSize) != 0 || portOf(local) != m_port)
            continue;
        if (getpeername(socket, reinterpret_cast<sockaddr*>(&remote), &remoteSize) == 0)
            visit(socket, portOf(remote));
    }
}

void StandinServer::dropConnection(int remotePort) const
{
    forEachConnection([=](int socket, int port) {
        if (port == remotePort)
            ::shutdown(socket, SHUT_RDWR);
    });
}

std::vector<int> StandinServer::remotePorts() const
{
    std::vector<int> ports;
    forEachConnection([&](int, int port) { ports.push_back(port); });
    return ports;
}

void answer(httplib::Response& response, int status, const Json& body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

void refuse(httplib::Response& response, int status, const std::string& reason, const std::string& outcome)
{
    response.status = status;
    response.set_content(Json { { "title", reason }, { "outcome", outcome } }.dump(), "application/problem+json");
}

}
