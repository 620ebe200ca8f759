#include <hornbeamweir/peers/leadership.hpp>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view holder_part = "/holder";
constexpr std::string_view record_part = "/last";
/// A dead leader is replaced after this time; a renewal that is lost must not
/// end it.
constexpr duration lease_time = milliseconds{1600};
constexpr duration keep_interval = milliseconds{400};
/// Taken off the lease's end, for the orders that are on their way.
constexpr duration validity_margin = milliseconds{200};
/// Silence of a leader after which others campaign.
constexpr duration silence = milliseconds{700};
constexpr duration campaign_interval = milliseconds{350};
/// Spread of campaigns, so that they do not meet.
constexpr duration campaign_spread = milliseconds{400};

} // namespace

leadership::leadership(
    platform& service,
    event_log& log,
    clock_function clock,
    random_source random,
    std::string holder)
    : platform_{service}
    , log_{log}
    , clock_{clock}
    , random_{random}
    , holder_{std::move(holder)}
{
}

void leadership::wait(duration least)
{
    double const spread =
        static_cast<double>(campaign_spread.count()) * random_.unit();
    next_action_ =
        clock_() + least + duration{static_cast<duration::rep>(spread)};
}

void leadership::set_key(std::string key)
{
    if (key == key_)
        return;
    key_ = std::move(key);
    wait({});
}

void leadership::on_heard_leader()
{
    if (!leading())
        wait(silence);
}

void leadership::on_leader_left()
{
    if (!leading())
        wait({});
}

void leadership::resign()
{
    if (leading())
    {
        event line{"duty_resigned"};
        line.with("key", key_).with("fence", fence_);
        log_.warning(line);
    }
    valid_until_ = {};
    wait(campaign_interval);
}

// The holder's key bears the fence as its revision, so that a later holder's is
// not removed.
void leadership::leave()
{
    if (left_)
        return;
    left_ = true;
    bool const held = leading();
    valid_until_ = {};
    if (!held)
        return;
    busy_ = true;
    std::string const holder_key = key_ + std::string{holder_part};
    transaction remove;
    remove.conditions.push_back(
        {holder_key, static_cast<std::int64_t>(fence_)});
    remove.writes.push_back({holder_key, std::nullopt, 0});
    platform_.commit(
        std::move(remove),
        [this,
         weak = std::weak_ptr{alive_}](result<transaction_reply> const& reply)
        {
            if (weak.expired())
                return;
            busy_ = false;
            event line{"duty_left"};
            line.with("key", key_)
                .with("fence", fence_)
                .with("removed", reply && reply->succeeded ? "yes" : "no");
            log_.info(line);
        });
}

bool leadership::leading() const
{
    return clock_() < valid_until_;
}

void leadership::on_tick()
{
    if (left_ || busy_ || key_.empty() || clock_() < next_action_)
        return;
    if (leading())
        keep();
    else
        campaign();
}

// The record outlives the lease; the duty is taken only if the one that was
// read is still that of the last holder.
void leadership::campaign()
{
    busy_ = true;
    platform_.read_prefix(
        key_,
        [this, weak = std::weak_ptr{alive_}](result<range_reply> const& reply)
        {
            if (!weak.expired())
                on_read(reply);
        });
}

void leadership::on_read(result<range_reply> const& reply)
{
    if (!reply || reply->values.contains(key_ + std::string{holder_part}))
    {
        busy_ = false;
        wait(campaign_interval);
        return;
    }
    auto const last = reply->values.find(key_ + std::string{record_part});
    bool const found = last != reply->values.end();
    previous_record_ = found ? last->second.value : std::string{};
    previous_revision_ = found ? last->second.modify_revision : 0;
    time_point const asked = clock_();
    platform_.grant_lease(
        lease_time,
        [this, asked, weak = std::weak_ptr{alive_}](
            result<std::int64_t> const& lease)
        {
            if (!weak.expired())
                on_granted(lease, asked);
        });
}

void leadership::on_granted(result<std::int64_t> const& lease, time_point asked)
{
    if (!lease || left_)
    {
        busy_ = false;
        wait(campaign_interval);
        return;
    }
    lease_ = *lease;
    std::string const holder_key = key_ + std::string{holder_part};
    std::string const record_key = key_ + std::string{record_part};
    transaction take;
    take.conditions.push_back({holder_key, 0});
    take.conditions.push_back({record_key, previous_revision_});
    take.writes.push_back({holder_key, holder_, lease_});
    platform_.commit(
        std::move(take),
        [this, asked, weak = std::weak_ptr{alive_}](
            result<transaction_reply> const& reply)
        {
            if (!weak.expired())
                on_committed(reply, asked);
        });
}

void leadership::on_committed(
    result<transaction_reply> const& reply, time_point asked)
{
    busy_ = false;
    wait(campaign_interval);
    // Whoever left while it took the duty lets the lease lapse.
    if (!reply || !reply->succeeded || left_)
        return;
    fence_ = static_cast<std::uint64_t>(reply->revision);
    recorded_ = false;
    valid_until_ = asked + lease_time - validity_margin;
    next_action_ = clock_() + keep_interval;
    event line{"duty_taken"};
    line.with("key", key_)
        .with("fence", fence_)
        .with("previous", previous_record_);
    log_.info(line);
}

void leadership::write_record(std::string record)
{
    if (busy_ || recorded_ || !leading())
        return;
    busy_ = true;
    transaction put;
    put.conditions.push_back(
        {key_ + std::string{holder_part}, static_cast<std::int64_t>(fence_)});
    put.writes.push_back(
        {key_ + std::string{record_part}, std::move(record), 0});
    platform_.commit(
        std::move(put),
        [this,
         weak = std::weak_ptr{alive_}](result<transaction_reply> const& reply)
        {
            if (weak.expired())
                return;
            busy_ = false;
            recorded_ = reply && reply->succeeded;
        });
}

// The lease runs from the arrival of the call, which is not before it was made.
void leadership::keep()
{
    busy_ = true;
    time_point const asked = clock_();
    platform_.keep_alive(
        lease_,
        [this, asked, weak = std::weak_ptr{alive_}](
            result<duration> const& left)
        {
            if (weak.expired())
                return;
            busy_ = false;
            if (left)
            {
                valid_until_ = asked + lease_time - validity_margin;
                next_action_ = clock_() + keep_interval;
                return;
            }
            constexpr duration retry = milliseconds{150};
            next_action_ = clock_() + retry;
            if (left.error().code != result_code::platform_refused)
                return;
            event line{"duty_lost"};
            line.with("key", key_)
                .with("fence", fence_)
                .with("reason", left.error().message);
            log_.warning(line);
            valid_until_ = {};
            wait(campaign_interval);
        });
}

} // namespace hornbeamweir
