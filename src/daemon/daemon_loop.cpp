#include "daemon_loop.hpp"

#include <csignal>

namespace hornbeamweir
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
/// Ticks without work before a draining daemon stops, so that peers learn of
/// the drain and the last bytes leave.
constexpr int idle_ticks_to_stop = 60;

} // namespace

daemon_loop::daemon_loop()
    : timer_{context_}
    , signals_{context_, SIGTERM, SIGINT, SIGHUP}
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
            if (idle_ticks_ >= idle_ticks_to_stop)
                context_.stop();
            else
                wait_for_tick();
        });
}

} // namespace hornbeamweir
