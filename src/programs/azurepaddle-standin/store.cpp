#include "options.hpp"

#include <fmt/format.h>
#include <set>
#include <thread>

namespace azurepaddle::standin {

namespace {

    constexpr std::size_t chunkBytes = 64U * 1024U;

    /// Shares a rate of bytes among all downloads. Thread-safe.
    class RateLimit {
    public:
        explicit RateLimit(double bytesPerSecond) noexcept
            : m_bytesPerSecond(bytesPerSecond)
        {
        }

        void pass(std::size_t bytes)
        {
            const auto now = std::chrono::steady_clock::now();
            const auto cost = std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / m_bytesPerSecond));
            std::chrono::steady_clock::time_point turn;
            {
                const std::scoped_lock lock(m_mutex);
                m_free = std::max(m_free, now) + cost;
                turn = m_free;
            }
            std::this_thread::sleep_until(turn);
        }

    private:
        double m_bytesPerSecond;
        std::mutex m_mutex;
        std::chrono::steady_clock::time_point m_free;
    };

    /// Weights by service and version; their content is only a size.
    class WeightStore {
    public:
        WeightStore(StandinServer& server, std::size_t weightBytes, double bytesPerSecond)
            : m_weightBytes(weightBytes)
            , m_rate(bytesPerSecond)
        {
            httplib::Server& routes = server.routes();
            const std::string path = R"(/weights/([^/]+)/(\d{1,18}))";
            routes.Put(path, [this](const httplib::Request& request, httplib::Response& response) { put(request, response); });
            routes.Get(path, [this](const httplib::Request& request, httplib::Response& response) { get(request, response); });
            routes.Get(R"(/weights/([^/]+))", [this](const httplib::Request& request, httplib::Response& response) { list(request, response); });
            routes.Get("/standin/ran", [this](const httplib::Request&, httplib::Response& response) {
                const std::scoped_lock lock(m_mutex);
                answer(response, 200, { { "downloads", m_downloads }, { "bytes", m_bytes.load() } });
            });
        }

    private:
        void put(const httplib::Request& request, httplib::Response& response)
        {
            const std::scoped_lock lock(m_mutex);
            m_versions[request.matches[1]].insert(std::stoull(request.matches[2]));
            answer(response, 200, { { "result", "stored" } });
        }

        void get(const httplib::Request& request, httplib::Response& response)
        {
            const std::string service = request.matches[1];
            const std::string version = request.matches[2];
            const std::scoped_lock lock(m_mutex);
            if (!m_versions[service].contains(std::stoull(version)))
                return refuse(response, 404, "no such version", "not-run");
            ++m_downloads[fmt::format("{}/{}", service, version)];
            response.set_content_provider(m_weightBytes, "application/octet-stream", [this](std::size_t, std::size_t length, httplib::DataSink& sink) {
                const std::string chunk(std::min(length, chunkBytes), 'w');
                m_rate.pass(chunk.size());
                m_bytes += chunk.size();
                return sink.write(chunk.data(), chunk.size());
            });
        }

        void list(const httplib::Request& request, httplib::Response& response)
        {
            const std::scoped_lock lock(m_mutex);
            answer(response, 200, { { "versions", m_versions[request.matches[1]] } });
        }

        std::size_t m_weightBytes;
        RateLimit m_rate;
        std::mutex m_mutex;
        std::map<std::string, std::set<std::uint64_t>> m_versions;
        std::map<std::string, std::uint64_t> m_downloads;
        std::atomic<std::uint64_t> m_bytes { 0 };
    };

}

int runStore(const Arguments& arguments)
{
    ListenAddress listen;
    std::size_t weightBytes = 1024U * 1024U;
    double bytesPerSecond = 16e6;
    po::options_description options;
    addListenOptions(options, listen);
    options.add_options()("weight-bytes", po::value(&weightBytes)->default_value(weightBytes), "size of the weights of one version");
    options.add_options()("bytes-per-second", po::value(&bytesPerSecond)->default_value(bytesPerSecond), "rate shared by all downloads");
    if (!parseArguments("store", options, arguments))
        return Success;
    StandinServer server(listen);
    const WeightStore store(server, weightBytes, bytesPerSecond);
    server.run([] {});
    return Success;
}

}
