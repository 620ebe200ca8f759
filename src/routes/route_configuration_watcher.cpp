#include <hornbeamweir/routes/route_configuration_watcher.hpp>

namespace hornbeamweir
{

namespace
{

/// Time that one call waits for changes. Shorter waits confirm the
/// configuration more often, but each call to the platform is billed.
constexpr duration poll_wait = std::chrono::milliseconds{2000};
constexpr duration retry_delay = std::chrono::milliseconds{150};

} // namespace

route_configuration_watcher::route_configuration_watcher(
    boost::asio::io_context& context,
    platform& store,
    change_poller& poller,
    relay_codec const& codec,
    event_log& log,
    clock_function clock,
    std::function<void(route_configuration, time_point)> updated,
    std::function<void(time_point)> confirmed,
    std::function<void(evacuations)> evacuated)
    : platform_{store}
    , poller_{poller}
    , codec_{codec}
    , log_{log}
    , clock_{clock}
    , updated_{std::move(updated)}
    , confirmed_{std::move(confirmed)}
    , evacuated_{std::move(evacuated)}
    , timer_{context}
    , poll_wait_{poll_wait}
{
}

void route_configuration_watcher::set_poll_wait(std::optional<duration> wait)
{
    poll_wait_ = wait.value_or(poll_wait);
}

void route_configuration_watcher::set_continuous(bool continuous)
{
    continuous_ = continuous;
    if (continuous)
        read_once();
}

void route_configuration_watcher::read_once()
{
    if (!busy_)
        read();
}

void route_configuration_watcher::schedule_read(duration delay)
{
    busy_ = continuous_;
    if (!continuous_)
        return;
    timer_.expires_after(delay);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
                read();
        });
}

void route_configuration_watcher::read()
{
    busy_ = true;
    time_point const requested_at = clock_();
    platform_.read_prefix(
        codec_.operator_prefix(),
        [this, requested_at, weak = std::weak_ptr{alive_}](
            result<range_reply> const& reply)
        {
            if (!weak.expired())
                on_read(reply, requested_at);
        });
}

void route_configuration_watcher::on_read(
    result<range_reply> const& reply, time_point requested_at)
{
    if (!reply)
    {
        log_outage(reply.error());
        schedule_read(retry_delay);
        return;
    }
    log_recovery();
    if (reply->era < position_.era)
    {
        schedule_read(retry_delay);
        return;
    }
    position_ = reply->position();
    evacuated_data_centres_.clear();
    for (auto const& [key, stored] : reply->values)
    {
        if (std::optional<data_centre_id> const found =
                codec_.evacuated_data_centre(key))
            evacuated_data_centres_.insert(*found);
    }
    report_evacuations();
    auto const it = reply->values.find(codec_.configuration_key());
    if (it == reply->values.end())
    {
        schedule_read(retry_delay);
        return;
    }
    on_configuration(it->second.value, requested_at);
    poll();
}

void route_configuration_watcher::poll()
{
    busy_ = continuous_;
    if (!continuous_)
        return;
    time_point const requested_at = clock_();
    poller_.poll_changes(
        codec_.operator_prefix(),
        position_.revision,
        poll_wait_,
        [this, requested_at, wait = poll_wait_, weak = std::weak_ptr{alive_}](
            result<change_batch> const& batch)
        {
            if (!weak.expired())
                on_changes(batch, requested_at, wait);
        });
}

// Revisions of an earlier era are given out again, so the events of a batch of
// another era don't follow what was read; everything is read again.
//
// A call that returns no changes after the full wait confirms that no newer
// configuration existed when the wait ended. After a shorter wait, or with
// changes to other keys, this is certain only for the time of the call.
void route_configuration_watcher::on_changes(
    result<change_batch> const& batch, time_point requested_at, duration wait)
{
    if (!batch)
    {
        log_outage(batch.error());
        if (batch.error().code == result_code::revision_conflict)
            read();
        else
            schedule_read(retry_delay);
        return;
    }
    if (batch->era != position_.era)
    {
        event line{"history_discarded"};
        line.with("dependency", "configuration")
            .with("era", position_.era)
            .with("new_era", batch->era)
            .with("revision", position_.revision)
            .with("new_revision", batch->revision);
        log_.warning(line);
        read();
        return;
    }
    position_.revision = std::max(position_.revision, batch->revision);
    bool configuration_changed = false;
    for (watch_event const& it : batch->events)
        configuration_changed =
            on_change(it, requested_at) || configuration_changed;
    report_evacuations();
    if (!configuration_changed)
    {
        duration const waited = clock_() - requested_at;
        bool const waited_in_full = waited >= wait && batch->events.empty();
        confirmed_(waited_in_full ? requested_at + wait : requested_at);
        if (!waited_in_full && batch->events.empty())
        {
            schedule_read(retry_delay);
            return;
        }
    }
    poll();
}

bool route_configuration_watcher::on_change(
    watch_event const& change, time_point as_of)
{
    if (std::optional<data_centre_id> const found =
            codec_.evacuated_data_centre(change.key))
    {
        if (change.value)
            evacuated_data_centres_.insert(*found);
        else
            evacuated_data_centres_.erase(*found);
        return false;
    }
    bool const is_configuration =
        change.key == codec_.configuration_key() && change.value;
    if (is_configuration)
        on_configuration(change.value->value, as_of);
    return is_configuration;
}

void route_configuration_watcher::report_evacuations()
{
    evacuated_({evacuated_data_centres_, position_.revision, position_.era});
}

void route_configuration_watcher::on_configuration(
    std::string const& bytes, time_point as_of)
{
    result<route_configuration> decoded = codec_.decode_configuration(bytes);
    if (decoded)
    {
        updated_(std::move(*decoded), as_of);
        return;
    }
    event line{"configuration_undecodable"};
    line.with("reason", decoded.error().message);
    log_.error(line);
}

void route_configuration_watcher::log_outage(error const& reason)
{
    if (unavailable_)
        return;
    unavailable_ = true;
    event line{"dependency_lost"};
    line.with("dependency", "configuration")
        .with("code", name_of(reason.code))
        .with("reason", reason.message);
    log_.warning(line);
}

void route_configuration_watcher::log_recovery()
{
    if (!unavailable_)
        return;
    unavailable_ = false;
    event line{"dependency_regained"};
    line.with("dependency", "configuration");
    log_.info(line);
}

} // namespace hornbeamweir
