#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>

namespace hornbeamweir
{

/// \brief Runs an io_context with a periodic tick until a graceful shutdown.
class daemon_loop
{
public:
    /// \param linger Time that a draining daemon must be idle before it stops,
    /// so that peers learn of the drain and buffered bytes are sent.
    explicit daemon_loop(
        std::chrono::milliseconds linger = std::chrono::milliseconds{1200});

    [[nodiscard]] boost::asio::io_context& context() noexcept
    {
        return context_;
    }

    /// \param tick Called every 20 ms.
    /// \param drain Called once at SIGTERM or SIGINT.
    /// \param idle Whether a draining daemon may stop; called at each tick
    /// while draining.
    void
    run(std::function<void()> tick,
        std::function<void()> drain,
        std::function<bool()> idle);

    /// \brief Sets the handler of SIGHUP, which is ignored without one.
    void set_reload_handler(std::function<void()> reload)
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
