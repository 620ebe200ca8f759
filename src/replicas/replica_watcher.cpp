#include <hornbeamweir/replicas/replica_watcher.hpp>

namespace hornbeamweir
{

namespace
{

/// A leaving replica may get new work for 2 s after it has said so.
constexpr duration read_interval = std::chrono::milliseconds{900};
constexpr duration retry_delay = std::chrono::milliseconds{200};

} // namespace

replica_watcher::replica_watcher(
    boost::asio::io_context& context,
    platform& service,
    relay_codec const& codec,
    event_log& log,
    std::function<void(snapshot)> taken)
    : platform_{service}
    , codec_{codec}
    , log_{log}
    , taken_{std::move(taken)}
    , timer_{context}
{
}

void replica_watcher::later(duration delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
                read();
        });
}

void replica_watcher::read()
{
    platform_.read_prefix(
        codec_.replica_prefix(),
        [this, weak = std::weak_ptr{alive_}](result<range_reply> const& reply)
        {
            if (!weak.expired())
                on_read(reply);
        });
}

void replica_watcher::on_read(result<range_reply> const& reply)
{
    if (!reply)
    {
        if (!std::exchange(lost_, true))
        {
            event line{"dependency_lost"};
            line.with("dependency", "replica_registry")
                .with("code", name_of(reply.error().code))
                .with("reason", reply.error().message);
            log_.warning(line);
        }
        later(retry_delay);
        return;
    }
    if (std::exchange(lost_, false))
    {
        event line{"dependency_regained"};
        line.with("dependency", "replica_registry");
        log_.info(line);
    }
    taken_(decode(*reply));
    later(read_interval);
}

// Entries of other writers name no replica; those around them hold.
replica_watcher::snapshot replica_watcher::decode(range_reply const& reply)
{
    snapshot out;
    for (auto const& [key, stored] : reply.values)
    {
        result<replica> decoded = codec_.decode_replica(key, stored.value);
        if (decoded)
        {
            decoded->registered = stored.create_revision;
            out.emplace(decoded->id, std::move(*decoded));
            continue;
        }
        if (!reported_.insert(key).second)
            continue;
        event line{"replica_entry_skipped"};
        line.with("key", key).with("reason", decoded.error().message);
        log_.warning(line);
    }
    return out;
}

} // namespace hornbeamweir
