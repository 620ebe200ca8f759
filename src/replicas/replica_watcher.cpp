#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/replicas/replica_watcher.hpp>

namespace hornbeamweir
{

namespace
{

/// Less than the 2 s within which a draining replica may still get new requests
/// after its announcement.
constexpr duration read_interval = std::chrono::milliseconds{900};
constexpr duration retry_delay = std::chrono::milliseconds{200};

std::uint64_t hash_of(replica_watcher::snapshot const& replicas)
{
    std::string text;
    for (auto const& [id, it] : replicas)
    {
        for (std::string const& field :
             {id.str(),
              it.service.str(),
              it.address,
              it.data_centre.str(),
              std::to_string(it.slots),
              std::to_string(it.registration_revision),
              std::to_string(it.draining ? 1 : 0),
              std::to_string(it.cold_remaining > duration::zero() ? 1 : 0)})
            text += field + '\n';
    }
    return stable_hash(text);
}

} // namespace

replica_watcher::replica_watcher(
    boost::asio::io_context& context,
    platform& store,
    relay_codec const& codec,
    event_log& log,
    clock_function clock,
    std::function<void(snapshot)> updated)
    : platform_{store}
    , codec_{codec}
    , log_{log}
    , updated_{std::move(updated)}
    , timer_{context}
    , clock_{clock}
{
}

void replica_watcher::set_continuous(bool continuous)
{
    if (continuous && !continuous_)
        read_once();
    continuous_ = continuous;
}

void replica_watcher::read_once()
{
    if (!reading_)
        read();
}

void replica_watcher::confirm(time_point as_of)
{
    as_of_ = std::max(as_of_, as_of);
    updated_(last_);
}

void replica_watcher::schedule_read(duration delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec && continuous_)
                read_once();
        });
}

void replica_watcher::read()
{
    reading_ = true;
    time_point const requested_at = clock_();
    platform_.read_prefix(
        codec_.replica_prefix(),
        [this, requested_at, weak = std::weak_ptr{alive_}](
            result<range_reply> const& reply)
        {
            if (!weak.expired())
                on_read(reply, requested_at);
        });
}

void replica_watcher::on_read(
    result<range_reply> const& reply, time_point requested_at)
{
    reading_ = false;
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
    // A late answer of an earlier era.
    if (reply->era < era_)
    {
        schedule_read(retry_delay);
        return;
    }
    era_ = reply->era;
    last_ = decode(*reply);
    hash_ = hash_of(last_);
    as_of_ = requested_at;
    updated_(last_);
    schedule_read(read_interval);
}

// An older copy of the store still contains most registrations; only those that
// were made since are of the new era.
std::uint64_t replica_watcher::era_of(
    backend_server_id const& id, std::int64_t registration_revision) const
{
    auto const known = last_.find(id);
    bool const same =
        known != last_.end() &&
        known->second.registration_revision == registration_revision;
    return same ? known->second.registration_era : era_;
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
            decoded->registration_era =
                era_of(decoded->id, stored.create_revision);
            decoded->modify_revision = stored.modify_revision;
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
