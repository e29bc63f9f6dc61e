#pragma once

#include <atomic>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace azurepaddle::standin {

using Json = nlohmann::json;

/// Where a server listens. Port 0 takes a free one.
struct ListenAddress {
    std::string address = "127.0.0.1";
    int port = 0;
    std::size_t threads = 512; ///< Each open stream and each silent request holds one.
};

/// An HTTP server whose listening socket can be closed and opened again while the process runs.
class StandinServer {
public:
    /// Binds the port. Throws std::runtime_error if it is taken.
    explicit StandinServer(const ListenAddress& listen);

    [[nodiscard]] httplib::Server& routes() noexcept { return m_server; }
    [[nodiscard]] int port() const noexcept { return m_port; }
    [[nodiscard]] std::string address() const;

    /// Serves until SIGTERM or SIGINT, then calls onStop, and returns when the requests in progress have ended. The
    /// first line on standard output is {"listening": "ip:port"}.
    void run(const std::function<void()>& onStop);

    /// Closes the listening socket for a time: new connections are refused and open streams end.
    void refuseFor(std::chrono::milliseconds duration);

    /// Ends the connection from this port of a client without another byte.
    void dropConnection(int remotePort) const;
    /// The client ports of all open connections.
    [[nodiscard]] std::vector<int> remotePorts() const;

private:
    /// cpp-httplib listens with a backlog of 5, which drops connections under load.
    class Server : public httplib::Server {
    public:
        void deepenBacklog() const;
    };

    void bind(int port);
    void listenUntilStopped();
    /// Ends idle connections at once; cpp-httplib would wait for their keep-alive timeout.
    void endReading() const;
    void forEachConnection(const std::function<void(int socket, int remotePort)>& visit) const;

    ListenAddress m_listen;
    Server m_server;
    int m_port = 0;
    std::atomic<std::int64_t> m_refuseMs { 0 };
    std::atomic<bool> m_isStopping { false };
    std::mutex m_refuserMutex;
    std::thread m_refuser;
};

/// Blocks the signals that end a program, so that run() can wait for them. Call it before any thread starts.
void blockStopSignals();

/// Answers with JSON.
void answer(httplib::Response& response, int status, const Json& body);

/// Answers with an error that names what is known about the request: not-run, unknown or failed.
void refuse(httplib::Response& response, int status, const std::string& reason, const std::string& outcome);

}
