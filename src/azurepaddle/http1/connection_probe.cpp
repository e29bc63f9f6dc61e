#include "azurepaddle/http1/connection_probe.hpp"

#include <memory>
#include <utility>

namespace azurepaddle::http1 {

namespace {

    class Probe : public std::enable_shared_from_this<Probe> {
    public:
        Probe(asio::io_context& io, ProbeCallback onOutcome)
            : m_socket(io)
            , m_timer(io)
            , m_onOutcome(std::move(onOutcome))
        {
        }

        void start(const asio::ip::tcp::endpoint& target, Duration timeout)
        {
            m_timer.expires_after(timeout);
            m_timer.async_wait([self = shared_from_this()](std::error_code error) {
                if (!error)
                    self->finish(ProbeOutcome::NoAnswer);
            });
            m_socket.async_connect(target, [self = shared_from_this()](std::error_code error) {
                if (!error)
                    return self->finish(ProbeOutcome::Accepted);
                self->finish(error == asio::error::connection_refused ? ProbeOutcome::Refused : ProbeOutcome::NoAnswer);
            });
        }

    private:
        void finish(ProbeOutcome outcome)
        {
            const auto onOutcome = std::exchange(m_onOutcome, nullptr);
            if (!onOutcome)
                return;
            m_timer.cancel();
            std::error_code ignored;
            m_socket.close(ignored);
            onOutcome(outcome);
        }

        asio::ip::tcp::socket m_socket;
        asio::steady_timer m_timer;
        ProbeCallback m_onOutcome; ///< Null after it was called.
    };

}

void probeConnection(asio::io_context& io, const InstanceAddress& address, Duration timeout, ProbeCallback onOutcome)
{
    std::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error) {
        asio::post(io, [onOutcome = std::move(onOutcome)] { onOutcome(ProbeOutcome::NoAnswer); });
        return;
    }
    std::make_shared<Probe>(io, std::move(onOutcome))->start({ ip, address.port }, timeout);
}

}
