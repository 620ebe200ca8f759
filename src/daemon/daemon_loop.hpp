#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>

namespace hornbeamweir
{

/// \brief Runs an io_context with a regular tick until a graceful stop.
class daemon_loop
{
public:
    /// \param linger Time from idle to the end of a draining daemon, for
    /// peers to learn of the drain and the last bytes to leave.
    explicit daemon_loop(
        std::chrono::milliseconds linger = std::chrono::milliseconds{1200});

    [[nodiscard]] boost::asio::io_context& context() noexcept
    {
        return context_;
    }

    /// \param tick Called every 20 ms.
    /// \param drain Called once at SIGTERM or SIGINT.
    /// \param idle Whether a draining daemon may stop.
    void
    run(std::function<void()> tick,
        std::function<void()> drain,
        std::function<bool()> idle);

    /// \brief Sets what is called at SIGHUP, which is ignored otherwise.
    void on_reload(std::function<void()> reload)
    {
        reload_ = std::move(reload);
    }

private:
    void on_signal(int signal);
    void wait_for_tick();
    void wait_for_signal();

    boost::asio::io_context context_;
    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    std::function<void()> tick_;
    std::function<void()> drain_;
    std::function<bool()> idle_;
    std::function<void()> reload_;
    bool draining_ = false;
    int idle_ticks_ = 0;
    int idle_ticks_to_stop_;
};

} // namespace hornbeamweir
