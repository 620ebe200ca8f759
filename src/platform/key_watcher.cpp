#include <hornbeamweir/platform/key_watcher.hpp>

namespace hornbeamweir
{

namespace
{

constexpr std::chrono::milliseconds restart_delay{500};

} // namespace

key_watcher::key_watcher(
    boost::asio::io_context& context,
    platform& service,
    std::string prefix,
    std::function<void(range_reply const&)> snapshot,
    std::function<void(std::vector<watch_event> const&)> changed)
    : platform_{service}
    , timer_{context}
    , prefix_{std::move(prefix)}
    , snapshot_{std::move(snapshot)}
    , changed_{std::move(changed)}
{
}

key_watcher::~key_watcher()
{
    *alive_ = false;
}

void key_watcher::start()
{
    platform_.read_prefix(
        prefix_,
        [this, alive = alive_](result<range_reply> const& reply)
        {
            if (*alive)
                on_read(reply);
        });
}

void key_watcher::on_read(result<range_reply> const& reply)
{
    if (!reply)
    {
        restart_later();
        return;
    }
    snapshot_(*reply);
    watch(reply->revision + 1);
}

void key_watcher::watch(std::int64_t from)
{
    watch_ = platform_.watch_prefix(
        prefix_,
        from,
        [this](std::vector<watch_event> const& events) { changed_(events); },
        [this](error const&) { restart_later(); });
}

void key_watcher::restart_later()
{
    timer_.expires_after(restart_delay);
    timer_.async_wait(
        [this, alive = alive_](boost::system::error_code ec)
        {
            if (!ec && *alive)
                start();
        });
}

} // namespace hornbeamweir
