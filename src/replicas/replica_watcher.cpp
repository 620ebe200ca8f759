#include <hornbeamweir/replicas/replica_watcher.hpp>

namespace hornbeamweir
{

namespace
{

/// Less than the 2 s within which a draining replica may still get new requests
/// after its announcement.
constexpr duration read_interval = std::chrono::milliseconds{900};
constexpr duration retry_delay = std::chrono::milliseconds{200};

} // namespace

replica_watcher::replica_watcher(
    boost::asio::io_context& context,
    platform& store,
    relay_codec const& codec,
    event_log& log,
    std::function<void(snapshot)> updated)
    : platform_{store}
    , codec_{codec}
    , log_{log}
    , updated_{std::move(updated)}
    , timer_{context}
{
}

void replica_watcher::schedule_read(duration delay)
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
        if (!std::exchange(unavailable_, true))
        {
            event line{"dependency_lost"};
            line.with("dependency", "replica_registry")
                .with("code", name_of(reply.error().code))
                .with("reason", reply.error().message);
            log_.warning(line);
        }
        schedule_read(retry_delay);
        return;
    }
    if (std::exchange(unavailable_, false))
    {
        event line{"dependency_regained"};
        line.with("dependency", "replica_registry");
        log_.info(line);
    }
    updated_(decode(*reply));
    schedule_read(read_interval);
}

// Registrations that cannot be decoded, such as those of other writers, are
// skipped; the others remain valid.
replica_watcher::snapshot replica_watcher::decode(range_reply const& reply)
{
    snapshot out;
    for (auto const& [key, stored] : reply.values)
    {
        result<replica> decoded = codec_.decode_replica(key, stored.value);
        if (decoded)
        {
            decoded->registration_revision = stored.create_revision;
            out.emplace(decoded->id, std::move(*decoded));
            continue;
        }
        if (!reported_keys_.insert(key).second)
            continue;
        event line{"replica_registration_undecodable"};
        line.with("key", key).with("reason", decoded.error().message);
        log_.warning(line);
    }
    return out;
}

} // namespace hornbeamweir
