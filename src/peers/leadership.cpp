#include <hornbeamweir/peers/leadership.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view holder_suffix = "/holder";
constexpr std::string_view record_suffix = "/last";
/// A failed leader is replaced after this time; long enough that one lost
/// renewal does not end the lease.
constexpr duration lease_time = milliseconds{1600};
constexpr duration renewal_interval = milliseconds{400};
/// Subtracted from the lease's end, for the orders that are in transit.
constexpr duration validity_margin = milliseconds{200};
/// Time without contact to a leader after which others campaign.
constexpr duration leader_timeout = milliseconds{700};
constexpr duration campaign_interval = milliseconds{350};
/// Time without contact to a leader after which it is replaced if fencing
/// tokens are checked: three heartbeats were lost.
constexpr duration silence_limit = milliseconds{600};
/// A process that has not run for this time may have been replaced, and has not
/// heard a leader that is alive. Less than silence_limit.
constexpr duration max_tick_gap = milliseconds{400};
/// Interval of campaigns while a leader is silent and may be replaced.
constexpr duration replace_interval = milliseconds{100};
/// A process replaces silent leaders no more often than this: it may be the one
/// that is cut off from them, and they would replace it in turn.
constexpr duration min_replacement_interval = std::chrono::seconds{5};
/// Upper limit of the random delay that keeps campaigns of several processes
/// apart.
constexpr duration max_campaign_jitter = milliseconds{400};
/// The same if a leader may be replaced. Campaigns that collide cost only
/// calls, as the commit lets one of them succeed.
constexpr duration max_replace_jitter = milliseconds{100};

} // namespace

leadership::leadership(
    platform& service,
    event_log& log,
    clock_function clock,
    random_source random,
    std::string holder,
    bool fences_checked)
    : platform_{service}
    , log_{log}
    , clock_{clock}
    , random_{random}
    , holder_{std::move(holder)}
    , fences_checked_{fences_checked}
{
}

void leadership::schedule_campaign(duration min_delay)
{
    duration const max_jitter =
        fences_checked_ ? max_replace_jitter : max_campaign_jitter;
    double const jitter =
        static_cast<double>(max_jitter.count()) * random_.unit();
    next_action_ = clock_() + min_delay + standby_delay_ +
                   duration{static_cast<duration::rep>(jitter)};
}

void leadership::set_key(std::string key, duration standby_delay)
{
    if (key == key_)
        return;
    key_ = std::move(key);
    standby_delay_ = standby_delay;
    schedule_campaign({});
}

void leadership::on_leader_alive(std::uint64_t fence)
{
    // An earlier leader may have resumed and not noticed its successor yet.
    if (fence < holder_fence_)
        return;
    if (valid_until_ != time_point{} && fence > this->fence())
        step_down();
    note_holder(fence);
    heard_fence_ = fence;
    unheard_leader_.clear();
    if (!is_leader())
        schedule_campaign(fences_checked_ ? silence_limit : leader_timeout);
}

void leadership::note_holder(std::uint64_t fence)
{
    holder_fence_ = fence;
    holder_seen_at_ = clock_();
}

// Only a leader that was heard before can be silent: at the start of a fleet,
// processes that don't know each other yet would replace each other in turn. A
// process that has led may replace its own key at once.
bool leadership::may_replace(stored_value const& key, std::uint64_t era) const
{
    if (!fences_checked_)
        return false;
    time_point const now = clock_();
    std::uint64_t const fence = fence_of({era, key.modify_revision});
    bool const is_silent = fence == holder_fence_ && fence == heard_fence_ &&
                           now - holder_seen_at_ >= silence_limit &&
                           now - replaced_at_ >= min_replacement_interval;
    return is_own(key, era) || is_silent;
}

// After a change of the era, the store may contain an earlier key of this
// process. Its revision may have been given out again, to another process.
bool leadership::is_own(stored_value const& key, std::uint64_t era) const
{
    bool const has_led = acquired_.revision != 0;
    return has_led && key.value == holder_ &&
           (era != acquired_.era || key.modify_revision == acquired_.revision);
}

void leadership::interrupt(std::string_view reason)
{
    event line{"leadership_interrupted"};
    line.with("key", key_).with("fence", fence()).with("reason", reason);
    log_.warning(line);
    valid_until_ = {};
    schedule_campaign({});
}

void leadership::on_leader_left()
{
    if (!is_leader())
        schedule_campaign({});
}

void leadership::step_down()
{
    if (is_leader())
    {
        event line{"leadership_stepped_down"};
        line.with("key", key_).with("fence", fence());
        log_.warning(line);
    }
    valid_until_ = {};
    schedule_campaign(campaign_interval);
}

// The revision of the leader's key is the fencing token. The removal is
// conditional on that revision, so it cannot remove a later leader's key.
void leadership::leave()
{
    if (left_)
        return;
    left_ = true;
    bool const was_leader = is_leader();
    valid_until_ = {};
    if (!was_leader)
        return;
    call_pending_ = true;
    std::string const holder_key = key_ + std::string{holder_suffix};
    transaction remove;
    remove.conditions.push_back({holder_key, acquired_.revision});
    remove.writes.push_back({holder_key, std::nullopt, 0});
    platform_.commit(
        std::move(remove),
        [this,
         weak = std::weak_ptr{alive_}](result<transaction_reply> const& reply)
        {
            if (weak.expired())
                return;
            call_pending_ = false;
            event line{"leadership_released"};
            line.with("key", key_)
                .with("fence", fence())
                .with("removed", reply && reply->succeeded ? "yes" : "no");
            log_.info(line);
        });
}

bool leadership::is_leader() const
{
    time_point const now = clock_();
    bool const was_suspended =
        fences_checked_ && now - last_tick_at_ > max_tick_gap;
    return now < valid_until_ && !was_suspended;
}

void leadership::on_tick()
{
    time_point const now = clock_();
    if (fences_checked_ && now - last_tick_at_ > max_tick_gap)
    {
        // The leader's heartbeats of that time may still be unread.
        holder_seen_at_ = now;
        if (valid_until_ != time_point{})
            interrupt("suspended");
    }
    last_tick_at_ = now;
    if (valid_until_ != time_point{} && platform_.era() > acquired_.era)
        interrupt("the store's era changed");
    if (left_ || call_pending_ || key_.empty() || clock_() < next_action_)
        return;
    if (is_leader())
        renew();
    else
        campaign();
}

// The record outlives the lease. Leadership is acquired only if the record has
// not changed since it was read; previous_record_ is therefore the last
// leader's.
void leadership::campaign()
{
    call_pending_ = true;
    platform::handler<range_reply> const done =
        [this, weak = std::weak_ptr{alive_}](result<range_reply> const& reply)
    {
        if (!weak.expired())
            on_read(reply);
    };
    // The commit checks what was read, so that an older state costs only time,
    // which does not matter while others campaign.
    if (standby_delay_ > duration::zero())
        platform_.read_prefix_recent(key_, done);
    else
        platform_.read_prefix(key_, done);
}

void leadership::on_read(result<range_reply> const& reply)
{
    if (!reply)
    {
        call_pending_ = false;
        schedule_campaign(
            fences_checked_ ? replace_interval : campaign_interval);
        return;
    }
    auto const holder = reply->values.find(key_ + std::string{holder_suffix});
    bool const is_held = holder != reply->values.end();
    if (reply->era < platform_.era())
    {
        call_pending_ = false;
        schedule_campaign(replace_interval);
        return;
    }
    campaign_era_ = reply->era;
    replaced_revision_ = is_held ? holder->second.modify_revision : 0;
    replaces_own_ = is_held && is_own(holder->second, reply->era);
    std::uint64_t const fence = fence_of({reply->era, replaced_revision_});
    bool const is_unheard =
        is_held && fence != heard_fence_ && holder->second.value != holder_;
    unheard_leader_ = is_unheard ? holder->second.value : std::string{};
    if (is_held && !may_replace(holder->second, reply->era))
    {
        call_pending_ = false;
        if (fence > holder_fence_)
            note_holder(fence);
        duration const unseen = clock_() - holder_seen_at_;
        log_refused_replacement(fence, unseen);
        schedule_campaign(
            fences_checked_ ? std::max(replace_interval, silence_limit - unseen)
                            : campaign_interval);
        return;
    }
    auto const last = reply->values.find(key_ + std::string{record_suffix});
    bool const found = last != reply->values.end();
    previous_record_ = found ? last->second.value : std::string{};
    previous_revision_ = found ? last->second.modify_revision : 0;
    time_point const requested_at = clock_();
    platform_.grant_lease(
        lease_time,
        [this, requested_at, weak = std::weak_ptr{alive_}](
            result<std::int64_t> const& lease)
        {
            if (!weak.expired())
                on_granted(lease, requested_at);
        });
}

// Tells why a leader that is silent for this process stays.
void leadership::log_refused_replacement(std::uint64_t fence, duration unseen)
{
    constexpr int us_per_ms = 1000;
    if (!fences_checked_ || unseen < silence_limit)
        return;
    event line{"leadership_replacement_refused"};
    line.with("key", key_)
        .with("fence", fence)
        .with("newest", holder_fence_)
        .with("heard", heard_fence_)
        .with("silent_ms", unseen.count() / us_per_ms)
        .with(
            "replaced_before_ms",
            (clock_() - replaced_at_).count() / us_per_ms);
    log_.info(line);
}

void leadership::on_granted(
    result<std::int64_t> const& lease, time_point requested_at)
{
    if (!lease || left_)
    {
        call_pending_ = false;
        schedule_campaign(campaign_interval);
        return;
    }
    lease_ = *lease;
    std::string const holder_key = key_ + std::string{holder_suffix};
    std::string const record_key = key_ + std::string{record_suffix};
    transaction acquire;
    acquire.conditions.push_back({holder_key, replaced_revision_});
    acquire.conditions.push_back({record_key, previous_revision_});
    acquire.writes.push_back({holder_key, holder_, lease_});
    platform_.commit(
        std::move(acquire),
        [this, requested_at, weak = std::weak_ptr{alive_}](
            result<transaction_reply> const& reply)
        {
            if (!weak.expired())
                on_committed(reply, requested_at);
        });
}

void leadership::on_committed(
    result<transaction_reply> const& reply, time_point requested_at)
{
    call_pending_ = false;
    schedule_campaign(campaign_interval);
    // A process that left during its campaign lets the lease expire.
    if (!reply || !reply->succeeded || left_)
        return;
    // The lease may have been lost with the earlier era, or given out again.
    if (reply->era != campaign_era_)
        return;
    acquired_ = {reply->era, reply->revision};
    record_written_ = false;
    if (replaced_revision_ != 0 && !replaces_own_)
        replaced_at_ = clock_();
    note_holder(fence());
    valid_until_ = requested_at + lease_time - validity_margin;
    next_action_ = clock_() + renewal_interval;
    event line{"leadership_acquired"};
    line.with("key", key_)
        .with("fence", fence())
        .with("replaced", replaced_revision_)
        .with("previous", previous_record_);
    log_.info(line);
}

void leadership::write_record(std::string record)
{
    if (call_pending_ || record_written_ || !is_leader())
        return;
    call_pending_ = true;
    transaction put;
    put.conditions.push_back(
        {key_ + std::string{holder_suffix}, acquired_.revision});
    put.writes.push_back(
        {key_ + std::string{record_suffix}, std::move(record), 0});
    platform_.commit(
        std::move(put),
        [this,
         weak = std::weak_ptr{alive_}](result<transaction_reply> const& reply)
        {
            if (weak.expired())
                return;
            call_pending_ = false;
            record_written_ = reply && reply->succeeded;
        });
}

// The store extends the lease on receiving the call, never before it was sent,
// so the local validity counts from the time of sending.
void leadership::renew()
{
    call_pending_ = true;
    time_point const requested_at = clock_();
    platform_.keep_alive(
        lease_,
        [this, requested_at, weak = std::weak_ptr{alive_}](
            result<duration> const& remaining)
        {
            if (weak.expired())
                return;
            call_pending_ = false;
            // Stepped down meanwhile.
            if (valid_until_ == time_point{})
                return;
            if (remaining)
            {
                valid_until_ = requested_at + lease_time - validity_margin;
                next_action_ = clock_() + renewal_interval;
                return;
            }
            constexpr duration retry = milliseconds{150};
            next_action_ = clock_() + retry;
            if (remaining.error().code != result_code::platform_refused)
                return;
            event line{"leadership_lost"};
            line.with("key", key_)
                .with("fence", fence())
                .with("reason", remaining.error().message);
            log_.warning(line);
            valid_until_ = {};
            schedule_campaign(campaign_interval);
        });
}

} // namespace hornbeamweir
