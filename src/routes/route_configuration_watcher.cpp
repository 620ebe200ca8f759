#include <hornbeamweir/routes/route_configuration_watcher.hpp>

namespace hornbeamweir
{

namespace
{

/// Time that one call waits for changes. Each answer renews the proof that the
/// configuration is the newest, and each call is paid for.
constexpr duration poll_wait = std::chrono::milliseconds{2000};
constexpr duration retry_delay = std::chrono::milliseconds{150};

} // namespace

route_configuration_watcher::route_configuration_watcher(
    boost::asio::io_context& context,
    platform& service,
    change_poller& poller,
    relay_codec const& codec,
    event_log& log,
    clock_function clock,
    std::function<void(route_configuration, time_point)> taken,
    std::function<void(time_point)> confirmed)
    : platform_{service}
    , poller_{poller}
    , codec_{codec}
    , log_{log}
    , clock_{clock}
    , taken_{std::move(taken)}
    , confirmed_{std::move(confirmed)}
    , timer_{context}
{
}

void route_configuration_watcher::later(duration delay)
{
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
    time_point const asked = clock_();
    platform_.read(
        codec_.configuration_key(),
        [this, asked, weak = std::weak_ptr{alive_}](
            result<range_reply> const& reply)
        {
            if (!weak.expired())
                on_read(reply, asked);
        });
}

void route_configuration_watcher::on_read(
    result<range_reply> const& reply, time_point asked)
{
    if (!reply)
    {
        note_failure(reply.error());
        later(retry_delay);
        return;
    }
    note_success();
    auto const it = reply->values.find(codec_.configuration_key());
    if (it == reply->values.end())
    {
        later(retry_delay);
        return;
    }
    revision_ = reply->revision;
    on_value(it->second.value, asked);
    poll();
}

void route_configuration_watcher::poll()
{
    time_point const asked = clock_();
    poller_.poll_changes(
        codec_.configuration_key(),
        revision_,
        poll_wait,
        [this, asked, weak = std::weak_ptr{alive_}](
            result<change_batch> const& batch)
        {
            if (!weak.expired())
                on_changes(batch, asked);
        });
}

// The store ends an empty wait no earlier than the wait's length after it was
// asked, so that nothing newer existed then.
void route_configuration_watcher::on_changes(
    result<change_batch> const& batch, time_point asked)
{
    if (!batch)
    {
        note_failure(batch.error());
        if (batch.error().code == result_code::revision_conflict)
            read();
        else
            later(retry_delay);
        return;
    }
    revision_ = std::max(revision_, batch->revision);
    if (batch->events.empty())
    {
        duration const waited = clock_() - asked;
        bool const whole = waited >= poll_wait;
        confirmed_(whole ? asked + poll_wait : asked);
        if (!whole)
        {
            later(retry_delay);
            return;
        }
    }
    for (watch_event const& it : batch->events)
    {
        if (it.key == codec_.configuration_key() && it.value)
            on_value(it.value->value, asked);
    }
    poll();
}

void route_configuration_watcher::on_value(
    std::string const& bytes, time_point as_of)
{
    result<route_configuration> decoded = codec_.decode_configuration(bytes);
    if (decoded)
    {
        taken_(std::move(*decoded), as_of);
        return;
    }
    event line{"configuration_undecodable"};
    line.with("reason", decoded.error().message);
    log_.error(line);
}

void route_configuration_watcher::note_failure(error const& reason)
{
    if (lost_)
        return;
    lost_ = true;
    event line{"dependency_lost"};
    line.with("dependency", "configuration")
        .with("code", name_of(reason.code))
        .with("reason", reason.message);
    log_.warning(line);
}

void route_configuration_watcher::note_success()
{
    if (!lost_)
        return;
    lost_ = false;
    event line{"dependency_regained"};
    line.with("dependency", "configuration");
    log_.info(line);
}

} // namespace hornbeamweir
