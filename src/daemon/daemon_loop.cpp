#include "daemon_loop.hpp"

#include <csignal>

namespace hornbeamweir
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};

} // namespace

daemon_loop::daemon_loop(std::chrono::milliseconds linger)
    : timer_{context_}
    , signals_{context_, SIGTERM, SIGINT, SIGHUP}
    , idle_ticks_to_stop_{static_cast<int>(linger / tick_interval)}
{
    std::signal(SIGPIPE, SIG_IGN);
}

void daemon_loop::run(
    std::function<void()> tick,
    std::function<void()> drain,
    std::function<bool()> idle)
{
    tick_ = std::move(tick);
    drain_ = std::move(drain);
    idle_ = std::move(idle);
    wait_for_signal();
    wait_for_tick();
    context_.run();
}

void daemon_loop::wait_for_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code ec, int signal)
        {
            if (ec)
                return;
            on_signal(signal);
            wait_for_signal();
        });
}

void daemon_loop::on_signal(int signal)
{
    if (signal == SIGHUP)
    {
        if (reload_)
            reload_();
    }
    else if (!draining_)
    {
        draining_ = true;
        drain_();
    }
}

void daemon_loop::wait_for_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (ec)
                return;
            tick_();
            idle_ticks_ = draining_ && idle_() ? idle_ticks_ + 1 : 0;
            if (idle_ticks_ >= idle_ticks_to_stop_)
                context_.stop();
            else
                wait_for_tick();
        });
}

} // namespace hornbeamweir
